package ownership

import (
	"testing"
	"time"
)

// TestTakeoverTimes guards against a unit that is without an owner for longer than
// docs/ownership.md states. It logs the times that this page lists.
func TestTakeoverTimes(t *testing.T) {
	cfg := modelConfig(nil)
	const delays = time.Second // watch, tick, store and stagger of the first successor
	cases := []struct {
		name   string
		script []trigger
		gap    time.Duration // longest time without an owner
		until  time.Duration // longest time from the fault to the next owner
	}{
		{"planned release", []trigger{inject("release", owner, 0, 0)}, delays, delays},
		{"owner crashes", []trigger{inject("crash", owner, 0, 300)}, cfg.plusClockError(cfg.LeaseTTL) + delays, cfg.plusClockError(cfg.LeaseTTL) + delays},
		{"owner and first successor crash", []trigger{inject("crash", owner, 0, 300), inject("crash", firstSuccessor, 0, 300)},
			cfg.plusClockError(cfg.LeaseTTL) + cfg.Stagger + delays, cfg.plusClockError(cfg.LeaseTTL) + cfg.Stagger + delays},
		{"owner restarts in 1 s", []trigger{inject("crash", owner, 0, 1)}, time.Second + cfg.plusClockError(cfg.LeaseTTL) + delays, time.Second + cfg.plusClockError(cfg.LeaseTTL) + delays},
		{"owner cut off from all", []trigger{inject("isolate", owner, 0, 300)}, cfg.KeepAliveInterval + delays, cfg.plusClockError(cfg.LeaseTTL) + delays},
		{"owner cut off from the store", []trigger{inject("cut", owner, 0, 300)}, 2 * delays,
			cfg.plusClockError(cfg.LeaseTTL+cfg.PromiseWindow) + cfg.absenceGracePeriod() + delays},
		{"owner paused for 60 s", []trigger{inject("freeze", owner, 0, 60)}, cfg.KeepAliveInterval + delays, cfg.plusClockError(cfg.LeaseTTL) + delays},
		{"owner and successors restart in 1 s", []trigger{inject("crash", owner, 0, 1), inject("crash", firstSuccessor, 0, 1), inject("crash", secondSuccessor, 0, 1)},
			time.Second + cfg.plusClockError(cfg.LeaseTTL) + delays, time.Second + cfg.plusClockError(cfg.LeaseTTL) + delays},
		{"all instances restart in 1 s", []trigger{inject("crash", 0, 0, 1), inject("crash", 1, 0, 1), inject("crash", 2, 0, 1), inject("crash", 3, 0, 1), inject("crash", 4, 0, 1)},
			time.Second + cfg.plusClockError(cfg.LeaseTTL) + delays, time.Second + cfg.plusClockError(cfg.LeaseTTL) + delays},
		{"only the successors come back", []trigger{inject("crash", owner, 0, 300), inject("crash", firstSuccessor, 0, 1), inject("crash", secondSuccessor, 0, 1)},
			time.Second + cfg.plusClockError(cfg.PromiseWindow+cfg.LeaseTTL) + delays, time.Second + cfg.plusClockError(cfg.PromiseWindow+cfg.LeaseTTL) + delays},
		{"owner and successors permanently gone", []trigger{inject("gone", owner, 0, 0), inject("gone", firstSuccessor, 0, 0), inject("gone", secondSuccessor, 0, 0)},
			cfg.plusClockError(cfg.ListLag+cfg.PromiseWindow+cfg.LeaseTTL) + 15*time.Second + delays, cfg.plusClockError(cfg.ListLag+cfg.PromiseWindow+cfg.LeaseTTL) + 15*time.Second + delays},
		{"store down for 60 s", []trigger{inject("outage", owner, 0, 60)}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var longestGap, longest time.Duration
			for seed := range uint64(10) {
				gap, until := measureGap(t, seed, c.script)
				longestGap, longest = max(longestGap, gap), max(longest, until)
			}
			t.Logf("longest time without an owner %v (bound %v), from the fault to the next owner %v (bound %v)", longestGap, c.gap, longest, c.until)
			if longestGap > c.gap || longest > c.until {
				t.Error("the time without an owner or the time to the next owner exceeds its bound")
			}
		})
	}
}

// measureGap returns the time from the fault until another incarnation holds w/a/0
// (until), and how long the unit had no holder in that time (gap). It returns zeros if the
// owner holds the unit throughout 80 s.
func measureGap(t *testing.T, seed uint64, script []trigger) (gap, until time.Duration) {
	const sample = 10 * time.Millisecond
	sim := newSimulation(seed, seededFaults{})
	sim.runUntil(warmUp)
	roles, ok := sim.nodesByRole("w/a/0")
	if !ok {
		t.Fatal("w/a/0 has no owner with two successors at the end of the warm-up")
	}
	for _, tr := range script {
		f := tr.fault
		f.Node = roles[f.Node].index
		sim.injectFault(f)
	}
	sim.units = []string{"w/a/0"}
	former := roles[owner].self.Incarnation
	for sim.now < warmUp+80*time.Second && sim.violation == "" {
		sim.runUntil(sim.now + sample)
		switch holder := sim.holder("w/a/0"); holder {
		case former:
		case "":
			gap += sample
		default:
			return gap, sim.now - warmUp
		}
	}
	if sim.violation != "" || gap > 0 {
		t.Errorf("violation %q, no other owner within 80 s, without an owner for %v", sim.violation, gap)
	}
	return 0, 0
}

// holder returns the incarnation that holds the unit, or "".
func (sim *simulation) holder(unit string) string {
	for _, n := range sim.nodes {
		if n.up {
			if _, ok := n.table.Holds(n.clock(), unit); ok {
				return n.self.Incarnation
			}
		}
	}
	return ""
}
