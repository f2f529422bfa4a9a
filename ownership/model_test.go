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
	Unit     string // of a delayed write; empty for any
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

// newWorld returns five nodes in two regions; the store is in the second. Clock
// rates are at or within the configured drift.
func newWorld(seed uint64, seeded seededFaults) *world {
	w := &world{tickEvery: 100 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)), faults: seeded, units: []string{"w/a/0", "h/0", "h/1"}}
	w.store = modelStore{rate: w.clockRate(), records: map[string]Record{}, members: map[string]memberKey{}, leases: map[int64]time.Duration{}}
	for i := range 5 {
		region := "a"
		if i >= 3 {
			region = "b"
		}
		name := fmt.Sprintf("n%d", i)
		n := &node{w: w, index: i, rate: w.clockRate(), clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
		n.self = membership.Member{Instance: name, Region: region, FailureDomain: name}
		w.nodes = append(w.nodes, n)
		w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), n.start)
	}
	return w
}

func (w *world) clockRate() float64 {
	return []float64{0.99, 1.01, 0.99 + 0.02*w.rng.Float64()}[w.rng.IntN(3)]
}

// injectFault injects a fault now and ends it after its duration.
func (w *world) injectFault(f fault) {
	n := w.nodes[f.Node]
	switch f.Kind {
	case "freeze":
		n.frozenUntil = max(n.frozenUntil, w.now+f.Duration)
	case "crash":
		n.up = false
		w.after(f.Duration, func() {
			if !n.up && !n.removed {
				n.start()
			}
		})
	case "gone":
		if w.liveCount() > 2 {
			n.up, n.removed = false, true
		}
	case "outage":
		w.store.down = true
		w.after(f.Duration, func() { w.store.down = false })
	case "cut":
		n.cutOff = true
		w.after(f.Duration, func() { n.cutOff = false })
	case "isolate":
		n.cutOff, n.isolated = true, true
		w.after(f.Duration, func() { n.cutOff, n.isolated = false, false })
	case "region":
		w.cutRegion(true)
		w.after(f.Duration, func() { w.cutRegion(false) })
	case "lag":
		n.watchLag = f.Duration
		w.after(f.Duration, func() { n.watchLag = 0 })
	case "slow":
		n.replyDelay = min(f.Duration, callTimeout-100*time.Millisecond)
		w.after(f.Duration, func() { n.replyDelay = 0 })
	case "hold":
		n.nextWriteDelay, n.nextWriteUnit = f.Duration, f.Unit
	case "late":
		was := w.lateness
		w.lateness = 0.5
		w.after(f.Duration, func() { w.lateness = was })
	case "lossy":
		was := w.loss
		w.loss = 0.5
		w.after(f.Duration, func() { w.loss = was })
	case "force":
		if n.up {
			n.table.Force(n.clock(), f.Unit)
		}
	case "release":
		if n.up {
			for _, unit := range w.units {
				n.table.Release(n.clock(), unit)
			}
		}
	}
}

func (w *world) liveCount() (count int) {
	for _, n := range w.nodes {
		if !n.removed {
			count++
		}
	}
	return count
}

func (w *world) cutRegion(cut bool) {
	for _, n := range w.nodes {
		if n.self.Region == "a" {
			n.cutOff = cut
		}
	}
}

// endFaults ends every fault and starts every node that is down and not removed.
func (w *world) endFaults() {
	w.store.down, w.lateness, w.loss = false, 0, 0
	for _, n := range w.nodes {
		n.cutOff, n.isolated, n.frozenUntil, n.watchLag, n.replyDelay, n.nextWriteDelay = false, false, 0, 0, 0, 0
		if !n.up && !n.removed {
			n.start()
		}
	}
}

// run simulates the scenario and returns the violated property, or "".
func (s scenario) run(seeded seededFaults) string {
	w := newWorld(s.Seed, seeded)
	w.lateness, w.loss = s.Lateness, s.Loss
	end := 62 * time.Second
	for _, f := range s.Faults {
		w.after(f.At, func() { w.injectFault(f) })
		end = max(end, f.At+f.Duration)
	}
	return w.finish(end)
}

// finish runs until the given time, ends the faults and checks the recovery.
func (w *world) finish(end time.Duration) string {
	w.runUntil(end)
	w.endFaults()
	w.runUntil(end + recoveryBound)
	if w.violation != "" {
		return w.violation
	}
	if units := w.unheldUnits(); len(units) > 0 {
		return fmt.Sprintf("%v without an owner %v after the last fault", units, recoveryBound)
	}
	return ""
}

// modelRuns returns the number of scenarios. MULBERRYDRUM_MODEL_RUNS overrides it for
// longer runs.
func modelRuns(normal int) int {
	if n, err := strconv.Atoi(os.Getenv("MULBERRYDRUM_MODEL_RUNS")); err == nil {
		return n
	}
	return normal
}

func isLongRun() bool { return os.Getenv("MULBERRYDRUM_MODEL_RUNS") != "" }

// TestOneHolderAtATime guards against two processes that act for one unit at the same
// true time, and against a unit that remains without an owner.
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
