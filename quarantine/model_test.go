package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"pgregory.net/rapid"
)

// outcomeLog is a reference implementation of Monitor that computes verdicts from all outcomes.
type outcomeLog struct {
	outcomes []loggedOutcome
	window   time.Duration
}

type loggedOutcome struct {
	Outcome
	at time.Time
}

// inWindow returns the outcomes that are not older than the window.
func (l *outcomeLog) inWindow(now time.Time) []loggedOutcome {
	var list []loggedOutcome
	for _, o := range l.outcomes {
		if now.Sub(o.at) <= l.window {
			list = append(list, o)
		}
	}
	return list
}

// failedOn returns the workers on which a job failed since its last success, with the time of the
// last failure. Failures before a success of the job on any worker are attributed to the workers.
func (l *outcomeLog) failedOn(id task.ID) map[string]time.Time {
	workers := map[string]time.Time{}
	for _, o := range l.outcomes {
		switch {
		case o.Job != id:
		case o.Succeeded:
			clear(workers)
		default:
			workers[o.Worker] = o.at
		}
	}
	return workers
}

func (l *outcomeLog) isWorkerFaulty(now time.Time, worker string, minClasses int) bool {
	classes := map[Class]bool{}
	for i, o := range l.outcomes {
		if o.Worker != worker || o.Succeeded || now.Sub(o.at) > l.window {
			continue
		}
		if !l.failedElsewhere(now, o) && l.succeededElsewhere(now, o) && !l.succeededOnWorkerAfter(i) {
			classes[o.Class] = true
		}
	}
	return len(classes) >= minClasses
}

func (l *outcomeLog) failedElsewhere(now time.Time, failed loggedOutcome) bool {
	for worker, at := range l.failedOn(failed.Job) {
		if worker != failed.Worker && now.Sub(at) <= l.window {
			return true
		}
	}
	return false
}

func (l *outcomeLog) succeededElsewhere(now time.Time, failed loggedOutcome) bool {
	for _, o := range l.inWindow(now) {
		if o.Succeeded && o.Class == failed.Class && o.Worker != failed.Worker {
			return true
		}
	}
	return false
}

func (l *outcomeLog) succeededOnWorkerAfter(i int) bool {
	for _, o := range l.outcomes[i+1:] {
		if o.Succeeded && o.Class == l.outcomes[i].Class && o.Worker == l.outcomes[i].Worker {
			return true
		}
	}
	return false
}

func (l *outcomeLog) isJobFaulty(now time.Time, m *Monitor, id task.ID) bool {
	count := 0
	for worker, at := range l.failedOn(id) {
		if now.Sub(at) > l.window || m.IsQuarantined(worker) {
			continue
		}
		for _, o := range l.inWindow(now) {
			if o.Succeeded && o.Worker == worker {
				count++
				break
			}
		}
	}
	return count >= DefaultMinWorkers
}

// TestMonitorEqualsLog guards against verdicts from the bounded history that differ from verdicts
// from all outcomes, against more quarantined workers than the cap allows, and against an outcome
// that is attributed to both the worker and the job.
func TestMonitorEqualsLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		m := newMonitor(workers)
		l := &outcomeLog{window: DefaultWindow}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(1+rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			o := drawOutcome(t, workers)
			wasQuarantined := m.IsQuarantined(o.Worker)
			l.outcomes = append(l.outcomes, loggedOutcome{o, now})
			v := m.Observe(now, o)
			if want := !o.Succeeded && l.isJobFaulty(now, m, o.Job); !v.WorkerQuarantined && v.JobFaulty != want {
				t.Fatalf("JobFaulty of %s = %v, want %v", o.Job, v.JobFaulty, want)
			}
			faulty := l.isWorkerFaulty(now, o.Worker, DefaultMinClasses)
			if v.WorkerQuarantined && (!faulty || v.JobFaulty || wasQuarantined) {
				t.Fatalf("worker %s was quarantined with verdict %+v; faulty in the reference: %v", o.Worker, v, faulty)
			}
			checkCap(t, m, workers)
			if !o.Succeeded && faulty && !v.JobFaulty && !m.IsQuarantined(o.Worker) && countQuarantined(m, workers) == 0 {
				t.Fatalf("faulty worker %s stays in service although no other worker is quarantined", o.Worker)
			}
			for _, name := range m.BeginDueProbes(now) {
				m.RecordProbe(now, name, false)
			}
		}
	})
}

func drawOutcome(t *rapid.T, workers int) Outcome {
	class := rapid.IntRange(0, 3).Draw(t, "class")
	return Outcome{
		Worker:    workerName(rapid.IntRange(0, workers-1).Draw(t, "worker")),
		Class:     classNamed(fmt.Sprint("c", class)),
		Job:       task.ID(fmt.Sprint("c", class, "-", rapid.IntRange(0, 2).Draw(t, "job"))),
		Succeeded: rapid.Bool().Draw(t, "succeeded"),
	}
}

func checkCap(t *rapid.T, m *Monitor, workers int) {
	if n := countQuarantined(m, workers); n > max(1, (workers+9)/10) {
		t.Fatalf("%d of %d workers are quarantined, more than the cap", n, workers)
	}
}

func countQuarantined(m *Monitor, workers int) int {
	n := 0
	for i := range workers {
		if m.IsQuarantined(workerName(i)) {
			n++
		}
	}
	return n
}
