package cell

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// harness applies events to a State with a simulated clock.
type harness struct {
	t     *testing.T
	state *State
	now   time.Time
}

var self = Owner{Instance: "e1", Incarnation: "p1", Address: "a1"}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, state: New(DefaultConfig(self, 0.4)), now: time.Unix(1_700_000_000, 0)}
}

func catalog(version, revision int64) *job.Catalog {
	return job.NewCatalog(version, revision, []job.Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2}}, []job.Service{{Name: "s"}}, nil)
}

func (h *harness) apply(e Event) []Effect {
	h.now = h.now.Add(time.Millisecond)
	return h.state.Apply(h.now, h.now, e)
}

// renew makes the lease of the ownership record valid.
func (h *harness) renew() { h.state.SetContact(Contact{Renewal: h.now, Request: h.now}) }

func findEffect[E Effect](effects []Effect) (found E, ok bool) {
	for _, e := range effects {
		if match, isMatch := e.(E); isMatch {
			return match, true
		}
	}
	return found, false
}

// becomeOwner makes the instance the owner, with an ownership record of revision 10.
func (h *harness) becomeOwner(recovery Recovery) []Effect {
	h.t.Helper()
	h.apply(CatalogRead{catalog(1, 1)})
	h.apply(OwnerObserved{Revision: 5})
	h.now = h.now.Add(time.Second)
	if _, ok := findEffect[Campaign](h.apply(Tick{})); !ok {
		h.t.Fatal("no Campaign effect although there is no owner")
	}
	if effect, ok := findEffect[Recover](h.apply(CampaignDone{Won: true, Revision: 10, Lease: 3, GrantedAt: h.now})); !ok || effect.OwnerRevision != 10 {
		h.t.Fatal("no Recover effect for revision 10 after a won campaign")
	}
	return h.apply(Recovered{Revision: 10, State: recovery})
}

func worker(id string) schedule.Worker {
	return schedule.Worker{ID: id, Incarnation: 1, Address: id, Service: "s", FailureDomain: "z", Capacity: task.Resources{CPUMilli: 1000, MemoryMB: 100}}
}

func submission(id job.ID, revision int64) Submission {
	return Submission{Job: &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Size: task.Resources{CPUMilli: 100}}}}, Revision: revision}
}

// TestCatalogNeverGoesBack guards against a stale configuration that replaces a newer
// one, for example a list result that arrives after watch events.
func TestCatalogNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	h.apply(CatalogRead{catalog(7, 70)})
	h.apply(CatalogRead{catalog(6, 60)})
	if v := h.state.Snapshot().Catalog.Version; v != 7 {
		t.Errorf("version %d is in force, want 7", v)
	}
}

// TestCampaignOnlyWithoutOwner guards against a campaign while there is an owner, by
// an instance that is shutting down, or without a configuration.
func TestCampaignOnlyWithoutOwner(t *testing.T) {
	for name, events := range map[string][]Event{
		"ownership not read": {CatalogRead{catalog(1, 1)}},
		"another owner":      {CatalogRead{catalog(1, 1)}, OwnerObserved{Revision: 5}, OwnerObserved{Found: true, Owner: Owner{Instance: "e2"}, Revision: 6}},
		"stale read":         {CatalogRead{catalog(1, 1)}, OwnerObserved{Found: true, Owner: Owner{Instance: "e2"}, Revision: 6}, OwnerObserved{Revision: 5}},
		"no configuration":   {OwnerObserved{Revision: 5}},
		"stopping":           {CatalogRead{catalog(1, 1)}, OwnerObserved{Revision: 5}, ShutdownRequested{}},
	} {
		h := newHarness(t)
		for _, e := range events {
			h.apply(e)
		}
		h.now = h.now.Add(5 * time.Second)
		if _, ok := findEffect[Campaign](h.apply(Tick{})); ok {
			t.Errorf("%s: unexpected Campaign effect", name)
		}
	}
}

// TestSmallInstancesWait guards against a small instance that becomes the owner while
// larger ones are available, and against a small instance that never campaigns.
func TestSmallInstancesWait(t *testing.T) {
	for name, c := range map[string]struct {
		cores, maxCores float64
		waits           bool
	}{
		"as large as any":        {0.8, 0.8, false},
		"smaller":                {0.2, 0.8, true},
		"no core count recorded": {0.8, 0, true},
		"own core count unknown": {0, 0, false},
	} {
		h := newHarness(t)
		h.state.cfg.Cores = c.cores
		h.apply(CatalogRead{catalog(1, 1)})
		effects := h.apply(OwnerObserved{Revision: 5, MaxCores: c.maxCores})
		if _, records := findEffect[RecordCores](effects); records != (c.cores > c.maxCores) {
			t.Errorf("%s: RecordCores emitted: %v", name, records)
		}
		h.now = h.now.Add(time.Duration(h.state.cfg.CampaignSlots) * h.state.cfg.CampaignSlotLength)
		if _, campaigns := findEffect[Campaign](h.apply(Tick{})); campaigns == c.waits {
			t.Errorf("%s: campaigns in the slots of the large instances: %v", name, campaigns)
		}
		h.now = h.now.Add(h.state.cfg.SmallInstanceDelay)
		if _, campaigns := findEffect[Campaign](h.apply(Tick{})); campaigns != c.waits {
			t.Errorf("%s: campaigns after the slots of the large instances: %v", name, campaigns)
		}
	}
}

