package endtoend

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// TestSilentStoreConnections guards against an instance that waits on connections
// to the store which have gone silent while new ones work: it must learn of
// changes in time, keep its units, and lose or double no work.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	c := processtest.Start(t, processtest.Options{Entries: 4, Workers: 6, Regions: []string{"flanders"}, StoreRelays: true, Adjust: short})
	awaitService(t, c, callerOf(c, "leuven"))
	// The first change waits until the instance may change the configuration.
	apply(t, c, c.Entries[1], "piping", `"max_run": "1h"`, `"max_run": "90m"`)
	load := startMixed(t, c)
	settled(2 * time.Second)
	silenced := c.Entries[0]
	silencedAt := time.Now()
	c.SilenceStore(silenced)
	applied, began := apply(t, c, c.Entries[1], "piping", `"max_run": "90m"`, `"max_run": "2h"`)
	var seen timeline.Event
	c.Eventually(configBound+2*time.Second, "the change is in force on the instance", func() bool {
		var ok bool
		seen, ok = processtest.First(c.Events(), silencedAt, func(e timeline.Event) bool {
			return e.Type == timeline.ConfigInForce && e.Instance == silenced.Settings.Instance && e.Revision == applied.Revision
		})
		return ok
	})
	after := seen.Clock.Wall.Sub(began)
	t.Logf("the change was in force on %s %v after the call", silenced.Settings.Instance, after.Round(time.Millisecond))
	if after > configBound {
		t.Errorf("in force after %v, want at most %v", after, configBound)
	}
	settled(3 * time.Second)
	for _, r := range finish(t, c, load) {
		if r.First != nil && r.At.After(silencedAt.Add(configBound)) {
			t.Errorf("%s %s: still told %v", r.Class, r.Key, errkind.From(r.First))
		}
	}
}
