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

// RelayOrder is an order of the owner that another instance sends to a worker.
type RelayOrder struct {
	ID       uint64 // unique on its stream
	Fence    int64
	Deadline time.Time       // after which it must not be sent to the worker; the time left is transmitted
	Order    schedule.Effect // a schedule.Poll, schedule.Start or schedule.Stop
}

// RelayOutcome is the result of a relayed order.
type RelayOutcome struct {
	ID          uint64
	Verdict     schedule.Verdict
	Clock       time.Duration // reading of the worker's clock; this and the following fields are set only for a schedule.Poll
	Incarnation int64         // incarnation of the worker
	Running     []schedule.RunReport
	Ended       []schedule.EndReport
	Partial     bool // the report may lack runs
}

const (
	// outcomeQueueSize is the capacity of the queue of outcomes to be sent on a stream. A few relays
	// may have to handle hundreds of starts at once.
	outcomeQueueSize = 1024
	// maxRelayBatch is the maximum number of orders or outcomes in one message.
	maxRelayBatch = 64
)

// errStreamClosed ends the goroutines of a stream that the peer has closed.
var errStreamClosed = eris.New("relay stream closed by the peer")

// Relay runs a stream of orders to the instance at the given address until ctx is cancelled or the
// stream ends. It sends the orders received from the channel, with a nil order as a heartbeat, and
// passes the received outcomes to handleOutcomes, which is called with nil for a heartbeat.
func (c *Client) Relay(ctx context.Context, address string, orders <-chan *RelayOrder, handleOutcomes func([]RelayOutcome)) error {
	peerConn, err := c.connect(membership.Member{Address: address})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	stream, err := entrypb.NewCellClient(peerConn.grpcConn).RelayOrders(ctx)
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
				return streamError(err)
			}
			outcomes, err := decodeRelayReply(reply)
			if err != nil {
				return err
			}
			handleOutcomes(outcomes)
		}
	})
	return group.Wait()
}

func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errStreamClosed
	}
	return err
}

// sendBatches sends the values of a channel in batches of those that are available, up to
// maxRelayBatch each.
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
		for len(batch) < maxRelayBatch {
			select {
			case next := <-from:
				batch = append(batch, next)
			default:
				break collect
			}
		}
		if err := send(batch); err != nil {
			return streamError(err)
		}
	}
}

// RelayOrders implements entrypb.CellServer.
func (s *cellService) RelayOrders(stream entrypb.Cell_RelayOrdersServer) error {
	group, ctx := errgroup.WithContext(stream.Context())
	outcomes := make(chan *RelayOutcome, outcomeQueueSize)
	group.Go(func() error {
		return sendBatches(ctx, outcomes, func(batch []*RelayOutcome) error { return stream.Send(encodeRelayReply(batch)) })
	})
	group.Go(func() error {
		for {
			request, err := stream.Recv()
			if err != nil {
				return streamError(err)
			}
			if len(request.GetOrders()) == 0 {
				sendUnlessDone(ctx, outcomes, nil)
			}
			for _, o := range request.GetOrders() {
				order, err := decodeRelayOrder(o)
				if err != nil {
					return err // the owner logs the error and sends its orders directly
				}
				go func() {
					orderCtx, cancel := context.WithDeadline(ctx, order.Deadline)
					defer cancel()
					outcome := s.handler.ForwardOrder(orderCtx, order)
					outcome.ID = order.ID
					sendUnlessDone(ctx, outcomes, &outcome)
				}()
			}
		}
	})
	if err := group.Wait(); !errors.Is(err, errStreamClosed) {
		return err
	}
	return nil
}

