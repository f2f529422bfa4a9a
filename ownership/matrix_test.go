package ownership

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// matrixBases are scenarios that together reach every step of every protocol.
var matrixBases = []directed{
	{rule: "release, takeover, outage", script: []trigger{
		do("release", owner, 1, 0), do("crash", owner, 10, 25), do("outage", owner, 45, 20),
	}},
	{rule: "fence", script: []trigger{
		do("cut", owner, 0, 20), do("lag", second, 5, 60), do("hold", first, 15, 22),
		on("takeover/sent", "cut", first, 0.01, 7),
	}},
	{rule: "successor restarts", script: []trigger{
		do("crash", owner, 0, 60), do("crash", first, 0.1, 5), do("crash", second, 0.2, 6),
	}},
	{rule: "force", script: []trigger{
		do("crash", owner, 0, 70), do("crash", first, 0.1, 70), do("crash", second, 0.2, 70), do("force", 3, 25, 0),
	}},
	{rule: "all gone", script: []trigger{
		do("gone", owner, 0, 0), do("gone", first, 0.1, 0), do("gone", second, 0.2, 0),
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
	{Kind: "cut", Duration: 50 * time.Millisecond}, // the reply or the request is lost
	{Kind: "cut", Duration: 20 * time.Second},
	{Kind: "isolate", Duration: 20 * time.Second},
	{Kind: "region", Duration: 20 * time.Second},
	{Kind: "outage", Duration: 20 * time.Second},
	{Kind: "hold", Duration: 15 * time.Second}, // the next write arrives late
	{Kind: "lag", Duration: 20 * time.Second},
	{Kind: "slow", Duration: 20 * time.Second},
	{Kind: "lossy", Duration: 10 * time.Second},
}

// at plays the base with f at the given occurrence of the step, on the node
// that takes the step. It reports whether the step was reached so often.
func (d directed) at(step string, occurrence int, f fault) (problem string, reached bool) {
	w := newWorld(7, faults{})
	count := 0
	w.onStep = func(name string, n *node) {
		if name != step {
			return
		}
		if count++; count == occurrence {
			reached = true
			f.Node = n.index
			w.apply(f)
		}
	}
	return d.playIn(w), reached
}

// TestFaultMatrix guards against a fault at some step of a protocol after which
// two tables hold a unit or none does. It puts every fault at the first
// occurrence of every step, and in longer runs at later ones too, in every
// scenario that reaches the step.
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
					n, problems := playCell(step, f)
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

// playCell plays the fault at the step in every base that reaches it.
func playCell(step string, f fault) (runs int, problems []string) {
	for _, base := range matrixBases {
		if runs > 0 && !isLongRun() {
			break
		}
		for occurrence := 1; occurrence <= 5; occurrence += 2 {
			if occurrence > 1 && !isLongRun() {
				break
			}
			problem, reached := base.at(step, occurrence, f)
			if !reached {
				break
			}
			runs++
			if problem != "" {
				problems = append(problems, fmt.Sprintf("%s, %s at occurrence %d of %s: %s", base.rule, f.Kind, occurrence, step, problem))
			}
		}
	}
	return runs, problems
}
