package allowance

import (
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// How the return of an idle allowance meets its further use.
const (
	lateReturn   = "late"   // it takes effect after the next owner has read the record
	unseenReturn = "unseen" // the next owner's watch has not shown it yet
	unclearReply = "reply"  // the partition stays, but the reply is lost
)

// returnIdle lets the owner of a partition return what is idle there, uses the
// whole former allowance, and then lets another partition take what is free.
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
	m.fill(from)
	m.deliver(1)
	for len(m.running) > 3 {
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
		m.startOf("a", from, slot)
	}
	if how == lateReturn {
		m.execute(returned)
	}
	m.deliver(2)
	m.fill(other)
	return m.problem()
}

// fill starts as much work of team a at the partition as it gets allowance for.
func (m *model) fill(partition string) {
	for range 40 {
		m.now = m.now.Add(time.Second)
		m.startOf("a", partition, task.Resources{Slots: 1})
		m.plan(m.owner[partition], false)
	}
}

// TestReturnedAllowanceIsNotUsed guards against an allowance that is returned,
// and used by its former or next holder too.
func TestReturnedAllowanceIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		rule   string
		seeded faults
		how    string
	}{
		{"writes compare the ownership records", faults{noOwnerGuard: true}, lateReturn},
		{"records must be as new as the ownership", faults{staleRecord: true}, unseenReturn},
		{"what may have been returned is not used", faults{keepReturned: true}, unclearReply},
	} {
		if problem := newModel(1, faults{}).returnIdle(c.how); problem != "" {
			t.Errorf("with the rule %q: %s", c.rule, problem)
		}
		problem := newModel(1, c.seeded).returnIdle(c.how)
		if !strings.Contains(problem, "above the limit") {
			t.Errorf("no violation without the rule %q: %s", c.rule, problem)
		}
		t.Logf("without the rule %q: %s", c.rule, problem)
	}
}

// TestCheckerFindsSeededFaults guards against a checker that would not notice
// the absence of a safety rule.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for name, seeded := range map[string]faults{
		"a grant counts only after a definite success":    {useUnconfirmed: true},
		"tasks of silent workers count as running":        {skipRebuild: true},
		"resources without a limit are counted all along": {untracked: true},
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
