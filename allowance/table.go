package allowance

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Config holds the intervals of a table.
type Config struct {
	Idle     time.Duration // unused for this long, an allowance is returned
	Interval time.Duration // between two transactions of one process
}

// DefaultConfig returns the defaults of the design page.
func DefaultConfig() Config {
	return Config{Idle: 5 * time.Second, Interval: time.Second}
}

// Table holds the allowances of the worker partitions that one process owns. It
// is not safe for concurrent use. Times are readings of the monotonic clock.
type Table struct {
	cfg    Config
	faults faults

	teams      map[task.Team]*team
	order      []*team // by name; where Plan starts moves on
	first      int
	partitions map[string]*partition
	owned      []string // names of partitions, sorted
	seen       int64    // every change up to this store revision has been observed

	inFlight   bool // a transaction has not been reported with WriteDone
	nextPlan   time.Time
	batchLimit int // teams in the next transaction
}

// partition is one worker partition that this process owns.
type partition struct {
	since   int64 // revision of the ownership record when it was gained
	guard   int64 // latest revision of that record
	rebuilt bool  // the running tasks of all workers are known
}

// team is what is known of one team.
type team struct {
	name       task.Team
	record     Record
	loaded     bool // the record was observed, or its absence
	observedAt time.Time
	use        map[string]*use // by owned partition

	limit         task.Resources // as the newest document states it
	limitRevision int64
	limitSetAt    time.Time

	floor       map[string]task.Resources // least amounts that unresolved writes leave
	floorExpect int64                     // revision that these writes compare with
	unclear     bool                      // one of them may take effect later
	askedIdle   bool                      // another owner lacks allowance
	starving    bool                      // this owner lacks allowance and nothing is free
}

// faults disables single safety rules. Only tests set it.
type faults struct {
	useUnconfirmed bool // use a grant before its write has a definite success
	keepReturned   bool // use what an unresolved write may have returned
	noOwnerGuard   bool // write without comparing the ownership records
	staleRecord    bool // use a record older than the ownership
	skipRebuild    bool // treat tasks of silent workers as ended
	untracked      bool // keep no amounts of resources without a limit
}

// maxBatch bounds the teams in one transaction, which keeps it below the limit
// of operations that the store accepts.
const maxBatch = 100

// New returns a table that owns nothing.
func New(cfg Config) *Table {
	return &Table{
		cfg:        cfg,
		teams:      make(map[task.Team]*team),
		partitions: make(map[string]*partition),
		batchLimit: maxBatch,
	}
}

