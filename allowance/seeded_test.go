package allowance

import (
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Races between the return of an idle allowance and its further use.
const (
	lateReturn   = "late"   // the return takes effect after the next owner has read the record
	unseenReturn = "unseen" // the next owner's watch has not delivered the return yet
	lostReply    = "reply"  // the owner does not change, but the reply is lost
)

// returnIdle makes the owner of a partition return idle allowance, tries to use the whole
// former allowance, and then makes another partition acquire the free amount. It describes
// a violation, or returns "".
func (m *model) returnIdle(race string) string {
	from, other, next := modelPartitions[0], modelPartitions[2], 1
	if race == lostReply {
		next = 0
	}
	slot := task.Resources{Slots: 1}
	m.commitLimit("a", task.Resources{Slots: 8})
	m.takeOver(other, 2)
	m.tables[0].MarkRebuilt(from)
	m.tables[2].MarkRebuilt(other)
	m.deliver(0)
	m.fillPartition(from)
	m.deliver(1)
	for len(m.runningTasks) > 3 {
		m.finishRandomTask()
	}
	m.tables[0].RequestIdleReturn("a")
	m.now = m.now.Add(4 * time.Second)
	returned := &transaction{table: m.tables[0], writes: m.tables[0].Plan(m.now)}
	if race != lateReturn {
		m.execute(returned)
	}
	m.tables[0].WriteDone(m.now, returned.writes, WriteResult{Outcome: Unclear})
	if next != 0 {
		m.takeOver(from, next)
	}
	if race == lateReturn {
		m.deliver(next)
	}
	m.rebuild(from, 0)
	for range 10 {
		m.startTask("a", from, slot)
	}
	if race == lateReturn {
		m.execute(returned)
	}
	m.deliver(2)
	m.fillPartition(other)
	return m.violation()
}

// fillPartition starts tasks of team a at the partition until it gets no more allowance.
func (m *model) fillPartition(partition string) {
	for range 40 {
		m.now = m.now.Add(time.Second)
		m.startTask("a", partition, task.Resources{Slots: 1})
		m.planAndCommit(m.owner[partition], false)
	}
}

// TestReturnedAllowanceIsNotUsed guards against an allowance that is returned and still
// used by its former holder or by the next owner of the partition.
func TestReturnedAllowanceIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		rule   string
		seeded seededFaults
		race   string
	}{
		{"writes compare the ownership records", seededFaults{skipOwnershipCompare: true}, lateReturn},
		{"records must be as new as the ownership", seededFaults{useStaleRecord: true}, unseenReturn},
		{"allowance that may have been returned is not used", seededFaults{useReturned: true}, lostReply},
	} {
		if problem := newModel(1, seededFaults{}).returnIdle(c.race); problem != "" {
			t.Errorf("with the rule %q: %s", c.rule, problem)
		}
		problem := newModel(1, c.seeded).returnIdle(c.race)
		if !strings.Contains(problem, "above the limit") {
			t.Errorf("no violation without the rule %q: %s", c.rule, problem)
		}
		t.Logf("without the rule %q: %s", c.rule, problem)
	}
}

// TestCheckerFindsSeededFaults guards against model checks that do not detect the absence
// of a safety rule.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for name, seeded := range map[string]seededFaults{
		"a grant counts only after a definite success": {useUnconfirmed: true},
		"tasks of silent workers count as running":     {skipRebuild: true},
		"resources without a limit are always counted": {ignoreUnlimited: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(1000) {
				if problem := newModel(seed, seeded).run(600); strings.Contains(problem, "above the limit") {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
