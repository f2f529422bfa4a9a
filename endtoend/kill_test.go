package endtoend

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// takeoverBound is the time from the death of an owner until its units have new
// owners: the store lease, the promise window, and the keepalive interval, list
// lag and margins around them. With the default settings the design page says
// about 15 s; the sum of the same terms is used here.
const takeoverBound = storeTerm + promiseWindow + 4*time.Second

// unitsOf returns the units that an instance holds by the time line.
func unitsOf(events []timeline.Event, instance string) []string {
	holder := map[string]string{}
	for _, e := range events {
		if e.Type == timeline.OwnershipTaken {
			holder[e.Partition] = e.Instance
		}
	}
	var units []string
	for unit, by := range holder {
		if by == instance {
			units = append(units, unit)
		}
	}
	slices.Sort(units)
	return units
}

// taken returns when the last of some units was taken after a time, and those
// that were not.
func taken(events []timeline.Event, units []string, after time.Time) (last time.Time, missing []string) {
	for _, unit := range units {
		e, ok := processtest.First(events, after, func(e timeline.Event) bool {
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

// awaitTakeover returns how long units were without an owner.
func awaitTakeover(t *testing.T, c *processtest.Cluster, units []string, since time.Time, bound time.Duration) time.Duration {
	t.Helper()
	var last time.Time
	var missing []string
	deadline := since.Add(bound + 3*time.Second) // time to fetch the time line
	for last, missing = taken(c.Events(), units, since); len(missing) > 0; last, missing = taken(c.Events(), units, since) {
		if time.Now().After(deadline) {
			t.Fatalf("no new owners of %v of %d units within %v", missing, len(units), bound)
		}
		settled(100 * time.Millisecond)
	}
	without := last.Sub(since)
	if without > bound {
		t.Errorf("units were without an owner for %v, want at most %v", without, bound)
	}
	return without
}

// TestKill guards against work that is lost, doubled or answered wrongly when
// entry instances die under load, and against units that stay without an owner.
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
			load := startMixed(t, c)
			settled(3 * time.Second)
			victims := c.Entries[:tc.count]
			var units []string
			for _, e := range victims {
				c.Collect(e)
			}
			for _, e := range victims {
				units = append(units, unitsOf(c.Events(), e.Settings.Instance)...)
			}
			killedAt := time.Now()
			for _, e := range victims {
				e.Kill()
			}
			if tc.count < len(c.Entries) {
				t.Logf("%d units without an owner for %v after the kill", len(units), awaitTakeover(t, c, units, killedAt, tc.bound))
			}
			for _, e := range victims {
				c.StartEntry(e)
			}
			if tc.count == len(c.Entries) {
				t.Logf("%d units without an owner for %v after the kill of all", len(units), awaitTakeover(t, c, units, killedAt, tc.bound))
			}
			awaitService(t, c, callerOf(c, "leuven"))
			settled(2 * time.Second)
			t.Logf("first answer %v after the kill", unanswered(finish(t, c, load), killedAt))
		})
	}
}

// TestFreeze guards against an owner that does harm when it runs again after a
// pause longer than its term, and against a pause shorter than its term that
// loses or doubles work.
func TestFreeze(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		last time.Duration
	}{
		{"longer than the term", 25 * time.Second},
		{"shorter than the term", time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 4, 6)
			load := startMixed(t, c)
			settled(3 * time.Second)
			victim := c.Entries[0]
			c.Collect(victim)
			units := unitsOf(c.Events(), victim.Settings.Instance)
			frozenAt := time.Now()
			victim.Freeze()
			if tc.last > takeoverBound {
				t.Logf("%d units without an owner for %v after the freeze", len(units), awaitTakeover(t, c, units, frozenAt, takeoverBound))
			}
			settled(time.Until(frozenAt.Add(tc.last)))
			victim.Resume()
			settled(4 * time.Second)
			finish(t, c, load)
		})
	}
}
