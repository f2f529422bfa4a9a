package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// reviewInterval is between two looks at all workers for those to quarantine or
// to probe. The waits of a probe are far longer.
const reviewInterval = time.Second

// judge takes the end of an attempt into account when workers are compared. The
// end of a probe decides whether its worker returns to service.
func (w *owner) judge(a *attempt, succeeded bool) {
	if a.isProbe {
		a.isProbe = false
		w.monitor.ProbeDone(w.now, a.worker, succeeded)
	}
	verdict := w.monitor.Observe(w.now, quarantine.Outcome{
		Worker:    a.worker,
		Class:     quarantine.Class{Team: a.team, Service: a.job.Service, Name: a.class},
		Job:       a.id.Task,
		Succeeded: succeeded,
	})
	if verdict.WorkerBad {
		w.quarantined(a.worker)
	}
	w.cluster.SetPenalty(a.worker, w.monitor.Penalty(w.now, a.worker))
	if ws, ok := w.workers[a.worker]; ok {
		w.setSchedulable(ws)
	}
}

func (w *owner) quarantined(worker string) {
	w.event(timeline.Event{Type: timeline.WorkerQuarantined, Worker: worker})
	if ws, ok := w.workers[worker]; ok {
		w.setSchedulable(ws)
	}
}

// review quarantines the workers that were found bad while the cap was reached,
// and lets one task to each worker whose probe is due.
func (w *owner) review() {
	if w.now.Sub(w.reviewedAt) < reviewInterval {
		return
	}
	w.reviewedAt = w.now
	for _, name := range w.monitor.Review(w.now) {
		w.quarantined(name)
	}
	for _, name := range w.monitor.ProbesDue(w.now) {
		if ws, ok := w.workers[name]; ok {
			ws.probing = true
			w.setSchedulable(ws)
		}
	}
}

// probeWith makes an attempt the probe of the worker on which it was reserved.
// The worker gets no other task until the probe has ended.
func (w *owner) probeWith(a *attempt) {
	ws, ok := w.workers[a.worker]
	if !ok || !ws.probing {
		return
	}
	ws.probing = false
	a.isProbe = true
	w.setSchedulable(ws)
}

// endProbe ends a probe that said nothing of its worker. It counts as failed, so
// that another one becomes due; without an end none would.
func (w *owner) endProbe(a *attempt) {
	if !a.isProbe {
		return
	}
	a.isProbe = false
	w.monitor.ProbeDone(w.now, a.worker, false)
}

// probing lists the workers that wait for a probe. Work that may not be repeated
// is not used for that.
func (w *owner) probing() []string {
	var names []string
	for name, ws := range w.workers {
		if ws.probing {
			names = append(names, name)
		}
	}
	return names
}
