package instance

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

// interleavedStore calls a function once, before the next transaction.
type interleavedStore struct {
	store.Store
	before func()
}

func (s *interleavedStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if f := s.before; f != nil {
		s.before = nil
		f()
	}
	return s.Store.Commit(ctx, txn)
}

// startInstance starts an instance without an owner that records submissions and cancellations.
func startInstance(t *testing.T, s store.Store) *Instance {
	i := newInstance(s)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	i.ctx = ctx
	go func() { _ = i.loop.Run(ctx) }()                // returns nil when ctx is done
	go func() { _ = i.recordSubmissions(ctx) }()       // likewise
	go func() { _ = i.recordTombstones(ctx) }()        // likewise
	i.loop.Post(ctx, cell.StoreSynced{At: time.Now()}) // the store answers
	for i.loop.Snapshot().SyncedAt.IsZero() {
		time.Sleep(time.Millisecond)
	}
	return i
}

func submissionOf(id job.ID, team string) *job.Job {
	return &job.Job{ID: id, Queue: "q", Team: team, Spec: "s", Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
}

func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.From(err).Kind
}

const cancelledID = job.ID("00000000000000a0")

// TestLateSubmissions guards against a submission that is recorded after its cancellation was acknowledged, in each
// order of the two writes, and against a loss of the other jobs of its batch.
func TestLateSubmissions(t *testing.T) {
	t.Parallel()
	memory := storetest.NewMemory(storetest.Config{})
	cut, calm := startInstance(t, memory.Client("cut")), startInstance(t, memory.Client("calm"))
	const other = job.ID("00000000000000a1")
	const late = 2 * acceptTimeout
	if err := memory.Faults().Set(fault.Fault{Kind: fault.Slow, Call: storetest.CallTxn, Instance: "cut", DelayMS: late.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	arrival := time.Now().Add(late + acceptTimeout)
	batch := []*pendingSubmission{}
	for _, id := range []job.ID{cancelledID, other} {
		j := submissionOf(id, "a")
		record, err := job.Encode(j)
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, &pendingSubmission{ctx: t.Context(), job: j, record: record, done: make(chan error, 1)})
	}
	cut.recordBatch(t.Context(), batch) // with its hedged copies
	for _, p := range batch {
		if err := <-p.done; kindOf(err) != errkind.OutcomeUnknown {
			t.Fatalf("late submission: %v, want %s", err, errkind.OutcomeUnknown)
		}
	}
	if err := calm.Cancel(t.Context(), "q", "a", cancelledID); kindOf(err) != errkind.UnknownTask {
		t.Errorf("cancellation before the write arrives: %v, want %s", err, errkind.UnknownTask)
	}
	time.Sleep(time.Until(arrival))
	if err := calm.Submit(t.Context(), submissionOf(other, "a")); err != nil {
		t.Errorf("repeated submission of the other job of the batch: %v", err)
	}
	if _, found, _, _ := calm.cfg.Store.Get(t.Context(), jobKey(cancelledID)); found {
		t.Error("the late write took effect after the cancellation was acknowledged")
	}

	// The write takes effect between the reads of the cancellation and its write.
	interleaved := &interleavedStore{Store: memory.Client("between")}
	between := startInstance(t, interleaved)
	const third = job.ID("00000000000000a2")
	interleaved.before = func() { mustPut(t, memory.Client("calm"), jobKey(third), submissionOf(third, "a")) }
	if err := between.Cancel(t.Context(), "q", "a", third); err != nil {
		t.Errorf("cancellation of a job that is recorded meanwhile: %v", err)
	}
	if _, found, _, _ := calm.cfg.Store.Get(t.Context(), cancelKey(third)); !found {
		t.Error("the cancellation of a job that was recorded meanwhile is not recorded")
	}
}

// TestSubmissionAfterCancellation guards against a repeated submission that runs although the job was cancelled
// before it was recorded, and against a cancellation that prevents the work of another team or queue.
func TestSubmissionAfterCancellation(t *testing.T) {
	t.Parallel()
	otherBody := submissionOf(cancelledID, "a")
	otherBody.Spec = "other"
	otherQueue := submissionOf(cancelledID, "a")
	otherQueue.Queue = "r"
	for _, c := range []struct {
		name     string
		by       string // team that cancels
		submit   *job.Job
		want     errkind.Kind
		outlived bool // the tombstone has ended
	}{
		{name: "same body", by: "a", submit: submissionOf(cancelledID, "a"), want: errkind.Cancelled},
		{name: "other body", by: "a", submit: otherBody, want: errkind.Cancelled},
		{name: "no key in an open queue", by: "a", submit: submissionOf(cancelledID, ""), want: errkind.Cancelled},
		{name: "other team", by: "b", submit: submissionOf(cancelledID, "a")},
		{name: "other queue", by: "a", submit: otherQueue},
		{name: "after the tombstone", by: "a", submit: submissionOf(cancelledID, "a"), outlived: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			memory := storetest.NewMemory(storetest.Config{}).Client("e1")
			i, ctx := startInstance(t, memory), t.Context()
			for range 2 {
				if err := i.Cancel(ctx, "q", c.by, cancelledID); kindOf(err) != errkind.UnknownTask {
					t.Fatalf("cancellation: %v, want %s", err, errkind.UnknownTask)
				}
			}
			if c.outlived {
				kv, _, _, err := memory.Get(ctx, finalKey(cancelledID))
				if err != nil || kv.Lease == 0 || memory.Revoke(ctx, kv.Lease) != nil {
					t.Fatalf("the tombstone %+v does not end with a lease, %v", kv, err)
				}
			}
			if err := i.Submit(ctx, c.submit); kindOf(err) != c.want {
				t.Errorf("submission: %v, want kind %q", err, c.want)
			}
			if _, found, _, _ := memory.Get(ctx, jobKey(cancelledID)); found != (c.want == "") {
				t.Errorf("the job is recorded: %v", found)
			}
			if c.want != "" {
				if state, err := i.State(ctx, "q", "a", cancelledID); kindOf(err) != errkind.UnknownTask {
					t.Errorf("state: %s, %v, want %s", state, err, errkind.UnknownTask)
				}
				return
			}
			// The cancellation of the other team must not reach the recorded job, and its own must.
			if err := i.Cancel(ctx, "q", "c", cancelledID); kindOf(err) != errkind.UnknownTask {
				t.Errorf("cancellation by a third team: %v, want %s", err, errkind.UnknownTask)
			}
			if err := i.Cancel(ctx, c.submit.Queue, "a", cancelledID); err != nil {
				t.Errorf("cancellation of the recorded job: %v", err)
			}
		})
	}
}

