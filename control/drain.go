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
	if s.members.lease != 0 {
		s.emit(WriteMember{Member: s.self, Lease: s.members.lease})
	}
}

// continueDrain hands over the partitions once no home needs this owner, and the
// request shards once no call of a caller waits here. Neither waits for the
// other: an answer may wait here for a partition that this process still holds.
// Without store contact nothing can be handed over and the process keeps its
// units until it is stopped.
func (s *State) continueDrain() {
	if !s.drain.started || s.drain.finished {
		return
	}
	inTime := s.now.Sub(s.drain.since) < s.cfg.MaxDrainingAnswers
	keepShards := inTime && len(s.home.calls) > 0
	keepPartitions := inTime && s.owner.isBusy()
	held := s.heldUnits()
	for _, unit := range held {
		_, isPartition := s.owner.partitions[unit]
		if isPartition && keepPartitions || !isPartition && keepShards || s.home.ledger.HasPending(unit) {
			continue
		}
		s.ownership.Release(s.now, unit)
	}
	if len(held) == 0 {
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
