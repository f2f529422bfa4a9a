package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// grants reports whether effects start a task, and whether they renew the lease of a worker.
func grants(effects []Effect) (starts, renews bool) {
	for _, e := range effects {
		order, _ := e.(Order)
		switch order := order.Effect.(type) {
		case schedule.Start:
			starts = true
		case schedule.Poll:
			renews = renews || order.LeaseEnd > 0
		}
	}
	return starts, renews
}

// readStore delivers current knowledge of the store.
func (h *harness) readStore() []Effect {
	effects := h.apply(DirectoryRead{Workers: []schedule.Worker{worker("w1")}, AsOf: h.now})
	effects = append(effects, h.apply(JobsObserved{OwnerRevision: 10, AsOf: h.now})...)
	return append(effects, h.apply(StoreSynced{At: h.now})...)
}

// TestOwnerCutOffWithInstances guards against an owner that is cut off from the store and from some of the
// other instances, and starts tasks or renews leases on workers that its successor cannot reach. In an
// outage of the store, which nobody reaches, it must go on.
func TestOwnerCutOffWithInstances(t *testing.T) {
	const ownedFor = 10 * time.Second
	for _, c := range []struct {
		name       string
		renewedAgo time.Duration // age of the last contact to the store
		silent     []string      // instances that may follow another owner
		wantGrants bool
	}{
		{"calm", 300 * time.Millisecond, nil, true},
		{"calm, an instance lost", 300 * time.Millisecond, []string{"e2"}, true},
		{"outage", 8 * time.Second, nil, true},
		{"cut off with other instances", 1300 * time.Millisecond, []string{"e2"}, false},
		{"outage, an instance lost", 8 * time.Second, []string{"e2"}, false},
		{"outage just after the takeover", ownedFor - time.Second, nil, false},
	} {
		h := newHarness(t)
		h.becomeReadyOwner()
		h.renew()
		order, ok := findEffect[Order](h.apply(RequestReceived{Token: 1, Request: Submit{submission("00000000000000a1", 30)}}))
		if !ok {
			t.Fatal("the task did not start at first")
		}
		h.apply(ScheduleOutcome{OwnerRevision: 10, Event: schedule.StartDone{Start: order.Effect.(schedule.Start)}})
		h.now = h.state.ownedSince.Add(ownedFor)
		h.state.SetContact(Contact{Renewal: h.now.Add(-c.renewedAgo), Request: h.now, SilentFollowers: c.silent})
		if c.renewedAgo < time.Second {
			h.readStore()
		} else {
			h.apply(StoreUnavailable{})
		}
		// The worker has lost the run, so that its task can start again.
		effects := h.apply(ScheduleOutcome{OwnerRevision: 10, Event: schedule.PollDone{
			Poll: schedule.Poll{Target: schedule.Target{Worker: "w1", Incarnation: 1}}, SentAt: h.now, Clock: 2 * time.Hour, Incarnation: 1,
		}})
		h.now = h.now.Add(20 * time.Millisecond) // more than the interval between placement passes
		effects = append(effects, h.apply(Tick{})...)
		if starts, renews := grants(effects); starts != c.wantGrants || renews != c.wantGrants {
			t.Errorf("%s: starts tasks %v, renews leases %v, want %v", c.name, starts, renews, c.wantGrants)
		}
	}
}

// TestSubmissionAfterLease guards against a job that two owners start: the former one, whose lease has
// expired, and its successor, which starts jobs recorded after its recovery at once.
func TestSubmissionAfterLease(t *testing.T) {
	for name, deliver := range map[string]func(h *harness) []Effect{
		"sent by an instance": func(h *harness) []Effect {
			return h.apply(RequestReceived{Token: 1, Request: Submit{submission("00000000000000a1", 30)}})
		},
		"read from the store": func(h *harness) []Effect {
			return h.apply(JobsObserved{OwnerRevision: 10, Jobs: []Submission{submission("00000000000000a1", 30)}, AsOf: h.now})
		},
	} {
		h := newHarness(t)
		h.becomeReadyOwner()
		h.now = h.state.ownedSince.Add(10 * time.Second)
		h.state.SetContact(Contact{Renewal: h.now.Add(-h.state.cfg.OwnershipTTL), Request: h.now})
		h.apply(StoreUnavailable{})
		effects := deliver(h)
		h.now = h.now.Add(20 * time.Millisecond)
		effects = append(effects, h.apply(Tick{})...)
		if starts, _ := grants(effects); starts {
			t.Errorf("%s: the job starts although another instance may have taken over", name)
		}
		h.renew()
		effects = h.readStore()
		h.now = h.now.Add(20 * time.Millisecond)
		h.renew()
		effects = append(effects, h.apply(Tick{})...)
		if starts, _ := grants(effects); !starts {
			t.Errorf("%s: the job does not start once the lease is renewed", name)
		}
	}
}

