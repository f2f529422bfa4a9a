package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// becomeReadyOwner makes the instance the owner of a worker that accepts tasks.
func (h *harness) becomeReadyOwner() {
	h.t.Helper()
	h.apply(StoreSynced{At: h.now.Add(time.Second)})
	pending := h.becomeOwner(Recovery{ReadRevision: 20, AsOf: h.now.Add(time.Second), Workers: []schedule.Worker{worker("w1")}})
	for range 10 {
		for len(pending) > 0 {
			effect := pending[0]
			pending = pending[1:]
			switch e := effect.(type) {
			case CommitRecords:
				pending = append(pending, h.apply(Committed{Commit: e.Commit, OwnerRevision: 10, Sequence: 21})...)
			case Order:
				if poll, ok := e.Effect.(schedule.Poll); ok && poll.Wait == 0 {
					report := schedule.PollDone{Poll: poll, SentAt: h.now, Clock: time.Hour, Incarnation: 1}
					pending = append(pending, h.apply(ScheduleOutcome{OwnerRevision: 10, Event: report})...)
				}
			}
		}
		h.now = h.now.Add(20 * time.Millisecond)
		pending = h.apply(Tick{})
	}
}

// TestOutdatedOwner guards against an owner that is short of processor time and starts tasks although it
// has not read for long which workers leave, which jobs are cancelled or which configuration is in force.
// In an outage of the store, which it cannot read either, it must go on.
func TestOutdatedOwner(t *testing.T) {
	const old = 4 * time.Second
	for _, c := range []struct {
		name                          string
		directory, inbox, catalog     time.Duration // age of the knowledge
		unavailable, unavailableEnded bool
		wantStart                     bool
	}{
		{"calm store", 800 * time.Millisecond, 2 * time.Second, 2 * time.Second, false, false, true},
		{"old list of workers", old, 0, 0, false, false, false},
		{"old cancellations", 0, old, 0, false, false, false},
		{"old configuration", 0, 0, old, false, false, false},
		{"outage", old, old, old, true, false, true},
		{"after an outage", 0, old, old, true, true, false},
	} {
		h := newHarness(t)
		h.becomeReadyOwner()
		h.now = h.now.Add(10 * time.Second)
		h.renew()
		if c.unavailable {
			h.apply(StoreUnavailable{})
		}
		if c.unavailable && !c.unavailableEnded {
			h.state.SetContact(Contact{Renewal: h.now.Add(-old), Request: h.now}) // all other instances follow the owner
		}
		if !c.unavailable || c.unavailableEnded {
			h.apply(DirectoryRead{Workers: []schedule.Worker{worker("w1")}, AsOf: h.now.Add(-c.directory)})
			h.apply(JobsObserved{OwnerRevision: 10, AsOf: h.now.Add(-c.inbox)})
			h.apply(StoreSynced{At: h.now.Add(-c.catalog)})
		}
		h.state.core.Accept(submission("00000000000000a1", 30).Job)
		effects := h.apply(Tick{})
		h.now = h.now.Add(20 * time.Millisecond) // more than the interval between placement passes
		effects = append(effects, h.apply(Tick{})...)
		started := slices.ContainsFunc(effects, func(e Effect) bool {
			order, _ := e.(Order)
			_, isStart := order.Effect.(schedule.Start)
			return isStart
		})
		if started != c.wantStart {
			t.Errorf("%s: the task started: %v, want %v", c.name, started, c.wantStart)
		}
	}
}

// TestOutdatedWithValidLease guards against an owner that takes a failed read of the list of workers for an
// outage of the store although its lease is being renewed: the store also acknowledges what restricts
// placement. A read fails on its own when the limit of reads is reached (429), for example.
func TestOutdatedWithValidLease(t *testing.T) {
	h := newHarness(t)
	h.becomeReadyOwner()
	h.apply(StoreUnavailable{}) // one failed read; all later ones exceed directoryTimeout, so that nothing is posted
	h.now = h.now.Add(10 * time.Second)
	h.renew()
	effects := h.apply(RequestReceived{Token: 1, Request: Submit{submission("00000000000000a1", 30)}})
	h.now = h.now.Add(20 * time.Millisecond)
	h.renew()
	effects = append(effects, h.apply(Tick{})...)
	if starts, _ := grants(effects); starts {
		t.Error("starts a task with a list of workers, cancellations and a configuration that are 10 s old, while the store answers renewals")
	}
}
