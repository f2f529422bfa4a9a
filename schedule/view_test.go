package schedule

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// newViewCore returns a core with two jobs, accepted by the instances a and b.
func newViewCore(t *testing.T) (*Core, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	catalog := job.NewCatalog(1, 1, []job.Queue{{Name: "plain", Service: "calc"}}, nil, nil)
	c := New(now, DefaultConfig(), 7, catalog, nil)
	c.Begin(now, now)
	for id, instance := range map[job.ID]string{"00000000000000a0": "a", "00000000000000b0": "b"} {
		c.Accept(&job.Job{ID: id, Queue: "plain", AcceptedBy: instance, AcceptedAt: now, Steps: []job.Step{{Count: 1, Size: task.Resources{CPUMilli: 1}}}})
	}
	c.Finish()
	return c, now
}

// statesOf returns the states in a view by job.
func statesOf(v View) map[job.ID]job.State {
	states := make(map[job.ID]job.State)
	for _, s := range v.Changes {
		states[s.Job] = s.State
	}
	return states
}

// TestViewOfInstance guards against replies whose size grows with the jobs of all instances: an
// instance receives its own jobs and those that it has asked for.
func TestViewOfInstance(t *testing.T) {
	const own, other = job.ID("00000000000000a0"), job.ID("00000000000000b0")
	c, now := newViewCore(t)
	full := c.ViewSince("a", 0, 0)
	if states := statesOf(full); !full.Full || len(states) != 1 || states[own] != job.Pending {
		t.Errorf("full view of a: %+v, want only its own job", full)
	}
	c.Begin(now, now)
	c.Cancel(other, 0)
	c.Subscribe(own, "c")
	c.Cancel(own, 0)
	commit := findCommit(t, c.Finish())
	c.Begin(now, now)
	c.CommitDone(CommitDone{Commit: commit})
	for instance, want := range map[string]job.ID{"a": own, "b": other, "c": own} {
		states := statesOf(c.ViewSince(instance, full.Epoch, full.Sequence))
		if len(states) != 1 || states[want] != job.Cancelled {
			t.Errorf("changes for %s: %v, want only %s cancelled", instance, states, want)
		}
	}
}

// TestViewWithoutAcceptor guards against a job that no instance hears of: if the record does not name
// the accepting instance, all of them receive its changes.
func TestViewWithoutAcceptor(t *testing.T) {
	c, now := newViewCore(t)
	c.Begin(now, now)
	c.RestoreJob(RecordedJob{Job: &job.Job{ID: "00000000000000c0", Queue: "plain", AcceptedAt: now, Steps: []job.Step{{Count: 1}}}})
	for _, instance := range []string{"a", "b", "c"} {
		if _, found := statesOf(c.ViewSince(instance, 0, 0))["00000000000000c0"]; !found {
			t.Errorf("the view of %s lacks a job without an accepting instance", instance)
		}
	}
}

// TestPollInterval guards against polls that take the processor of the owner of a large fleet: their
// total rate is bounded.
func TestPollInterval(t *testing.T) {
	c, now := newViewCore(t)
	c.Begin(now, now)
	for n, want := range map[int]time.Duration{8: minPollInterval, 300: 300 * time.Millisecond} {
		for i := range n {
			c.ObserveInstance(string(rune('A' + i)))
		}
		if got := c.ViewSince("a", 0, 0).PollAfter; got != want {
			t.Errorf("%d instances poll every %s, want %s", n, got, want)
		}
		clear(c.proxies)
	}
}

func findCommit(t *testing.T, effects []Effect) Commit {
	t.Helper()
	for _, e := range effects {
		if commit, ok := e.(Commit); ok {
			return commit
		}
	}
	t.Fatal("no commit")
	return Commit{}
}
