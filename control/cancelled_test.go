package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// call applies a request to the home and returns the reply.
func (h *harness) call(request PeerRequest) JobReply {
	lastToken++
	token, reply := lastToken, JobReply{}
	for _, effect := range slices.Clone(h.state.Apply(h.now, PeerCall{Token: token, Request: request})) {
		if answer, ok := effect.(Reply); ok && answer.Token == token {
			reply = answer.Reply.(JobReply)
		} else if next := h.handleEffect(effect); next != nil {
			h.apply(next)
		}
	}
	return reply
}

// TestSubmissionAfterCancellation guards against a job that runs although it was cancelled, because its submission, or a
// repeated one, was held up on the way to its home.
func TestSubmissionAfterCancellation(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      task.Kind
		submitted bool // before the cancellation
		after     time.Duration
		refused   bool
	}{
		{"durable", task.Durable, false, 5 * time.Second, true},
		{"not stored", task.Answer, false, 5 * time.Second, true},
		{"not stored, repeated", task.Answer, true, 5 * time.Second, true},
		{"after the retention", task.Durable, false, cancelledRetention + expireInterval, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(12, 4, 1)
			h.dropEffect = func(e Effect) bool { _, isStart := e.(StartTask); return isStart }
			spec := task.Spec{Team: "team-0", Service: "s", Class: "c", Kind: c.kind, Count: 1, IdempotencyKey: "k", SubmittedAt: h.now,
				Deadline: h.now.Add(time.Hour), Size: task.Resources{CPUMilli: 250, MemoryMB: 256, Slots: 1}}
			if c.submitted {
				h.call(SubmitRequest{Spec: spec})
			}
			cancelled := h.call(QueryRequest{Op: QueryCancel, Job: ledger.KeyOf(&spec)})
			if !c.submitted && (cancelled.Err == nil || cancelled.Err.Kind != errkind.UnknownTask) {
				t.Fatalf("cancellation: %+v", cancelled)
			}
			for end := h.now.Add(c.after); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
				h.apply(Tick{})
			}
			late := h.call(SubmitRequest{Spec: spec})
			if refused := late.Err != nil && late.Err.Kind == errkind.Cancelled; refused != c.refused {
				record, _ := h.state.home.ledger.Find(h.state.home.shardOf(ledger.KeyOf(&spec)), ledger.KeyOf(&spec))
				t.Errorf("late submission: %+v, refused: %v, want %v; record %+v", late, refused, c.refused, record)
			}
		})
	}
}

// TestCancelledJobsAreLimited guards against callers that fill the memory of a home with cancellations.
func TestCancelledJobsAreLimited(t *testing.T) {
	c, now := newCancelledJobs(), time.Unix(1_000_000, 0)
	add := func(team task.Team, n int) *errkind.Error {
		return c.add(now, ledger.JobKey{Team: team, Service: "s", Key: fmt.Sprint(n)})
	}
	for n := range maxCancelledPerTeam {
		if err := add("a", n); err != nil {
			t.Fatal(err)
		}
	}
	err := add("a", maxCancelledPerTeam)
	if err == nil || err.Kind != errkind.OverLimit || err.RetryAfter <= 0 || add("a", 0) != nil || add("b", 0) != nil {
		t.Fatalf("beyond the limit: %v; a repeated one and those of other teams must be accepted", err)
	}
	now = now.Add(err.RetryAfter)
	if c.expire(now); add("a", maxCancelledPerTeam) != nil || len(c.at) != 1 || len(c.counts) != 1 {
		t.Errorf("after the hint of %s: %d jobs of %d teams are remembered, want 1", err.RetryAfter, len(c.at), len(c.counts))
	}
}
