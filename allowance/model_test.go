package allowance

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// model simulates three processes, each with a table, and one minimal store. Ownership of
// the partitions is exclusive, as package ownership guarantees. Like the workers, the model
// tracks the running tasks independently of the tables.
type model struct {
	rng              *rand.Rand
	seededFaults     seededFaults
	now              time.Time
	revision         int64
	records          map[task.Team]Record
	ownership        map[string]int64 // revision of the ownership record
	owner            map[string]int   // index of the owner's table
	log              []Record         // every write of a record, in order
	tables           []*Table
	deliveredRecords []int          // by table: number of records of log that were delivered
	inFlight         []*transaction // indeterminate transactions that may still take effect
	runningTasks     []*runningTask
	documentRevision int64          // of the newest document
	coverage         map[string]int // number of writes by kind and outcome
}

type runningTask struct {
	team      task.Team
	partition string
	size      task.Resources
	reported  bool // to the current owner
}

// transaction is the result of one call of Plan, sent to the store. A transaction that is
// executed late sends no reply to its table.
type transaction struct {
	table  *Table
	writes []Write
}

var (
	modelTeams      = []task.Team{"a", "b"}
	modelPartitions = []string{"w/r/0", "w/r/1", "w/r/2"}
	writeKinds      = []string{"grant", "return", "settle", "fence"}
	writeOutcomes   = []string{"reply", "late", "reply lost", "request lost", "no effect"}
	modelLimits     = []task.Resources{{Slots: 6}, {Slots: 10}, {Slots: 16, CPUMilli: 9000}, {CPUMilli: 5000}, {}}
)

func newModel(seed uint64, seeded seededFaults) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 2)), seededFaults: seeded, now: time.Unix(1000, 0), revision: 1,
		records: map[task.Team]Record{}, ownership: map[string]int64{}, owner: map[string]int{},
		deliveredRecords: make([]int, 3), coverage: map[string]int{},
	}
	for range 3 {
		m.tables = append(m.tables, m.newTable())
	}
	for _, team := range modelTeams {
		m.setLimit(team)
	}
	for i, p := range modelPartitions {
		m.takeOver(p, i)
	}
	return m
}

func (m *model) newTable() *Table {
	t := New(DefaultConfig())
	t.seededFaults = m.seededFaults
	return t
}

func (m *model) putRecord(r Record) {
	r.Revision = m.revision
	m.records[r.Team] = r
	m.log = append(m.log, r)
}

// setLimit commits a random limit, as the commit of an operator's document does.
func (m *model) setLimit(team task.Team) {
	m.commitLimit(team, modelLimits[m.rng.IntN(len(modelLimits))])
}

func (m *model) commitLimit(team task.Team, limit task.Resources) {
	r := m.records[team]
	r.Team = team
	m.revision++
	m.documentRevision++
	m.putRecord(WithLimit(r, limit, m.documentRevision))
}

// takeOver moves the partition to another process. The former owner removes it first.
func (m *model) takeOver(partition string, to int) {
	if from, ok := m.owner[partition]; ok {
		m.tables[from].RemovePartition(partition)
	}
	m.revision++
	m.ownership[partition], m.owner[partition] = m.revision, to
	m.tables[to].AddPartition(partition, m.revision)
	for _, r := range m.runningTasks {
		if r.partition == partition {
			r.reported = false
		}
	}
}

// rebuild reports the running tasks of the partition to its owner. Each task is omitted
// with the given probability, and the rebuild is then incomplete.
func (m *model) rebuild(partition string, omitProbability float64) {
	t, complete := m.tables[m.owner[partition]], true
	for _, r := range m.runningTasks {
		if r.partition != partition || r.reported {
			continue
		}
		if m.rng.Float64() < omitProbability {
			complete = false
			continue
		}
		r.reported = true
		t.AddRunning(m.now, r.team, partition, r.size)
	}
	if complete {
		t.MarkRebuilt(partition)
	}
}

// deliver passes the undelivered records to a table, as a watch does.
func (m *model) deliver(i int) {
	for _, r := range m.log[m.deliveredRecords[i]:] {
		m.tables[i].Observe(m.now, r)
	}
	m.deliveredRecords[i] = len(m.log)
	m.tables[i].ObserveThrough(m.revision)
}

