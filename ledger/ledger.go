package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Config bounds the ledger.
type Config struct {
	ResultRetention time.Duration // how long a finished job stays for repeats
	FlushInterval   time.Duration // shortest time between two group commits
	ShardBytes      int           // largest stored value of a shard
	TxnBytes        int           // largest sum of the values of one commit
	RecordOverhead  int           // bytes of a record besides its payload
	InlineResult    int           // results up to this size are stored with the record
	MaxTasks        int           // tasks of one job
}

// DefaultConfig returns the bounds of the design page.
func DefaultConfig() Config {
	return Config{
		ResultRetention: 10 * time.Minute,
		FlushInterval:   20 * time.Millisecond,
		ShardBytes:      512 << 10,
		TxnBytes:        768 << 10,
		RecordOverhead:  700,
		InlineResult:    4 << 10,
		MaxTasks:        5000,
	}
}

// Ledger holds the shards whose home is this process. It is not safe for
// concurrent use: the control goroutine owns it.
type Ledger struct {
	cfg       Config
	holder    string // incarnation of this process
	shards    map[string]*shard
	volatile  map[JobKey]*Record // memory-only jobs; they stay when their shard moves away
	lastFlush time.Time
	writes    uint64
	inFlight  int  // shards whose value is being written
	dirty     bool // some shard may have changes that are not being written
}

// New returns a ledger without shards. The holder names this process and makes
// the IDs of its writes unique.
func New(cfg Config, holder string) *Ledger {
	return &Ledger{cfg: cfg, holder: holder, shards: map[string]*shard{}, volatile: map[JobKey]*Record{}}
}

// Open starts holding a shard. Its value has to be read and passed to Loaded.
func (l *Ledger) Open(name string, epoch uint64) {
	l.shards[name] = &shard{name: name, epoch: epoch, records: map[JobKey]*Record{}}
}

// Close drops a shard that this process is no longer the home of. It returns
// the steps and records that were not settled, so that waiting callers hear of
// it. Memory-only jobs stay, since no other process knows of them.
func (l *Ledger) Close(name string) (steps []Step, records []*Record) {
	s, ok := l.shards[name]
	if !ok {
		return nil, nil
	}
	delete(l.shards, name)
	if s.inFlight != nil {
		l.inFlight--
	}
	for _, p := range s.steps {
		steps = append(steps, p.step)
	}
	for _, r := range s.records {
		records = append(records, r)
	}
	return steps, records
}

// Loaded sets the value that the store holds for a shard. The shard becomes
// active after its first write, which makes every later write of the former
// home fail its compare.
func (l *Ledger) Loaded(name string, value ShardValue, revision int64) {
	s, ok := l.shards[name]
	if !ok || s.phase != loading {
		return
	}
	for i := range value.Records {
		r := value.Records[i].Clone()
		s.records[r.JobKey()] = &r
		s.bytes += l.sizeOf(&r.Spec)
	}
	s.setViews(value.Records)
	s.revision = revision
	s.phase = fencing
	l.dirty = true
}

// IsLoading reports whether the value of a shard is still to be read.
func (l *Ledger) IsLoading(name string) bool {
	s, ok := l.shards[name]
	return ok && s.phase == loading
}

// IsActive reports whether requests of the shard can be served.
func (l *Ledger) IsActive(name string) bool {
	s, ok := l.shards[name]
	return ok && s.phase == active
}

// Shards returns the names of the shards that are held, sorted.
func (l *Ledger) Shards() []string {
	names := make([]string, 0, len(l.shards))
	for name := range l.shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Records returns the durable records of a shard in no particular order.
func (l *Ledger) Records(name string) []*Record {
	s, ok := l.shards[name]
	if !ok {
		return nil
	}
	records := make([]*Record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, r)
	}
	return records
}

// Find returns the record of a job.
func (l *Ledger) Find(shardName string, key JobKey) (*Record, bool) {
	if r, ok := l.volatile[key]; ok {
		return r, true
	}
	s, ok := l.shards[shardName]
	if !ok {
		return nil, false
	}
	r, ok := s.records[key]
	return r, ok
}

