package control

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
)

var gangSpec = task.Spec{Team: "team-0", Service: "s", Class: "c", Kind: task.Gang, Count: 3, IdempotencyKey: "gang",
	Size: task.Resources{CPUMilli: 250, MemoryMB: 256, Slots: 1}}

// submitGang submits a gang of three tasks and returns the key of the job and its dispatched
// attempts.
func submitGang(t *testing.T, h *harness) (ledger.JobKey, []task.Attempt) {
	t.Helper()
	spec := gangSpec
	spec.SubmittedAt = h.now
	lastToken++
	h.apply(PeerCall{Token: lastToken, Request: SubmitRequest{Spec: spec}})
	job := ledger.KeyOf(&spec)
	record, ok := h.state.home.ledger.Find(h.state.home.shardOf(job), job)
	if !ok {
		t.Fatalf("gang %s is not recorded", job)
	}
	var attempts []task.Attempt
	for i := range record.Tasks {
		if record.Tasks[i].State != task.Dispatched {
			t.Fatalf("state of task %d = %s, want %s", i, record.Tasks[i].State, task.Dispatched)
		}
		attempts = append(attempts, record.AttemptOf(i))
	}
	return job, attempts
}

// expectFinished advances the clock by 30 s and checks that every task of a gang has finished.
func expectFinished(t *testing.T, h *harness, job ledger.JobKey) {
	t.Helper()
	for range 1500 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.apply(Tick{})
	}
	record, _ := h.state.home.ledger.Find(h.state.home.shardOf(job), job)
	for i := range record.Tasks {
		if ts := &record.Tasks[i]; ts.State != task.Finished {
			t.Errorf("state of task %d = %s after attempt %d, want finished; outcome %+v", i, ts.State, ts.Attempt, ts.Outcome)
		}
	}
}

// TestGangResumesAfterMemberFinished guards against a gang that is never dispatched again. It
// happens if the last open member finishes after another member was lost.
func TestGangResumesAfterMemberFinished(t *testing.T) {
	h := newHarness(12, 4, 1)
	started := 0
	h.dropEffect = func(e Effect) bool {
		start, ok := e.(StartTask)
		if !ok || start.Attempt.Number > 1 {
			return false
		}
		started++
		return true
	}
	job, attempts := submitGang(t, h)
	for range 500 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.apply(Tick{})
	}
	if started != len(attempts) {
		t.Fatalf("%d of %d gang members were started", started, len(attempts))
	}
	outcomes := []task.Outcome{
		{State: task.Unknown, Reason: string(errkind.WorkerLost)},
		{State: task.Finished, Reason: string(errkind.WorkerLost)},
		{State: task.Finished},
	}
	for i, outcome := range outcomes {
		outcome.Attempt = attempts[i]
		lastToken++
		h.apply(PeerCall{Token: lastToken, Request: ReportRequest{Reports: []AttemptReport{{Attempt: attempts[i], Job: job, Index: i, Outcome: &outcome}}}})
	}
	expectFinished(t, h, job)
}

// TestGangPlacementAfterLookup guards against accepted work that ends as not run. It happens if the
// placement is delayed and arrives after the owner has replied to a lookup of the attempt.
func TestGangPlacementAfterLookup(t *testing.T) {
	h := newHarness(12, 4, 1)
	var delayed []Send
	h.dropEffect = func(e Effect) bool {
		send, ok := e.(Send)
		if !ok {
			return false
		}
		if place, isPlace := send.Request.(PlaceRequest); isPlace && place.Placements[0].Attempt.Number == 1 {
			delayed = append(delayed, send)
			return true
		}
		return false
	}
	job, attempts := submitGang(t, h)
	if len(delayed) != 1 {
		t.Fatalf("%d placements were sent, want 1", len(delayed))
	}
	lookup := LookupRequest{Partition: delayed[0].Request.(PlaceRequest).Placements[0].Partition}
	for i, a := range attempts {
		lookup.Attempts = append(lookup.Attempts, LookupItem{Attempt: a, Job: job, Index: i})
	}
	lastToken++
	// The reply is not delivered, as if it were still in transit.
	h.apply(PeerCall{Token: lastToken, Request: lookup})
	h.dropEffect = nil
	h.callSelf(delayed[0])
	expectFinished(t, h, job)
}
