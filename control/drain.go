package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// drainState is the progress of a drain, that is of a planned stop.
type drainState struct {
	started   bool
	startedAt time.Time
	finished  bool
}

// startDrain begins a planned stop: it publishes the draining state in the member record and stops
// admission. continueDrain hands the units over.
func (s *State) startDrain() {
	if s.drain.started {
		return
	}
	s.drain = drainState{started: true, startedAt: s.now}
	s.self.Draining = true
	s.snapshotChanged = true
	s.recordEvent(timeline.Event{Type: timeline.DrainStarted})
	s.owner.startDrain()
	for _, m := range s.routing.members {
		s.ownership.ObserveContact(m.Instance, false)
	}
	if s.membership.leaseID != 0 {
		s.emit(WriteMember{Member: s.self, Lease: s.membership.leaseID})
	}
}

// mayReceiveUnits reports whether units may be handed over to the sender of a digest. During a
// drain, the sender must have reached the store since the drain began: an instance that has just
// lost the store does not detect that at once, and could not serve the units.
func (s *State) mayReceiveUnits(d DigestMessage) bool {
	if s.drain.started {
		return d.ContactAge < s.now.Sub(s.drain.startedAt)
	}
	return d.StoreContact
}

// continueDrain hands over the held units. Request shards are released as soon as they have no
// uncommitted changes, since a call that waits here is retried at the next home. Worker partitions
// are released when no home needs this owner any more. The drain is complete when the answers that
// only this process keeps have been given, too. The waits for homes and answers end after
// MaxDrainingAnswers. Without store contact nothing can be handed over, and the process keeps its
// units until it is stopped.
func (s *State) continueDrain() {
	if !s.drain.started || s.drain.finished {
		return
	}
	withinWaitLimit := s.now.Sub(s.drain.startedAt) < s.cfg.MaxDrainingAnswers
	held := s.heldUnits()
	for _, unit := range held {
		if s.home.ledger.HasPending(unit) || isPartition(unit) && withinWaitLimit && s.owner.isBusy() {
			continue
		}
		s.ownership.Release(s.now, unit)
	}
	hasPendingReplies := withinWaitLimit && (len(s.home.waitingCalls) > 0 || s.home.ledger.VolatileOpen() > 0)
	if len(held) == 0 && !hasPendingReplies {
		s.drain.finished = true
		s.emit(Drained{})
	}
}

// startDrain stops admission and returns the queued tasks to their homes as not run, so that they
// are dispatched elsewhere.
func (w *owner) startDrain() {
	w.draining = true
	for _, a := range w.attempts {
		if a.stage == stageQueued {
			w.queues.Remove(a.id)
			w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.Draining)})
		}
	}
}

// isBusy reports whether a home still needs this owner: for the outcome of an answer, for an
// attempt that is being started, or for a report that the home has not confirmed.
func (w *owner) isBusy() bool {
	if len(w.pendingReports) > 0 {
		return true
	}
	for _, a := range w.attempts {
		if a.placement.Spec.Kind == task.Answer || a.stage == stageAwaitingPermit || a.stage == stageStarting {
			return true
		}
	}
	return false
}
