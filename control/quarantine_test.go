package control

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const beyondProbeWait = time.Hour // longer than any wait between two probes

// quarantineWorker makes the monitor quarantine a worker and advances the clock until a probe of
// the worker is due.
func quarantineWorker(t *testing.T, h *harness, name string) *workerState {
	t.Helper()
	w := h.state.owner
	for _, class := range []string{"c1", "c2"} {
		for other := range w.workers {
			w.monitor.Observe(h.now, quarantine.Outcome{Worker: other, Class: quarantine.Class{Team: "t", Name: class}, Job: "j", Succeeded: other != name})
		}
		w.monitor.Observe(h.now, quarantine.Outcome{Worker: name, Class: quarantine.Class{Team: "t", Name: class}, Job: task.ID("bad-" + class)})
	}
	if !w.monitor.IsQuarantined(name) {
		t.Fatalf("worker %s is not in quarantine", name)
	}
	h.now = h.now.Add(beyondProbeWait)
	w.now = h.now
	w.reviewWorkers()
	worker := w.workers[name]
	if !worker.awaitingProbe {
		t.Fatalf("no probe is due for worker %s", name)
	}
	return worker
}

// TestInconclusiveProbeIsRepeated guards against a worker that stays in quarantine permanently. It
// happens if no probe follows one that ended without a conclusion about the worker.
func TestInconclusiveProbeIsRepeated(t *testing.T) {
	for name, end := range map[string]func(*owner, *attempt){
		"not run": func(w *owner, a *attempt) {
			w.startDone(StartDone{Start: StartTask{Attempt: a.id}, Result: StartNotRun})
		},
		"lost": func(w *owner, a *attempt) { w.attemptLost(a) },
		"cancelled": func(w *owner, a *attempt) {
			a.stopReason = errkind.Cancelled
			w.attemptEnded(a, task.Outcome{State: task.Finished, Reason: "cancelled"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(12, 4, 1)
			w := h.state.owner
			worker := quarantineWorker(t, h, "w0")
			a := &attempt{id: task.Attempt{Task: "t/s/k/0", Number: 1}, team: "t", class: "c", partition: worker.partition, worker: "w0", stage: stageStarting}
			w.attempts[a.id] = a
			w.startProbe(a)
			end(w, a)
			h.now = h.now.Add(beyondProbeWait)
			w.now = h.now
			w.reviewWorkers()
			if !worker.awaitingProbe {
				t.Error("no further probe is due after an inconclusive one")
			}
		})
	}
}

// TestRefusedStartNotCountedAsFailure guards against the quarantine of healthy workers after a
// change of owner, when starts are refused because the term of the previous owner has ended.
func TestRefusedStartNotCountedAsFailure(t *testing.T) {
	h := newHarness(12, 4, 1)
	w := h.state.owner
	for i, class := range []string{"c1", "c2", "c1", "c2"} {
		a := &attempt{id: task.Attempt{Task: "t/s/k/0", Number: uint32(i + 1)}, team: "t", class: class, worker: "w0", stage: stageStarting}
		w.attempts[a.id] = a
		w.startDone(StartDone{Start: StartTask{Attempt: a.id}, Result: StartNotRun})
	}
	if p := w.monitor.Penalty(w.now, "w0"); p != 0 {
		t.Errorf("penalty after refused starts = %d, want 0", p)
	}
}

// TestWorkerUsableAfterLeavingRevoked guards against a worker that permanently gets no work because
// the platform has listed a worker of the same name as leaving before.
func TestWorkerUsableAfterLeavingRevoked(t *testing.T) {
	h := newHarness(12, 4, 1)
	w := h.state.owner
	list := workerList(12)
	list[0].Leaving = true
	h.apply(InstancesListed{Workers: list, SentAt: h.now})
	if w.isUsable(w.workers["w0"]) {
		t.Fatal("worker w0 is usable while it is listed as leaving")
	}
	list[0].Leaving = false
	h.apply(InstancesListed{Workers: list, SentAt: h.now})
	if !w.isUsable(w.workers["w0"]) {
		t.Error("worker w0 is not usable after it is listed as live again")
	}
}