// TestStopDuringCampaign guards against an instance that wins its campaign during
// shutdown and blocks a takeover by others until its recovery has ended.
func TestStopDuringCampaign(t *testing.T) {
	won := CampaignDone{Won: true, Revision: 10, Lease: 3}
	for name, events := range map[string][]Event{
		"before the result": {ShutdownRequested{}, won},
		"during recovery":   {won, ShutdownRequested{}},
	} {
		h := newHarness(t)
		h.apply(CatalogRead{catalog(1, 1)})
		h.apply(OwnerObserved{Revision: 5})
		h.now = h.now.Add(time.Second)
		h.apply(Tick{})
		h.apply(events[0])
		effects := h.apply(events[1])
		if resign, ok := findEffect[Resign](effects); !ok || resign.Lease != 3 {
			t.Errorf("%s: no Resign effect for lease 3", name)
		}
		if _, ok := findEffect[Recover](effects); ok {
			t.Errorf("%s: unexpected Recover effect", name)
		}
		h.apply(Recovered{Revision: 10})
		if h.state.Snapshot().IsOwner {
			t.Errorf("%s: instance became the owner", name)
		}
	}
}

// TestStepDown guards against an owner that continues after another instance has taken
// over, whichever way this is detected, and against stale events from before its
// campaign that make it step down.
func TestStepDown(t *testing.T) {
	poll := schedule.Poll{Target: schedule.Target{Worker: "w1"}}
	for name, c := range map[string]struct {
		event Event
		ends  bool
	}{
		"fenced by a worker":              {ScheduleOutcome{OwnerRevision: 10, Event: schedule.PollDone{Poll: poll, Verdict: schedule.Fenced}}, true},
		"fenced under a former ownership": {ScheduleOutcome{OwnerRevision: 9, Event: schedule.PollDone{Poll: poll, Verdict: schedule.Fenced}}, false},
		"lease gone":                      {RenewDone{Lease: 3, Gone: true}, true},
		"former lease gone":               {RenewDone{Lease: 2, Gone: true}, false},
		"commit refused":                  {Committed{OwnerRevision: 10, Lost: true}, true},
		"another record":                  {OwnerObserved{Found: true, Owner: Owner{Instance: "e2"}, Revision: 12}, true},
		"record removed":                  {OwnerObserved{Revision: 11}, true},
		"stale read":                      {OwnerObserved{Revision: 9}, false},
		"own record":                      {OwnerObserved{Found: true, Owner: self, Revision: 10}, false},
	} {
		h := newHarness(t)
		h.becomeOwner(Recovery{ReadRevision: 20, Workers: []schedule.Worker{worker("w1")}})
		cancelCalls, ended := findEffect[CancelCalls](h.apply(c.event))
		if ended != c.ends || h.state.Snapshot().IsOwner == c.ends {
			t.Errorf("%s: ownership ended: %v, want %v", name, ended, c.ends)
		}
		if ended && cancelCalls.OwnerRevision != 10 {
			t.Errorf("%s: CancelCalls for ownership %d, want 10", name, cancelCalls.OwnerRevision)
		}
	}
}

// TestIsolatedOwner guards against an owner that is cut off from the store and from all other instances
// and renews the leases of workers that only it can reach, while its successor takes these leases for
// expired. It must not step down in an outage of the store, nor if it is the only instance.
func TestIsolatedOwner(t *testing.T) {
	for _, c := range []struct {
		name         string
		hasPeers     bool
		store, peers bool // in contact after the first second
		wantOwner    bool
	}{
		{"calm", true, true, true, true},
		{"store down", true, false, true, true},
		{"all other instances down", true, true, false, true},
		{"isolated", true, false, false, false},
		{"only instance, store down", false, false, false, true},
	} {
		h := newHarness(t)
		h.becomeOwner(Recovery{ReadRevision: 20})
		began := h.now
		var contact Contact
		isolatedFor := h.state.cfg.IsolationTimeout + time.Second
		for h.now.Sub(began) < isolatedFor {
			h.now = h.now.Add(100 * time.Millisecond)
			isFirst := h.now.Sub(began) < time.Second
			if c.store || isFirst {
				contact.Renewal = h.now
			}
			if c.hasPeers && (c.peers || isFirst) {
				contact.Request = h.now
			}
			h.state.SetContact(contact)
			h.apply(Tick{})
		}
		if isOwner := h.state.Snapshot().IsOwner; isOwner != c.wantOwner {
			t.Errorf("%s: is the owner %v, want %v", c.name, isOwner, c.wantOwner)
		}
	}
}

