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

// submitGang submits a gang of three tasks and returns its key and the attempts
// that its home has dispatched.
func submitGang(t *testing.T, b *bench) (ledger.JobKey, []task.Attempt) {
	t.Helper()
	spec := gangSpec
	spec.SubmittedAt = b.now
	nextToken++
	b.apply(PeerCall{Token: nextToken, Request: SubmitRequest{Spec: spec}})
	job := ledger.KeyOf(&spec)
	record, ok := b.state.home.ledger.Find(b.state.home.shardOf(job), job)
	if !ok {
		t.Fatal("the gang is not recorded")
	}
	var attempts []task.Attempt
	for i := range record.Tasks {
		if record.Tasks[i].State != task.Dispatched {
			t.Fatalf("task %d is %s", i, record.Tasks[i].State)
		}
		attempts = append(attempts, record.AttemptOf(i))
	}
	return job, attempts
}

// expectFinished lets time pass and checks that every task of a gang finishes.
func expectFinished(t *testing.T, b *bench, job ledger.JobKey) {
	t.Helper()
	for range 1500 {
		b.now = b.now.Add(20 * time.Millisecond)
		b.apply(Tick{})
	}
	record, _ := b.state.home.ledger.Find(b.state.home.shardOf(job), job)
	for i := range record.Tasks {
		if ts := &record.Tasks[i]; ts.State != task.Finished {
			t.Errorf("task %d is %s after attempt %d, want finished; outcome %+v", i, ts.State, ts.Attempt, ts.Outcome)
		}
	}
}

// TestGangWithFinishedMember guards against a gang that never runs again when the
// last member that was open finishes after another one was lost.
func TestGangWithFinishedMember(t *testing.T) {
	b := newBench(12, 4, 1)
	started := 0
	b.dropped = func(e Effect) bool {
		start, ok := e.(StartTask)
		if !ok || start.Attempt.Number > 1 {
			return false
		}
		started++
		return true
	}
	job, attempts := submitGang(t, b)
	for range 500 {
		b.now = b.now.Add(20 * time.Millisecond)
		b.apply(Tick{})
	}
	if started != len(attempts) {
		t.Fatalf("%d of %d members were started", started, len(attempts))
	}
	ends := []task.Outcome{
		{State: task.Unknown, Reason: string(errkind.WorkerLost)},
		{State: task.Finished, Reason: string(errkind.WorkerLost)},
		{State: task.Finished},
	}
	for i, outcome := range ends {
		outcome.Attempt = attempts[i]
		nextToken++
		b.apply(PeerCall{Token: nextToken, Request: ReportRequest{Reports: []AttemptReport{{Attempt: attempts[i], Job: job, Index: i, Outcome: &outcome}}}})
	}
	expectFinished(t, b, job)
}

// TestLatePlacementOfGang guards against accepted work that ends as not run
// because its placement was held up and its owner had answered a look-up for it
// before.
func TestLatePlacementOfGang(t *testing.T) {
	b := newBench(12, 4, 1)
	var late []Send
	b.dropped = func(e Effect) bool {
		send, ok := e.(Send)
		if !ok {
			return false
		}
		if place, isPlace := send.Request.(PlaceRequest); isPlace && place.Placements[0].Attempt.Number == 1 {
			late = append(late, send)
			return true
		}
		return false
	}
	job, attempts := submitGang(t, b)
	if len(late) != 1 {
		t.Fatalf("%d placements were sent, want 1", len(late))
	}
	lookup := LookupRequest{Partition: late[0].Request.(PlaceRequest).Placements[0].Partition}
	for i, a := range attempts {
		lookup.Attempts = append(lookup.Attempts, LookupItem{Attempt: a, Job: job, Index: i})
	}
	nextToken++
	b.apply(PeerCall{Token: nextToken, Request: lookup}) // its reply is still on the way
	b.dropped = nil
	b.call(late[0])
	expectFinished(t, b, job)
}
