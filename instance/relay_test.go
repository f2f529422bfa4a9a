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

// fakeWorkers answers every order with the same verdict and counts them.
type fakeWorkers struct {
	verdict schedule.Verdict
	orders  int
}

func (w *fakeWorkers) Hold(_ context.Context, _ int64, h schedule.Hold) schedule.HoldDone {
	w.orders++
	return schedule.HoldDone{Hold: h, Verdict: w.verdict}
}

func (w *fakeWorkers) Start(context.Context, int64, schedule.Start) schedule.Verdict {
	w.orders++
	return w.verdict
}

func (w *fakeWorkers) Stop(context.Context, int64, schedule.Stop) schedule.Verdict {
	w.orders++
	return w.verdict
}

// fakeRelay is the remote end of a relay stream.
type fakeRelay struct {
	unresponsive atomic.Bool // answers nothing, not even heartbeat requests
	losesOrders  bool        // answers heartbeat requests but no orders
	ends         chan struct{}
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
		case <-f.ends:
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
// conclusive although the order may still be carried out, when the relaying instance is
// unresponsive or exits. It also guards against orders that are relayed without need.
func TestRelays(t *testing.T) {
	near := schedule.Target{Worker: "w1", FailureDomain: "near"}
	const orderTimeout = 2 * time.Second
	for _, c := range []struct {
		name         string
		relay        *fakeRelay
		to           schedule.Target
		direct       schedule.Verdict
		endsIn       time.Duration // of the relay, after the order; 0 for never
		want         schedule.Verdict
		relayed      int
		directOrders int // orders sent to the worker without a relay
		within       time.Duration
	}{
		{name: "through the relay", relay: &fakeRelay{verdict: schedule.NoRoom}, to: near, want: schedule.NoRoom, relayed: 1},
		{name: "no relay in the domain", relay: &fakeRelay{}, to: schedule.Target{Worker: "w1", FailureDomain: "far"}, want: schedule.Accepted, directOrders: 1},
		{name: "unresponsive from the start", relay: unresponsiveRelay(), to: near, want: schedule.Accepted, directOrders: 1},
		{name: "loses the order and ends", relay: &fakeRelay{losesOrders: true}, to: near, endsIn: 100 * time.Millisecond, want: schedule.Accepted, relayed: 1, directOrders: 1, within: 100 * time.Millisecond},
		{name: "loses the order and ends, refused directly", relay: &fakeRelay{losesOrders: true}, to: near, direct: schedule.NoRoom, endsIn: 100 * time.Millisecond, want: schedule.Unclear, relayed: 1, directOrders: 1, within: 100 * time.Millisecond},
		{name: "no answer from the worker", relay: &fakeRelay{losesOrders: true}, to: near, want: schedule.Unclear, relayed: 1, within: orderTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &fakeWorkers{verdict: c.direct}
				c.relay.ends = make(chan struct{})
				r := newRelays("self", direct, entry.NewClient(membership.Member{Instance: "self"}), func(string, ...any) {})
				r.openStream = c.relay.serve
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go r.run(ctx)
				r.observePeer(entry.Peer{Instance: "self", FailureDomain: "near"}, time.Now())
				r.observePeer(entry.Peer{Instance: "other", FailureDomain: "near"}, time.Now())
				time.Sleep(2*relayPingInterval + time.Millisecond)
				if c.endsIn > 0 {
					time.AfterFunc(c.endsIn, func() { close(c.relay.ends) })
				}
				call, cancelCall := context.WithTimeout(ctx, orderTimeout)
				defer cancelCall()
				began := time.Now()
				v := r.Start(call, 1, schedule.Start{Target: c.to})
				if took := time.Since(began); v != c.want || took != c.within || c.relay.orders != c.relayed || direct.orders != c.directOrders {
					t.Errorf("%s after %s, %d relayed, %d sent directly; want %s after %s, %d, %d", v, took, c.relay.orders, direct.orders, c.want, c.within, c.relayed, c.directOrders)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRelayFallsSilent guards against a hold that waits for a frozen relay until its own
// timeout.
func TestRelayFallsSilent(t *testing.T) {
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
		call, cancelCall := context.WithTimeout(ctx, 5*time.Second)
		defer cancelCall()
		began := time.Now()
		done := r.Hold(call, 1, schedule.Hold{Target: schedule.Target{Worker: "w1", FailureDomain: "near"}})
		if took := time.Since(began); done.Verdict != schedule.Accepted || direct.orders != 1 || took > relayTimeout+2*relayPingInterval {
			t.Errorf("%s after %s, %d sent directly; want a report from the worker within %s", done.Verdict, took, direct.orders, relayTimeout+2*relayPingInterval)
		}
		cancel()
		synctest.Wait()
	})
}
