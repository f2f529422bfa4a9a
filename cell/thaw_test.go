package cell

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// TestThawedOwnerWithWaitingPoll guards against an owner that wakes up after a freeze and starts tasks and
// renews leases by knowledge from before it, because it handles a poll that has waited meanwhile.
func TestThawedOwnerWithWaitingPoll(t *testing.T) {
	for _, c := range []struct {
		name             string
		pollWaits        bool // a poll of another instance has waited during the freeze
		storeUnavailable bool // the store refuses calls after the freeze
	}{
		{"poll waits", true, false},
		{"poll waits, store refuses", true, true},
		{"no poll waits", false, false},
		{"no poll waits, store refuses", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.now = time.Now().Add(-10 * time.Second)
			h.becomeReadyOwner()
			frozenAt := h.now
			h.state.SetContact(Contact{Renewal: frozenAt, Request: frozenAt})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var mu sync.Mutex
			orders := map[string]int{}
			loop := NewLoop(h.state, metrics.NewRegistry(), func(e Effect) {
				order, _ := e.(Order)
				mu.Lock()
				defer mu.Unlock()
				switch effect := order.Effect.(type) {
				case schedule.Start:
					orders["start"]++
				case schedule.Poll:
					if effect.LeaseEnd > 0 {
						orders["renewal of a lease"]++
					}
				}
			})
			loop.RecordRenewal(frozenAt)
			view := frozenAt.Sub(h.state.ownedSince) // the last view before the freeze
			loop.RecordFollower(ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: view}, frozenAt)
			poll := schedule.Poll{Target: schedule.Target{Worker: "w1", Incarnation: 1}, Wait: time.Second}
			loop.Post(ctx, ScheduleOutcome{OwnerRevision: 10, Event: schedule.PollDone{Poll: poll, Verdict: schedule.Unclear, SentAt: frozenAt}})
			if c.storeUnavailable {
				loop.Post(ctx, StoreUnavailable{})
			}
			if c.pollWaits {
				loop.RecordFollower(ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: view}, time.Now())
			}
			go func() { _ = loop.Run(ctx) }()
			callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
			defer cancelCall()
			reply, err := loop.Call(callCtx, Submit{submission("00000000000000a1", 30)})
			if err != nil {
				t.Fatal(err)
			}
			if !reply.NotOwner {
				t.Errorf("accepted a job %s after the last renewal of its ownership", time.Since(frozenAt).Round(time.Second))
			}
			time.Sleep(100 * time.Millisecond) // several placement passes
			mu.Lock()
			defer mu.Unlock()
			for kind, count := range orders {
				t.Errorf("%d orders after the freeze: %s", count, kind)
			}
		})
	}
}
