package standin

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/oracle"
)

// WorkerCall is a kind of call to a worker.
type WorkerCall string

// The kinds of calls.
const (
	CallSync       WorkerCall = "sync"
	CallStart      WorkerCall = "start"
	CallLookup     WorkerCall = "lookup"
	CallResult     WorkerCall = "result"
	CallStop       WorkerCall = "stop"
	CallCheckpoint WorkerCall = "checkpoint"
	CallThrottle   WorkerCall = "throttle"
)

// WorkerCalls lists every kind of call.
var WorkerCalls = []WorkerCall{CallSync, CallStart, CallLookup, CallResult, CallStop, CallCheckpoint, CallThrottle}

// WorkerFaults changes the faults of a worker. Absent fields leave their fault unchanged, except
// Calls, which is always replaced.
type WorkerFaults struct {
	Freeze      *bool        `json:"freeze,omitempty"`       // calls wait and leases are not enforced until it is cleared
	Silent      *bool        `json:"silent,omitempty"`       // calls are accepted, never executed and never answered
	SilentAfter *bool        `json:"silent_after,omitempty"` // calls are executed and never answered
	DropReplies *int         `json:"drop_replies,omitempty"` // this many calls are executed and their connections closed without a reply
	SlowMS      *int64       `json:"slow_ms,omitempty"`      // delay before calls are executed
	FailTasks   *bool        `json:"fail_tasks,omitempty"`   // each new task fails immediately
	Leaving     *bool        `json:"leaving,omitempty"`      // reports show the worker as leaving
	Reboot      bool         `json:"reboot,omitempty"`       // start a new boot without tasks
	Calls       []WorkerCall `json:"calls,omitempty"`        // kinds that silent, silent_after, drop_replies and slow_ms apply to; all if absent
}

// callFaults holds the active faults that affect calls.
type callFaults struct {
	frozen      bool
	silent      bool
	silentAfter bool
	dropReplies int
	slow        time.Duration
	kinds       []WorkerCall // kinds that the faults other than frozen apply to; all if empty
}

// replyFault is the fault of one reply: drop closes the connection without a reply, silent leaves
// it open without a reply.
type replyFault struct{ drop, silent bool }

func (f *callFaults) appliesTo(kind WorkerCall) bool {
	return len(f.kinds) == 0 || slices.Contains(f.kinds, kind)
}

// takeReplyFault returns the fault for the reply to an executed call, and decrements dropReplies if
// it drops the reply.
func (f *callFaults) takeReplyFault(kind WorkerCall) replyFault {
	if !f.appliesTo(kind) {
		return replyFault{}
	}
	drop := f.dropReplies > 0
	if drop {
		f.dropReplies--
	}
	return replyFault{drop: drop, silent: f.silentAfter}
}

// SetFaults applies a change to the faults.
func (w *Worker) SetFaults(change WorkerFaults) error {
	return w.runControl(func(now time.Time) {
		if change.Freeze != nil {
			w.setFrozen(now, *change.Freeze)
		}
		if change.Reboot {
			w.reboot(now)
		}
		if change.Leaving != nil {
			w.setLeaving(now, *change.Leaving)
		}
		setIfPresent(&w.faults.silent, change.Silent)
		setIfPresent(&w.faults.silentAfter, change.SilentAfter)
		setIfPresent(&w.faults.dropReplies, change.DropReplies)
		setIfPresent(&w.machine.failTasks, change.FailTasks)
		if change.SlowMS != nil {
			w.faults.slow = time.Duration(*change.SlowMS) * time.Millisecond
		}
		w.faults.kinds = change.Calls
	})
}

func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// setFrozen freezes or unfreezes the worker. After it is unfrozen, the loop first ends the tasks
// whose leases have expired meanwhile, and then runs the calls that were waiting.
func (w *Worker) setFrozen(now time.Time, frozen bool) {
	w.faults.frozen = frozen
	w.ledger.Frozen = updatePeriods(w.ledger.Frozen, now, frozen)
}

func (w *Worker) setLeaving(now time.Time, leaving bool) {
	w.machine.leaving = leaving
	w.ledger.Leaving = updatePeriods(w.ledger.Leaving, now, leaving)
}

// updatePeriods starts a period at now if active is true and no period is open, and ends the open
// period if active is false.
func updatePeriods(periods []oracle.Period, now time.Time, active bool) []oracle.Period {
	last := len(periods) - 1
	open := last >= 0 && periods[last].End.IsZero()
	switch {
	case active && !open:
		return append(periods, oracle.Period{Start: wallTime(now)})
	case !active && open:
		periods[last].End = wallTime(now)
	}
	return periods
}

// reboot aborts all tasks and starts a new boot, which keeps only the ledger and the faults.
func (w *Worker) reboot(now time.Time) {
	previous := w.machine
	previous.advance(now)
	previous.abortRunning(now)
	w.boot(now)
	w.machine.leaving, w.machine.failTasks = previous.leaving, previous.failTasks
}

// applyBefore applies the faults that act before a call is executed.
func (w *Worker) applyBefore(ctx context.Context, kind WorkerCall) error {
	var slow time.Duration
	var silent bool
	err := w.runControl(func(time.Time) {
		if w.faults.appliesTo(kind) {
			slow, silent = w.faults.slow, w.faults.silent
		}
	})
	if err != nil {
		return err
	}
	if silent {
		return w.holdOpen(ctx)
	}
	if slow == 0 {
		return nil
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-w.closed:
		return errNoReply
	}
}

// applyAfter applies the fault of the reply after a call was executed.
func (w *Worker) applyAfter(ctx context.Context, fault replyFault) error {
	switch {
	case fault.drop:
		return errNoReply
	case fault.silent:
		return w.holdOpen(ctx)
	}
	return nil
}

// holdOpen leaves a call unanswered until ctx is done or the worker is closed.
func (w *Worker) holdOpen(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-w.closed:
	}
	return errNoReply
}
