package control

import (
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// keyWithdrawn ends the attempts under a withdrawn key: those that have not been sent to a worker
// are completed as not run, and the others are stopped.
func (w *owner) keyWithdrawn(key KeyRef) {
	for _, a := range w.attempts {
		if a.team == key.Team && a.placement.Spec.KeyID == key.ID {
			w.endAttemptUnderKey(a)
		}
	}
}

func (w *owner) endAttemptUnderKey(a *attempt) {
	switch a.stage {
	case stageQueued:
		w.queues.Remove(a.id)
		w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.KeyWithdrawn)})
	case stageAwaitingPermit:
		w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.KeyWithdrawn)})
	default:
		w.stop(a, errkind.KeyWithdrawn)
	}
}

// keyWithdrawn terminates the jobs under a withdrawn key. Their attempts are also withdrawn from
// the owners, because an owner that adopted an attempt from a previous owner has no record of its
// key.
func (h *home) keyWithdrawn(key KeyRef) {
	for _, shard := range h.ledger.Shards() {
		for _, record := range h.ledger.Records(shard) {
			if record.Spec.Team == key.Team && record.Spec.KeyID == key.ID && !record.IsFinal() {
				h.terminate(record, errkind.KeyWithdrawn)
			}
		}
	}
}
