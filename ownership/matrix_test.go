package ownership

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// baseScenarios together reach every step of every protocol.
var baseScenarios = []directedScenario{
	{name: "release, takeover, outage", script: []trigger{
		inject("release", owner, 1, 0), inject("crash", owner, 10, 25), inject("outage", owner, 45, 20),
	}},
	{name: "fence", script: []trigger{
		inject("cut", owner, 0, 20), inject("lag", secondSuccessor, 5, 60), inject("hold", firstSuccessor, 15, 22),
		injectOnStep("takeover/sent", "cut", firstSuccessor, 0.01, 7),
	}},
	{name: "successor restarts", script: []trigger{
		inject("crash", owner, 0, 60), inject("crash", firstSuccessor, 0.1, 5), inject("crash", secondSuccessor, 0.2, 6),
	}},
	{name: "force", script: []trigger{
		inject("crash", owner, 0, 70), inject("crash", firstSuccessor, 0.1, 70), inject("crash", secondSuccessor, 0.2, 70), inject("force", 3, 25, 0),
	}},
	{name: "all gone", script: []trigger{
		inject("gone", owner, 0, 0), inject("gone", firstSuccessor, 0.1, 0), inject("gone", secondSuccessor, 0.2, 0),
	}},
}

func matrixSteps() (steps []string) {
	reasons := []Reason{ReasonClaim, ReasonTakeover, ReasonRestart, ReasonAllGone, ReasonForced, ReasonSuccessors, ReasonMove, ReasonRelease, ReasonFence}
	for _, reason := range reasons {
		for _, phase := range []string{"decided", "sent", "executed", "replied"} {
			steps = append(steps, string(reason)+"/"+phase)
		}
	}
	for _, name := range []string{"keepalive", "attach"} {
		steps = append(steps, name+"/sent", name+"/executed", name+"/replied")
	}
	return append(steps, "promise/sent", "promise/granted", "promise/replied", "watch/delivered", "gained", "lost")
}

var matrixFaults = []fault{
	{Kind: "freeze", Duration: 12 * time.Second},
	{Kind: "freeze", Duration: 25 * time.Second},
	{Kind: "crash", Duration: 500 * time.Millisecond},
	{Kind: "crash", Duration: 20 * time.Second},
	{Kind: "cut", Duration: 50 * time.Millisecond}, // loses the reply or the request
	{Kind: "cut", Duration: 20 * time.Second},
	{Kind: "isolate", Duration: 20 * time.Second},
	{Kind: "region", Duration: 20 * time.Second},
	{Kind: "outage", Duration: 20 * time.Second},
	{Kind: "hold", Duration: 15 * time.Second}, // delays the next write
	{Kind: "lag", Duration: 20 * time.Second},
	{Kind: "slow", Duration: 20 * time.Second},
	{Kind: "lossy", Duration: 10 * time.Second},
}

// runWithFault runs the scenario and injects f at the given occurrence of the step,
// on the node that takes the step. It reports whether the occurrence was reached.
func (d directedScenario) runWithFault(step string, occurrence int, f fault) (problem string, reached bool) {
	sim := newSimulation(7, seededFaults{})
	count := 0
	sim.onStep = func(name string, n *node) {
		if name != step {
			return
		}
		if count++; count == occurrence {
			reached = true
			f.Node = n.index
			sim.injectFault(f)
		}
	}
	return d.runIn(sim), reached
}

// TestFaultMatrix guards against a fault at a step of a protocol after which two tables
// hold a unit, or a unit remains without an owner. It injects every fault at the first
// occurrence of every step, in the first base scenario that reaches the step. Long runs
// also cover later occurrences and all scenarios that reach the step.
func TestFaultMatrix(t *testing.T) {
	steps := matrixSteps()
	var mutex sync.Mutex
	covered, runs := 0, 0
	var missing []string
	t.Run("cells", func(t *testing.T) {
		for _, step := range steps {
			t.Run(step, func(t *testing.T) {
				t.Parallel()
				for _, f := range matrixFaults {
					n, problems := runMatrixCell(step, f)
					mutex.Lock()
					runs += n
					if n > 0 {
						covered++
					} else {
						missing = append(missing, step)
					}
					mutex.Unlock()
					for _, problem := range problems {
						t.Error(problem)
					}
				}
			})
		}
	})
	cells := len(steps) * len(matrixFaults)
	t.Logf("fault matrix: %d steps x %d faults = %d cells, %d covered, %d runs", len(steps), len(matrixFaults), cells, covered, runs)
	if covered < cells {
		slices.Sort(missing)
		t.Errorf("steps not reached: %v", slices.Compact(missing))
	}
}

// runMatrixCell injects the fault at the step: in the first base scenario that reaches the
// step, or in long runs in every one. It returns the number of runs that reached the step
// and the violations found.
func runMatrixCell(step string, f fault) (runs int, problems []string) {
	for _, base := range baseScenarios {
		if runs > 0 && !isLongRun() {
			break
		}
		for occurrence := 1; occurrence <= 5; occurrence += 2 {
			if occurrence > 1 && !isLongRun() {
				break
			}
			problem, reached := base.runWithFault(step, occurrence, f)
			if !reached {
				break
			}
			runs++
			if problem != "" {
				problems = append(problems, fmt.Sprintf("%s, %s at occurrence %d of %s: %s", base.name, f.Kind, occurrence, step, problem))
			}
		}
	}
	return runs, problems
}