func (m *model) startRandomTask() {
	m.startTask(modelTeams[m.rng.IntN(2)], m.randomPartition(), task.Resources{Slots: 1 + m.rng.Int64N(2), CPUMilli: 1000})
}

func (m *model) startTask(team task.Team, p string, size task.Resources) {
	if m.tables[m.owner[p]].Acquire(m.now, team, p, size) {
		m.runningTasks = append(m.runningTasks, &runningTask{team: team, partition: p, size: size, reported: true})
	}
}

func (m *model) randomPartition() string { return modelPartitions[m.rng.IntN(len(modelPartitions))] }

func (m *model) finishRandomTask() {
	if len(m.runningTasks) == 0 {
		return
	}
	i := m.rng.IntN(len(m.runningTasks))
	r := m.runningTasks[i]
	m.runningTasks = slices.Delete(m.runningTasks, i, i+1)
	if r.reported {
		m.tables[m.owner[r.partition]].Release(m.now, r.team, r.partition, r.size)
	}
}

// execute runs a transaction at the store.
func (m *model) execute(txn *transaction) WriteResult {
	result, ownershipChanged := WriteResult{Outcome: Conflict}, false
	for _, w := range txn.writes {
		current := m.records[w.Record.Team]
		if current.Revision != w.ExpectedRevision {
			result.Current = append(result.Current, current)
		}
		for p, revision := range w.OwnershipRevisions {
			ownershipChanged = ownershipChanged || m.ownership[p] != revision
		}
	}
	if ownershipChanged || len(result.Current) > 0 {
		return result
	}
	m.revision++
	for _, w := range txn.writes {
		m.putRecord(w.Record)
	}
	return WriteResult{Outcome: Succeeded, Revision: m.revision}
}

// planAndCommit executes Plan and ends its transaction with one of the outcomes that a
// store call can have.
func (m *model) planAndCommit(i int, unreliable bool) {
	txn := &transaction{table: m.tables[i], writes: m.tables[i].Plan(m.now)}
	if len(txn.writes) == 0 {
		return
	}
	outcome := "reply"
	if unreliable {
		outcome = writeOutcomes[m.rng.IntN(len(writeOutcomes))]
	}
	for _, w := range txn.writes {
		m.coverage[m.kindOf(w)+", "+outcome]++
	}
	switch outcome {
	case "reply":
		txn.table.WriteDone(m.now, txn.writes, m.execute(txn))
	case "late":
		m.inFlight = append(m.inFlight, txn)
		txn.table.WriteDone(m.now, txn.writes, WriteResult{Outcome: Unclear})
	case "reply lost":
		m.execute(txn)
		txn.table.WriteDone(m.now, txn.writes, WriteResult{Outcome: Unclear})
	case "request lost":
		txn.table.WriteDone(m.now, txn.writes, WriteResult{Outcome: Unclear})
	case "no effect":
		txn.table.WriteDone(m.now, txn.writes, WriteResult{Outcome: NoEffect})
	}
}

// kindOf returns the protocol step that a write performs: "settle" puts a pending limit in
// force, and "fence" changes no allowance and only makes earlier writes fail.
func (m *model) kindOf(w Write) string {
	current, next := m.records[w.Record.Team], w.Record
	switch {
	case current.HasPending && !next.HasPending:
		return "settle"
	case next.sum().Sub(current.sum()).HasNegative():
		return "return"
	case len(w.OwnershipRevisions) == 0:
		return "fence"
	}
	return "grant"
}

func (m *model) executeLate() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.rng.IntN(len(m.inFlight))
	m.execute(m.inFlight[i])
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
}

// restart replaces the table of a process. Another process takes its partitions over.
func (m *model) restart(i int) {
	for _, p := range modelPartitions {
		if m.owner[p] == i {
			m.takeOver(p, (i+1+m.rng.IntN(2))%3)
		}
	}
	m.tables[i], m.deliveredRecords[i] = m.newTable(), 0
}

