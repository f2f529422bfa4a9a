package ownership

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// warmUp is the time after which a directed scenario begins. By then every unit normally
// has its owner.
const warmUp = 20 * time.Second

// Roles of the nodes in a directed scenario, for the unit w/a/0.
const (
	owner = iota
	firstSuccessor
	secondSuccessor
)

// directedScenario is a scenario with a fixed script of faults. If seeded is set, the rule
// that it disables is the only one that prevents two holders of a unit. Nodes are given as
// roles, and times count from warmUp. A fault with OnStep starts At after the node first
// reaches that step.
type directedScenario struct {
	name          string
	seeded        seededFaults
	extremeClocks bool // clocks at the limits of the drift, short delays
	script        []trigger
}

type trigger struct {
	fault
	OnStep string
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func inject(kind string, node int, at, duration float64) trigger {
	return trigger{fault: fault{Kind: kind, Node: node, At: seconds(at), Duration: seconds(duration), Unit: "w/a/0"}}
}

func injectOnStep(step, kind string, node int, delay, duration float64) trigger {
	t := inject(kind, node, delay, duration)
	t.OnStep = step
	return t
}

// delayedTakeover makes the first successor decide to take over from an owner that is
// cut off from the store. The write is delayed by 22 s. Meanwhile the owner gets a new
// lease, is cut off again and depends on promises, among them that of the first
// successor, which is cut off too.
func delayedTakeover(more ...trigger) []trigger {
	return append(more,
		inject("cut", owner, 0, 20), inject("cut", owner, 27, 30),
		inject("lag", secondSuccessor, 5, 60), inject("hold", firstSuccessor, 15, 22),
		injectOnStep("takeover/sent", "cut", firstSuccessor, 0.01, 50))
}

var directedScenarios = []directedScenario{
	{name: "wait for the promise window", seeded: seededFaults{skipPromiseWindowWait: true},
		script: []trigger{inject("cut", owner, 0, 30)}},
	{name: "unresolved write blocks promises", seeded: seededFaults{promiseWhileUnresolved: true},
		script: delayedTakeover()},
	{name: "incarnation check", seeded: seededFaults{ignoreIncarnation: true},
		script: delayedTakeover(injectOnStep("takeover/sent", "crash", firstSuccessor, 0.02, 0.5))},
	{name: "drift margin of the store term", seeded: seededFaults{ignoreClockError: true}, extremeClocks: true,
		script: []trigger{inject("isolate", owner, 0, 30)}},
	{name: "drift margin of the promise term", seeded: seededFaults{ignoreClockError: true}, extremeClocks: true,
		script: []trigger{inject("cut", owner, 0, 30)}},
	{name: "term counts from before the send (keepalive)", seeded: seededFaults{termFromReply: true},
		script: []trigger{inject("slow", owner, 0, 20), inject("isolate", owner, 10, 20)}},
	{name: "term counts from before the send (promise)", seeded: seededFaults{termFromReply: true},
		script: []trigger{inject("cut", owner, 0, 30), inject("slow", owner, 5, 30)}},
	{name: "member key compare", seeded: seededFaults{skipMemberCompare: true},
		script: []trigger{inject("cut", owner, 0, 12), inject("lag", firstSuccessor, 10, 30), inject("lag", owner, 14, 20)}},
	{name: "observation after a new lease", seeded: seededFaults{useStaleRecord: true},
		script: []trigger{inject("freeze", owner, 0, 20), inject("lag", owner, 0, 40)}},
	{name: "promises of both lists", seeded: seededFaults{requireOnlyRecorded: true},
		script: []trigger{inject("cut", secondSuccessor, 0, 40), injectOnStep("successors/executed", "cut", owner, 0, 25)}},
	{name: "stop before handover", seeded: seededFaults{holdDuringHandover: true},
		script: []trigger{inject("slow", owner, 0, 10), inject("lag", owner, 0, 10), inject("release", owner, 1, 0)}},
	{name: "empty list promises nothing", seeded: seededFaults{emptyListCountsAsPromise: true},
		script: []trigger{inject("crash", firstSuccessor, 0, 25), inject("crash", secondSuccessor, 0, 25), inject("crash", 3, 0, 25), inject("crash", 4, 0, 25), inject("cut", owner, 20, 30)}},
}

// run simulates the scenario and returns the violated property, or "".
func (d directedScenario) run(seed uint64, seeded seededFaults) string {
	return d.runIn(newSimulation(seed, seeded))
}

func (d directedScenario) runIn(sim *simulation) string {
	if d.extremeClocks {
		sim.tickEvery = 20 * time.Millisecond
		sim.store.rate = 1.01
	}
	sim.runUntil(warmUp)
	roles, ok := sim.nodesByRole("w/a/0")
	if !ok {
		return sim.finish(warmUp + 25*time.Second) // an injected fault prevented the usual roles
	}
	if d.extremeClocks {
		sim.setRates(roles)
	}
	for _, tr := range d.script {
		f := tr.fault
		f.Node = roles[f.Node].index
		if tr.OnStep != "" {
			sim.injectAtStep(tr.OnStep, f)
			continue
		}
		sim.after(f.At, func() { sim.injectFault(f) })
	}
	end := 65 * time.Second
	for _, tr := range d.script {
		if tr.OnStep == "" {
			end = max(end, tr.At+tr.Duration)
		}
	}
	return sim.finish(warmUp + end)
}

// setRates sets the owner's clock to the slowest rate within the drift and all others to
// the fastest.
func (sim *simulation) setRates(roles []*node) {
	for i, n := range roles {
		rate := 1.01
		if i == owner {
			rate = 0.99
		}
		n.clockOffset += time.Duration((n.rate - rate) * float64(sim.now))
		n.rate = rate
	}
}

// injectAtStep injects the fault when its node first reaches the step. Without a delay it
// takes effect before the step's next message is sent.
func (sim *simulation) injectAtStep(step string, f fault) {
	previous, done := sim.onStep, false
	sim.onStep = func(name string, n *node) {
		if previous != nil {
			previous(name, n)
		}
		if !done && name == step && n.index == f.Node {
			done = true
			if f.At == 0 {
				sim.injectFault(f)
				return
			}
			sim.after(f.At, func() { sim.injectFault(f) })
		}
	}
}

// nodesByRole returns the owner of the unit, its successors and then the others.
func (sim *simulation) nodesByRole(unit string) ([]*node, bool) {
	r := sim.store.records[unit]
	names := []string{r.Owner}
	for _, s := range r.Successors {
		names = append(names, s.Incarnation)
	}
	var roles []*node
	for _, name := range names {
		for _, n := range sim.nodes {
			if n.self.Incarnation == name {
				roles = append(roles, n)
			}
		}
	}
	for _, n := range sim.nodes {
		if !slices.Contains(names, n.self.Incarnation) {
			roles = append(roles, n)
		}
	}
	return roles, len(names) == 3 && len(roles) == len(sim.nodes)
}

// TestEachRuleIsNeeded guards against a check that does not detect the absence of a safety
// rule: with the rule the scenario must pass, and without it two tables must hold the unit.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, d := range directedScenarios {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			seeds := uint64(4)
			if d.extremeClocks {
				seeds = 2 // short delays make these scenarios long
			}
			for seed := range seeds {
				if problem := d.run(seed, seededFaults{}); problem != "" {
					t.Errorf("seed %d with the rule: %s", seed, problem)
				}
				problem := d.run(seed, d.seeded)
				if strings.Contains(problem, "is held by") {
					found++
					t.Logf("seed %d without the rule: %s", seed, problem)
				}
			}
			if found == 0 {
				t.Error("no violation was found without the rule")
			}
		})
	}
}
