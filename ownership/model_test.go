package ownership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// recoveryBound is the time within which every unit must have an owner after the
// last fault. It covers the longest wait (list lag, promise window and lease TTL,
// when owner and successors are permanently gone) and the delays of the model.
const recoveryBound = 60 * time.Second

// fault is one injected fault of a scenario.
type fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Node     int
	Unit     string // unit of the delayed write or forced takeover; for a write, empty means any unit
}

type scenario struct {
	Seed     uint64
	Lateness float64
	Loss     float64
	Faults   []fault
}

var faultKinds = []string{"freeze", "crash", "outage", "cut", "region", "lag", "late", "lossy", "release", "gone", "hold", "slow", "isolate"}

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	s := scenario{
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Lateness: rapid.SampledFrom([]float64{0, 0, 0.02, 0.1}).Draw(t, "lateness"),
		Loss:     rapid.SampledFrom([]float64{0, 0, 0.02, 0.1}).Draw(t, "loss"),
	}
	for range rapid.IntRange(1, 10).Draw(t, "faults") {
		s.Faults = append(s.Faults, fault{
			Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			At:       time.Duration(rapid.IntRange(0, 60_000).Draw(t, "at")) * time.Millisecond,
			Duration: time.Duration(rapid.IntRange(100, 25_000).Draw(t, "duration")) * time.Millisecond,
			Node:     rapid.IntRange(0, 4).Draw(t, "node"),
		})
	}
	return s
})

// newSimulation returns a simulation of five nodes in two regions, with the store in the
// second region. Clock rates are at or within the configured drift.
func newSimulation(seed uint64, seeded seededFaults) *simulation {
	sim := &simulation{tickEvery: 100 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)), seeded: seeded, units: []string{"w/a/0", "h/0", "h/1"}}
	sim.store = modelStore{rate: sim.clockRate(), records: map[string]Record{}, members: map[string]memberKey{}, leases: map[int64]time.Duration{}}
	for i := range 5 {
		region := "a"
		if i >= 3 {
			region = "b"
		}
		name := fmt.Sprintf("n%d", i)
		n := &node{sim: sim, index: i, rate: sim.clockRate(), clockOffset: time.Duration(sim.rng.Int64N(int64(time.Hour)))}
		n.self = membership.Member{Instance: name, Region: region, FailureDomain: name}
		sim.nodes = append(sim.nodes, n)
		sim.after(time.Duration(sim.rng.Int64N(int64(2*time.Second))), n.start)
	}
	return sim
}

func (sim *simulation) clockRate() float64 {
	return []float64{0.99, 1.01, 0.99 + 0.02*sim.rng.Float64()}[sim.rng.IntN(3)]
}

// injectFault injects a fault now. A fault with a duration ends after it.
func (sim *simulation) injectFault(f fault) {
	n := sim.nodes[f.Node]
	switch f.Kind {
	case "freeze":
		n.frozenUntil = max(n.frozenUntil, sim.now+f.Duration)
	case "crash":
		n.up = false
		sim.after(f.Duration, func() {
			if !n.up && !n.removed {
				n.start()
			}
		})
	case "gone":
		if sim.remainingCount() > 2 {
			n.up, n.removed = false, true
		}
	case "outage":
		sim.store.down = true
		sim.after(f.Duration, func() { sim.store.down = false })
	case "cut":
		n.cutOff = true
		sim.after(f.Duration, func() { n.cutOff = false })
	case "isolate":
		n.cutOff, n.isolated = true, true
		sim.after(f.Duration, func() { n.cutOff, n.isolated = false, false })
	case "region":
		sim.cutRegion(true)
		sim.after(f.Duration, func() { sim.cutRegion(false) })
	case "lag":
		n.watchLag = f.Duration
		sim.after(f.Duration, func() { n.watchLag = 0 })
	case "slow":
		n.replyDelay = min(f.Duration, callTimeout-100*time.Millisecond)
		sim.after(f.Duration, func() { n.replyDelay = 0 })
	case "hold":
		n.nextWriteDelay, n.nextWriteUnit = f.Duration, f.Unit
	case "late":
		previous := sim.lateness
		sim.lateness = 0.5
		sim.after(f.Duration, func() { sim.lateness = previous })
	case "lossy":
		previous := sim.loss
		sim.loss = 0.5
		sim.after(f.Duration, func() { sim.loss = previous })
	case "force":
		if n.up {
			n.table.ForceTakeover(n.clock(), f.Unit)
		}
	case "release":
		if n.up {
			for _, unit := range sim.units {
				n.table.Release(n.clock(), unit)
			}
		}
	}
}

func (sim *simulation) remainingCount() (count int) {
	for _, n := range sim.nodes {
		if !n.removed {
			count++
		}
	}
	return count
}

func (sim *simulation) cutRegion(cut bool) {
	for _, n := range sim.nodes {
		if n.self.Region == "a" {
			n.cutOff = cut
		}
	}
}

// endFaults ends every fault and starts every node that is down and not removed.
func (sim *simulation) endFaults() {
	sim.store.down, sim.lateness, sim.loss = false, 0, 0
	for _, n := range sim.nodes {
		n.cutOff, n.isolated, n.frozenUntil, n.watchLag, n.replyDelay, n.nextWriteDelay = false, false, 0, 0, 0, 0
		if !n.up && !n.removed {
			n.start()
		}
	}
}

// run simulates the scenario and returns the violated property, or "".
func (s scenario) run(seeded seededFaults) string {
	sim := newSimulation(s.Seed, seeded)
	sim.lateness, sim.loss = s.Lateness, s.Loss
	end := 62 * time.Second
	for _, f := range s.Faults {
		sim.after(f.At, func() { sim.injectFault(f) })
		end = max(end, f.At+f.Duration)
	}
	return sim.finish(end)
}

// finish runs until the given time, ends the faults and checks the recovery.
func (sim *simulation) finish(end time.Duration) string {
	sim.runUntil(end)
	sim.endFaults()
	sim.runUntil(end + recoveryBound)
	if sim.violation != "" {
		return sim.violation
	}
	if units := sim.unheldUnits(); len(units) > 0 {
		return fmt.Sprintf("%v without an owner %v after the last fault", units, recoveryBound)
	}
	return ""
}

// modelRuns returns the number of scenarios to run. MULBERRYDRUM_MODEL_RUNS overrides it
// for longer runs.
func modelRuns(defaultRuns int) int {
	if n, err := strconv.Atoi(os.Getenv("MULBERRYDRUM_MODEL_RUNS")); err == nil {
		return n
	}
	return defaultRuns
}

func isLongRun() bool { return os.Getenv("MULBERRYDRUM_MODEL_RUNS") != "" }

// TestOneHolderAtATime guards against two processes that may act for one unit at the same
// true time, and against a unit that remains without an owner after the last fault.
func TestOneHolderAtATime(t *testing.T) {
	const parallel = 8
	runs := modelRuns(160)
	for part := range parallel {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < runs; seed += parallel {
				s := scenarios.Example(seed)
				if problem := s.run(seededFaults{}); problem != "" {
					t.Fatalf("seed %d: %s\n%+v", seed, problem, s)
				}
			}
		})
	}
}
