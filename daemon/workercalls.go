package daemon

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// startTask starts an attempt. The ownership term is checked against the latest snapshot when the
// request is written, so that a delayed goroutine does not send under a term that has ended.
func (d *engine) startTask(ctx context.Context, e control.StartTask) {
	check := func() error {
		if !d.loop.Snapshot().Holds(time.Now(), e.Partition, e.Epoch) {
			return errkind.New(errkind.NoOwner, "ownership term %d of %s has ended", e.Epoch, e.Partition)
		}
		return nil
	}
	reply, err := d.clients.Workers.Start(ctx, worker.Address(e.Address), worker.StartRequest{
		Attempt: e.Attempt, Team: e.Team, Class: e.Class, Owner: d.cfg.Self.Incarnation, Epoch: e.Epoch, BootID: e.BootID,
		StartBy: e.StartBy, LeaseUntil: e.LeaseUntil, OutcomeWait: e.OutcomeWait, Size: e.Size, Command: e.Command, Payload: e.Payload, LongLived: e.LongLived,
	}, check)
	done := control.StartDone{Start: e, Clock: reply.Clock, BootID: reply.BootID}
	switch {
	case err == nil:
		done.Outcome, done.ResultBytes = reply.Outcome, reply.ResultBytes
	case errors.Is(err, worker.ErrNotRun):
		done.Result, done.Detail = control.StartNotRun, err.Error()
	default:
		done.Result, done.Detail = control.StartUnclear, err.Error()
	}
	d.meters.countStart(done)
	d.post(ctx, done)
}

func (d *engine) syncWorker(ctx context.Context, e control.SyncWorker) {
	done := control.SyncDone{Sync: e, SentAt: time.Now()}
	reply, err := d.clients.Workers.Sync(ctx, worker.Address(e.Address), worker.SyncRequest{
		Owner: d.cfg.Self.Incarnation, Epoch: e.Epoch, BootID: e.BootID, LeaseUntil: e.LeaseUntil,
		Acknowledge: e.Acknowledge, AfterSequence: e.AfterSequence, Full: e.Full,
	})
	done.Err = err
	if err == nil {
		done.Reply = control.WorkerReport{BootID: reply.BootID, Clock: reply.Clock, Sequence: reply.Sequence, Full: reply.Full,
			Capacity: reply.Capacity, Leaving: reply.Leaving}
		for _, t := range reply.Tasks {
			done.Reply.Tasks = append(done.Reply.Tasks, taskReport(t))
		}
	}
	d.post(ctx, done)
}

func taskReport(t worker.TaskReport) control.TaskReport {
	return control.TaskReport{Attempt: t.Attempt, Team: t.Team, Class: t.Class, Size: t.Size, Usage: t.Usage, Outcome: t.Outcome, ResultBytes: t.ResultBytes}
}

func (d *engine) lookupTask(ctx context.Context, e control.LookupTask) {
	reply, err := d.clients.Workers.Lookup(ctx, worker.Address(e.Address), e.Attempt)
	d.post(ctx, control.LookupDone{Lookup: e, Err: err, Found: reply.Found, Clock: reply.Clock, BootID: reply.BootID, Report: taskReport(reply.Report)})
}

func (d *engine) fetchResult(ctx context.Context, e control.FetchResult) {
	var data bytes.Buffer
	err := d.clients.Workers.Result(ctx, worker.Address(e.Address), worker.ResultRequest{Attempt: e.Attempt, Bytes: e.Bytes, Digest: e.Digest}, &data)
	d.post(ctx, control.ResultDone{Fetch: e, Err: err, Data: data.Bytes()})
}

// stopTask requests a stop or a checkpoint. The control state repeats the request if the next report
// of the worker does not show the effect.
func (d *engine) stopTask(ctx context.Context, e control.StopTask) {
	var err error
	if e.Checkpoint {
		_, err = d.clients.Workers.Checkpoint(ctx, worker.Address(e.Address), worker.CheckpointRequest{Attempt: e.Attempt, Owner: d.cfg.Self.Incarnation, Epoch: e.Epoch})
	} else {
		_, err = d.clients.Workers.Stop(ctx, worker.Address(e.Address), worker.StopRequest{Attempt: e.Attempt, Owner: d.cfg.Self.Incarnation,
			Epoch: e.Epoch, BootID: e.BootID, StartBy: e.RefuseUntil})
	}
	if err != nil {
		d.log.Debug("stop or checkpoint request failed", "attempt", e.Attempt, "worker", e.Worker, "err", err)
	}
}
