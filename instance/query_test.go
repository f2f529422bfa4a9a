package instance

import (
	"context"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

// TestStateWithoutOwner guards against a job that is shown as pending while there is no owner to ask, although
// it has begun.
func TestStateWithoutOwner(t *testing.T) {
	const id = job.ID("00000000000000a0")
	for _, c := range []struct {
		name     string
		progress *job.Progress
		shown    job.State // by the former owner; empty if nothing is known of it
		want     job.State
	}{
		{name: "not begun", want: job.Pending},
		{name: "not begun when last shown", shown: job.Pending, want: job.Pending},
		{name: "begun by its record", progress: &job.Progress{Started: true}, want: job.Running},
		{name: "begun by its record after it was shown", progress: &job.Progress{Started: true}, shown: job.Pending, want: job.Running},
		{name: "shown as running", shown: job.Running, want: job.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			memory := storetest.NewMemory(storetest.Config{}).Client("e1")
			i := newInstance(memory)
			mustPut(t, memory, jobKey(id), &job.Job{ID: id, Queue: "q", Team: "t"})
			if c.progress != nil {
				mustPut(t, memory, progressKey(id), c.progress)
			}
			before := time.Now().Add(-2 * maxViewAge)
			if c.shown != "" {
				i.view.merge(&schedule.View{Epoch: 1, Changes: []schedule.Status{{Job: id, State: c.shown, Queue: "q", Team: "t"}}}, before)
				i.view.merge(&schedule.View{Epoch: 2}, before) // the owner has changed since
			}
			state, err := i.State(t.Context(), "q", "t", id)
			if err != nil || state != c.want {
				t.Errorf("got %s, %v, want %s", state, err, c.want)
			}
		})
	}
}

// TestStateAfterRepeatedSubmission guards against a job that is shown as pending because its submission was
// repeated, although it has begun.
func TestStateAfterRepeatedSubmission(t *testing.T) {
	const id = job.ID("00000000000000a0")
	memory := storetest.NewMemory(storetest.Config{}).Client("e1")
	i := newInstance(memory)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	i.ctx = ctx
	go func() { _ = i.loop.Run(ctx) }()                // returns nil when ctx is done
	go func() { _ = i.recordSubmissions(ctx) }()       // likewise
	i.loop.Post(ctx, cell.StoreSynced{At: time.Now()}) // the store answers
	for i.loop.Snapshot().SyncedAt.IsZero() {
		time.Sleep(time.Millisecond)
	}
	submitted := &job.Job{ID: id, Queue: "q", Team: "t", Spec: "s", AcceptedBy: i.cfg.Name, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
	mustPut(t, memory, jobKey(id), submitted) // by an earlier process of this instance
	mustPut(t, memory, progressKey(id), &job.Progress{Started: true})
	repeated := *submitted
	if err := i.Submit(ctx, &repeated); err != nil {
		t.Fatal(err)
	}
	if state, err := i.State(ctx, "q", "t", id); err != nil || state != job.Running {
		t.Errorf("got %s, %v, want %s", state, err, job.Running)
	}
}
