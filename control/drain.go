package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// drainState is how far a planned stop has come.
type drainState struct {
	started  bool
	since    time.Time
	finished bool
}

// startDrain begins a planned stop: the member record says so, and every unit
// is handed over.
func (s *State) startDrain() {
	if s.drain.started {
		return
	}
	s.drain = drainState{started: true, since: s.now}
	s.self.Draining = true
	s.changed = true
	s.event(timeline.Event{Type: timeline.DrainStarted})
	s.owner.startDrain()
	for _, m := range s.routing.members {
		s.ownership.ObserveContact(m.Instance, false)
	}
	if s.members.lease != 0 {
		s.emit(WriteMember{Member: s.self, Lease: s.members.lease})
	}
}

// mayReceive reports whether units may be handed to the sender of a digest. For a
// planned stop it must have reached the store since the stop began: an instance
// that was cut off a moment ago does not know it yet, and could not serve them.
func (s *State) mayReceive(d DigestMessage) bool {
	if s.drain.started {
		return d.ContactAge < s.now.Sub(s.drain.since)
	}
	return d.StoreContact
}

// continueDrain hands over what is held: request shards at once, since a call
// that waits here is asked again at the next home, and worker partitions when no
// home needs this owner any more. The stop is complete when the answers that only
// this process knows of are given, too. Without store contact nothing can be
// handed over, and the process keeps its units until it is stopped.
func (s *State) continueDrain() {
	if !s.drain.started || s.drain.finished {
		return
	}
	mayWait := s.now.Sub(s.drain.since) < s.cfg.MaxDrainingAnswers
	held := s.heldUnits()
	for _, unit := range held {
		if s.home.ledger.HasPending(unit) || isPartition(unit) && mayWait && s.owner.isBusy() {
			continue
		}
		s.ownership.Release(s.now, unit)
	}
	isWaited := mayWait && (len(s.home.calls) > 0 || s.home.ledger.VolatileOpen() > 0)
	if len(held) == 0 && !isWaited {
		s.drain.finished = true
		s.emit(Drained{})
	}
}

// startDrain gives the waiting tasks back to their homes, which send them
// elsewhere, and admits no more.
func (w *owner) startDrain() {
	w.draining = true
	for _, a := range w.attempts {
		if a.stage == stageQueued {
			w.queues.Remove(a.id)
			w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.Draining)})
		}
	}
}

// isBusy reports whether a home still needs this owner: for the outcome of an
// answer that is being worked out, or for a report that it has not confirmed.
func (w *owner) isBusy() bool {
	if len(w.outgoing) > 0 {
		return true
	}
	for _, a := range w.attempts {
		if a.placement.Spec.Kind == task.Answer || a.stage == stagePermit || a.stage == stageStarting {
			return true
		}
	}
	return false
}
