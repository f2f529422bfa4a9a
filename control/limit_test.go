package control

import (
	"fmt"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestAllowanceOfSecondPartition guards against work that waits for ever at a
// partition that has allowance, behind tasks of another partition of the same
// owner that has none.
func TestAllowanceOfSecondPartition(t *testing.T) {
	b := newBench(96, 2, 1)
	w := b.state.owner
	const team = task.Team("team-0")
	first, second := PartitionOf("r", "0", 2), ""
	for name := range w.partitions {
		if name != first {
			second = name
		}
	}
	four := gangSpec.Size.Scale(4)
	limit := task.Resources{Slots: 4}
	b.revision++
	record := allowance.Record{Team: team, Limit: limit, LimitRevision: b.revision, Parts: map[string]task.Resources{second: four}, Revision: b.revision}
	w.setLimit(team, &limit, b.revision)
	b.apply(ConfigChanged{Revision: b.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: "allow/team-0", Revision: b.revision}, Allowance: &record}}})
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
	place(first, 2*lookAhead)
	place(second, 2)
	started := map[string]int{}
	w.effects = nil
	w.schedule()
	for _, e := range w.effects {
		if start, ok := e.(StartTask); ok {
			started[start.Partition]++
		}
	}
	if started[second] != 2 || started[first] != 0 {
		t.Errorf("started %v, want the 2 tasks of %s, which has allowance", started, second)
	}
}
