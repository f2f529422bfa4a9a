package ownership

import (
	"testing"
	"time"
)

// TestTakeoverTimes guards against a unit that stays without an owner for
// longer than docs/ownership.md states. It prints the times on that page.
func TestTakeoverTimes(t *testing.T) {
	cfg := modelConfig(nil)
	const delays = time.Second // watch, tick, store and stagger of the first successor
	cases := []struct {
		name   string
		script []trigger
		gap    time.Duration // longest time without an owner
		until  time.Duration // longest time from the fault to the next owner
	}{
		{"planned release", []trigger{do("release", owner, 0, 0)}, delays, delays},
		{"owner crashes", []trigger{do("crash", owner, 0, 300)}, cfg.lengthen(cfg.LeaseTTL) + delays, cfg.lengthen(cfg.LeaseTTL) + delays},
		{"owner and first successor crash", []trigger{do("crash", owner, 0, 300), do("crash", first, 0, 300)},
			cfg.lengthen(cfg.LeaseTTL) + cfg.Stagger + delays, cfg.lengthen(cfg.LeaseTTL) + cfg.Stagger + delays},
		{"owner restarts in 1 s", []trigger{do("crash", owner, 0, 1)}, time.Second + cfg.lengthen(cfg.LeaseTTL) + delays, time.Second + cfg.lengthen(cfg.LeaseTTL) + delays},
		{"owner cut off from all", []trigger{do("isolate", owner, 0, 300)}, cfg.KeepAliveInterval + delays, cfg.lengthen(cfg.LeaseTTL) + delays},
		{"owner cut off from the store", []trigger{do("cut", owner, 0, 300)}, 2 * delays,
			cfg.lengthen(cfg.LeaseTTL+cfg.PromiseWindow) + cfg.absenceGrace() + delays},
		{"owner paused for 60 s", []trigger{do("freeze", owner, 0, 60)}, cfg.KeepAliveInterval + delays, cfg.lengthen(cfg.LeaseTTL) + delays},
		{"owner and successors restart in 1 s", []trigger{do("crash", owner, 0, 1), do("crash", first, 0, 1), do("crash", second, 0, 1)},
			time.Second + cfg.lengthen(cfg.LeaseTTL) + delays, time.Second + cfg.lengthen(cfg.LeaseTTL) + delays},
		{"all instances restart in 1 s", []trigger{do("crash", 0, 0, 1), do("crash", 1, 0, 1), do("crash", 2, 0, 1), do("crash", 3, 0, 1), do("crash", 4, 0, 1)},
			time.Second + cfg.lengthen(cfg.LeaseTTL) + delays, time.Second + cfg.lengthen(cfg.LeaseTTL) + delays},
		{"only the successors come back", []trigger{do("crash", owner, 0, 300), do("crash", first, 0, 1), do("crash", second, 0, 1)},
			time.Second + cfg.lengthen(cfg.PromiseWindow+cfg.LeaseTTL) + delays, time.Second + cfg.lengthen(cfg.PromiseWindow+cfg.LeaseTTL) + delays},
		{"all three gone for good", []trigger{do("gone", owner, 0, 0), do("gone", first, 0, 0), do("gone", second, 0, 0)},
			cfg.lengthen(cfg.ListLag+cfg.PromiseWindow+cfg.LeaseTTL) + 15*time.Second + delays, cfg.lengthen(cfg.ListLag+cfg.PromiseWindow+cfg.LeaseTTL) + 15*time.Second + delays},
		{"store down for 60 s", []trigger{do("outage", owner, 0, 60)}, 0, 0},
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
				t.Error("longer than the bound")
			}
		})
	}
}

// measureGap returns when the next incarnation held w/a/0 after the fault, and
// for how long nobody did until then. It returns zeros if the owner keeps the
// unit for 80 s.
func measureGap(t *testing.T, seed uint64, script []trigger) (gap, until time.Duration) {
	const sample = 10 * time.Millisecond
	w := newWorld(seed, faults{})
	w.runUntil(settled)
	roles, ok := w.roles("w/a/0")
	if !ok {
		t.Fatal("no owner with two successors")
	}
	for _, tr := range script {
		f := tr.fault
		f.Node = roles[f.Node].index
		w.apply(f)
	}
	w.units = []string{"w/a/0"}
	former := roles[owner].self.Incarnation
	for w.now < settled+80*time.Second && w.violation == "" {
		w.runUntil(w.now + sample)
		switch holder := w.holder("w/a/0"); holder {
		case former:
		case "":
			gap += sample
		default:
			return gap, w.now - settled
		}
	}
	if w.violation != "" || gap > 0 {
		t.Errorf("%s; without an owner for %v", w.violation, gap)
	}
	return 0, 0
}

// holder returns the incarnation that holds the unit, or "".
func (w *world) holder(unit string) string {
	for _, n := range w.nodes {
		if n.up {
			if _, ok := n.table.Holds(n.clock(), unit); ok {
				return n.self.Incarnation
			}
		}
	}
	return ""
}
