package endtoend

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// TestSilentStoreConnections guards against an instance that waits on stalled
// connections to the store although new ones work. The instance must apply
// configuration changes in time, keep its units, and neither lose nor duplicate
// work.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	c := processtest.Start(t, processtest.Options{Entries: 4, Workers: 6, Regions: []string{"flanders"}, StoreRelays: true, Adjust: shortTimeouts})
	awaitService(t, c, newCaller(c, "leuven"))
	// This change is retried until the instance accepts configuration changes.
	replaceInDocument(t, c, c.Entries[1], "piping", `"max_run": "1h"`, `"max_run": "90m"`)
	load := startMixedLoad(t, c)
	pause(2 * time.Second)
	stalled := c.Entries[0]
	stalledAt := time.Now()
	c.StallStoreConnections(stalled)
	applied, began := replaceInDocument(t, c, c.Entries[1], "piping", `"max_run": "90m"`, `"max_run": "2h"`)
	var seen timeline.Event
	c.Eventually(configBound+2*time.Second, "the change is in force on the instance with stalled connections", func() bool {
		var ok bool
		seen, ok = processtest.FirstMatch(c.Events(), stalledAt, func(e timeline.Event) bool {
			return e.Type == timeline.ConfigInForce && e.Instance == stalled.Settings.Instance && e.Revision == applied.Revision
		})
		return ok
	})
	delay := seen.Clock.Wall.Sub(began)
	t.Logf("the change was in force on %s %v after the call", stalled.Settings.Instance, delay.Round(time.Millisecond))
	if delay > configBound {
		t.Errorf("in force after %v, want at most %v", delay, configBound)
	}
	pause(3 * time.Second)
	for _, r := range awaitOutcomesAndCheck(t, c, load) {
		if r.SubmitErr != nil && r.SentAt.After(stalledAt.Add(configBound)) {
			t.Errorf("%s %s: still failed after the bound: %v", r.Class, r.Key, errkind.From(r.SubmitErr))
		}
	}
}
