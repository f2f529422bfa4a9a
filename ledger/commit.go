package ledger

import (
	"fmt"
	"slices"
	"time"
)

// Write is a compare-and-swap of one shard value.
type Write struct {
	Shard    string
	Value    ShardValue
	Revision int64 // compared: the last revision of the value; 0 if absent
}

// Result is the fate of a commit.
type Result int

// The fates of a commit.
const (
	Stored   Result = iota
	Conflict        // the compare failed: nothing was written
	Unclear         // it may have been written, now or later
	NoEffect        // surely not written
)

// Plan returns the writes of the next group commit, or none if nothing changed,
// one is in flight, or the flush interval has not passed. All writes go into one
// transaction.
func (l *Ledger) Plan(now time.Time) []Write {
	if !l.dirty || l.inFlight > 0 || now.Sub(l.lastFlush) < l.cfg.FlushInterval {
		return nil
	}
	l.dirty = false
	var writes []Write
	bytes := 0
	for _, name := range l.Shards() {
		s := l.shards[name]
		if s.phase == loading || !s.isDirty() {
			continue
		}
		if len(writes) > 0 && bytes+s.bytes > l.cfg.TxnBytes {
			l.dirty = true
			break
		}
		bytes += s.bytes
		writes = append(writes, l.write(now, s))
	}
	if len(writes) > 0 {
		l.lastFlush = now
	}
	return writes
}

func (l *Ledger) write(now time.Time, s *shard) Write {
	l.writes++
	id := fmt.Sprintf("%s.%d", l.holder, l.writes)
	l.inFlight++
	s.inFlight = &pendingWrite{writeID: id, sequence: s.sequence, sentAt: now}
	return Write{Shard: s.name, Value: s.value(id), Revision: s.revision}
}

// Committed applies a commit that succeeded at revision and returns the steps
// that may go on now.
func (l *Ledger) Committed(writes []Write, revision int64) []Step {
	var steps []Step
	for _, w := range writes {
		s := l.holding(w)
		if s == nil {
			continue
		}
		sequence := s.inFlight.sequence
		l.landed(s)
		s.setViews(w.Value.Records)
		steps = append(steps, l.stored(s, sequence, revision)...)
	}
	return steps
}

// stored marks a write as being the value of the shard. Every earlier write
// that was unclear can no longer happen, since its compare fails now.
func (l *Ledger) stored(s *shard, sequence uint64, revision int64) []Step {
	s.revision = revision
	s.unclear = nil
	if s.phase == fencing {
		s.phase = active
	}
	return s.advance(sequence)
}

// Failed applies a commit that did not succeed or is unclear. The changes stay
// to be written with the next commit.
func (l *Ledger) Failed(writes []Write, result Result) {
	for _, w := range writes {
		s := l.holding(w)
		if s == nil {
			continue
		}
		if result == Unclear {
			s.unclear = append(s.unclear, *s.inFlight)
		}
		l.landed(s)
	}
}

// landed notes that the write of a shard is not in flight any more. What
// changed meanwhile is written with the next commit.
func (l *Ledger) landed(s *shard) {
	s.inFlight = nil
	l.inFlight--
	l.dirty = true
}

// Conflicted applies a commit whose compare failed, given what the store holds
// for one of its shards. An own earlier write whose reply was lost is adopted;
// any other value means that another process is the home, and lost is true.
func (l *Ledger) Conflicted(w Write, current ShardValue, revision int64) (steps []Step, lost bool) {
	s := l.holding(w)
	if s == nil {
		return nil, false
	}
	l.landed(s)
	if revision == s.revision {
		return nil, false // another shard of the transaction conflicted
	}
	i := slices.IndexFunc(s.unclear, func(p pendingWrite) bool { return p.writeID == current.WriteID })
	if i < 0 {
		return nil, true
	}
	s.setViews(current.Records)
	return l.stored(s, s.unclear[i].sequence, revision), false
}

// holding returns the shard that w belongs to, if w is its write in flight.
func (l *Ledger) holding(w Write) *shard {
	s, ok := l.shards[w.Shard]
	if !ok || s.inFlight == nil || s.inFlight.writeID != w.Value.WriteID {
		return nil
	}
	return s
}
