package instance

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// resendAfter is the time without a response after which an order is resent. It is
	// several times the 25 ms in which a worker in another region responds.
	resendAfter = 140 * time.Millisecond
	// maxOrderCopies bounds how many times one order is sent.
	maxOrderCopies = 3
	// resendShare is the number of further copies that each order allows in the long run, and resendBurst that
	// of copies which may be sent at once, as when a relay is lost. When all answers are late because this
	// instance is short of processor time, further copies of all orders would make them later still.
	resendShare = 0.25
	resendBurst = 256
)

// resendBudget bounds the further copies of orders, in proportion to the orders.
type resendBudget struct {
	mu              sync.Mutex
	copies          float64 // that may be sent now
	resent, refused metrics.Counter
}

func newResendBudget(registry metrics.Registry) *resendBudget {
	return &resendBudget{
		copies: resendBurst,
		resent: metrics.GetOrRegisterCounter("order.resent_count", registry), refused: metrics.GetOrRegisterCounter("order.resend_refused_count", registry),
	}
}

// recordOrder records that an order is sent for the first time.
func (b *resendBudget) recordOrder() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copies = min(resendBurst, b.copies+resendShare)
}

// take reports whether a further copy of an order may be sent.
func (b *resendBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.copies < 1 {
		b.refused.Inc(1)
		return false
	}
	b.copies--
	b.resent.Inc(1)
	return true
}

// sendOrder sends an order to a worker, and resends it over another path while there is no
// response. Copies of an order have the same run number, which makes them idempotent: a
// worker that has carried out one of them accepts the others, and refuses those that
// arrive after the run has ended. A refusal is inconclusive while another copy may still
// be carried out. An order whose time limit has passed is not sent.
func sendOrder(ctx context.Context, budget *resendBudget, sendFirst, resend func(context.Context) schedule.Verdict) schedule.Verdict {
	if ctx.Err() != nil {
		return schedule.NotSent
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	verdicts := make(chan schedule.Verdict, maxOrderCopies)
	inFlight, sent := 0, 0
	send := func() {
		attempt := sendFirst
		if sent > 0 {
			attempt = resend
		}
		inFlight++
		sent++
		go func() { verdicts <- attempt(ctx) }()
	}
	budget.recordOrder()
	send()
	resendTicker := time.NewTicker(resendAfter)
	defer resendTicker.Stop()
	unclear := false
	for {
		select {
		case v := <-verdicts:
			inFlight--
			switch {
			case v == schedule.Accepted || v == schedule.Fenced:
				return v
			case v == schedule.Unclear:
				unclear = true
			case inFlight == 0 && !unclear:
				return v
			default:
				unclear = unclear || inFlight > 0
			}
			if inFlight == 0 {
				return schedule.Unclear
			}
		case <-resendTicker.C:
			if sent < maxOrderCopies && budget.take() {
				send()
			}
		}
	}
}
