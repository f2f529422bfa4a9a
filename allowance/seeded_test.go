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
	unclearReply = "reply"  // the owner does not change, but the reply is lost
)

// returnIdle makes the owner of a partition return idle allowance, tries to use the
// whole former allowance, and then makes another partition take the free amount.
func (m *model) returnIdle(how string) string {
	from, other, next := modelPartitions[0], modelPartitions[2], 1
	if how == unclearReply {
		next = 0
	}
	slot := task.Resources{Slots: 1}
	m.commitLimit("a", task.Resources{Slots: 8})
	m.takeOver(other, 2)
	m.tables[0].Rebuilt(from)
	m.tables[2].Rebuilt(other)
	m.deliver(0)
	m.fillPartition(from)
	m.deliver(1)
	for len(m.runningTasks) > 3 {
		m.finishOne()
	}
	m.tables[0].AskIdle("a")
	m.now = m.now.Add(4 * time.Second)
	returned := &transaction{table: m.tables[0], writes: m.tables[0].Plan(m.now)}
	if how != lateReturn {
		m.execute(returned)
	}
	m.tables[0].WriteDone(m.now, returned.writes, WriteResult{Outcome: Unclear})
	if next != 0 {
		m.takeOver(from, next)
	}
	if how == lateReturn {
		m.deliver(next)
	}
	m.rebuild(from, 0)
	for range 10 {
		m.startTask("a", from, slot)
	}
	if how == lateReturn {
		m.execute(returned)
	}
	m.deliver(2)
	m.fillPartition(other)
	return m.violation()
}

// fillPartition starts as many tasks of team a at the partition as it gets allowance for.
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
		how    string
	}{
		{"writes compare the ownership records", seededFaults{noOwnerGuard: true}, lateReturn},
		{"records must be as new as the ownership", seededFaults{staleRecord: true}, unseenReturn},
		{"what may have been returned is not used", seededFaults{useReturned: true}, unclearReply},
	} {
		if problem := newModel(1, seededFaults{}).returnIdle(c.how); problem != "" {
			t.Errorf("with the rule %q: %s", c.rule, problem)
		}
		problem := newModel(1, c.seeded).returnIdle(c.how)
		if !strings.Contains(problem, "above the limit") {
			t.Errorf("no violation without the rule %q: %s", c.rule, problem)
		}
		t.Logf("without the rule %q: %s", c.rule, problem)
	}
}

// TestCheckerFindsSeededFaults guards against a checker that does not detect the absence
// of a safety rule.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for name, seeded := range map[string]seededFaults{
		"a grant counts only after a definite success":    {useUnconfirmed: true},
		"tasks of silent workers count as running":        {skipRebuild: true},
		"resources without a limit are counted all along": {ignoreUnlimited: true},
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
