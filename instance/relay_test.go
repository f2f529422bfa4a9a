package instance

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// fakeWorkers responds to every order with the same verdict and counts the orders.
type fakeWorkers struct {
	verdict schedule.Verdict
	orders  int
}

func (w *fakeWorkers) Poll(_ context.Context, _ int64, p schedule.Poll) schedule.PollDone {
	w.orders++
	return schedule.PollDone{Poll: p, Verdict: w.verdict}
}

func (w *fakeWorkers) Start(context.Context, int64, schedule.Start) schedule.Verdict {
	w.orders++
	return w.verdict
}

func (w *fakeWorkers) Stop(context.Context, int64, schedule.Stop) schedule.Verdict {
	w.orders++
	return w.verdict
}

// fakeRelay is the remote end of a relay's stream.
type fakeRelay struct {
	unresponsive atomic.Bool   // responds to nothing, not even to heartbeat requests
	losesOrders  bool          // responds to heartbeat requests but to no orders
	ended        chan struct{} // closed when the stream ends
	orders       int
	verdict      schedule.Verdict
}

func unresponsiveRelay() *fakeRelay {
	f := &fakeRelay{}
	f.unresponsive.Store(true)
	return f
}

func (f *fakeRelay) serve(ctx context.Context, _ string, orders <-chan *entry.RelayOrder, deliver func([]entry.RelayOutcome)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.ended:
			return context.Canceled
		case o := <-orders:
			switch {
			case f.unresponsive.Load():
			case o == nil:
				deliver(nil)
			default:
				f.orders++
				if !f.losesOrders {
					deliver([]entry.RelayOutcome{{ID: o.ID, Verdict: f.verdict}})
				}
			}
		}
	}
}

// TestRelays guards against a lost order, and against a refusal that is taken as
// conclusive although the order may still be carried out, when the relay is unresponsive
// or exits. It also guards against orders that are relayed unnecessarily.
func TestRelays(t *testing.T) {
	near := schedule.Target{Worker: "w1", FailureDomain: "near"}
	const orderTimeout = 2 * time.Second
	for _, c := range []struct {
		name         string
		relay        *fakeRelay
		target       schedule.Target
		direct       schedule.Verdict
		endsAfter    time.Duration // time from the order to the end of the stream; 0 if it does not end
		want         schedule.Verdict
		relayed      int
		directOrders int // orders sent to the worker without a relay
		wantTook     time.Duration
	}{
		{name: "through the relay", relay: &fakeRelay{verdict: schedule.InsufficientCapacity}, target: near, want: schedule.InsufficientCapacity, relayed: 1},
		{name: "no relay in the domain", relay: &fakeRelay{}, target: schedule.Target{Worker: "w1", FailureDomain: "far"}, want: schedule.Accepted, directOrders: 1},
		{name: "unresponsive from the start", relay: unresponsiveRelay(), target: near, want: schedule.Accepted, directOrders: 1},
		{name: "loses the order and ends", relay: &fakeRelay{losesOrders: true}, target: near, endsAfter: 100 * time.Millisecond, want: schedule.Accepted, relayed: 1, directOrders: 1, wantTook: 100 * time.Millisecond},
		{name: "loses the order and ends, refused directly", relay: &fakeRelay{losesOrders: true}, target: near, direct: schedule.InsufficientCapacity, endsAfter: 100 * time.Millisecond, want: schedule.Unclear, relayed: 1, directOrders: 1, wantTook: 100 * time.Millisecond},
		{name: "no answer from the worker", relay: &fakeRelay{losesOrders: true}, target: near, want: schedule.Unclear, relayed: 1, wantTook: orderTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &fakeWorkers{verdict: c.direct}
				c.relay.ended = make(chan struct{})
				r := newRelays("self", direct, entry.NewClient(membership.Member{Instance: "self"}), func(string, ...any) {})
				r.openStream = c.relay.serve
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go r.run(ctx)
				r.observePeer(entry.Peer{Instance: "self", FailureDomain: "near"}, time.Now())
				r.observePeer(entry.Peer{Instance: "other", FailureDomain: "near"}, time.Now())
				time.Sleep(2*relayPingInterval + time.Millisecond)
				if c.endsAfter > 0 {
					time.AfterFunc(c.endsAfter, func() { close(c.relay.ended) })
				}
				callCtx, cancelCall := context.WithTimeout(ctx, orderTimeout)
				defer cancelCall()
				began := time.Now()
				v := r.Start(callCtx, 1, schedule.Start{Target: c.target})
				if took := time.Since(began); v != c.want || took != c.wantTook || c.relay.orders != c.relayed || direct.orders != c.directOrders {
					t.Errorf("%s after %s, %d orders relayed, %d sent directly; want %s after %s, %d, %d", v, took, c.relay.orders, direct.orders, c.want, c.wantTook, c.relayed, c.directOrders)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestUnresponsiveRelay guards against a poll that waits for an unresponsive relay until
// its own timeout.
func TestUnresponsiveRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, remote := &fakeWorkers{}, &fakeRelay{losesOrders: true}
		r := newRelays("self", direct, entry.NewClient(membership.Member{Instance: "self"}), func(string, ...any) {})
		r.openStream = remote.serve
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.run(ctx)
		r.observePeer(entry.Peer{Instance: "other", FailureDomain: "near"}, time.Now())
		time.Sleep(2*relayPingInterval + time.Millisecond)
		time.AfterFunc(50*time.Millisecond, func() { remote.unresponsive.Store(true) })
		callCtx, cancelCall := context.WithTimeout(ctx, 5*time.Second)
		defer cancelCall()
		began := time.Now()
		done := r.Poll(callCtx, 1, schedule.Poll{Target: schedule.Target{Worker: "w1", FailureDomain: "near"}})
		if took := time.Since(began); done.Verdict != schedule.Accepted || direct.orders != 1 || took > relayTimeout+2*relayPingInterval {
			t.Errorf("%s after %s, %d polls sent directly; want one that is accepted within %s", done.Verdict, took, direct.orders, relayTimeout+2*relayPingInterval)
		}
		cancel()
		synctest.Wait()
	})
}