// sendUnlessDone sends a value, or discards it if ctx is done before the channel accepts it.
func sendUnlessDone[T any](ctx context.Context, to chan<- *T, value *T) {
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

// encodeRelayRequest encodes the orders of a batch whose deadline has not passed.
func encodeRelayRequest(batch []*RelayOrder) *entrypb.RelayRequest {
	request := &entrypb.RelayRequest{}
	for _, o := range batch {
		if o == nil {
			continue
		}
		if left := time.Until(o.Deadline); left > 0 {
			request.Orders = append(request.Orders, encodeRelayOrder(o, left))
		}
	}
	return request
}

func encodeRelayOrder(o *RelayOrder, timeLeft time.Duration) *entrypb.RelayOrder {
	out := &entrypb.RelayOrder{Id: o.ID, Fence: o.Fence, TimeoutMs: timeLeft.Milliseconds()}
	var to schedule.Target
	switch order := o.Order.(type) {
	case schedule.Poll:
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
	out.Worker, out.Born, out.Address = to.Worker, to.Incarnation, to.Address
	return out
}

func decodeRelayOrder(o *entrypb.RelayOrder) (RelayOrder, error) {
	out := RelayOrder{ID: o.GetId(), Fence: o.GetFence(), Deadline: time.Now().Add(milliseconds(o.GetTimeoutMs()))}
	to := schedule.Target{Worker: o.GetWorker(), Incarnation: o.GetBorn(), Address: o.GetAddress()}
	switch order := o.GetOrder().(type) {
	case *entrypb.RelayOrder_Hold:
		out.Order = schedule.Poll{
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
		return out, eris.Errorf("unknown order type %T", o.GetOrder())
	}
}

func encodeRelayReply(batch []*RelayOutcome) *entrypb.RelayReply {
	reply := &entrypb.RelayReply{}
	for _, o := range batch {
		if o == nil {
			continue
		}
		out := &entrypb.RelayOutcome{Id: o.ID, Verdict: int32(o.Verdict), ClockMs: o.Clock.Milliseconds(), Born: o.Incarnation, Partial: o.Partial}
		for _, r := range o.Running {
			out.Running = append(out.Running, &entrypb.RunningTask{Task: r.Task.String(), Run: int64(r.Run), Checkpoint: r.Checkpoint, Percent: int32(r.Percent)})
		}
		for _, e := range o.Ended {
			out.Ended = append(out.Ended, &entrypb.EndedTask{Number: e.Number, Task: e.Task.String(), Run: int64(e.Run), How: string(e.Reason), Checkpoint: e.Checkpoint})
		}
		reply.Outcomes = append(reply.Outcomes, out)
	}
	return reply
}

// decodeRelayReply decodes the outcomes of a message. An invalid task name makes the whole message
// fail, since a report without that task would imply that the task is not running.
func decodeRelayReply(reply *entrypb.RelayReply) ([]RelayOutcome, error) {
	var outcomes []RelayOutcome
	for _, o := range reply.GetOutcomes() {
		out := RelayOutcome{ID: o.GetId(), Verdict: schedule.Verdict(o.GetVerdict()), Clock: milliseconds(o.GetClockMs()), Incarnation: o.GetBorn(), Partial: o.GetPartial()}
		for _, r := range o.GetRunning() {
			key, err := job.ParseTaskKey(r.GetTask())
			if err != nil {
				return nil, eris.Wrap(err, "invalid running task in relayed report")
			}
			out.Running = append(out.Running, schedule.RunReport{Task: key, Run: int(r.GetRun()), Checkpoint: r.GetCheckpoint(), Percent: int(r.GetPercent())})
		}
		for _, e := range o.GetEnded() {
			key, err := job.ParseTaskKey(e.GetTask())
			if err != nil {
				return nil, eris.Wrap(err, "invalid ended task in relayed report")
			}
			out.Ended = append(out.Ended, schedule.EndReport{Number: e.GetNumber(), Task: key, Run: int(e.GetRun()), Reason: schedule.EndReason(e.GetHow()), Checkpoint: e.GetCheckpoint()})
		}
		outcomes = append(outcomes, out)
	}
	return outcomes, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
