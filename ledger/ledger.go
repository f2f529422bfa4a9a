package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Config configures a Ledger.
type Config struct {
	ResultRetention      time.Duration // how long the record of a finished job is kept for repeated submissions
	FlushInterval        time.Duration // minimum time between two group commits
	MaxShardBytes        int           // maximum size of a shard's stored value
	MaxTxnBytes          int           // maximum total size of the values of one commit
	RecordOverhead       int           // size of a record without its payload and its tasks
	MaxInlineResultBytes int           // maximum size of a result that is stored with the record
	MemoryOnlyBytes      int64         // memory of the jobs that are not stored; 0 for no limit
	MaxTasks             int           // maximum number of tasks of one job
}

// DefaultConfig returns the default configuration, as specified in the design
// documentation.
func DefaultConfig() Config {
	return Config{
		ResultRetention:      10 * time.Minute,
		FlushInterval:        20 * time.Millisecond,
		MaxShardBytes:        512 << 10,
		MaxTxnBytes:          768 << 10,
		RecordOverhead:       700,
		MaxInlineResultBytes: 4 << 10,
		MaxTasks:             5000,
	}
}

// Ledger holds the request shards whose home is this process. It is not safe for
// concurrent use; only the control goroutine uses it.
type Ledger struct {
	cfg            Config
	incarnation    string // incarnation ID of this process
	shards         map[string]*shard
	memoryOnly     *memoryOnly
	lastFlush      time.Time
	idCounter      uint64 // source of unique write IDs and task ID salts
	shardsInFlight int    // number of shards whose value is being written
	dirty          bool   // some shard may have changes that are neither stored nor in flight
}

// New returns a ledger without shards. The incarnation of this process makes the IDs of
// its writes and of its memory-only tasks unique.
func New(cfg Config, incarnation string) *Ledger {
	return &Ledger{cfg: cfg, incarnation: incarnation, shards: map[string]*shard{}, memoryOnly: newMemoryOnly(cfg.MemoryOnlyBytes)}
}

// Open adds a shard. The caller must read its value and pass it to ApplyLoaded.
func (l *Ledger) Open(name string, epoch uint64) {
	l.shards[name] = &shard{name: name, epoch: epoch, records: map[JobKey]*Record{}}
}

// Close removes a shard of which this process is no longer the home. It returns the
// steps that were not released and all durable records, so that the waiting callers
// can be notified. Memory-only jobs are kept, because no other process holds their
// records.
func (l *Ledger) Close(name string) (steps []PostCommitStep, records []*Record) {
	s, ok := l.shards[name]
	if !ok {
		return nil, nil
	}
	delete(l.shards, name)
	if s.inFlight != nil {
		l.shardsInFlight--
	}
	for _, p := range s.steps {
		steps = append(steps, p.step)
	}
	for _, r := range s.records {
		records = append(records, r)
	}
	return steps, records
}

