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

// model runs three tables against one naive store. Ownership of the partitions
// is exclusive, as package ownership provides it; what runs is kept apart from
// the tables, as the workers know it.
type model struct {
	rng        *rand.Rand
	faults     faults
	now        time.Time
	revision   int64
	records    map[task.Team]Record
	ownership  map[string]int64 // revision of the ownership record
	owner      map[string]int
	log        []Record
	tables     []*Table
	watched    []int
	inFlight   []*transaction
	running    []*running
	revisionOf int64 // of the newest document
	covered    map[string]int
}

type running struct {
	team      task.Team
	partition string
	size      task.Resources
	known     bool // to the present owner
}

// transaction is a Plan on its way. A table that was restarted gets no reply.
type transaction struct {
	table  *Table
	writes []Write
}

var (
	modelTeams      = []task.Team{"a", "b"}
	modelPartitions = []string{"w/r/0", "w/r/1", "w/r/2"}
	writeKinds      = []string{"grant", "return", "settle", "fence"}
	fates           = []string{"reply", "late", "reply lost", "request lost", "no effect"}
	modelLimits     = []task.Resources{{Slots: 6}, {Slots: 10}, {Slots: 16, CPUMilli: 9000}, {CPUMilli: 5000}, {}}
)

func newModel(seed uint64, seeded faults) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 2)), faults: seeded, now: time.Unix(1000, 0), revision: 1,
		records: map[task.Team]Record{}, ownership: map[string]int64{}, owner: map[string]int{},
		watched: make([]int, 3), covered: map[string]int{},
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
	t.faults = m.faults
	return t
}

func (m *model) put(r Record) {
	r.Revision = m.revision
	m.records[r.Team] = r
	m.log = append(m.log, r)
}

// setLimit commits a random limit, as an operator's document does.
func (m *model) setLimit(team task.Team) {
	m.commitLimit(team, modelLimits[m.rng.IntN(len(modelLimits))])
}

func (m *model) commitLimit(team task.Team, limit task.Resources) {
	r := m.records[team]
	r.Team = team
	m.revision++
	m.revisionOf++
	m.put(WithLimit(r, limit, m.revisionOf))
}

// takeOver moves the partition: the former owner has stopped acting for it.
func (m *model) takeOver(partition string, to int) {
	if from, ok := m.owner[partition]; ok {
		m.tables[from].Disown(partition)
	}
	m.revision++
	m.ownership[partition], m.owner[partition] = m.revision, to
	m.tables[to].Own(partition, m.revision)
	for _, r := range m.running {
		if r.partition == partition {
			r.known = false
		}
	}
}

// rebuild lets workers of the partition report; some stay silent.
func (m *model) rebuild(partition string, silent float64) {
	t, complete := m.tables[m.owner[partition]], true
	for _, r := range m.running {
		if r.partition != partition || r.known {
			continue
		}
		if m.rng.Float64() < silent {
			complete = false
			continue
		}
		r.known = true
		t.Count(m.now, r.team, partition, r.size)
	}
	if complete {
		t.Rebuilt(partition)
	}
}

func (m *model) deliver(i int) {
	for _, r := range m.log[m.watched[i]:] {
		m.tables[i].Observe(m.now, r)
	}
	m.watched[i] = len(m.log)
	m.tables[i].ObserveThrough(m.revision)
}

func (m *model) start() {
	m.startOf(modelTeams[m.rng.IntN(2)], m.partition(), task.Resources{Slots: 1 + m.rng.Int64N(2), CPUMilli: 1000})
}

func (m *model) startOf(team task.Team, p string, size task.Resources) {
	if m.tables[m.owner[p]].Acquire(m.now, team, p, size) {
		m.running = append(m.running, &running{team: team, partition: p, size: size, known: true})
	}
}

func (m *model) partition() string { return modelPartitions[m.rng.IntN(len(modelPartitions))] }

func (m *model) finishOne() {
	if len(m.running) == 0 {
		return
	}
	i := m.rng.IntN(len(m.running))
	r := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	if r.known {
		m.tables[m.owner[r.partition]].Return(m.now, r.team, r.partition, r.size)
	}
}

func (m *model) execute(x *transaction) WriteResult {
	result, moved := WriteResult{Outcome: Conflict}, false
	for _, w := range x.writes {
		current := m.records[w.Record.Team]
		if current.Revision != w.Expect {
			result.Current = append(result.Current, current)
		}
		for p, revision := range w.Owners {
			moved = moved || m.ownership[p] != revision
		}
	}
	if moved || len(result.Current) > 0 {
		return result
	}
	m.revision++
	for _, w := range x.writes {
		m.put(w.Record)
	}
	return WriteResult{Outcome: Succeeded, Revision: m.revision}
}

