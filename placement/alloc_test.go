package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestDecisionDoesNotAllocate guards against heap allocations in a placement decision: at 6,200
// decisions a second they would cause frequent garbage collection.
func TestDecisionDoesNotAllocate(t *testing.T) {
	c := newFleet(500)
	fillFleet(c, "half", rand.New(rand.NewPCG(1, 2)))
	attempts := make([]task.Attempt, 64)
	for i := range attempts {
		attempts[i] = task.Attempt{Task: task.ID(fmt.Sprint("new-", i)), Number: 1}
		decide(c, attempts, i)
	}
	i := 0
	allocations := testing.AllocsPerRun(1000, func() {
		decide(c, attempts, i)
		i++
	})
	if allocations != 0 {
		t.Errorf("%v allocations per decision, want 0", allocations)
	}
}
