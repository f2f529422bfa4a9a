package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// reviewInterval is the interval between scans of all workers for those to quarantine or to probe.
// It is far shorter than the wait before a probe.
const reviewInterval = time.Second

// observeOutcome passes the outcome of an attempt to the monitor, which correlates the failures of
// workers. The outcome of a probe decides whether its worker leaves quarantine.
func (w *owner) observeOutcome(a *attempt, succeeded bool) {
	if a.isProbe {
		a.isProbe = false
		w.monitor.RecordProbe(w.now, a.worker, succeeded)
	}
	verdict := w.monitor.Observe(w.now, quarantine.Outcome{
		Worker:    a.worker,
		Class:     quarantine.Class{Team: a.team, Service: a.job.Service, Name: a.class},
		Job:       a.id.Task,
		Succeeded: succeeded,
	})
	if verdict.WorkerQuarantined {
		w.workerQuarantined(a.worker)
	}
	w.cluster.SetPenalty(a.worker, w.monitor.Penalty(w.now, a.worker))
	if worker, ok := w.workers[a.worker]; ok {
		w.updateNode(worker)
	}
}

func (w *owner) workerQuarantined(name string) {
	w.recordEvent(timeline.Event{Type: timeline.WorkerQuarantined, Worker: name})
	if worker, ok := w.workers[name]; ok {
		w.updateNode(worker)
	}
}

// reviewWorkers quarantines the workers that were found faulty while the quarantine cap was
// reached, and makes each worker whose probe is due available to one task.
func (w *owner) reviewWorkers() {
	if w.now.Sub(w.workersReviewedAt) < reviewInterval {
		return
	}
	w.workersReviewedAt = w.now
	for _, name := range w.monitor.QuarantineDeferred(w.now) {
		w.workerQuarantined(name)
	}
	for _, name := range w.monitor.BeginDueProbes(w.now) {
		if worker, ok := w.workers[name]; ok {
			worker.awaitingProbe = true
			w.updateNode(worker)
		}
	}
}

// startProbe makes an attempt the probe of the worker that is reserved for it, if that worker
// awaits one. The worker gets no other task until the probe has ended.
func (w *owner) startProbe(a *attempt) {
	worker, ok := w.workers[a.worker]
	if !ok || !worker.awaitingProbe {
		return
	}
	worker.awaitingProbe = false
	a.isProbe = true
	w.updateNode(worker)
}

// failProbe ends a probe without a conclusion about its worker. The probe counts as failed, so that
// another one becomes due; a probe that never ends would block all later ones.
func (w *owner) failProbe(a *attempt) {
	if !a.isProbe {
		return
	}
	a.isProbe = false
	w.monitor.RecordProbe(w.now, a.worker, false)
}

// workersAwaitingProbe returns the workers that await a probe. At-most-once work avoids them.
func (w *owner) workersAwaitingProbe() []string {
	var names []string
	for name, worker := range w.workers {
		if worker.awaitingProbe {
			names = append(names, name)
		}
	}
	return names
}