// TestIsolationTimeout guards against a successor that takes the leases of an isolated owner for expired
// before that owner has stopped granting them.
func TestIsolationTimeout(t *testing.T) {
	cfg := DefaultConfig(self, 1)
	const ownershipTTL = 1200 * time.Millisecond // see instance.DefaultTiming
	if granted, assumed := cfg.IsolationTimeout, ownershipTTL+2*cfg.Schedule.PollWait; granted > assumed {
		t.Errorf("an isolated owner grants leases until %s after its last contact, its successor assumes %s", granted, assumed)
	}
}

// TestFrozenOwner guards against an owner that wakes up after a freeze and places tasks before it learns
// that another instance has taken over.
func TestFrozenOwner(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner(Recovery{ReadRevision: 20, Workers: []schedule.Worker{worker("w1")}})
	h.now = h.now.Add(100 * time.Millisecond)
	h.state.SetContact(Contact{Renewal: h.now, Request: h.now})
	h.now = h.now.Add(5 * time.Second)
	if effects := h.apply(Tick{}); h.state.Snapshot().IsOwner {
		t.Errorf("still the owner after a freeze, with %d effects", len(effects))
	}
}

// TestLateSubmission guards against a job that ended under a former owner and runs
// again because the accepting instance's submission reaches the new owner late.
func TestLateSubmission(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner(Recovery{ReadRevision: 20})
	for _, c := range []struct {
		id       job.ID
		revision int64
		found    bool
	}{{"00000000000000a1", 19, false}, {"00000000000000a2", 21, true}} {
		h.apply(RequestReceived{Token: 1, Request: Submit{submission(c.id, c.revision)}})
		answer, ok := findEffect[Answer](h.apply(RequestReceived{Token: 2, Request: JobStateQuery{Job: c.id}}))
		if !ok || answer.Reply.Found != c.found {
			t.Errorf("job recorded at %d: found %v, want %v", c.revision, answer.Reply.Found, c.found)
		}
	}
}

// TestEarlySubmission guards against the loss of a job that is submitted to a new owner
// during its recovery.
func TestEarlySubmission(t *testing.T) {
	h := newHarness(t)
	h.apply(CatalogRead{catalog(1, 1)})
	h.apply(OwnerObserved{Revision: 5})
	h.now = h.now.Add(time.Second)
	h.apply(Tick{})
	h.apply(CampaignDone{Won: true, Revision: 10, Lease: 3, GrantedAt: h.now})
	h.apply(RequestReceived{Token: 1, Request: Submit{submission("00000000000000a1", 25)}})
	h.apply(Recovered{Revision: 10, State: Recovery{ReadRevision: 20}})
	if answer, _ := findEffect[Answer](h.apply(RequestReceived{Token: 2, Request: JobStateQuery{Job: "00000000000000a1"}})); !answer.Reply.Found {
		t.Error("job submitted during recovery was not found")
	}
}

// TestPlannedStop guards against a graceful shutdown that resigns before all commits are
// done, and against one that does not resign.
func TestPlannedStop(t *testing.T) {
	h := newHarness(t)
	effects := h.becomeOwner(Recovery{ReadRevision: 20, Workers: []schedule.Worker{worker("w1")}})
	commit, ok := findEffect[CommitRecords](effects)
	for !ok {
		h.now = h.now.Add(30 * time.Millisecond)
		commit, ok = findEffect[CommitRecords](h.apply(Tick{}))
	}
	if _, resigned := findEffect[Resign](h.apply(ShutdownRequested{})); resigned {
		t.Error("Resign effect while a commit is in flight")
	}
	if resign, resigned := findEffect[Resign](h.apply(Committed{Commit: commit.Commit, OwnerRevision: 10, Sequence: 21})); !resigned || resign.Lease != 3 {
		t.Error("no Resign effect for lease 3 after the last commit")
	}
	if h.state.Snapshot().IsOwner {
		t.Error("instance is still the owner after it has resigned")
	}
}

// TestKeysExpire guards against an instance that keeps accepting API keys while it
// receives nothing from the store.
func TestKeysExpire(t *testing.T) {
	h := newHarness(t)
	h.apply(StoreSynced{At: h.now})
	s := h.state.Snapshot()
	const withdrawalLimit = 5 * time.Second // a withdrawn key must be rejected within this time
	if until := s.KeysValidUntil.Sub(s.SyncedAt); until <= 0 || until+time.Second > withdrawalLimit {
		t.Errorf("keys are accepted for %s after the last store sync, want more than 0 and at most %s", until, withdrawalLimit-time.Second)
	}
	h.apply(StoreSynced{At: s.SyncedAt.Add(-time.Second)})
	if h.state.Snapshot().SyncedAt != s.SyncedAt {
		t.Error("an older StoreSynced moved SyncedAt back")
	}
}
