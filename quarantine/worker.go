package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// maxWorkerClasses is the maximum number of classes whose last success is recorded per worker.
const maxWorkerClasses = 32

// worker is the state of one worker.
type worker struct {
	name        string
	partition   *partition
	failures    []failure // the latest failure of each job, oldest first
	successes   []success // the latest success of each class
	lastSuccess time.Time
	quarantined bool
	probing     bool          // BeginDueProbes returned the worker, and RecordProbe has not been called yet
	probeAt     time.Time     // when the next probe is due
	probeDelay  time.Duration // current backoff between probes
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

func (w *worker) recordFailure(now time.Time, o Outcome) {
	w.failures = slices.DeleteFunc(w.failures, func(f failure) bool { return f.job == o.Job })
	if len(w.failures) == maxFailures {
		w.failures = slices.Delete(w.failures, 0, 1)
	}
	w.failures = append(w.failures, failure{o.Class, o.Job, now})
}

func (w *worker) recordSuccess(now time.Time, o Outcome) {
	w.lastSuccess = now
	for i := range w.successes {
		if w.successes[i].class == o.Class {
			w.successes[i].at = now
			return
		}
	}
	if len(w.successes) == maxWorkerClasses {
		oldest := slices.IndexFunc(w.successes, func(s success) bool {
			return s.at.Equal(slices.MinFunc(w.successes, compareSuccessTime).at)
		})
		w.successes = slices.Delete(w.successes, oldest, oldest+1)
	}
	w.successes = append(w.successes, success{o.Class, now})
}

// succeededSince reports whether a task of the class succeeded on the worker at or after the given
// time.
func (w *worker) succeededSince(c Class, at time.Time) bool {
	for _, s := range w.successes {
		if s.class == c {
			return !s.at.Before(at)
		}
	}
	return false
}

func compareSuccessTime(a, b success) int { return a.at.Compare(b.at) }

// compareFailureCount orders workers by descending number of failures, then by name.
func compareFailureCount(a, b *worker) int {
	if c := cmp.Compare(len(b.failures), len(a.failures)); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// BeginDueProbes returns the names of the quarantined workers whose next probe task is due, in sorted
// order. A worker is not returned again until RecordProbe is called for it.
func (m *Monitor) BeginDueProbes(now time.Time) []string {
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

// RecordProbe records the outcome of a probe task and reports whether the worker returned to service.
// A failure doubles the delay before the next probe, up to Config.MaxProbeDelay.
func (m *Monitor) RecordProbe(now time.Time, name string, succeeded bool) (returned bool) {
	w, known := m.workers[name]
	if !known || !w.quarantined {
		return false
	}
	w.probing = false
	if !succeeded {
		w.probeDelay = min(2*w.probeDelay, m.cfg.MaxProbeDelay)
		w.probeAt = now.Add(w.probeDelay)
		return false
	}
	w.quarantined = false
	w.partition.quarantined--
	w.failures = nil
	return true
}
