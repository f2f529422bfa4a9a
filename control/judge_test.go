package control

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const probeWait = time.Hour // longer than any wait between two probes

// quarantineWorker has a worker put in quarantine and opened for a probe.
func quarantineWorker(t *testing.T, b *bench, name string) *workerState {
	t.Helper()
	w := b.state.owner
	for _, class := range []string{"c1", "c2"} {
		for other := range w.workers {
			w.monitor.Observe(b.now, quarantine.Outcome{Worker: other, Class: quarantine.Class{Team: "t", Name: class}, Job: "j", Succeeded: other != name})
		}
		w.monitor.Observe(b.now, quarantine.Outcome{Worker: name, Class: quarantine.Class{Team: "t", Name: class}, Job: task.ID("bad-" + class)})
	}
	if !w.monitor.IsQuarantined(name) {
		t.Fatalf("%s is not in quarantine", name)
	}
	b.now = b.now.Add(probeWait)
	w.now = b.now
	w.review()
	ws := w.workers[name]
	if !ws.probing {
		t.Fatalf("no probe is due for %s", name)
	}
	return ws
}

// TestProbeWithoutVerdict guards against a worker that stays in quarantine for
// good because its probe ended in a way that says nothing of the worker.
func TestProbeWithoutVerdict(t *testing.T) {
	for name, end := range map[string]func(*owner, *attempt){
		"not run": func(w *owner, a *attempt) {
			w.startDone(StartDone{Start: StartTask{Attempt: a.id}, Result: StartNotRun})
		},
		"lost": func(w *owner, a *attempt) { w.lost(a) },
		"cancelled": func(w *owner, a *attempt) {
			a.stopping = errkind.Cancelled
			w.ended(a, task.Outcome{State: task.Finished, Reason: "cancelled"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(12, 4, 1)
			w := b.state.owner
			ws := quarantineWorker(t, b, "w0")
			a := &attempt{id: task.Attempt{Task: "t/s/k/0", Number: 1}, team: "t", class: "c", partition: ws.partition, worker: "w0", stage: stageStarting}
			w.attempts[a.id] = a
			w.probeWith(a)
			end(w, a)
			b.now = b.now.Add(probeWait)
			w.now = b.now
			w.review()
			if !ws.probing {
				t.Error("no other probe is due")
			}
		})
	}
}

// TestRefusedStartIsNoFailure guards against healthy workers in quarantine after
// a change of owner, when starts are refused because a term has ended.
func TestRefusedStartIsNoFailure(t *testing.T) {
	b := newBench(12, 4, 1)
	w := b.state.owner
	for i, class := range []string{"c1", "c2", "c1", "c2"} {
		a := &attempt{id: task.Attempt{Task: "t/s/k/0", Number: uint32(i + 1)}, team: "t", class: class, worker: "w0", stage: stageStarting}
		w.attempts[a.id] = a
		w.startDone(StartDone{Start: StartTask{Attempt: a.id}, Result: StartNotRun})
	}
	if p := w.monitor.Penalty(w.now, "w0"); p != 0 {
		t.Errorf("penalty after refused starts = %d, want 0", p)
	}
}

// TestWorkerComesBackFromLeaving guards against a worker that gets no work for
// good because the platform once showed its name as leaving.
func TestWorkerComesBackFromLeaving(t *testing.T) {
	b := newBench(12, 4, 1)
	w := b.state.owner
	list := listWorkers(12)
	list[0].Leaving = true
	b.apply(InstancesListed{Workers: list, SentAt: b.now})
	if w.isUsable(w.workers["w0"]) {
		t.Fatal("a leaving worker may get work")
	}
	list[0].Leaving = false
	b.apply(InstancesListed{Workers: list, SentAt: b.now})
	if !w.isUsable(w.workers["w0"]) {
		t.Error("a worker that is listed as live again gets no work")
	}
}
