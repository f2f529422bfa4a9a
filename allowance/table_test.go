package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestPendingLimitStopsStarts guards against starts that keep the sum of the allowances
// above a lowered limit, and against an older document that replaces a newer limit.
func TestPendingLimitStopsStarts(t *testing.T) {
	now, slots := time.Unix(1000, 0), func(n int64) task.Resources { return task.Resources{Slots: n} }
	table := New(DefaultConfig())
	table.AddPartition("w/r/0", 5)
	table.MarkRebuilt("w/r/0")
	r := WithLimit(Record{Team: "a", Allowances: map[string]task.Resources{"w/r/0": slots(8)}}, slots(10), 3)
	r.Revision = 6
	table.Observe(now, r)
	table.ObserveThrough(6)
	if !table.Acquire(now, "a", "w/r/0", slots(5)) {
		t.Fatal("Acquire refused 5 of 8 allowed slots")
	}
	lowered := WithLimit(r, slots(4), 7)
	if !lowered.HasPending || lowered.Limit != slots(10) {
		t.Fatalf("record with limit 4 below the sum of the allowances 8 = %+v, want limit 10 in force and 4 pending", lowered)
	}
	if old := WithLimit(lowered, slots(20), 6); old.Pending != slots(4) {
		t.Fatalf("an older document replaced the pending limit: %+v", old)
	}
	lowered.Revision = 8
	table.Observe(now, lowered)
	if table.Acquire(now, "a", "w/r/0", slots(1)) {
		t.Fatal("Acquire succeeded while a lower limit is pending")
	}
	writes := table.Plan(now)
	if len(writes) != 1 || writes[0].Record.Allowances["w/r/0"] != slots(5) {
		t.Fatalf("writes while a lower limit is pending = %+v, want one that returns the 3 idle slots", writes)
	}
	table.WriteDone(now, writes, WriteResult{Outcome: Succeeded, Revision: 9})
	table.Release(now, "a", "w/r/0", slots(1))
	writes = table.Plan(now.Add(time.Second))
	if len(writes) != 1 || writes[0].Record.Limit != slots(4) || writes[0].Record.HasPending {
		t.Fatalf("writes once the allowances equal the pending limit = %+v, want one that puts limit 4 in force", writes)
	}
}

// TestConflictHalvesTransaction guards against a transaction for many teams that conflicts
// on every retry because one of the records has changed.
func TestConflictHalvesTransaction(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newFullTable(now, 8, 1)
	for _, want := range []int{8, 4, 2, 1, 1} {
		now = now.Add(time.Second)
		table.demandAll(now)
		writes := table.Plan(now)
		if len(writes) != want {
			t.Fatalf("%d teams in the transaction, want %d", len(writes), want)
		}
		table.WriteDone(now, writes, WriteResult{Outcome: Conflict})
	}
}

// demandAll records a demand of every team at every owned partition.
func (t *Table) demandAll(now time.Time) {
	for _, team := range t.sortedTeams {
		for _, p := range t.owned {
			t.SetDemand(now, team.name, p, task.Resources{Slots: 4, CPUMilli: 4000})
		}
	}
}

// newFullTable returns a table that owns every eighth partition and has acquired the whole
// allowance of each team there.
func newFullTable(now time.Time, teams, partitions int) *Table {
	t := New(DefaultConfig())
	allowances := map[string]task.Resources{}
	for i := range partitions {
		name := fmt.Sprintf("w/r/%d", i)
		allowances[name] = task.Resources{Slots: 4, CPUMilli: 4000}
		if i%8 == 0 {
			t.AddPartition(name, 1)
			t.MarkRebuilt(name)
		}
	}
	t.ObserveThrough(2)
	for i := range teams {
		t.Observe(now, Record{Team: task.Team(fmt.Sprintf("team-%d", i)), Limit: task.Resources{Slots: 10000}, Allowances: allowances, Revision: 2})
	}
	for _, team := range t.sortedTeams {
		for _, p := range t.owned {
			t.Acquire(now, team.name, p, allowances[p])
		}
	}
	return t
}

// BenchmarkPlan measures Plan and WriteDone for tables with and without due writes.
func BenchmarkPlan(b *testing.B) {
	for _, teams := range []int{6, 97} {
		for _, partitions := range []int{12, 144} {
			for _, due := range []bool{false, true} {
				b.Run(fmt.Sprintf("teams=%d/partitions=%d/due=%v", teams, partitions, due), func(b *testing.B) {
					now := time.Unix(1000, 0)
					t := newFullTable(now, teams, partitions)
					t.cfg.MinWriteInterval = 0
					if due {
						t.demandAll(now)
					}
					b.ReportAllocs()
					for b.Loop() {
						writes := t.Plan(now)
						t.WriteDone(now, writes, WriteResult{Outcome: NoEffect})
					}
				})
			}
		}
	}
}

// TestIdleOfSameOwner guards against a partition that waits for Config.IdleTimeout although
// another partition of the same owner has idle allowance. The owner must return that
// allowance as soon as the first partition lacks some.
func TestIdleOfSameOwner(t *testing.T) {
	now, slots := time.Unix(1000, 0), func(n int64) task.Resources { return task.Resources{Slots: n} }
	table := New(DefaultConfig())
	for _, name := range []string{"w/r/0", "w/r/1"} {
		table.AddPartition(name, 5)
		table.MarkRebuilt(name)
	}
	table.Observe(now, Record{Team: "a", Limit: slots(4), LimitRevision: 3, Allowances: map[string]task.Resources{"w/r/0": slots(4)}, Revision: 6})
	table.ObserveThrough(6)
	if !table.Acquire(now, "a", "w/r/0", slots(4)) {
		t.Fatal("Acquire refused 4 of 4 allowed slots")
	}
	table.Release(now, "a", "w/r/0", slots(4))
	revision, idleSince := int64(6), now
	for !table.Acquire(now, "a", "w/r/1", slots(1)) {
		now = now.Add(time.Second)
		if now.Sub(idleSince) > 4*time.Second {
			t.Fatal("no allowance after 4 s though all of it is idle at another partition")
		}
		if writes := table.Plan(now); len(writes) > 0 {
			revision++
			table.WriteDone(now, writes, WriteResult{Outcome: Succeeded, Revision: revision})
		}
	}
}
