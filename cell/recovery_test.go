package cell

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// applyAsLoop applies an event with the contact as Loop determines it.
func (h *harness) applyAsLoop(l *Loop, e Event) []Effect {
	h.state.SetContact(l.contactAt(h.now.Add(time.Millisecond)))
	effects := h.apply(e)
	l.snapshot.Store(h.state.Snapshot())
	return effects
}

// TestCutOffJustAfterSlowRecovery guards against an owner whose recovery took longer than FollowerTimeout
// and that is cut off, or frozen, before another instance has polled it as the owner: it knows no
// followers, since they are recorded from the end of the recovery on, and must not take that for none.
func TestCutOffJustAfterSlowRecovery(t *testing.T) {
	for _, c := range []struct {
		name       string
		recovery   time.Duration
		silentFor  time.Duration // from the end of the recovery, without contact to anyone
		wantGrants bool
	}{
		{"quick recovery, cut off at once", 200 * time.Millisecond, 3 * time.Second, false},
		{"slow recovery, cut off at once", 2 * time.Second, 3 * time.Second, false},
		{"slow recovery, frozen at once", 2 * time.Second, 20 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			l := NewLoop(h.state, metrics.NewRegistry(), func(Effect) {})
			h.apply(CatalogRead{catalog(1, 1)})
			h.apply(OwnerObserved{Revision: 5})
			h.now = h.now.Add(time.Second)
			h.apply(Tick{})
			h.apply(CampaignDone{Won: true, Revision: 10, Lease: 3, GrantedAt: h.now})
			for end := h.now.Add(c.recovery); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
				l.RecordRenewal(h.now)
				// Another instance polls during the recovery, and is told that this is not the owner yet.
				l.RecordFollower(ViewRequest{Instance: "e2"}, h.now)
				h.applyAsLoop(l, Tick{})
			}
			recovery := Recovery{ReadRevision: 20, AsOf: h.now, Workers: []schedule.Worker{worker("w1")}, Roster: []schedule.RosterEntry{{Worker: "w1"}}}
			pending := h.applyAsLoop(l, Recovered{Revision: 10, State: recovery})
			h.now = h.now.Add(c.silentFor)
			pending = append(pending, h.applyAsLoop(l, StoreUnavailable{})...)
			// w1, which the successor does not reach, still answers.
			for _, e := range pending {
				order, _ := e.(Order)
				if poll, ok := order.Effect.(schedule.Poll); ok {
					effects := h.applyAsLoop(l, ScheduleOutcome{OwnerRevision: 10, Event: schedule.PollDone{Poll: poll, SentAt: h.now, Clock: time.Hour, Incarnation: 1}})
					if _, renews := grants(effects); renews != c.wantGrants {
						t.Errorf("renews the lease of a worker %s after the last contact to anyone: %v, want %v", c.silentFor, renews, c.wantGrants)
					}
					return
				}
			}
			if h.state.core != nil {
				t.Fatal("no poll")
			}
		})
	}
}

// TestSecondTakeoverAfterSlowRecovery guards against two runs of a task: one that an owner keeps alive which
// was cut off from the store and the other instances at the end of its recovery, and one of its successor.
// The successor had been in contact with it throughout the recovery.
func TestSecondTakeoverAfterSlowRecovery(t *testing.T) {
	for _, recovery := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
		t.Run(recovery.String(), func(t *testing.T) {
			m := newTakeoverModel(t, "w1", "w2")
			first := m.join("e1")
			m.startOwner(first)
			candidates := []*modelInstance{m.join("e2"), m.join("e3")}
			m.notify(first, m.record("00000000000000a1", 25*time.Second))
			m.run(2 * time.Second)
			first.frozenUntil = m.now.Add(time.Hour) // killed
			for _, i := range candidates {
				i.recoveryDelay = recovery
			}
			var second, third *modelInstance
			m.runUntil(5*time.Second, func() bool {
				for k, i := range candidates {
					if i.state.role == recovering {
						second, third = i, candidates[1-k]
					}
				}
				return second != nil
			})
			m.run(recovery)
			second.cutFrom = map[string]bool{third.name: true}
			m.runUntil(time.Second, second.state.isReady)
			second.store = storeRefused
			for id, w := range m.workers {
				if len(w.runs) > 0 {
					delete(third.delays, id) // the worker is cut off with the second owner
				} else {
					delete(second.delays, id)
				}
			}
			m.run(30 * time.Second)
			m.reportViolations()
		})
	}
}
