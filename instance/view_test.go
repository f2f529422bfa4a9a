package instance

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// TestQueriedJobAfterTakeover guards against a state that is reported forever: a new owner does not
// know which instance has asked for a job, so the cached state must go with the former owner.
func TestQueriedJobAfterTakeover(t *testing.T) {
	const accepted, queried = job.ID("00000000000000a0"), job.ID("00000000000000b0")
	now := time.Unix(1000, 0)
	v := newOwnerView()
	v.merge(&schedule.View{Epoch: 1, Full: true}, now)
	v.addAccepted(&job.Job{ID: accepted}, now)
	v.addQueried(schedule.Status{Job: queried, State: job.Running}, 1, now)
	if _, found := v.status(queried); !found {
		t.Fatal("the queried state is not cached")
	}
	v.merge(&schedule.View{Epoch: 2, Full: true}, now.Add(time.Millisecond))
	if _, found := v.status(queried); found {
		t.Error("the queried state outlives the owner that reported it")
	}
	if _, found := v.status(accepted); !found {
		t.Error("a job that was just accepted is dropped before it can reach the new owner")
	}
	v.addQueried(schedule.Status{Job: queried, State: job.Running}, 1, now)
	if _, found := v.status(queried); found {
		t.Error("the reply of a former owner is cached after the view of its successor")
	}
}

// TestQueriedStateIsOlder guards against a final state that is overwritten by the reply to a request
// that was sent before the job ended.
func TestQueriedStateIsOlder(t *testing.T) {
	const id = job.ID("00000000000000a0")
	now := time.Unix(1000, 0)
	v := newOwnerView()
	v.merge(&schedule.View{Epoch: 1, Changes: []schedule.Status{{Job: id, State: job.Completed}}}, now)
	v.addQueried(schedule.Status{Job: id, State: job.Running}, 1, now)
	if s, _ := v.status(id); s.State != job.Completed {
		t.Errorf("state %s, want completed", s.State)
	}
}
