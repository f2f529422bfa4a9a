package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// drainState is the progress of the drain before a planned stop.
type drainState struct {
	started   bool
	startedAt time.Time
	finished  bool // Drained was emitted
}

// startDrain starts the drain before a planned stop: it publishes the draining state in the member
// record and stops admission. continueDrain then hands the units over.
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
		s.ownership.SetHandoverEligible(m.Instance, false)
	}
	if s.membership.leaseID != 0 {
		s.emit(WriteMember{Member: s.self, Lease: s.membership.leaseID})
	}
}

// mayReceiveUnits reports whether units may be handed over to the sender of a digest. During a
// drain the sender must have reached the store since the drain started: an instance that has just
// lost contact with the store does not detect that at once, and could not serve the units.
func (s *State) mayReceiveUnits(d DigestMessage) bool {
	if s.drain.started {
		return d.StoreContactAge < s.now.Sub(s.drain.startedAt)
	}
	return d.StoreContact
}

// continueDrain hands over the held units. A request shard is released as soon as it has no
// uncommitted changes, because waiting calls are retried at the next home. A worker partition is
// released when this owner is no longer busy, see isBusy. The drain is complete when no unit is
// held, no call waits for a reply, and every memory-only job is final. The waits for homes, calls
// and memory-only jobs end after MaxDrainWait. Without store contact nothing can be handed over,
// and the process holds its units until it is stopped.
func (s *State) continueDrain() {
	if !s.drain.started || s.drain.finished {
		return
	}
	withinWaitLimit := s.now.Sub(s.drain.startedAt) < s.cfg.MaxDrainWait
	held := s.heldUnits()
	for _, unit := range held {
		if s.home.ledger.HasPending(unit) || isPartition(unit) && withinWaitLimit && s.owner.isBusy() {
			continue
		}
		s.ownership.Release(s.now, unit)
	}
	hasPendingReplies := withinWaitLimit && (len(s.home.waitingCalls) > 0 || s.home.ledger.OpenMemoryOnlyJobs() > 0)
	if len(held) == 0 && !hasPendingReplies {
		s.drain.finished = true
		s.emit(Drained{})
	}
}

// startDrain stops admission and completes the queued attempts as not run, so that their homes
// dispatch the tasks elsewhere.
func (w *owner) startDrain() {
	w.draining = true
	for _, a := range w.attempts {
		if a.stage == stageQueued {
			w.queues.Remove(a.id)
			w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.Draining)})
		}
	}
}

// isBusy reports whether a home still depends on this owner: for the outcome of an answer, for an
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
