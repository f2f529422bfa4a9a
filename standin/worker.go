package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// WorkerConfig describes a stand-in worker. IgnoreEpoch models a worker that does not check epochs,
// and IgnoreValidity one that checks neither start_by nor leases nor the boot id.
type WorkerConfig struct {
	Name           string
	Capacity       task.Resources
	UsageLag       time.Duration // age of the usage in reports
	IgnoreEpoch    bool
	IgnoreValidity bool
}

// errNoReply means that the worker sends no reply: the connection is closed or stays silent. The
// caller cannot determine whether the call took effect.
var errNoReply = errors.New("worker did not reply")

// Worker is a stand-in worker. One goroutine, the loop, owns its state; calls and changes of faults
// are functions sent to that goroutine.
type Worker struct {
	config    WorkerConfig
	calls     chan func(now time.Time)
	control   chan func(now time.Time)
	closed    chan struct{}
	closeOnce sync.Once

	// The fields below are owned by the loop.
	machine *machine
	ledger  oracle.WorkerLedger
	boots   int
	faults  callFaults
}

// NewWorker starts a worker. Close stops it.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{
		config:  config,
		calls:   make(chan func(time.Time)),
		control: make(chan func(time.Time)),
		closed:  make(chan struct{}),
		ledger:  oracle.WorkerLedger{Worker: config.Name, Capacity: config.Capacity},
	}
	w.boot(time.Now())
	go w.loop()
	return w
}

// Close ends the loop and every call in progress.
func (w *Worker) Close() { w.closeOnce.Do(func() { close(w.closed) }) }

func (w *Worker) boot(now time.Time) {
	w.boots++
	w.machine = newMachine(now, w.config, w.boots, &w.ledger)
}

// loop executes calls and ends tasks that are due. While the worker is frozen, it accepts only
// control functions, so that calls wait in the order of their arrival.
func (w *Worker) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		calls, expired := w.calls, timer.C
		if w.faults.frozen {
			calls, expired = nil, nil
		} else {
			w.setTimer(timer)
		}
		select {
		case <-w.closed:
			return
		case f := <-w.control:
			f(time.Now())
		case f := <-calls:
			now := time.Now()
			w.machine.advance(now)
			f(now)
		case <-expired:
			w.machine.advance(time.Now())
		}
	}
}

// setTimer sets timer to the next end of a task.
func (w *Worker) setTimer(timer *time.Timer) {
	next := w.machine.nextEnd()
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(next))
}

// runCall runs f on the loop. It blocks while the worker is frozen, even if the context of the
// caller ends meanwhile: a request that has arrived stays in the socket buffer of a worker after
// the sender has timed out.
func (w *Worker) runCall(f func(now time.Time)) error { return w.run(w.calls, f) }

// runControl runs f on the loop even while the worker is frozen.
func (w *Worker) runControl(f func(now time.Time)) error { return w.run(w.control, f) }

// run sends f to the loop over queue and waits until the loop has run it. It returns errNoReply if
// the worker is closed first.
func (w *Worker) run(queue chan func(time.Time), f func(now time.Time)) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case queue <- wrapped:
	case <-w.closed:
		return errNoReply
	}
	<-done // the loop runs every function that it has received
	return nil
}

// serve executes one call, subject to the faults that apply to its kind. f returns the rejection of
// the call, if any.
func (w *Worker) serve(ctx context.Context, kind WorkerCall, f func(now time.Time) *worker.Rejection) error {
	if err := w.applyBefore(ctx, kind); err != nil {
		return err
	}
	var rejection *worker.Rejection
	var fault replyFault
	err := w.runCall(func(now time.Time) {
		rejection = f(now)
		fault = w.faults.takeReplyFault(kind)
	})
	if err != nil {
		return err
	}
	if err := w.applyAfter(ctx, fault); err != nil {
		return err
	}
	if rejection != nil {
		return rejection
	}
	return nil
}

