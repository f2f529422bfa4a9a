package allowance

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Config configures a Table.
type Config struct {
	IdleTimeout      time.Duration // how long an allowance must be unused before it is returned
	MinWriteInterval time.Duration // minimum time between two transactions of one process
}

// DefaultConfig returns the default configuration, as specified in the design
// documentation.
func DefaultConfig() Config {
	return Config{IdleTimeout: 5 * time.Second, MinWriteInterval: time.Second}
}

// Table holds the allowances of the worker partitions that one process owns. It is not
// safe for concurrent use. Times are readings of the monotonic clock.
type Table struct {
	cfg          Config
	seededFaults seededFaults

	teams            map[task.Team]*teamState
	sortedTeams      []*teamState // by name
	nextTeam         int          // index in sortedTeams at which the next Plan starts
	partitions       map[string]*partition
	owned            []string // names of partitions, sorted
	observedRevision int64    // every change up to this store revision has been observed

	inFlight   bool // WriteDone has not been called for the last transaction yet
	nextPlan   time.Time
	batchLimit int // maximum number of teams in the next transaction
}

// partition is one worker partition that this process owns.
type partition struct {
	gainedRevision    int64 // revision of the ownership record when ownership was gained
	ownershipRevision int64 // latest revision of that record
	rebuilt           bool  // the running tasks of all workers are known
}

// teamState is the state of one team.
type teamState struct {
	name             task.Team
	record           Record
	loaded           bool              // the record has been observed
	observedAt       time.Time         // when the record was observed
	usageByPartition map[string]*usage // by owned partition

	limit         task.Resources // of the newest document
	limitRevision int64
	limitSetAt    time.Time

	floor                 map[string]task.Resources // minimum amounts over the writes that may take effect; nil without such a write
	floorExpectedRevision int64                     // expected revision of these writes
	floorIndeterminate    bool                      // one of these writes may still take effect later
	idleRequested         bool                      // another partition, of this or another owner, lacks allowance
	starved               bool                      // this owner lacks allowance and the free amount is too small
}

// seededFaults disables individual safety rules. Only tests set it, to show that their
// checks detect the absence of each rule.
type seededFaults struct {
	useUnconfirmed       bool // use a grant before its write is known to have succeeded
	useReturned          bool // use allowance that an unresolved write may have returned
	skipOwnershipCompare bool // write without comparing the ownership records
	useStaleRecord       bool // use a record that is older than the ownership
	skipRebuild          bool // treat the tasks of workers without a report as ended
	ignoreUnlimited      bool // do not track resources without a limit
}

// maxBatch is the maximum number of teams in one transaction. It keeps the transaction
// within the store's limit on operations per transaction.
const maxBatch = 100

// New returns a table without partitions.
func New(cfg Config) *Table {
	return &Table{
		cfg:        cfg,
		teams:      make(map[task.Team]*teamState),
		partitions: make(map[string]*partition),
		batchLimit: maxBatch,
	}
}

