package instance

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// TestOrderOfSlowInstance guards against an order that is sent long after its issue, because the instance
// was short of processor time: the job may have been cancelled or the worker may be leaving since.
func TestOrderOfSlowInstance(t *testing.T) {
	workers := &fakeWorkers{verdict: schedule.Accepted}
	registry := metrics.NewRegistry()
	i := New(Config{Name: "e1", Workers: workers, Metrics: registry, Journal: NewJournal(io.Discard, registry), Timing: DefaultTiming()})
	for _, order := range []schedule.Effect{schedule.Start{}, schedule.Stop{}, schedule.Poll{Wait: 100 * time.Millisecond}} {
		i.executeOrder(t.Context(), cell.Order{Effect: order}, time.Now().Add(-time.Second))
		if workers.orders != 0 {
			t.Fatalf("%T was sent one second after its issue", order)
		}
	}
	if n := i.loop.QueuedEvents(); n != 3 {
		t.Errorf("%d outcomes were posted, want 3", n)
	}
	i.executeOrder(t.Context(), cell.Order{Effect: schedule.Start{}}, time.Now())
	if workers.orders != 1 {
		t.Errorf("%d start orders were sent, want 1", workers.orders)
	}
}

// TestSendOrder guards against a lost response that delays a start by the whole timeout,
// and against a refusal that is taken as conclusive while an earlier copy of the order
// may still be carried out.
func TestSendOrder(t *testing.T) {
	type attempt = func(context.Context) schedule.Verdict
	lost := func(ctx context.Context) schedule.Verdict { <-ctx.Done(); return schedule.Unclear }
	after := func(d time.Duration, v schedule.Verdict) attempt {
		return func(ctx context.Context) schedule.Verdict {
			select {
			case <-time.After(d):
				return v
			case <-ctx.Done():
				return schedule.Unclear
			}
		}
	}
	for _, c := range []struct {
		name     string
		attempts []attempt
		want     schedule.Verdict
		wantTook time.Duration
	}{
		{"accepted", []attempt{after(20*time.Millisecond, schedule.Accepted)}, schedule.Accepted, 20 * time.Millisecond},
		{"refused", []attempt{after(20*time.Millisecond, schedule.InsufficientCapacity)}, schedule.InsufficientCapacity, 20 * time.Millisecond},
		{"no connection", []attempt{after(20*time.Millisecond, schedule.NotSent)}, schedule.NotSent, 20 * time.Millisecond},
		{"first response lost", []attempt{lost, after(20*time.Millisecond, schedule.Accepted)}, schedule.Accepted, resendAfter + 20*time.Millisecond},
		{"lost, then refused", []attempt{lost, after(20*time.Millisecond, schedule.TicketRejected), after(20*time.Millisecond, schedule.TicketRejected)}, schedule.Unclear, 700 * time.Millisecond},
		{"lost, then fenced", []attempt{lost, after(20*time.Millisecond, schedule.Fenced)}, schedule.Fenced, resendAfter + 20*time.Millisecond},
		{"no response", []attempt{lost, lost, lost}, schedule.Unclear, 700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
				defer cancel()
				var started atomic.Int32
				began := time.Now()
				next := func(ctx context.Context) schedule.Verdict { return c.attempts[started.Add(1)-1](ctx) }
				v := sendOrder(ctx, newResendBudget(metrics.NewRegistry()), next, next)
				if took := time.Since(began); v != c.want || took != c.wantTook {
					t.Errorf("%s after %s, want %s after %s", v, took, c.want, c.wantTook)
				}
				synctest.Wait()
			})
		})
	}
}

// TestLateAnswersAreNotMultiplied guards against an owner that sends two or three copies of every order, over
// new connections, because all answers are late, which makes them later still.
func TestLateAnswersAreNotMultiplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const orders, answerTime = 4000, 3 * resendAfter
		registry := metrics.NewRegistry()
		budget := newResendBudget(registry)
		var sent, accepted atomic.Int32
		attempt := func(context.Context) schedule.Verdict {
			sent.Add(1)
			time.Sleep(answerTime)
			return schedule.Accepted
		}
		for range orders {
			go func() {
				if sendOrder(t.Context(), budget, attempt, attempt) == schedule.Accepted {
					accepted.Add(1)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * answerTime)
		synctest.Wait()
		if n := accepted.Load(); n != orders {
			t.Errorf("%d of %d orders were accepted", n, orders)
		}
		if n, most := sent.Load(), int32(orders*(1+resendShare)+resendBurst); n > most {
			t.Errorf("%d copies of %d orders were sent, want at most %d", n, orders, most)
		}
	})
}
