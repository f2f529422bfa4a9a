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
	Revision int64 // expected current revision of the value; 0 if absent
}

// CommitResult is the outcome of a commit.
type CommitResult int

const (
	Stored   CommitResult = iota
	Conflict              // the compare failed and nothing was written
	Unclear               // indeterminate: the values may have been written or may still be written
	NoEffect              // the values were not written and will not be
)

// Plan returns the writes of the next group commit. It returns none if nothing
// changed, a commit is in flight, or the flush interval has not passed. The caller
// puts all writes into one transaction.
func (l *Ledger) Plan(now time.Time) []Write {
	if !l.dirty || l.shardsInFlight > 0 || now.Sub(l.lastFlush) < l.cfg.FlushInterval {
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
		if len(writes) > 0 && bytes+s.bytes > l.cfg.MaxTxnBytes {
			l.dirty = true
			break
		}
		bytes += s.bytes
		writes = append(writes, l.beginWrite(now, s))
	}
	if len(writes) > 0 {
		l.lastFlush = now
	}
	return writes
}

// beginWrite returns a write of the current state of a shard and marks it as in flight.
func (l *Ledger) beginWrite(now time.Time, s *shard) Write {
	l.idCounter++
	id := fmt.Sprintf("%s.%d", l.incarnation, l.idCounter)
	l.shardsInFlight++
	s.inFlight = &pendingWrite{writeID: id, sequence: s.sequence, sentAt: now}
	return Write{Shard: s.name, Value: s.value(id), Revision: s.revision}
}

// ApplyCommit applies a commit that succeeded at revision and returns the steps that it
// releases.
func (l *Ledger) ApplyCommit(writes []Write, revision int64) []PostCommitStep {
	var steps []PostCommitStep
	for _, w := range writes {
		s := l.shardInFlight(w)
		if s == nil {
			continue
		}
		sequence := s.inFlight.sequence
		l.clearInFlight(s)
		s.setViews(w.Value.Records)
		steps = append(steps, l.applyStored(s, sequence, revision)...)
	}
	return steps
}

// applyStored marks a write as the stored value of the shard. An earlier indeterminate
// write can no longer take effect, because its compare fails now.
func (l *Ledger) applyStored(s *shard, sequence uint64, revision int64) []PostCommitStep {
	s.revision = revision
	s.indeterminate = nil
	if s.phase == fencing {
		s.phase = active
	}
	return s.advance(sequence)
}

// ApplyFailure applies a commit that failed or is indeterminate. The next commit writes the
// changes again.
func (l *Ledger) ApplyFailure(writes []Write, result CommitResult) {
	for _, w := range writes {
		s := l.shardInFlight(w)
		if s == nil {
			continue
		}
		if result == Unclear {
			s.indeterminate = append(s.indeterminate, *s.inFlight)
		}
		l.clearInFlight(s)
	}
}

// clearInFlight marks the write of a shard as no longer in flight. The next commit writes
// the changes that were made while it was.
func (l *Ledger) clearInFlight(s *shard) {
	s.inFlight = nil
	l.shardsInFlight--
	l.dirty = true
}

// ApplyConflict applies a commit whose compare failed, given the stored value of one of
// its shards. If an earlier indeterminate write of this process stored that value, the
// write counts as committed. Any other new value means that another process is the home
// now, and lost is true.
func (l *Ledger) ApplyConflict(w Write, current ShardValue, revision int64) (steps []PostCommitStep, lost bool) {
	s := l.shardInFlight(w)
	if s == nil {
		return nil, false
	}
	l.clearInFlight(s)
	if revision == s.revision {
		return nil, false // another shard of the transaction caused the conflict
	}
	i := slices.IndexFunc(s.indeterminate, func(p pendingWrite) bool { return p.writeID == current.WriteID })
	if i < 0 {
		return nil, true
	}
	s.setViews(current.Records)
	return l.applyStored(s, s.indeterminate[i].sequence, revision), false
}

// shardInFlight returns the shard of w if w is its write in flight, and nil otherwise.
func (l *Ledger) shardInFlight(w Write) *shard {
	s, ok := l.shards[w.Shard]
	if !ok || s.inFlight == nil || s.inFlight.writeID != w.Value.WriteID {
		return nil
	}
	return s
}