func (t *Table) getOrCreateTeam(name task.Team) *teamState {
	if team, ok := t.teams[name]; ok {
		return team
	}
	team := &teamState{name: name, usageByPartition: make(map[string]*usage)}
	t.teams[name] = team
	t.sortedTeams = append(t.sortedTeams, team)
	slices.SortFunc(t.sortedTeams, func(a, b *teamState) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return team
}

// Observe applies a record that was read from the store. It ignores a record that is
// not newer than the known one.
func (t *Table) Observe(now time.Time, r Record) {
	team := t.getOrCreateTeam(r.Team)
	if r.Revision <= team.record.Revision {
		return
	}
	team.record, team.loaded, team.observedAt = r, true, now
	if r.Revision > team.floorExpectedRevision {
		team.floor, team.floorIndeterminate = nil, false
	}
}

// ObserveThrough records that every change in the store up to the revision has been
// passed to Observe. It must be called after a complete list or a watch batch.
func (t *Table) ObserveThrough(revision int64) {
	t.observedRevision = max(t.observedRevision, revision)
}

// SetLimit applies the limit that the document of the given revision sets for a team.
// The transaction that commits a document normally also writes the allowance record
// (see WithLimit). If it did not, Plan writes the record.
func (t *Table) SetLimit(now time.Time, name task.Team, limit task.Resources, revision int64) {
	team := t.getOrCreateTeam(name)
	if revision <= team.limitRevision {
		return
	}
	team.limit, team.limitRevision, team.limitSetAt = limit, revision, now
}

// AddPartition records that this process owns the partition, with an ownership record of
// the given revision. A later call for the same ownership updates the revision that writes
// compare.
func (t *Table) AddPartition(name string, revision int64) {
	if p, ok := t.partitions[name]; ok {
		p.ownershipRevision = max(p.ownershipRevision, revision)
		return
	}
	t.partitions[name] = &partition{gainedRevision: revision, ownershipRevision: revision}
	t.owned = append(t.owned, name)
	slices.Sort(t.owned)
}

// MarkRebuilt records that, since the partition was gained, each of its workers has
// reported its tasks or the leases of the worker's tasks have expired. Until then, the
// whole allowance that the partition held counts as in use.
func (t *Table) MarkRebuilt(name string) {
	if p := t.partitions[name]; p != nil {
		p.rebuilt = true
	}
}

// RemovePartition records that this process no longer owns the partition.
func (t *Table) RemovePartition(name string) {
	delete(t.partitions, name)
	t.owned = slices.DeleteFunc(t.owned, func(o string) bool { return o == name })
	for _, team := range t.teams {
		delete(team.usageByPartition, name)
	}
}

// isUsable reports whether this process owns the partition and the records are at least
// as new as the ownership. An older record may include an allowance that the former
// owner has returned.
func (t *Table) isUsable(p *partition) bool {
	return p != nil && (t.observedRevision >= p.gainedRevision || t.seededFaults.useStaleRecord)
}

// Acquire takes the size of one task from the partition's allowance, before the task
// starts. If the available allowance is too small, Acquire returns false and records the
// demand for the next Plan. It also returns false if the partition is not owned, if the
// team's record has not been observed, if the records are older than the ownership, or if
// a lower limit is pending.
func (t *Table) Acquire(now time.Time, name task.Team, partition string, size task.Resources) bool {
	team, p := t.getOrCreateTeam(name), t.partitions[partition]
	if !t.isUsable(p) || !team.loaded {
		return false
	}
	if team.record.HasPending {
		return false
	}
	u := t.getOrCreateUsage(now, team, partition)
	compared := size
	if t.seededFaults.ignoreUnlimited {
		compared = onlyLimited(size, team.record.Limit)
	}
	if !compared.Fits(t.available(team, partition, p, u)) {
		u.recordDemand(now, size)
		return false
	}
	u.add(now, size, t.cfg.IdleTimeout)
	return true
}

// SetDemand records the total demand of the team's tasks that wait at the partition, so
// that one transaction covers all of them.
func (t *Table) SetDemand(now time.Time, name task.Team, partition string, total task.Resources) {
	if t.partitions[partition] == nil {
		return
	}
	u := t.getOrCreateUsage(now, t.getOrCreateTeam(name), partition)
	u.totalDemand, u.totalDemandAt = total, now
}

// AddRunning adds the size of a task that was found running, even if the amount in use
// then exceeds the allowance.
func (t *Table) AddRunning(now time.Time, name task.Team, partition string, size task.Resources) {
	if t.partitions[partition] == nil {
		return
	}
	u := t.getOrCreateUsage(now, t.getOrCreateTeam(name), partition)
	u.foundRunning = u.foundRunning.Add(size)
	u.add(now, size, t.cfg.IdleTimeout)
}

// Release releases the size that Acquire or AddRunning counted for a task that has ended.
func (t *Table) Release(now time.Time, name task.Team, partition string, size task.Resources) {
	if t.partitions[partition] == nil {
		return
	}
	t.getOrCreateUsage(now, t.getOrCreateTeam(name), partition).add(now, size.Scale(-1), t.cfg.IdleTimeout)
}

// RequestIdleReturn records that another owner lacks allowance of the team. The next Plan
// returns idle allowance to the free amount.
func (t *Table) RequestIdleReturn(name task.Team) { t.getOrCreateTeam(name).idleRequested = true }

// StarvedTeams returns the teams for which this owner lacks allowance and the free amount
// is too small. The digest reports them to the other owners.
func (t *Table) StarvedTeams() []task.Team {
	var names []task.Team
	for _, team := range t.sortedTeams {
		if team.starved {
			names = append(names, team.name)
		}
	}
	return names
}

// InUse returns the amount of the team that counts as in use at the partition.
func (t *Table) InUse(now time.Time, name task.Team, partition string) task.Resources {
	p := t.partitions[partition]
	if p == nil {
		return task.Resources{}
	}
	team := t.getOrCreateTeam(name)
	return t.used(p, t.getOrCreateUsage(now, team, partition))
}

// Record returns the newest known record of the team.
func (t *Table) Record(name task.Team) (Record, bool) {
	team, ok := t.teams[name]
	if !ok || !team.loaded {
		return Record{}, false
	}
	return team.record, true
}

// held returns the amount that the partition certainly holds: the minimum over the known
// record and every write that may have replaced it.
func (t *Table) held(team *teamState, partition string) task.Resources {
	amount := team.record.Allowances[partition]
	if team.floor == nil || t.seededFaults.useReturned {
		return amount
	}
	return amount.Min(team.floor[partition])
}

// used returns the amount that counts as in use. Until the partition is rebuilt, it includes
// the part of allowanceAtGain that the tasks found running do not account for.
func (t *Table) used(p *partition, u *usage) task.Resources {
	if p.rebuilt || t.seededFaults.skipRebuild {
		return u.inUse
	}
	return u.inUse.Add(nonNegative(u.allowanceAtGain.Sub(u.foundRunning)))
}

// available returns the allowance that can be acquired. An amount is negative if more is in
// use than the partition holds.
func (t *Table) available(team *teamState, name string, p *partition, u *usage) task.Resources {
	amount := t.held(team, name)
	if t.seededFaults.useUnconfirmed && team.floor != nil {
		amount = amount.Max(team.floor[name])
	}
	free := amount.Sub(t.used(p, u))
	return free
}