// View returns the record of a job as callers may be told of it: as the store
// holds it, since a later change could be lost with this process. That a task
// has started needs no store and is shown at once. A job that is not in the store
// yet has no view.
func (l *Ledger) View(shardName string, key JobKey) (Record, bool) {
	if r, ok := l.volatile[key]; ok {
		return r.Clone(), true
	}
	s, ok := l.shards[shardName]
	if !ok || s.views[key] == nil {
		return Record{}, false
	}
	view := s.views[key].Clone()
	live := s.records[key]
	for i := range view.Tasks {
		t := &view.Tasks[i]
		if live != nil && live.Tasks[i].State == task.Running && t.State == task.Dispatched && t.Attempt == live.Tasks[i].Attempt {
			t.State, t.Worker = task.Running, live.Tasks[i].Worker
		}
	}
	return view, true
}

// VolatileOpen returns how many memory-only jobs are not final.
func (l *Ledger) VolatileOpen() int {
	open := 0
	for _, r := range l.volatile {
		if !r.IsFinal() {
			open++
		}
	}
	return open
}

// Submit records a job, or finds the record that an earlier submission with the
// same idempotency key made. A durable job must not be dispatched before the
// step that the caller passes is released.
func (l *Ledger) Submit(shardName string, spec task.Spec, step Step) (r *Record, isNew bool, err *errkind.Error) {
	s, ok := l.shards[shardName]
	if !ok || s.phase != active {
		return nil, false, errkind.New(errkind.NoOwner, "shard %s has no active home here", shardName)
	}
	key := KeyOf(&spec)
	if first, found := l.Find(shardName, key); found {
		return l.repeat(s, first, spec, step)
	}
	if spec.Count > l.cfg.MaxTasks {
		return nil, false, errkind.New(errkind.InvalidRequest, "a job has at most %d tasks", l.cfg.MaxTasks).
			WithField("count", fmt.Sprintf("1 to %d", l.cfg.MaxTasks))
	}
	size := l.sizeOf(&spec)
	if spec.Kind.IsDurable() && s.bytes+size > l.cfg.ShardBytes {
		return nil, false, errkind.New(errkind.QueueFull, "request shard %s is full", shardName)
	}
	r = newRecord(spec, fmt.Sprintf("%s.%d", l.holder, l.writes))
	l.writes++
	if !spec.Kind.IsDurable() {
		l.volatile[key] = r
		return r, true, nil
	}
	s.records[key] = r
	s.bytes += size
	l.dirty = true
	s.sequence++
	s.after(step)
	return r, true, nil
}

// repeat answers a submission whose key is known. A repeat whose first
// submission is not in the store yet waits for the same commit.
func (l *Ledger) repeat(s *shard, first *Record, spec task.Spec, step Step) (*Record, bool, *errkind.Error) {
	if first.Spec.PayloadDigest != spec.PayloadDigest {
		return nil, false, errkind.New(errkind.IdempotencyConflict,
			"idempotency key %q was used for another request", spec.IdempotencyKey).WithField("idempotency_key", "one request for each key")
	}
	if first.Spec.Kind.IsDurable() && s.committed < s.sequence {
		s.after(step)
		return first, false, nil
	}
	return first, false, nil
}

// HasPending reports whether the shard has changes that are not stored yet.
func (l *Ledger) HasPending(shardName string) bool {
	s, ok := l.shards[shardName]
	return ok && s.committed < s.sequence
}

// change notes a change to a record; the step is released once it is stored.
// It reports whether the step has to wait, which is false for memory-only work.
func (l *Ledger) change(s *shard, r *Record, step Step) (waits bool) {
	if !r.Spec.Kind.IsDurable() {
		return false
	}
	l.dirty = true
	s.sequence++
	s.after(step)
	return true
}

func (l *Ledger) sizeOf(spec *task.Spec) int {
	const bytesPerTask = 160
	return len(spec.Payload)*4/3 + l.cfg.RecordOverhead + max(1, spec.Count)*bytesPerTask
}

// Expire drops final records older than the retention. The change is stored
// with the next commit of the shard and does not cause one.
func (l *Ledger) Expire(now time.Time) {
	for key, r := range l.volatile {
		if l.isExpired(now, r) {
			delete(l.volatile, key)
		}
	}
	for _, s := range l.shards {
		for key, r := range s.records {
			if l.isExpired(now, r) {
				delete(s.records, key)
				s.bytes -= l.sizeOf(&r.Spec)
			}
		}
	}
}

func (l *Ledger) isExpired(now time.Time, r *Record) bool {
	return !r.FinishedAt.IsZero() && now.Sub(r.FinishedAt) >= l.cfg.ResultRetention
}