// ApplyLoaded sets the stored value of a shard. The shard becomes active after its first
// write, which fences the former home: every later write of the former home fails its
// compare.
func (l *Ledger) ApplyLoaded(name string, value ShardValue, revision int64) {
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

// IsLoading reports whether the shard is held and its value has not been read yet.
func (l *Ledger) IsLoading(name string) bool {
	s, ok := l.shards[name]
	return ok && s.phase == loading
}

// IsActive reports whether this process can serve requests of the shard.
func (l *Ledger) IsActive(name string) bool {
	s, ok := l.shards[name]
	return ok && s.phase == active
}

// Shards returns the sorted names of the held shards.
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

// Find returns the current record of a job, including changes that are not stored yet.
func (l *Ledger) Find(shardName string, key JobKey) (*Record, bool) {
	if r, ok := l.memoryOnly.records[key]; ok {
		return r, true
	}
	s, ok := l.shards[shardName]
	if !ok {
		return nil, false
	}
	r, ok := s.records[key]
	return r, ok
}

// View returns the record of a job as it may be shown to callers: in its stored state,
// because a later change could be lost with this process. The start of a task is shown
// at once, because it is not stored. A durable job that is not in the store yet has no
// view.
func (l *Ledger) View(shardName string, key JobKey) (Record, bool) {
	if r, ok := l.memoryOnly.records[key]; ok {
		return r.Clone(), true
	}
	s, ok := l.shards[shardName]
	if !ok || s.views[key] == nil {
		return Record{}, false
	}
	view := s.views[key].Clone()
	current := s.records[key]
	for i := range view.Tasks {
		t := &view.Tasks[i]
		if current != nil && current.Tasks[i].State == task.Running && t.State == task.Dispatched && t.Attempt == current.Tasks[i].Attempt {
			t.State, t.Worker = task.Running, current.Tasks[i].Worker
		}
	}
	return view, true
}

// OpenMemoryOnlyJobs returns the number of memory-only jobs that are not final.
func (l *Ledger) OpenMemoryOnlyJobs() int {
	open := 0
	for _, r := range l.memoryOnly.records {
		if !r.IsFinal() {
			open++
		}
	}
	return open
}

// Submit records a job, or returns the record of an earlier submission with the same
// idempotency key. The caller must not dispatch a durable job before the given step is
// released.
func (l *Ledger) Submit(now time.Time, shardName string, spec task.Spec, step PostCommitStep) (r *Record, isNew bool, err *errkind.Error) {
	s, ok := l.shards[shardName]
	if !ok || s.phase != active {
		return nil, false, errkind.New(errkind.NoOwner, "shard %s has no active home here", shardName)
	}
	key := KeyOf(&spec)
	if first, found := l.Find(shardName, key); found {
		return l.handleRepeat(s, first, spec, step)
	}
	if spec.Count > l.cfg.MaxTasks {
		return nil, false, errkind.New(errkind.InvalidRequest, "job has %d tasks, more than the maximum of %d", spec.Count, l.cfg.MaxTasks).
			WithField("count", fmt.Sprintf("1 to %d", l.cfg.MaxTasks))
	}
	size := l.sizeOf(&spec)
	if spec.Kind.IsDurable() && s.bytes+size > l.cfg.MaxShardBytes {
		return nil, false, errkind.New(errkind.QueueFull, "request shard %s is full: %d of %d bytes used, %d more requested", shardName, s.bytes, l.cfg.MaxShardBytes, size)
	}
	r = newRecord(spec, fmt.Sprintf("%s.%d", l.incarnation, l.idCounter))
	l.idCounter++
	if !spec.Kind.IsDurable() {
		if err := l.memoryOnly.add(now, r); err != nil {
			return nil, false, err
		}
		return r, true, nil
	}
	s.records[key] = r
	s.bytes += size
	l.dirty = true
	s.sequence++
	s.releaseAfterLatest(step)
	return r, true, nil
}

// handleRepeat handles a submission whose idempotency key was used before. If the shard
// has changes that are not stored yet, a repeated submission of durable work waits for
// their commit, because the first submission may be among them.
func (l *Ledger) handleRepeat(s *shard, first *Record, spec task.Spec, step PostCommitStep) (*Record, bool, *errkind.Error) {
	if first.Spec.PayloadDigest != spec.PayloadDigest {
		return nil, false, errkind.New(errkind.IdempotencyConflict,
			"idempotency key %q was used for another request", spec.IdempotencyKey).WithField("idempotency_key", "one request for each key")
	}
	if first.Spec.Kind.IsDurable() && s.committed < s.sequence {
		s.releaseAfterLatest(step)
		return first, false, nil
	}
	return first, false, nil
}

// HasPending reports whether the shard has changes that are not in the store yet.
func (l *Ledger) HasPending(shardName string) bool {
	s, ok := l.shards[shardName]
	return ok && s.committed < s.sequence
}

// registerChange registers a change to a record. The step is released once the change is
// stored. registerChange reports whether the step must wait; memory-only work never waits.
func (l *Ledger) registerChange(s *shard, r *Record, step PostCommitStep) (waits bool) {
	if !r.Spec.Kind.IsDurable() {
		return false
	}
	l.dirty = true
	s.sequence++
	s.releaseAfterLatest(step)
	return true
}

// sizeOf estimates the stored size of a job's record. The payload is base64-encoded in
// JSON.
func (l *Ledger) sizeOf(spec *task.Spec) int {
	const bytesPerTask = 160
	return len(spec.Payload)*4/3 + l.cfg.RecordOverhead + max(1, spec.Count)*bytesPerTask
}

// Expire deletes the records of jobs that finished longer ago than ResultRetention. The
// deletion does not cause a commit; it is stored with the next commit of the shard.
func (l *Ledger) Expire(now time.Time) {
	for key, r := range l.memoryOnly.records {
		if l.isExpired(now, r) {
			l.memoryOnly.delete(now, key)
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