func (t *Table) team(name task.Team) *team {
	if tm, ok := t.teams[name]; ok {
		return tm
	}
	tm := &team{name: name, use: make(map[string]*use)}
	t.teams[name] = tm
	t.order = append(t.order, tm)
	slices.SortFunc(t.order, func(a, b *team) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return tm
}

// Observe takes a record as read from the store. A record that is not newer
// than the known one is ignored.
func (t *Table) Observe(now time.Time, r Record) {
	tm := t.team(r.Team)
	if r.Revision <= tm.record.Revision {
		return
	}
	tm.record, tm.loaded, tm.observedAt = r, true, now
	if r.Revision > tm.floorExpect {
		tm.floor, tm.unclear = nil, false
	}
}

// ObserveThrough states that every change of the store up to the revision has
// been passed to Observe. It follows a complete list or a watch batch.
func (t *Table) ObserveThrough(revision int64) { t.seen = max(t.seen, revision) }

// SetLimit takes the limit of a team as the document of the given revision
// states it. The operator's commit of a document normally writes the allowance
// record too (see WithLimit); Plan writes it if that did not happen.
func (t *Table) SetLimit(now time.Time, name task.Team, limit task.Resources, revision int64) {
	tm := t.team(name)
	if revision <= tm.limitRevision {
		return
	}
	tm.limit, tm.limitRevision, tm.limitSetAt = limit, revision, now
}

// Own states that this process owns the partition, by an ownership record of
// the given revision. A later call with a new revision of the same ownership
// updates the revision that writes are compared with.
func (t *Table) Own(name string, revision int64) {
	if p, ok := t.partitions[name]; ok {
		p.guard = max(p.guard, revision)
		return
	}
	t.partitions[name] = &partition{since: revision, guard: revision}
	t.owned = append(t.owned, name)
	slices.Sort(t.owned)
}

// Rebuilt states that every worker of the partition has reported its tasks
// since the partition was gained, or that the leases of its tasks have ended.
// Until then the whole allowance that the partition had counts as in use.
func (t *Table) Rebuilt(name string) {
	if p := t.partitions[name]; p != nil {
		p.rebuilt = true
	}
}

// Disown states that this process does not own the partition any more.
func (t *Table) Disown(name string) {
	delete(t.partitions, name)
	t.owned = slices.DeleteFunc(t.owned, func(o string) bool { return o == name })
	for _, tm := range t.teams {
		delete(tm.use, name)
	}
}

// isUsable reports whether the records are at least as new as the ownership. An
// older record may show an allowance that the former owner has returned.
func (t *Table) isUsable(p *partition) bool {
	return p != nil && (t.seen >= p.since || t.faults.staleRecord)
}

// Acquire takes size from the partition's allowance for one start. On refusal
// it notes the size as wanted, for the next Plan.
func (t *Table) Acquire(now time.Time, name task.Team, partition string, size task.Resources) bool {
	tm, p := t.team(name), t.partitions[partition]
	if !t.isUsable(p) || !tm.loaded {
		return false
	}
	if tm.record.HasPending {
		return false
	}
	u := t.useOf(now, tm, partition)
	compared := size
	if t.faults.untracked {
		compared = limited(size, tm.record.Limit)
	}
	if !compared.Fits(t.available(tm, partition, p, u)) {
		u.want(now, size)
		return false
	}
	u.add(now, size, t.cfg.Idle)
	return true
}

// Want notes how much the tasks of the team that wait at the partition need in
// total, so that one transaction covers them.
func (t *Table) Want(now time.Time, name task.Team, partition string, total task.Resources) {
	if t.partitions[partition] == nil {
		return
	}
	u := t.useOf(now, t.team(name), partition)
	u.wanted, u.wantedAt = total, now
}

// Count takes size for a task that was found running. It is never refused.
func (t *Table) Count(now time.Time, name task.Team, partition string, size task.Resources) {
	if t.partitions[partition] == nil {
		return
	}
	u := t.useOf(now, t.team(name), partition)
	u.counted = u.counted.Add(size)
	u.add(now, size, t.cfg.Idle)
}

// Return gives back the size of a task that has ended and that Acquire or Count
// took.
func (t *Table) Return(now time.Time, name task.Team, partition string, size task.Resources) {
	if t.partitions[partition] == nil {
		return
	}
	t.useOf(now, t.team(name), partition).add(now, size.Scale(-1), t.cfg.Idle)
}

// AskIdle notes that another owner lacks allowance of the team; idle amounts
// are returned by the next Plan.
func (t *Table) AskIdle(name task.Team) { t.team(name).askedIdle = true }

// Starving lists the teams for which this owner lacks allowance while nothing
// is free, for the digest to the other owners.
func (t *Table) Starving() []task.Team {
	var names []task.Team
	for _, tm := range t.order {
		if tm.starving {
			names = append(names, tm.name)
		}
	}
	return names
}

// InUse returns the amount that counts as running at the partition.
func (t *Table) InUse(now time.Time, name task.Team, partition string) task.Resources {
	p := t.partitions[partition]
	if p == nil {
		return task.Resources{}
	}
	tm := t.team(name)
	return t.used(p, t.useOf(now, tm, partition))
}

// Record returns the newest known record of the team.
func (t *Table) Record(name task.Team) (Record, bool) {
	tm, ok := t.teams[name]
	if !ok || !tm.loaded {
		return Record{}, false
	}
	return tm.record, true
}

// held returns the amount that the partition surely holds: the least of the
// known record and of every write that may have replaced it.
func (t *Table) held(tm *team, partition string) task.Resources {
	amount := tm.record.Parts[partition]
	if tm.floor == nil || t.faults.keepReturned {
		return amount
	}
	return amount.Min(tm.floor[partition])
}

func (t *Table) used(p *partition, u *use) task.Resources {
	if p.rebuilt || t.faults.skipRebuild {
		return u.net
	}
	return u.net.Add(positive(u.base.Sub(u.counted)))
}

func (t *Table) available(tm *team, name string, p *partition, u *use) task.Resources {
	amount := t.held(tm, name)
	if t.faults.useUnconfirmed && tm.floor != nil {
		amount = amount.Max(tm.floor[name])
	}
	free := amount.Sub(t.used(p, u))
	return free
}