// TestHeldSubmissionsCountAsPending guards against accepted jobs that do not count as waiting because the
// owner does not know whether its lease is still valid when it receives them.
func TestHeldSubmissionsCountAsPending(t *testing.T) {
	h := newHarness(t)
	h.becomeReadyOwner()
	h.now = h.state.ownedSince.Add(10 * time.Second)
	h.state.SetContact(Contact{Renewal: h.now.Add(-h.state.cfg.OwnershipTTL), Request: h.now})
	ids := []job.ID{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	for i, id := range ids {
		h.apply(RequestReceived{Token: 1, Request: Submit{submission(id, int64(30+i))}})
	}
	h.apply(JobsObserved{OwnerRevision: 10, Jobs: []Submission{submission(ids[0], 30)}, Cancelled: ids[2:], Revision: 32, AsOf: h.now})
	if n := h.pendingJobs(); n != 2 {
		t.Errorf("%d jobs count as pending, want the 2 that are not cancelled", n)
	}
	h.renew()
	h.readStore()
	if n := h.pendingJobs(); n != 2 {
		t.Errorf("%d jobs count as pending after the lease was renewed, want 2", n)
	}
}

// pendingJobs returns the number of jobs that an instance is told to show as waiting.
func (h *harness) pendingJobs() int {
	answer, ok := findEffect[Answer](h.apply(RequestReceived{Token: 2, Request: ViewRequest{Instance: "e2"}}))
	if !ok || answer.Reply.View == nil {
		h.t.Fatal("no answer to a request for the view")
	}
	return answer.Reply.View.PendingJobs["q"]
}

// TestCancellationOfHeldSubmission guards against a job that runs although its cancellation was read from
// the store before the lease was renewed.
func TestCancellationOfHeldSubmission(t *testing.T) {
	h := newHarness(t)
	h.becomeReadyOwner()
	h.now = h.state.ownedSince.Add(10 * time.Second)
	h.state.SetContact(Contact{Renewal: h.now.Add(-h.state.cfg.OwnershipTTL), Request: h.now})
	h.apply(RequestReceived{Token: 1, Request: Submit{submission("00000000000000a1", 30)}})
	h.apply(JobsObserved{OwnerRevision: 10, Cancelled: []job.ID{"00000000000000a1"}, AsOf: h.now})
	h.renew()
	effects := h.readStore() // otherwise placement is suspended, whatever happens to the job
	for range 2 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.renew()
		effects = append(effects, h.apply(Tick{})...)
	}
	if starts, _ := grants(effects); starts {
		t.Error("the cancelled job starts")
	}
	if commit, ok := findEffect[CommitRecords](effects); !ok || len(commit.Commit.Changes) != 1 || commit.Commit.Changes[0].Final == nil {
		t.Errorf("the cancellation is not recorded: commit %+v", commit.Commit)
	}
}

// TestRequestFromBeforeFreeze guards against an owner that wakes up after a freeze and takes a request that
// has waited in its sockets for evidence that the sender still follows it.
func TestRequestFromBeforeFreeze(t *testing.T) {
	state := New(DefaultConfig(self, 1))
	l := NewLoop(state, metrics.NewRegistry(), func(Effect) {})
	now := time.Now()
	state.core = schedule.New(now, state.cfg.Schedule, 10, catalog(1, 1), nil)
	state.role, state.ownershipRevision, state.ownedSince = owning, 10, now.Add(-time.Minute)
	l.snapshot.Store(state.Snapshot())
	const frozenFor = 5 * time.Second
	request := ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: time.Minute - frozenFor}
	l.RecordFollower(request, now)
	if silent := l.contactAt(now).SilentFollowers; !slices.Equal(silent, []string{"e2"}) {
		t.Errorf("silent instances %q after a request from before the freeze, want e2", silent)
	}
	request.OwnerTime = time.Minute
	l.RecordFollower(request, now)
	if silent := l.contactAt(now).SilentFollowers; len(silent) != 0 {
		t.Errorf("silent instances %q after a current request, want none", silent)
	}
	request.Epoch, request.Instance = 9, "e3"
	l.RecordFollower(request, now)
	if silent := l.contactAt(now).SilentFollowers; !slices.Equal(silent, []string{"e3"}) {
		t.Errorf("silent instances %q after a request with the view of a former owner, want e3", silent)
	}
}

// TestFormerInstances guards against an owner that waits for an instance that was replaced long ago, and
// stops in the next outage of the store.
func TestFormerInstances(t *testing.T) {
	var f followers
	now := time.Now()
	f.observe(10, "e2", now.Add(-followerMemory-time.Second), now.Add(-followerMemory-time.Second))
	f.observe(10, "e3", now, now)
	f.forget(now.Add(-followerMemory))
	if silent := f.silent(10, now.Add(-time.Second)); len(silent) != 0 {
		t.Errorf("silent instances %q, want none", silent)
	}
}

// TestFollowerTimeout guards against a successor that takes the leases of workers for expired before a
// former owner that counts on the requests of other instances has stopped granting them.
func TestFollowerTimeout(t *testing.T) {
	cfg := DefaultConfig(self, 1)
	if granted, assumed := cfg.FollowerTimeout, 2*cfg.Schedule.PollWait; granted > assumed {
		t.Errorf("a former owner grants leases until %s after the last request of its successor, which assumes %s", granted, assumed)
	}
}

// TestLeaseAfterSuspension guards against an owner that takes its lease for valid after its machine was
// suspended, since the clock of package time does not count the suspension.
func TestLeaseAfterSuspension(t *testing.T) {
	h := newHarness(t)
	suspension := time.Duration(0)
	h.state.cfg.Now = func() time.Time { return time.Now().Add(suspension) }
	h.now = time.Now().Add(-time.Minute)
	h.becomeReadyOwner()
	l := NewLoop(h.state, metrics.NewRegistry(), func(Effect) {})
	l.RecordRenewal(time.Now())
	l.RecordFollower(ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: time.Since(h.state.ownedSince)}, time.Now())
	l.apply(Tick{})
	if h.state.isSuspended {
		t.Fatal("the owner has no authority just after a renewal")
	}
	suspension = 4 * time.Second
	l.apply(Tick{})
	if h.state.core != nil && !h.state.isSuspended {
		t.Error("the owner has authority after a suspension of 4 s")
	}
}
