package control

import (
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// keyWithdrawn ends the attempts under a key: those that wait are not run, and
// those that run are stopped.
func (w *owner) keyWithdrawn(key KeyName) {
	for _, a := range w.attempts {
		if a.team == key.Team && a.placement.Spec.KeyID == key.ID {
			w.endUnderKey(a)
		}
	}
}

func (w *owner) endUnderKey(a *attempt) {
	switch a.stage {
	case stageQueued:
		w.queues.Remove(a.id)
		w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.KeyWithdrawn)})
	case stagePermit:
		w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.KeyWithdrawn)})
	default:
		w.stop(a, errkind.KeyWithdrawn)
	}
}

// keyWithdrawn ends the jobs under a key. An attempt that an owner has is asked
// for as well, since that owner may have been replaced by one that adopted the
// attempt and does not know its key.
func (h *home) keyWithdrawn(key KeyName) {
	for _, shard := range h.ledger.Shards() {
		for _, record := range h.ledger.Records(shard) {
			if record.Spec.Team == key.Team && record.Spec.KeyID == key.ID && !record.IsFinal() {
				h.end(record, errkind.KeyWithdrawn)
			}
		}
	}
}
