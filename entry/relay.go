package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/entry/entrypb"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// RelayOrder is an order to a worker that another instance gives.
type RelayOrder struct {
	ID      uint64 // unique on its stream
	Fence   int64
	Timeout time.Duration   // from its arrival at the other instance
	Order   schedule.Effect // a Hold, Start or Stop
}

// RelayOutcome is what became of an order.
type RelayOutcome struct {
	ID      uint64
	Verdict schedule.Verdict
	Clock   time.Duration // of the worker; this and the rest are those of a report
	Born    int64
	Running []schedule.RunReport
	Ended   []schedule.EndReport
}

const (
	// outcomeQueue bounds the outcomes that wait for the stream. Hundreds of
	// starts at once are for a few relays.
	outcomeQueue = 1024
	// relayBatch bounds what shares a message.
	relayBatch = 64
)

// errStreamEnded ends the goroutines of a stream that its other end has closed.
var errStreamEnded = eris.New("the stream has ended")

// Relay runs a stream of orders to the instance at an address until ctx or the
// stream ends. It sends what comes from orders, a sign of life for each nil, and
// passes outcomes to take, which is called with nil for a sign of life.
func (c *Client) Relay(ctx context.Context, address string, orders <-chan *RelayOrder, take func([]RelayOutcome)) error {
	connected, err := c.connect(membership.Member{Address: address})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	stream, err := entrypb.NewCellClient(connected.conn).RelayOrders(ctx)
	if err != nil {
		return err
	}
	group.Go(func() error {
		return sendBatches(ctx, orders, func(batch []*RelayOrder) error { return stream.Send(encodeRelayRequest(batch)) })
	})
	group.Go(func() error {
		for {
			reply, err := stream.Recv()
			if err != nil {
				return endOf(err)
			}
			outcomes, err := decodeRelayReply(reply)
			if err != nil {
				return err
			}
			take(outcomes)
		}
	})
	return group.Wait()
}

func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return errStreamEnded
	}
	return err
}

// sendBatches sends what comes from a channel, as much as there is at a time.
func sendBatches[T any](ctx context.Context, from <-chan *T, send func([]*T) error) error {
	for {
		var batch []*T
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-from:
			batch = append(batch, first)
		}
	collect:
		for len(batch) < relayBatch {
			select {
			case next := <-from:
				batch = append(batch, next)
			default:
				break collect
			}
		}
		if err := send(batch); err != nil {
			return endOf(err)
		}
	}
}

// RelayOrders serves the call of that name.
func (s *cellService) RelayOrders(stream entrypb.Cell_RelayOrdersServer) error {
	group, ctx := errgroup.WithContext(stream.Context())
	outcomes := make(chan *RelayOutcome, outcomeQueue)
	group.Go(func() error {
		return sendBatches(ctx, outcomes, func(batch []*RelayOutcome) error { return stream.Send(encodeRelayReply(batch)) })
	})
	group.Go(func() error {
		for {
			request, err := stream.Recv()
			if err != nil {
				return endOf(err)
			}
			if len(request.GetOrders()) == 0 {
				deliver(ctx, outcomes, nil)
			}
			for _, o := range request.GetOrders() {
				order, err := decodeRelayOrder(o)
				if err != nil {
					return err // the owner logs it and gives its orders directly
				}
				go func() {
					call, cancel := context.WithTimeout(ctx, order.Timeout)
					defer cancel()
					outcome := s.handler.GiveOrder(call, order)
					outcome.ID = order.ID
					deliver(ctx, outcomes, &outcome)
				}()
			}
		}
	})
	if err := group.Wait(); !errors.Is(err, errStreamEnded) {
		return err
	}
	return nil
}