func (m *model) randomStep() {
	i := m.rng.IntN(3)
	switch n := m.rng.IntN(100); {
	case n < 20:
		m.now = m.now.Add(time.Duration(m.rng.Int64N(int64(time.Second))))
	case n < 30:
		m.deliver(i)
	case n < 60:
		m.startRandomTask()
	case n < 72:
		m.finishRandomTask()
	case n < 86:
		m.planAndCommit(i, true)
	case n < 89:
		m.executeLate()
	case n < 93:
		m.rebuild(m.randomPartition(), 0.3)
	case n < 95:
		m.takeOver(m.randomPartition(), i)
	case n < 96:
		m.restart(i)
	case n < 97:
		m.tables[i].RequestIdleReturn(modelTeams[m.rng.IntN(2)])
	case n < 98:
		m.renewOwnership(m.randomPartition())
	default:
		m.setLimit(modelTeams[m.rng.IntN(2)])
	}
}

// renewOwnership changes the revision of the ownership record, as a new list of
// successors does.
func (m *model) renewOwnership(partition string) {
	m.revision++
	m.ownership[partition] = m.revision
	m.tables[m.owner[partition]].AddPartition(partition, m.revision)
}

// violation describes a violation of a limit in force by the running tasks or the
// allowances. It returns "" if there is none.
func (m *model) violation() string {
	for _, team := range modelTeams {
		var total task.Resources
		for _, r := range m.runningTasks {
			if r.team == team {
				total = total.Add(r.size)
			}
		}
		record := m.records[team]
		if !fitsLimit(total, record.Limit) {
			return fmt.Sprintf("team %s runs %v above the limit %v", team, total, record.Limit)
		}
		if !fitsLimit(record.sum(), record.Limit) {
			return fmt.Sprintf("allowances %v of team %s exceed the limit %v", record.Allowances, team, record.Limit)
		}
	}
	return ""
}

// run executes random steps with faults, then ends all tasks and checks that all allowance
// is returned within 20 s. It describes a violation, or returns "".
func (m *model) run(steps int) string {
	for n := range steps {
		m.randomStep()
		if problem := m.violation(); problem != "" {
			return fmt.Sprintf("step %d: %s", n, problem)
		}
	}
	for len(m.runningTasks) > 0 {
		m.finishRandomTask()
	}
	for len(m.inFlight) > 0 {
		m.executeLate()
	}
	for range 40 {
		m.now = m.now.Add(500 * time.Millisecond)
		for i := range m.tables {
			m.deliver(i)
			m.planAndCommit(i, false)
		}
		for _, p := range modelPartitions {
			m.rebuild(p, 0)
		}
	}
	for team, r := range m.records {
		if r.HasPending || !onlyLimited(r.sum(), r.Limit).IsZero() {
			return fmt.Sprintf("team %s still holds %v (pending %v) after 20 s without work", team, r.Allowances, r.HasPending)
		}
	}
	return ""
}

// modelRuns returns the number of runs. MULBERRYDRUM_MODEL_RUNS overrides it for longer
// tests.
func modelRuns(defaultRuns int) int {
	if n, err := strconv.Atoi(os.Getenv("MULBERRYDRUM_MODEL_RUNS")); err == nil {
		return n
	}
	return defaultRuns
}

// TestNeverAboveLimit guards against a team whose running tasks exceed its limit in
// force, and against idle allowance that is never returned.
func TestNeverAboveLimit(t *testing.T) {
	coverage := map[string]int{}
	for seed := range modelRuns(500) {
		m := newModel(uint64(seed), seededFaults{})
		if problem := m.run(600); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		for combination, n := range m.coverage {
			coverage[combination] += n
		}
	}
	for _, kind := range writeKinds {
		for _, outcome := range writeOutcomes {
			if coverage[kind+", "+outcome] == 0 {
				t.Errorf("combination of write and outcome not covered: %s, %s", kind, outcome)
			}
		}
	}
	t.Logf("fault matrix: %d writes x %d outcomes = %d combinations, %d covered: %v", len(writeKinds), len(writeOutcomes), len(writeKinds)*len(writeOutcomes), len(coverage), coverage)
}