// TestCancellationsOfTwoTeams guards against a tombstone that loses the cancellation of another team, and against a
// late submission that is recorded because another team's tombstone was replaced.
func TestCancellationsOfTwoTeams(t *testing.T) {
	t.Parallel()
	memory := storetest.NewMemory(storetest.Config{}).Client("e1")
	i, ctx := startInstance(t, memory), t.Context()
	for _, team := range []string{"a", "b"} {
		if err := i.Cancel(ctx, "q", team, cancelledID); kindOf(err) != errkind.UnknownTask {
			t.Fatalf("cancellation by %s: %v", team, err)
		}
	}
	for _, team := range []string{"a", "b"} {
		if err := i.Submit(ctx, submissionOf(cancelledID, team)); kindOf(err) != errkind.Cancelled {
			t.Errorf("submission of team %s: %v, want %s", team, err, errkind.Cancelled)
		}
	}
	if err := i.Submit(ctx, submissionOf(cancelledID, "c")); err != nil {
		t.Errorf("submission of another team: %v", err)
	}
}

// TestSubmissionAfterEnd guards against a submission that is answered like a repeated one and never runs, although
// the job that has ended was other work or that of another team.
func TestSubmissionAfterEnd(t *testing.T) {
	t.Parallel()
	memory := storetest.NewMemory(storetest.Config{}).Client("e1")
	i, ctx := startInstance(t, memory), t.Context()
	ended, otherBody := submissionOf(cancelledID, "a"), submissionOf(cancelledID, "a")
	otherBody.Steps = []job.Step{{Count: 2, Estimate: time.Second}}
	mustPut(t, memory, finalKey(cancelledID), job.Final{State: job.Completed, Queue: "q", Team: "a", Work: ended.WorkDigest(), FinishedAt: time.Now()})
	for name, c := range map[string]struct {
		submit *job.Job
		want   errkind.Kind
	}{
		"repeated":   {ended, ""},
		"other body": {otherBody, errkind.IdempotencyConflict},
		"other team": {submissionOf(cancelledID, "b"), errkind.IdempotencyConflict},
	} {
		if err := i.Submit(ctx, c.submit); kindOf(err) != c.want {
			t.Errorf("%s: %v, want kind %q", name, err, c.want)
		}
	}
}

// TestCancellationsAreLimited guards against callers that fill the store with tombstones, against a refusal
// without the time after which it is worth to return, and against an acknowledgement while the store is down.
func TestCancellationsAreLimited(t *testing.T) {
	t.Parallel()
	memory := storetest.NewMemory(storetest.Config{})
	i := startInstance(t, memory.Client("e1"))
	if err := memory.Faults().Set(fault.Fault{Kind: fault.Down}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := i.Cancel(ctx, "q", "a", cancelledID); kindOf(err) != errkind.OutcomeUnknown {
		t.Errorf("cancellation during an outage: %v, want %s", err, errkind.OutcomeUnknown)
	}
	var refused *errkind.Error
	for n := 0; refused == nil && n < 1000; n++ {
		ended, end := context.WithCancel(t.Context())
		end()
		if err := i.Cancel(ended, "q", "a", cancelledID); kindOf(err) == errkind.OverLimit {
			errors.As(err, &refused)
		}
	}
	if refused == nil || refused.RetryAfter <= 0 {
		t.Fatalf("refusal %+v, want one with a retry hint", refused)
	}
	if err := i.Cancel(ctx, "q", "b", cancelledID); kindOf(err) == errkind.OverLimit {
		t.Error("the cancellations of one team exhaust the limit of another")
	}
}
