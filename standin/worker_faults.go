package standin

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/oracle"
)

// Call names a kind of call to a worker.
type Call string

// The kinds of calls.
const (
	CallSync       Call = "sync"
	CallStart      Call = "start"
	CallLookup     Call = "lookup"
	CallResult     Call = "result"
	CallStop       Call = "stop"
	CallCheckpoint Call = "checkpoint"
	CallThrottle   Call = "throttle"
)

// Calls lists every kind of call.
var Calls = []Call{CallSync, CallStart, CallLookup, CallResult, CallStop, CallCheckpoint, CallThrottle}

// WorkerFaults changes the fault switches of a worker. Fields that are absent
// leave their switch as it is.
type WorkerFaults struct {
	Freeze      *bool  `json:"freeze,omitempty"`       // calls wait and leases are not enforced until it ends
	Silent      *bool  `json:"silent,omitempty"`       // accept calls, do nothing and never reply
	SilentAfter *bool  `json:"silent_after,omitempty"` // have the effect and never reply
	DropReplies *int   `json:"drop_replies,omitempty"` // have the effect and close the connection, this many times
	SlowMS      *int64 `json:"slow_ms,omitempty"`      // delay before the effect
	FailTasks   *bool  `json:"fail_tasks,omitempty"`   // each new task fails at once
	Leaving     *bool  `json:"leaving,omitempty"`      // report that the worker is leaving
	Reboot      bool   `json:"reboot,omitempty"`       // new boot, tasks gone
	Calls       []Call `json:"calls,omitempty"`        // kinds that silent, drop and slow apply to; absent for all
}

// faults is the present state of the switches that concern calls.
type faults struct {
	frozen      bool
	silent      bool
	silentAfter bool
	dropReplies int
	slow        time.Duration
	only        []Call
}

// faultsAfter says what happens to a reply.
type faultsAfter struct{ drop, silent bool }

func (f *faults) applies(kind Call) bool {
	return len(f.only) == 0 || slices.Contains(f.only, kind)
}

// after takes the faults for the reply to a call that had its effect.
func (f *faults) after(kind Call) faultsAfter {
	if !f.applies(kind) {
		return faultsAfter{}
	}
	drop := f.dropReplies > 0
	if drop {
		f.dropReplies--
	}
	return faultsAfter{drop: drop, silent: f.silentAfter}
}

// SetFaults changes the fault switches.
func (w *Worker) SetFaults(change WorkerFaults) error {
	return w.manage(func(now time.Time) {
		if change.Freeze != nil {
			w.setFrozen(now, *change.Freeze)
		}
		if change.Reboot {
			w.reboot(now)
		}
		if change.Leaving != nil {
			w.setLeaving(now, *change.Leaving)
		}
		set(&w.faults.silent, change.Silent)
		set(&w.faults.silentAfter, change.SilentAfter)
		set(&w.faults.dropReplies, change.DropReplies)
		set(&w.machine.failTasks, change.FailTasks)
		if change.SlowMS != nil {
			w.faults.slow = time.Duration(*change.SlowMS) * time.Millisecond
		}
		w.faults.only = change.Calls
	})
}

func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// setFrozen freezes the worker or lets it go on. The loop enforces leases that
// ended meanwhile before it takes any call that waited.
func (w *Worker) setFrozen(now time.Time, frozen bool) {
	w.faults.frozen = frozen
	w.ledger.Frozen = mark(w.ledger.Frozen, now, frozen)
}

func (w *Worker) setLeaving(now time.Time, leaving bool) {
	w.machine.leaving = leaving
	w.ledger.Leaving = mark(w.ledger.Leaving, now, leaving)
}

// mark opens or closes the last period as on says.
func mark(periods []oracle.Period, now time.Time, on bool) []oracle.Period {
	last := len(periods) - 1
	open := last >= 0 && periods[last].End.IsZero()
	switch {
	case on && !open:
		return append(periods, oracle.Period{Start: wall(now)})
	case !on && open:
		periods[last].End = wall(now)
	}
	return periods
}

// reboot drops everything but the ledger. The switches stay as they are.
func (w *Worker) reboot(now time.Time) {
	before := w.machine
	before.advance(now)
	before.halt(now)
	w.boot(now)
	w.machine.leaving, w.machine.failTasks = before.leaving, before.failTasks
}

// enter applies the faults before the effect of a call.
func (w *Worker) enter(ctx context.Context, kind Call) error {
	var slow time.Duration
	var silent bool
	err := w.manage(func(time.Time) {
		if w.faults.applies(kind) {
			slow, silent = w.faults.slow, w.faults.silent
		}
	})
	if err != nil {
		return err
	}
	if silent {
		return w.silence(ctx)
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

// leave applies the faults after the effect of a call.
func (w *Worker) leave(ctx context.Context, reply faultsAfter) error {
	switch {
	case reply.drop:
		return errNoReply
	case reply.silent:
		return w.silence(ctx)
	}
	return nil
}

// silence waits until the caller gives up.
func (w *Worker) silence(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-w.closed:
	}
	return errNoReply
}
