package instance

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// execute carries out an effect. It runs on the control goroutine and does not
// block: each call runs in its own goroutine.
func (i *Instance) execute(effect cell.Effect) {
	switch e := effect.(type) {
	case cell.Log:
		i.cfg.Journal.Decision(e.Decision)
	case cell.ShowPastUse:
		i.metrics.showPastUse(e.PastUse)
	case cell.ShowHeldMemory:
		i.metrics.showHeldMemory(e)
	case cell.StartForecast:
		i.metrics.forecastError.Update(e.Error.Milliseconds())
	case cell.Campaign:
		go i.campaign(i.ctx)
	case cell.Recover:
		i.ownerCtx, i.cancelOwner = context.WithCancel(i.ctx)
		go i.recover(i.ownerCtx, e.OwnerRevision)
		go i.relays.run(i.ownerCtx)
	case cell.Renew:
		go i.renew(i.ownerCtx, e.Lease)
	case cell.Resign:
		go i.resign(e)
	case cell.CancelCalls:
		if i.cancelOwner != nil {
			i.cancelOwner()
		}
	case cell.RecordCores:
		go i.recordCores(i.ctx, e.Cores)
	case cell.CommitRecords:
		go i.commit(i.ownerCtx, e)
	case cell.Order:
		go i.executeOrder(i.ownerCtx, e, clock.Now())
	}
}

// executeOrder carries out one order to a worker or call to the advice service and posts
// its outcome. The time limit of an order counts from its issue, so that an instance that is
// short of processor time does not send an order that was issued long ago.
func (i *Instance) executeOrder(ctx context.Context, e cell.Order, issuedAt time.Time) {
	var outcome any
	switch order := e.Effect.(type) {
	case schedule.Poll:
		callCtx, cancel := context.WithTimeout(ctx, i.cfg.Timing.PollMargin+order.Wait-clock.Since(issuedAt))
		outcome = i.relays.Poll(callCtx, e.Fence, order)
		cancel()
	case schedule.Start:
		i.metrics.taskWait.Update(order.WaitTime.Milliseconds())
		callCtx, cancel := context.WithTimeout(ctx, i.cfg.Timing.OrderTimeout-clock.Since(issuedAt))
		outcome = schedule.StartDone{Start: order, Verdict: sendOrder(callCtx, i.resends,
			func(ctx context.Context) schedule.Verdict { return i.relays.Start(ctx, e.Fence, order) },
			func(ctx context.Context) schedule.Verdict { return i.cfg.Workers.Start(ctx, e.Fence, order) })}
		cancel()
	case schedule.Stop:
		callCtx, cancel := context.WithTimeout(ctx, i.cfg.Timing.OrderTimeout-clock.Since(issuedAt))
		outcome = schedule.StopDone{Stop: order, Verdict: sendOrder(callCtx, i.resends,
			func(ctx context.Context) schedule.Verdict { return i.relays.Stop(ctx, e.Fence, order) },
			func(ctx context.Context) schedule.Verdict { return i.cfg.Workers.Stop(ctx, e.Fence, order) })}
		cancel()
	case schedule.AdviceCall:
		outcome = i.requestAdvice(ctx, order)
	}
	i.loop.Post(ctx, cell.ScheduleOutcome{OwnerRevision: e.Fence, Event: outcome})
}

// requestAdvice calls the advice service, directly or through another instance.
func (i *Instance) requestAdvice(ctx context.Context, order schedule.AdviceCall) schedule.AdviceCallDone {
	ctx, cancel := context.WithTimeout(ctx, i.cfg.Timing.AdviceTimeout)
	defer cancel()
	done := schedule.AdviceCallDone{Call: order}
	var err error
	if order.Instance == i.cfg.Name {
		done.Tickets, done.Validity, err = i.cfg.Advisor.RequestAdvice(ctx, order.Step.String(), order.Workers)
	} else if address, ok := i.relays.address(order.Instance); ok {
		done.Tickets, done.Validity, err = i.peers.RequestAdvice(ctx, address, order.Step.String(), order.Workers)
	} else {
		err = eris.Errorf("instance %s no longer polls this owner", order.Instance)
	}
	if err != nil {
		done.Failed = true
		i.cfg.Journal.Event("advice call failed", "step", order.Step, "through", order.Instance, "error", err)
	}
	return done
}
