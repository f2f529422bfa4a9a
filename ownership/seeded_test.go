package ownership

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// settled is when a directed scenario begins: every unit has its owner.
const settled = 20 * time.Second

// roles of a directed scenario, for the unit w/a/0.
const (
	owner = iota
	first // successor
	second
)

// directed is a scenario in which one safety rule is all that prevents two
// holders. Nodes are roles and times count from settled. A fault with On starts
// when the node reaches that step for the first time, after the delay At.
type directed struct {
	rule   string
	seeded faults
	exact  bool // clocks at the limits of the drift, short delays
	script []trigger
}

type trigger struct {
	fault
	On string
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func do(kind string, node int, at, duration float64) trigger {
	return trigger{fault: fault{Kind: kind, Node: node, At: seconds(at), Duration: seconds(duration), Unit: "w/a/0"}}
}

func on(step, kind string, node int, delay, duration float64) trigger {
	t := do(kind, node, delay, duration)
	t.On = step
	return t
}

// heldTakeover lets the first successor decide to take over from an owner that
// is cut off from the store. Its write arrives 22 s later. Meanwhile the owner
// has a new lease, is cut off again and relies on promises, of the first
// successor among others, which is cut off too.
func heldTakeover(more ...trigger) []trigger {
	return append(more,
		do("cut", owner, 0, 20), do("cut", owner, 27, 30),
		do("lag", second, 5, 60), do("hold", first, 15, 22),
		on("takeover/sent", "cut", first, 0.01, 50))
}

var directedScenarios = []directed{
	{rule: "window wait", seeded: faults{skipWindowWait: true},
		script: []trigger{do("cut", owner, 0, 30)}},
	{rule: "unresolved write blocks promises", seeded: faults{promiseUnresolved: true},
		script: heldTakeover()},
	{rule: "incarnation check", seeded: faults{anyIncarnation: true},
		script: heldTakeover(on("takeover/sent", "crash", first, 0.02, 0.5))},
	{rule: "drift margin of the store term", seeded: faults{noDriftMargin: true}, exact: true,
		script: []trigger{do("isolate", owner, 0, 30)}},
	{rule: "drift margin of the promise term", seeded: faults{noDriftMargin: true}, exact: true,
		script: []trigger{do("cut", owner, 0, 30)}},
	{rule: "term from before the send (keepalive)", seeded: faults{termFromReply: true},
		script: []trigger{do("slow", owner, 0, 20), do("isolate", owner, 10, 20)}},
	{rule: "term from before the send (promise)", seeded: faults{termFromReply: true},
		script: []trigger{do("cut", owner, 0, 30), do("slow", owner, 5, 30)}},
	{rule: "member key compare", seeded: faults{noMemberGuard: true},
		script: []trigger{do("cut", owner, 0, 12), do("lag", first, 10, 30), do("lag", owner, 14, 20)}},
	{rule: "observation after a new lease", seeded: faults{trustOldRecord: true},
		script: []trigger{do("freeze", owner, 0, 20), do("lag", owner, 0, 40)}},
	{rule: "promises of both lists", seeded: faults{recordedOnly: true},
		script: []trigger{do("cut", second, 0, 40), on("successors/executed", "cut", owner, 0, 25)}},
	{rule: "stop before handover", seeded: faults{holdWhileHandedOver: true},
		script: []trigger{do("slow", owner, 0, 10), do("lag", owner, 0, 10), do("release", owner, 1, 0)}},
	{rule: "empty list promises nothing", seeded: faults{emptyListPromises: true},
		script: []trigger{do("crash", first, 0, 25), do("crash", second, 0, 25), do("crash", 3, 0, 25), do("crash", 4, 0, 25), do("cut", owner, 20, 30)}},
}

// play runs a directed scenario and returns the violated property, or "".
func (d directed) play(seed uint64, seeded faults) string {
	return d.playIn(newWorld(seed, seeded))
}

func (d directed) playIn(w *world) string {
	if d.exact {
		w.tickEvery = 20 * time.Millisecond
		w.store.rate = 1.01
	}
	w.runUntil(settled)
	roles, ok := w.roles("w/a/0")
	if !ok {
		return w.finish(settled + 25*time.Second) // a fault came before the first owner
	}
	if d.exact {
		w.setRates(roles)
	}
	for _, tr := range d.script {
		f := tr.fault
		f.Node = roles[f.Node].index
		if tr.On != "" {
			w.trigger(tr.On, f)
			continue
		}
		w.after(f.At, func() { w.apply(f) })
	}
	end := 65 * time.Second
	for _, tr := range d.script {
		if tr.On == "" {
			end = max(end, tr.At+tr.Duration)
		}
	}
	return w.finish(settled + end)
}

// setRates makes the owner's clock as slow as permitted and all others as fast.
func (w *world) setRates(roles []*node) {
	for i, n := range roles {
		rate := 1.01
		if i == owner {
			rate = 0.99
		}
		n.skew += time.Duration((n.rate - rate) * float64(w.now))
		n.rate = rate
	}
}

// trigger applies the fault when its node reaches the step for the first time.
// Without a delay it takes effect before the step's next message is sent.
func (w *world) trigger(step string, f fault) {
	previous, done := w.onStep, false
	w.onStep = func(name string, n *node) {
		if previous != nil {
			previous(name, n)
		}
		if !done && name == step && n.index == f.Node {
			done = true
			if f.At == 0 {
				w.apply(f)
				return
			}
			w.after(f.At, func() { w.apply(f) })
		}
	}
}

// roles returns the owner of the unit, its successors and then the others.
func (w *world) roles(unit string) ([]*node, bool) {
	r := w.store.records[unit]
	names := []string{r.Owner}
	for _, s := range r.Successors {
		names = append(names, s.Incarnation)
	}
	var roles []*node
	for _, name := range names {
		for _, n := range w.nodes {
			if n.self.Incarnation == name {
				roles = append(roles, n)
			}
		}
	}
	for _, n := range w.nodes {
		if !slices.Contains(names, n.self.Incarnation) {
			roles = append(roles, n)
		}
	}
	return roles, len(names) == 3 && len(roles) == len(w.nodes)
}

// TestEachRuleIsNeeded guards against a checker that would not notice the
// absence of a safety rule: with the rule the scenario passes, without it two
// tables hold the unit.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, d := range directedScenarios {
		t.Run(d.rule, func(t *testing.T) {
			t.Parallel()
			found := 0
			seeds := uint64(4)
			if d.exact {
				seeds = 2 // short delays make these scenarios long
			}
			for seed := range seeds {
				if problem := d.play(seed, faults{}); problem != "" {
					t.Errorf("seed %d with the rule: %s", seed, problem)
				}
				problem := d.play(seed, d.seeded)
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
