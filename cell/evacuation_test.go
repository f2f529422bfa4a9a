package cell

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// startsTask reports whether a job that is submitted now starts a task within a second.
func (h *harness) startsTask(id job.ID) bool {
	h.t.Helper()
	effects := h.apply(RequestReceived{Token: 1, Request: Submit{submission(id, 30)}})
	for range 50 {
		if starts, _ := grants(effects); starts {
			return true
		}
		h.now = h.now.Add(20 * time.Millisecond)
		h.renew()
		effects = append(h.readStore(), h.apply(Tick{})...)
	}
	return false
}

// TestEvacuationOfNewOwner guards against an owner that forgets the evacuations which it learned before
// it took over, and against an older set that replaces a newer one.
func TestEvacuationOfNewOwner(t *testing.T) {
	h := newHarness(t)
	h.apply(EvacuationsRead{job.Evacuations{Domains: []string{"z"}, Revision: 15}})
	h.becomeReadyOwner()
	if h.startsTask("00000000000000e1") {
		t.Error("a new owner starts a task in an evacuated failure domain")
	}
	h.apply(EvacuationsRead{job.Evacuations{Revision: 14}})
	if h.startsTask("00000000000000e2") {
		t.Error("an older set of evacuations replaces the one in force")
	}
	h.apply(EvacuationsRead{job.Evacuations{Revision: 16}})
	if !h.startsTask("00000000000000e3") {
		t.Error("no task starts after the end of the evacuation")
	}
}
