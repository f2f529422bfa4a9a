package endtoend

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// takeoverBound is the maximum time from the failure of an owner until its units
// have new owners: the store lease TTL, the promise window, and 4 s for the keepalive
// interval, the list lag and margins. The same sum with the default settings is
// about 15 s, according to docs/design.md.
const takeoverBound = storeLeaseTTL + promiseWindow + 4*time.Second

// unitsHeldBy returns the units that an instance holds according to the timeline.
func unitsHeldBy(events []timeline.Event, instance string) []string {
	holder := map[string]string{}
	for _, e := range events {
		if e.Type == timeline.OwnershipTaken {
			holder[e.Partition] = e.Instance
		}
	}
	var units []string
	for unit, owner := range holder {
		if owner == instance {
			units = append(units, unit)
		}
	}
	slices.Sort(units)
	return units
}

// lastTakeover returns when the last of the units was taken over after a time, and
// the units that were not taken over.
func lastTakeover(events []timeline.Event, units []string, after time.Time) (last time.Time, missing []string) {
	for _, unit := range units {
		e, ok := processtest.FirstMatch(events, after, func(e timeline.Event) bool {
			return e.Type == timeline.OwnershipTaken && e.Partition == unit
		})
		if !ok {
			missing = append(missing, unit)
		}
		if e.Clock.Wall.After(last) {
			last = e.Clock.Wall
		}
	}
	return last, missing
}

// awaitTakeover waits until all units have a new owner, and returns how long the
// last of them was without one.
func awaitTakeover(t *testing.T, c *processtest.Cluster, units []string, since time.Time, bound time.Duration) time.Duration {
	t.Helper()
	var last time.Time
	var missing []string
	deadline := since.Add(bound + 3*time.Second) // 3 s to fetch the timeline
	for last, missing = lastTakeover(c.Events(), units, since); len(missing) > 0; last, missing = lastTakeover(c.Events(), units, since) {
		if time.Now().After(deadline) {
			t.Fatalf("units %v of %d had no new owner within %v", missing, len(units), bound)
		}
		pause(100 * time.Millisecond)
	}
	downtime := last.Sub(since)
	if downtime > bound {
		t.Errorf("units were without an owner for %v, want at most %v", downtime, bound)
	}
	return downtime
}

// TestKill guards against work that is lost, duplicated or answered wrongly when
// entry instances are killed under load, and against units that stay without an
// owner.
func TestKill(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		count int
		bound time.Duration
	}{
		{"one", 1, takeoverBound},
		{"two", 2, takeoverBound},
		{"all", 4, takeoverBound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 4, 6)
			load := startMixedLoad(t, c)
			pause(3 * time.Second)
			killed := c.Entries[:tc.count]
			var units []string
			for _, e := range killed {
				c.Collect(e)
			}
			for _, e := range killed {
				units = append(units, unitsHeldBy(c.Events(), e.Settings.Instance)...)
			}
			killedAt := time.Now()
			for _, e := range killed {
				e.Kill()
			}
			if tc.count < len(c.Entries) {
				t.Logf("%d units without an owner for %v after the kill", len(units), awaitTakeover(t, c, units, killedAt, tc.bound))
			}
			for _, e := range killed {
				c.StartEntry(e)
			}
			if tc.count == len(c.Entries) {
				t.Logf("%d units without an owner for %v after the kill of all", len(units), awaitTakeover(t, c, units, killedAt, tc.bound))
			}
			awaitService(t, c, newCaller(c, "leuven"))
			pause(2 * time.Second)
			t.Logf("first answer %v after the kill", timeToFirstAnswer(awaitOutcomesAndCheck(t, c, load), killedAt))
		})
	}
}

// TestFreeze guards against an owner that resumes after a pause longer than its
// term and still acts on its units, and against a pause shorter than the term that
// loses or duplicates work.
func TestFreeze(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		duration time.Duration
	}{
		{"longer than the term", 25 * time.Second},
		{"shorter than the term", time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 4, 6)
			load := startMixedLoad(t, c)
			pause(3 * time.Second)
			frozen := c.Entries[0]
			c.Collect(frozen)
			units := unitsHeldBy(c.Events(), frozen.Settings.Instance)
			frozenAt := time.Now()
			frozen.Freeze()
			if tc.duration > takeoverBound {
				t.Logf("%d units without an owner for %v after the freeze", len(units), awaitTakeover(t, c, units, frozenAt, takeoverBound))
			}
			pause(time.Until(frozenAt.Add(tc.duration)))
			frozen.Resume()
			pause(4 * time.Second)
			awaitOutcomesAndCheck(t, c, load)
		})
	}
}
