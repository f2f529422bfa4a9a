package instance

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// resendAfter is several times the 25 ms in which a worker in another region
	// answers.
	resendAfter = 140 * time.Millisecond
	// maxOrderCopies bounds how often one order is sent.
	maxOrders = 3
)

// sendOrder sends an order to a worker, and sends it again over another path while there
// is no response. Copies of an order have the same run number: a worker that has carried
// one out accepts further copies, and refuses those that arrive after the run has ended.
// A refusal is inconclusive while an earlier copy may still be carried out.
func sendOrder(ctx context.Context, give, giveAgain func(context.Context) schedule.Verdict) schedule.Verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	verdicts := make(chan schedule.Verdict, maxOrders)
	underway, sent := 0, 0
	send := func() {
		way := give
		if sent > 0 {
			way = giveAgain
		}
		underway++
		sent++
		go func() { verdicts <- way(ctx) }()
	}
	send()
	again := time.NewTicker(resendAfter)
	defer again.Stop()
	unclear := false
	for {
		select {
		case v := <-verdicts:
			underway--
			switch {
			case v == schedule.Accepted || v == schedule.Fenced:
				return v
			case v == schedule.Unclear:
				unclear = true
			case underway == 0 && !unclear:
				return v
			default:
				unclear = unclear || underway > 0
			}
			if underway == 0 {
				return schedule.Unclear
			}
		case <-again.C:
			if sent < maxOrders {
				send()
			}
		}
	}
}
