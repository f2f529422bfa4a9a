package cell

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// TestWatchCatchesUpAfterOutage guards against a job that starts again after its recorded success: the store
// goes down, with paused leases, before the watch of the inbox has delivered the record of a job of which
// the owner was notified directly. After the outage the watch resumes with the record, which was removed
// since, and the owner has evicted the final state from its memory.
func TestWatchCatchesUpAfterOutage(t *testing.T) {
	const finalEviction = 5 * time.Second // interval between evictions of final states, at least
	for _, c := range []struct {
		name     string
		outage   time.Duration
		wallJump time.Duration // of the time of day of the owner's machine
		notified bool          // the record arrives as a late notification of the accepting instance, not by the watch
	}{
		{"outage of 20 s", 20 * time.Second, 0, false},
		{"outage of 40 s", 40 * time.Second, 0, false},
		{"no outage, time of day jumps by 40 s", 4 * time.Second, 40 * time.Second, false},
		{"notification from an instance that was frozen for 40 s", 40 * time.Second, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.becomeReadyOwner()
			h.renew()
			submitted := submission("00000000000000a1", 30)
			effects := h.apply(RequestReceived{Token: 1, Request: Submit{submitted}})
			h.now = h.now.Add(20 * time.Millisecond)
			effects = append(effects, h.apply(Tick{})...)
			var start schedule.Start
			for _, e := range effects {
				order, _ := e.(Order)
				if s, ok := order.Effect.(schedule.Start); ok {
					start = s
				}
			}
			if start.Worker == "" {
				t.Fatal("the task did not start at first")
			}
			h.apply(ScheduleOutcome{OwnerRevision: 10, Event: schedule.StartDone{Start: start, Verdict: schedule.Accepted}})
			poll := schedule.Poll{Target: schedule.Target{Worker: "w1", Incarnation: 1}}
			pending := h.apply(ScheduleOutcome{OwnerRevision: 10, Event: schedule.PollDone{Poll: poll, SentAt: h.now, Clock: time.Hour, Incarnation: 1,
				Ended: []schedule.EndReport{{Number: 1, Task: start.Task, Run: start.Run, Reason: schedule.EndedSucceeded}}}})
			recorded := false
			for range 10 {
				for len(pending) > 0 {
					if e, ok := pending[0].(CommitRecords); ok {
						for _, change := range e.Commit.Changes {
							recorded = recorded || (change.Final != nil && change.Final.State == job.Completed)
						}
						pending = append(pending, h.apply(Committed{Commit: e.Commit, OwnerRevision: 10, Sequence: 40})...)
					}
					pending = pending[1:]
				}
				h.now = h.now.Add(30 * time.Millisecond)
				pending = h.apply(Tick{})
			}
			if !recorded {
				t.Fatal("the success was not recorded")
			}
			h.apply(StoreUnavailable{})
			wall := c.wallJump
			for end := h.now.Add(c.outage); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
				h.state.SetContact(Contact{Renewal: h.now.Add(-time.Second), Request: h.now})
				h.state.Apply(h.now, h.now.Add(wall), Tick{})
			}
			h.renew()
			h.state.Apply(h.now, h.now.Add(wall), DirectoryRead{Workers: []schedule.Worker{worker("w1")}, AsOf: h.now})
			h.state.Apply(h.now, h.now.Add(wall), StoreSynced{At: h.now})
			var late Event = JobsObserved{OwnerRevision: 10, Jobs: []Submission{submitted}, AsOf: h.now}
			if c.notified {
				h.state.Apply(h.now, h.now.Add(wall), JobsObserved{OwnerRevision: 10, Revision: 50, AsOf: h.now})
				h.now = h.now.Add(finalEviction)
				h.renew()
				h.state.Apply(h.now, h.now.Add(wall), Tick{})
				late = RequestReceived{Token: 2, Request: Submit{submitted}}
			}
			effects = h.state.Apply(h.now, h.now.Add(wall), late)
			for range 5 {
				h.now = h.now.Add(20 * time.Millisecond)
				h.renew()
				effects = append(effects, h.state.Apply(h.now, h.now.Add(wall), Tick{})...)
			}
			if starts, _ := grants(effects); starts {
				t.Error("the task starts again after its recorded success")
			}
		})
	}
}
