package control

import (
	"fmt"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestBlockedPartitionDoesNotStarveAnother guards against starvation of the tasks at a partition
// with allowance by earlier tasks of the team at a partition without allowance of the same owner.
func TestBlockedPartitionDoesNotStarveAnother(t *testing.T) {
	h := newHarness(96, 2, 1)
	w := h.state.owner
	const team = task.Team("team-0")
	withoutAllowance, withAllowance := PartitionOf("r", "0", 2), ""
	for name := range w.partitions {
		if name != withoutAllowance {
			withAllowance = name
		}
	}
	fourTasks := gangSpec.Size.Scale(4)
	limit := task.Resources{Slots: 4}
	h.revision++
	record := allowance.Record{Team: team, Limit: limit, LimitRevision: h.revision, Allowances: map[string]task.Resources{withAllowance: fourTasks}, Revision: h.revision}
	w.setLimit(team, &limit, h.revision)
	h.apply(ConfigChanged{Revision: h.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: "allow/team-0", Revision: h.revision}, Allowance: &record}}})
	place := func(partition string, n int) {
		for range n {
			spec := gangSpec
			spec.Kind, spec.Count, spec.IdempotencyKey = task.Durable, 1, fmt.Sprintf("k%d", len(w.attempts))
			id := task.Attempt{Task: task.ID("team-0/s/" + spec.IdempotencyKey + "/0"), Number: 1}
			if err := w.admit(Placement{Attempt: id, Partition: partition, Epoch: w.partitions[partition].epoch, Spec: spec}); err != nil {
				t.Fatal(err)
			}
		}
	}
	place(withoutAllowance, 2*backfillDepth)
	place(withAllowance, 2)
	started := map[string]int{}
	w.effects = nil
	w.schedule()
	for _, e := range w.effects {
		if start, ok := e.(StartTask); ok {
			started[start.Partition]++
		}
	}
	if started[withAllowance] != 2 || started[withoutAllowance] != 0 {
		t.Errorf("started %v, want the 2 tasks of %s, which has allowance", started, withAllowance)
	}
}
