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
	measuredRuns    = 5
	callCountWindow = 10 * time.Second // over which store calls are counted
	// rebalanceTime is the time after a start until no more units are handed over:
	// the first handover is after ten seconds, then each owner hands over one unit
	// every 250 ms.
	rebalanceTime        = 20 * time.Second
	defaultTakeoverBound = 15 * time.Second // takeover with the default settings, from docs/design.md
)

// measurements collects the measured values of all runs, by name.
type measurements struct {
	mu     sync.Mutex
	values map[string][]float64
}

func (m *measurements) add(name string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[name] = append(m.values[name], value)
}

// log logs the median and the range of the values of each name.
func (m *measurements) log(t *testing.T) {
	var lines []string
	for name, values := range m.values {
		slices.Sort(values)
		lines = append(lines, fmt.Sprintf("%s: median %.2f, range %.2f to %.2f, %d runs", name, values[len(values)/2], values[0], values[len(values)-1], len(values)))
	}
	slices.Sort(lines)
	t.Log("\n" + strings.Join(lines, "\n"))
}

// TestMeasure measures the times that docs/design.md bounds, with the default
// settings. It guards against bounds that hold only with the short settings of the
// other tests.
func TestMeasure(t *testing.T) {
	if os.Getenv("MULBERRYDRUM_LONG") == "" {
		t.Skip("takes two minutes; set MULBERRYDRUM_LONG=1")
	}
	m := &measurements{values: map[string][]float64{}}
	t.Run("runs", func(t *testing.T) {
		for i := range measuredRuns {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				measureRun(t, m)
			})
		}
	})
	m.log(t)
}

func measureRun(t *testing.T, m *measurements) {
	c := processtest.Start(t, processtest.Options{Entries: 4, Workers: 6, Regions: []string{"flanders"},
		Adjust: func(_ int, s *settings.Settings) { s.RequestShards = 64 }})
	awaitService(t, c, newCaller(c, "leuven"))
	pause(rebalanceTime)
	countCalls(c, m, "idle")
	load := startMixedLoad(t, c)
	pause(time.Second)
	countCalls(c, m, "under 20 requests a second")
	measureWithdrawal(t, c, m)
	applied, began := replaceInDocument(t, c, c.Entries[0], "piping", `"max_run": "1h"`, `"max_run": "2h"`)
	last, _ := processtest.FirstMatch(c.CollectAll(), began, func(e timeline.Event) bool {
		return e.Type == timeline.ConfigInForce && e.Revision == applied.Revision
	})
	for _, e := range c.CollectAll() {
		if e.Type == timeline.ConfigInForce && e.Revision == applied.Revision {
			last = e
		}
	}
	m.add("seconds to a configuration in force everywhere", last.Clock.Wall.Sub(began).Seconds())
	killed, frozen := c.Entries[0], c.Entries[1]
	c.Collect(killed)
	units, killedAt := unitsHeldBy(c.Events(), killed.Settings.Instance), time.Now()
	killed.Kill()
	m.add("seconds without an owner after a kill", awaitTakeover(t, c, units, killedAt, defaultTakeoverBound).Seconds())
	c.StartEntry(killed)
	pause(rebalanceTime)
	c.Collect(frozen)
	units, frozenAt := unitsHeldBy(c.Events(), frozen.Settings.Instance), time.Now()
	frozen.Freeze()
	m.add("seconds without an owner after a freeze", awaitTakeover(t, c, units, frozenAt, defaultTakeoverBound).Seconds())
	pause(time.Until(frozenAt.Add(defaultTakeoverBound)))
	frozen.Resume()
	pause(3 * time.Second)
	awaitOutcomesAndCheck(t, c, load)
}

func countCalls(c *processtest.Cluster, m *measurements, state string) {
	before := c.StoreCalls()
	pause(callCountWindow)
	for call, n := range c.StoreCalls() {
		m.add(fmt.Sprintf("store calls a second %s, %s", state, call), float64(n-before[call])/callCountWindow.Seconds())
	}
}

func measureWithdrawal(t *testing.T, c *processtest.Cluster, m *measurements) {
	t.Helper()
	key := grantKey(t, c, c.Entries[0])
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	last := make([]time.Time, len(c.Entries))
	answered := make([]chan struct{}, len(c.Entries))
	var group sync.WaitGroup
	for i, e := range c.Entries {
		answered[i] = make(chan struct{})
		group.Go(func() { last[i] = probeUntilDone(ctx, e, key.Secret, answered[i]) })
	}
	for _, first := range answered {
		<-first
	}
	began := time.Now()
	if _, err := c.Entries[0].Operator.WithdrawKey(t.Context(), "leuven", key.ID); err != nil {
		t.Fatal(err)
	}
	pause(withdrawalBound)
	cancel()
	group.Wait()
	latest := slices.MaxFunc(last, time.Time.Compare).Sub(began)
	m.add("seconds from the call to the last request under a withdrawn key", latest.Seconds())
	if latest > withdrawalBound {
		t.Errorf("a key was accepted for %v after its withdrawal, want at most %v", latest, withdrawalBound)
	}
}