// plan sends a transaction with one of the fates that a store call can have.
func (m *model) plan(i int, unreliable bool) {
	x := &transaction{table: m.tables[i], writes: m.tables[i].Plan(m.now)}
	if len(x.writes) == 0 {
		return
	}
	fate := "reply"
	if unreliable {
		fate = fates[m.rng.IntN(len(fates))]
	}
	for _, w := range x.writes {
		m.covered[m.kindOf(w)+", "+fate]++
	}
	switch fate {
	case "reply":
		x.table.WriteDone(m.now, x.writes, m.execute(x))
	case "late":
		m.inFlight = append(m.inFlight, x)
		x.table.WriteDone(m.now, x.writes, WriteResult{Outcome: Unclear})
	case "reply lost":
		m.execute(x)
		x.table.WriteDone(m.now, x.writes, WriteResult{Outcome: Unclear})
	case "request lost":
		x.table.WriteDone(m.now, x.writes, WriteResult{Outcome: Unclear})
	case "no effect":
		x.table.WriteDone(m.now, x.writes, WriteResult{Outcome: NoEffect})
	}
}

// kindOf names the protocol step that a write takes.
func (m *model) kindOf(w Write) string {
	current, next := m.records[w.Record.Team], w.Record
	switch {
	case current.HasPending && !next.HasPending:
		return "settle"
	case next.sum().Sub(current.sum()).HasNegative():
		return "return"
	case len(w.Owners) == 0:
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

// restart replaces the table of a process; another one takes its partitions.
func (m *model) restart(i int) {
	for _, p := range modelPartitions {
		if m.owner[p] == i {
			m.takeOver(p, (i+1+m.rng.IntN(2))%3)
		}
	}
	m.tables[i], m.watched[i] = m.newTable(), 0
}

func (m *model) step() {
	i := m.rng.IntN(3)
	switch n := m.rng.IntN(100); {
	case n < 20:
		m.now = m.now.Add(time.Duration(m.rng.Int64N(int64(time.Second))))
	case n < 30:
		m.deliver(i)
	case n < 60:
		m.start()
	case n < 72:
		m.finishOne()
	case n < 86:
		m.plan(i, true)
	case n < 89:
		m.executeLate()
	case n < 93:
		m.rebuild(m.partition(), 0.3)
	case n < 95:
		m.takeOver(m.partition(), i)
	case n < 96:
		m.restart(i)
	case n < 97:
		m.tables[i].AskIdle(modelTeams[m.rng.IntN(2)])
	case n < 98:
		m.renewOwnership(m.partition())
	default:
		m.setLimit(modelTeams[m.rng.IntN(2)])
	}
}

// renewOwnership changes the revision of the ownership record, as a new list of
// successors does.
func (m *model) renewOwnership(partition string) {
	m.revision++
	m.ownership[partition] = m.revision
	m.tables[m.owner[partition]].Own(partition, m.revision)
}

// problem compares what runs with the limit in force.
func (m *model) problem() string {
	for _, team := range modelTeams {
		var total task.Resources
		for _, r := range m.running {
			if r.team == team {
				total = total.Add(r.size)
			}
		}
		record := m.records[team]
		if !fitsLimit(total, record.Limit) {
			return fmt.Sprintf("team %s runs %v above the limit %v", team, total, record.Limit)
		}
		if !fitsLimit(record.sum(), record.Limit) {
			return fmt.Sprintf("parts %v of team %s exceed the limit %v", record.Parts, team, record.Limit)
		}
	}
	return ""
}

// run plays steps with faults, then ends all work and checks that everything
// returns within 20 s.
func (m *model) run(steps int) string {
	for n := range steps {
		m.step()
		if problem := m.problem(); problem != "" {
			return fmt.Sprintf("step %d: %s", n, problem)
		}
	}
	for len(m.running) > 0 {
		m.finishOne()
	}
	for len(m.inFlight) > 0 {
		m.executeLate()
	}
	for range 40 {
		m.now = m.now.Add(500 * time.Millisecond)
		for i := range m.tables {
			m.deliver(i)
			m.plan(i, false)
		}
		for _, p := range modelPartitions {
			m.rebuild(p, 0)
		}
	}
	for team, r := range m.records {
		if r.HasPending || !limited(r.sum(), r.Limit).IsZero() {
			return fmt.Sprintf("team %s still holds %v (pending %v) after 20 s without work", team, r.Parts, r.HasPending)
		}
	}
	return ""
}

func modelRuns(normal int) int {
	if n, err := strconv.Atoi(os.Getenv("MULBERRYDRUM_MODEL_RUNS")); err == nil {
		return n
	}
	return normal
}

// TestNeverAboveLimit guards against more running work of a team than its limit
// in force, and against allowance that is never returned.
func TestNeverAboveLimit(t *testing.T) {
	cells := map[string]int{}
	for seed := range modelRuns(500) {
		m := newModel(uint64(seed), faults{})
		if problem := m.run(600); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		for cell, n := range m.covered {
			cells[cell] += n
		}
	}
	for _, kind := range writeKinds {
		for _, fate := range fates {
			if cells[kind+", "+fate] == 0 {
				t.Errorf("not covered: %s, %s", kind, fate)
			}
		}
	}
	t.Logf("fault matrix: %d writes x %d fates = %d cells, %d covered: %v", len(writeKinds), len(fates), len(writeKinds)*len(fates), len(cells), cells)
}
