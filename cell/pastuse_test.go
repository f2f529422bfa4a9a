package cell

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestPastUse guards against a new owner that does not continue the past use of its predecessor, and
// against metrics of past use on an instance that is not the owner any more.
func TestPastUse(t *testing.T) {
	h := newHarness(t)
	h.state.cfg.Schedule.PastUseHalfLife = time.Hour
	ledger := pastuse.New(time.Hour)
	ledger.SetCapacity(h.now, task.Resources{CPUMilli: 1000})
	ledger.SetRunning(h.now, "red", task.Resources{CPUMilli: 1000})
	h.becomeOwner(Recovery{PastUse: ledger.Record(h.now.Add(time.Hour), h.now)})
	shown, found := ShowPastUse{}, false
	for range 60 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.renew()
		if effect, ok := findEffect[ShowPastUse](h.apply(Tick{})); ok {
			shown, found = effect, true
		}
	}
	if !found || len(shown.Teams) != 1 || shown.Teams[0].Team != "red" || shown.Teams[0].Use < 0.49 || shown.Teams[0].Use > 0.5 {
		t.Errorf("the owner shows the past use %+v, want 0.5 of team red", shown.Teams)
	}
	shown, found = findEffect[ShowPastUse](h.apply(OwnerObserved{Found: true, Owner: Owner{Instance: "e2"}, Revision: 11}))
	if h.state.core != nil || !found || len(shown.Teams) != 0 {
		t.Errorf("a former owner shows the past use %+v (%v), want none", shown.Teams, found)
	}
}
