package endtoend

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

const (
	measuredRuns = 5
	measuredSpan = 10 * time.Second // of a count of store calls
	// unitsMove is the time until no unit moves any more after a start: ten seconds
	// until the first one, then one every 250 ms from each owner.
	unitsMove     = 20 * time.Second
	ordinaryBound = 15 * time.Second // of a takeover with the default settings, by the design page
)

// figures collects the measured values of all runs by name.
type figures struct {
	mu     sync.Mutex
	values map[string][]float64
}

func (f *figures) add(name string, value float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values[name] = append(f.values[name], value)
}

// print writes the median and the range of each figure.
func (f *figures) print(t *testing.T) {
	var lines []string
	for name, values := range f.values {
		slices.Sort(values)
		lines = append(lines, fmt.Sprintf("%s: median %.2f, range %.2f to %.2f, %d runs", name, values[len(values)/2], values[0], values[len(values)-1], len(values)))
	}
	slices.Sort(lines)
	t.Log("\n" + strings.Join(lines, "\n"))
}

// TestMeasure measures with the default settings what the design page bounds. It
// guards against a bound that holds only with the short settings of other tests.
func TestMeasure(t *testing.T) {
	if os.Getenv("MULBERRYDRUM_LONG") == "" {
		t.Skip("takes two minutes; set MULBERRYDRUM_LONG=1")
	}
	f := &figures{values: map[string][]float64{}}
	t.Run("runs", func(t *testing.T) {
		for i := range measuredRuns {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				measure(t, f)
			})
		}
	})
	f.print(t)
}

func measure(t *testing.T, f *figures) {
	c := processtest.Start(t, processtest.Options{Entries: 4, Workers: 6, Regions: []string{"flanders"},
		Adjust: func(_ int, s *settings.Settings) { s.RequestShards = 64 }})
	awaitService(t, c, callerOf(c, "leuven"))
	settled(unitsMove)
	countCalls(c, f, "idle")
	load := startMixed(t, c)
	settled(time.Second)
	countCalls(c, f, "under 20 requests a second")
	measureWithdrawal(t, c, f)
	applied, began := apply(t, c, c.Entries[0], "piping", `"max_run": "1h"`, `"max_run": "2h"`)
	last, _ := processtest.First(c.Latest(), began, func(e timeline.Event) bool {
		return e.Type == timeline.ConfigInForce && e.Revision == applied.Revision
	})
	for _, e := range c.Latest() {
		if e.Type == timeline.ConfigInForce && e.Revision == applied.Revision {
			last = e
		}
	}
	f.add("seconds to a configuration in force everywhere", last.Clock.Wall.Sub(began).Seconds())
	victim, frozen := c.Entries[0], c.Entries[1]
	c.Collect(victim)
	units, killedAt := unitsOf(c.Events(), victim.Settings.Instance), time.Now()
	victim.Kill()
	f.add("seconds without an owner after a kill", awaitTakeover(t, c, units, killedAt, ordinaryBound).Seconds())
	c.StartEntry(victim)
	settled(unitsMove)
	c.Collect(frozen)
	units, frozenAt := unitsOf(c.Events(), frozen.Settings.Instance), time.Now()
	frozen.Freeze()
	f.add("seconds without an owner after a freeze", awaitTakeover(t, c, units, frozenAt, ordinaryBound).Seconds())
	settled(time.Until(frozenAt.Add(ordinaryBound)))
	frozen.Resume()
	settled(3 * time.Second)
	finish(t, c, load)
}

func countCalls(c *processtest.Cluster, f *figures, state string) {
	before := c.StoreCalls()
	settled(measuredSpan)
	for call, n := range c.StoreCalls() {
		f.add(fmt.Sprintf("store calls a second %s, %s", state, call), float64(n-before[call])/measuredSpan.Seconds())
	}
}

func measureWithdrawal(t *testing.T, c *processtest.Cluster, f *figures) {
	t.Helper()
	key := grant(t, c, c.Entries[0])
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	last := make([]time.Time, len(c.Entries))
	answered := make([]chan struct{}, len(c.Entries))
	var group sync.WaitGroup
	for i, e := range c.Entries {
		answered[i] = make(chan struct{})
		group.Go(func() { last[i] = probe(ctx, e, key.Secret, answered[i]) })
	}
	for _, first := range answered {
		<-first
	}
	began := time.Now()
	if _, err := c.Entries[0].Operator.WithdrawKey(t.Context(), "leuven", key.ID); err != nil {
		t.Fatal(err)
	}
	settled(withdrawalBound)
	cancel()
	group.Wait()
	latest := slices.MaxFunc(last, time.Time.Compare).Sub(began)
	f.add("seconds from the call to the last request under a withdrawn key", latest.Seconds())
	if latest > withdrawalBound {
		t.Errorf("a withdrawn key worked for %v, want at most %v", latest, withdrawalBound)
	}
}