// Sync serves worker.API.Sync.
func (w *Worker) Sync(ctx context.Context, req worker.SyncRequest) (reply worker.SyncReply, err error) {
	err = w.serve(ctx, CallSync, func(now time.Time) (rejection *worker.Rejection) {
		reply, rejection = w.machine.sync(now, req)
		return rejection
	})
	return reply, err
}

// Start serves worker.API.Start. It waits up to req.OutcomeWait for the end of the task.
func (w *Worker) Start(ctx context.Context, req worker.StartRequest) (reply worker.StartReply, err error) {
	var started *record
	var bootID string
	err = w.serve(ctx, CallStart, func(now time.Time) (rejection *worker.Rejection) {
		started, rejection = w.machine.start(now, req)
		reply, bootID = w.machine.startReply(now, started), w.machine.bootID
		return rejection
	})
	if err != nil || reply.Outcome != nil || started == nil || req.OutcomeWait <= 0 {
		return reply, err
	}
	if err := w.awaitEnd(ctx, started, req.OutcomeWait); err != nil {
		return worker.StartReply{}, err
	}
	rebooted := false
	err = w.runCall(func(now time.Time) {
		rebooted = w.machine.bootID != bootID
		reply = w.machine.startReply(now, started)
	})
	if rebooted {
		return worker.StartReply{}, errNoReply
	}
	return reply, err
}

// awaitEnd waits until the attempt has ended, but no longer than wait.
func (w *Worker) awaitEnd(ctx context.Context, r *record, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.ended:
	case <-timer.C:
	case <-ctx.Done():
		return errNoReply
	case <-w.closed:
		return errNoReply
	}
	return nil
}

// Lookup serves worker.API.Lookup.
func (w *Worker) Lookup(ctx context.Context, a task.Attempt) (reply worker.LookupReply, err error) {
	err = w.serve(ctx, CallLookup, func(now time.Time) *worker.Rejection {
		reply = w.machine.lookup(now, a)
		return nil
	})
	return reply, err
}

// Stop serves worker.API.Stop.
func (w *Worker) Stop(ctx context.Context, req worker.StopRequest) (reply worker.LookupReply, err error) {
	err = w.serve(ctx, CallStop, func(now time.Time) (rejection *worker.Rejection) {
		reply, rejection = w.machine.stop(now, req)
		return rejection
	})
	return reply, err
}

// Checkpoint serves worker.API.Checkpoint.
func (w *Worker) Checkpoint(ctx context.Context, req worker.CheckpointRequest) (reply worker.LookupReply, err error) {
	err = w.serve(ctx, CallCheckpoint, func(now time.Time) (rejection *worker.Rejection) {
		reply, rejection = w.machine.checkpoint(now, req)
		return rejection
	})
	return reply, err
}

// Throttle serves worker.API.Throttle.
func (w *Worker) Throttle(ctx context.Context, req worker.ThrottleRequest) (reply worker.LookupReply, err error) {
	err = w.serve(ctx, CallThrottle, func(now time.Time) (rejection *worker.Rejection) {
		reply, rejection = w.machine.throttle(now, req)
		return rejection
	})
	return reply, err
}

// Result serves worker.API.Result. It returns the result of a finished attempt and its digest.
func (w *Worker) Result(ctx context.Context, a task.Attempt) (result []byte, digest string, err error) {
	err = w.serve(ctx, CallResult, func(now time.Time) (rejection *worker.Rejection) {
		result, digest, rejection = w.machine.result(now, a)
		return rejection
	})
	return result, digest, err
}

// Ledger returns a copy of the record of all runs of the worker.
func (w *Worker) Ledger() (ledger oracle.WorkerLedger, err error) {
	err = w.runControl(func(now time.Time) {
		if !w.faults.frozen {
			w.machine.advance(now)
		}
		ledger = w.ledger
		ledger.Runs = slices.Clone(w.ledger.Runs)
		ledger.RejectedStarts = slices.Clone(w.ledger.RejectedStarts)
		ledger.Leaving = slices.Clone(w.ledger.Leaving)
		ledger.Frozen = slices.Clone(w.ledger.Frozen)
	})
	return ledger, err
}
