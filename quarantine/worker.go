package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// classesKept bounds the classes whose last success a worker remembers.
const classesKept = 32

// worker is the record of one worker.
type worker struct {
	name        string
	partition   *partition
	failures    []failure // the latest, one for each job
	successes   []success // the latest, one for each class
	lastSuccess time.Time
	quarantined bool
	probing     bool
	probeAt     time.Time
	probeWait   time.Duration
}

type failure struct {
	class Class
	job   task.ID
	at    time.Time
}

type success struct {
	class Class
	at    time.Time
}

func (w *worker) failed(now time.Time, o Outcome) {
	w.failures = slices.DeleteFunc(w.failures, func(f failure) bool { return f.job == o.Job })
	if len(w.failures) == failuresKept {
		w.failures = slices.Delete(w.failures, 0, 1)
	}
	w.failures = append(w.failures, failure{o.Class, o.Job, now})
}

func (w *worker) succeeded(now time.Time, o Outcome) {
	w.lastSuccess = now
	for i := range w.successes {
		if w.successes[i].class == o.Class {
			w.successes[i].at = now
			return
		}
	}
	if len(w.successes) == classesKept {
		oldest := slices.IndexFunc(w.successes, func(s success) bool {
			return s.at.Equal(slices.MinFunc(w.successes, earlier).at)
		})
		w.successes = slices.Delete(w.successes, oldest, oldest+1)
	}
	w.successes = append(w.successes, success{o.Class, now})
}

func (w *worker) hasSucceededSince(c Class, at time.Time) bool {
	for _, s := range w.successes {
		if s.class == c {
			return !s.at.Before(at)
		}
	}
	return false
}

func earlier(a, b success) int { return a.at.Compare(b.at) }

func worseFirst(a, b *worker) int {
	if c := cmp.Compare(len(b.failures), len(a.failures)); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// ProbesDue returns the quarantined workers that are to run a probe task,
// sorted by name. Each is due once, until ProbeDone.
func (m *Monitor) ProbesDue(now time.Time) []string {
	var due []string
	for _, w := range m.workers {
		if w.quarantined && !w.probing && !now.Before(w.probeAt) {
			w.probing = true
			due = append(due, w.name)
		}
	}
	slices.Sort(due)
	return due
}

// ProbeDone takes the outcome of a probe task and reports whether the worker
// returned to service. After a failure the next probe waits twice as long.
func (m *Monitor) ProbeDone(now time.Time, name string, succeeded bool) (returned bool) {
	w, known := m.workers[name]
	if !known || !w.quarantined {
		return false
	}
	w.probing = false
	if !succeeded {
		w.probeWait = min(2*w.probeWait, m.cfg.ProbeLimit)
		w.probeAt = now.Add(w.probeWait)
		return false
	}
	w.quarantined = false
	w.partition.quarantined--
	w.failures = nil
	return true
}