func deliver[T any](ctx context.Context, to chan<- *T, value *T) {
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

func encodeRelayRequest(batch []*RelayOrder) *entrypb.RelayRequest {
	request := &entrypb.RelayRequest{}
	for _, o := range batch {
		if o != nil {
			request.Orders = append(request.Orders, encodeRelayOrder(o))
		}
	}
	return request
}

func encodeRelayOrder(o *RelayOrder) *entrypb.RelayOrder {
	out := &entrypb.RelayOrder{Id: o.ID, Fence: o.Fence, TimeoutMs: o.Timeout.Milliseconds()}
	var to schedule.Target
	switch order := o.Order.(type) {
	case schedule.Hold:
		to = order.Target
		out.Order = &entrypb.RelayOrder_Hold{Hold: &entrypb.HoldOrder{
			Confirmed: order.Confirmed, LeaseEndMs: order.LeaseEnd.Milliseconds(), WaitMs: order.Wait.Milliseconds(),
		}}
	case schedule.Start:
		to = order.Target
		out.Order = &entrypb.RelayOrder_Start{Start: &entrypb.StartOrder{
			Task: order.Task.String(), Run: int64(order.Run), Spec: order.Spec, Ticket: order.Ticket,
			Checkpoint: order.Checkpoint, LeaseEndMs: order.LeaseEnd.Milliseconds(),
		}}
	case schedule.Stop:
		to = order.Target
		out.Order = &entrypb.RelayOrder_Stop{Stop: &entrypb.StopOrder{Task: order.Task.String(), Run: int64(order.Run)}}
	}
	out.Worker, out.Born, out.Address = to.Worker, to.Born, to.Address
	return out
}

func decodeRelayOrder(o *entrypb.RelayOrder) (RelayOrder, error) {
	out := RelayOrder{ID: o.GetId(), Fence: o.GetFence(), Timeout: milliseconds(o.GetTimeoutMs())}
	to := schedule.Target{Worker: o.GetWorker(), Born: o.GetBorn(), Address: o.GetAddress()}
	switch order := o.GetOrder().(type) {
	case *entrypb.RelayOrder_Hold:
		out.Order = schedule.Hold{
			Target: to, Confirmed: order.Hold.GetConfirmed(),
			LeaseEnd: milliseconds(order.Hold.GetLeaseEndMs()), Wait: milliseconds(order.Hold.GetWaitMs()),
		}
		return out, nil
	case *entrypb.RelayOrder_Start:
		key, err := job.ParseTaskKey(order.Start.GetTask())
		out.Order = schedule.Start{
			Target: to, Task: key, Run: int(order.Start.GetRun()), Spec: order.Start.GetSpec(), Ticket: order.Start.GetTicket(),
			Checkpoint: order.Start.GetCheckpoint(), LeaseEnd: milliseconds(order.Start.GetLeaseEndMs()),
		}
		return out, err
	case *entrypb.RelayOrder_Stop:
		key, err := job.ParseTaskKey(order.Stop.GetTask())
		out.Order = schedule.Stop{Target: to, Task: key, Run: int(order.Stop.GetRun())}
		return out, err
	default:
		return out, eris.New("the order is of no known kind")
	}
}

func encodeRelayReply(batch []*RelayOutcome) *entrypb.RelayReply {
	reply := &entrypb.RelayReply{}
	for _, o := range batch {
		if o == nil {
			continue
		}
		out := &entrypb.RelayOutcome{Id: o.ID, Verdict: int32(o.Verdict), ClockMs: o.Clock.Milliseconds(), Born: o.Born}
		for _, r := range o.Running {
			out.Running = append(out.Running, &entrypb.RunningTask{Task: r.Task.String(), Run: int64(r.Run), Checkpoint: r.Checkpoint, Percent: int32(r.Percent)})
		}
		for _, e := range o.Ended {
			out.Ended = append(out.Ended, &entrypb.EndedTask{Number: e.Number, Task: e.Task.String(), Run: int64(e.Run), How: string(e.How), Checkpoint: e.Checkpoint})
		}
		reply.Outcomes = append(reply.Outcomes, out)
	}
	return reply
}

// decodeRelayReply returns the outcomes of a message. A task whose name cannot be
// read is an error: a report without it would say that the task does not run.
func decodeRelayReply(reply *entrypb.RelayReply) ([]RelayOutcome, error) {
	var outcomes []RelayOutcome
	for _, o := range reply.GetOutcomes() {
		out := RelayOutcome{ID: o.GetId(), Verdict: schedule.Verdict(o.GetVerdict()), Clock: milliseconds(o.GetClockMs()), Born: o.GetBorn()}
		for _, r := range o.GetRunning() {
			key, err := job.ParseTaskKey(r.GetTask())
			if err != nil {
				return nil, eris.Wrap(err, "report through a relay")
			}
			out.Running = append(out.Running, schedule.RunReport{Task: key, Run: int(r.GetRun()), Checkpoint: r.GetCheckpoint(), Percent: int(r.GetPercent())})
		}
		for _, e := range o.GetEnded() {
			key, err := job.ParseTaskKey(e.GetTask())
			if err != nil {
				return nil, eris.Wrap(err, "report through a relay")
			}
			out.Ended = append(out.Ended, schedule.EndReport{Number: e.GetNumber(), Task: key, Run: int(e.GetRun()), How: schedule.Ending(e.GetHow()), Checkpoint: e.GetCheckpoint()})
		}
		outcomes = append(outcomes, out)
	}
	return outcomes, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
