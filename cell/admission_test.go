package cell

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// TestAdmissionQuery guards against rejections by an instance that is not the owner, or is not yet: it
// does not know the backlog.
func TestAdmissionQuery(t *testing.T) {
	query := AdmissionQuery{Job: &job.Job{ID: "00000000000000a0", Queue: "q", Steps: []job.Step{{Count: 1, Estimate: time.Second}}}}
	ask := func(h *harness) Reply {
		answer, ok := findEffect[Answer](h.apply(RequestReceived{Token: 7, Request: query}))
		if !ok || answer.Token != 7 {
			t.Fatal("no answer")
		}
		return answer.Reply
	}
	h := newHarness(t)
	if reply := ask(h); !reply.NotOwner || reply.Admission.Rejected {
		t.Errorf("a follower answers %+v", reply)
	}
	h.state.cfg.Schedule.Forecast = true
	h.becomeOwner(Recovery{})
	h.renew()
	if reply := ask(h); reply.NotOwner || !reply.Found || reply.Admission.Rejected {
		t.Errorf("a new owner answers %+v, want admitted", reply)
	}
}
