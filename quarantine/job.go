package quarantine

import (
	"container/list"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// jobs remembers on which workers each job failed, for a bounded number of jobs.
type jobs struct {
	byID     map[task.ID]*job
	byRecent *list.List // of *job, the one that failed last in front
}

type job struct {
	id       task.ID
	failures []jobFailure // the latest, one for each worker
	element  *list.Element
}

type jobFailure struct {
	worker string
	at     time.Time
}

func newJobs() jobs {
	return jobs{byID: map[task.ID]*job{}, byRecent: list.New()}
}

func (js *jobs) failed(now time.Time, o Outcome, window time.Duration) {
	js.forget(now.Add(-window))
	j, known := js.byID[o.Job]
	if !known {
		j = &job{id: o.Job}
		j.element = js.byRecent.PushFront(j)
		js.byID[o.Job] = j
	}
	js.byRecent.MoveToFront(j.element)
	j.failures = slices.DeleteFunc(j.failures, func(f jobFailure) bool { return f.worker == o.Worker })
	if len(j.failures) == failuresKept {
		j.failures = slices.Delete(j.failures, 0, 1)
	}
	j.failures = append(j.failures, jobFailure{o.Worker, now})
}

// succeeded clears a job: its failures were those of the workers.
func (js *jobs) succeeded(id task.ID) {
	if j, known := js.byID[id]; known {
		js.byRecent.Remove(j.element)
		delete(js.byID, id)
	}
}

// forget drops the jobs that failed last before a time, and the oldest ones if
// there are too many.
func (js *jobs) forget(before time.Time) {
	for oldest := js.byRecent.Back(); oldest != nil; oldest = js.byRecent.Back() {
		j := oldest.Value.(*job)
		if len(js.byID) < jobsKept && !j.failures[len(j.failures)-1].at.Before(before) {
			return
		}
		js.byRecent.Remove(oldest)
		delete(js.byID, j.id)
	}
}

// failedElsewhere reports whether a job failed since a time on a worker other
// than the named one as well.
func (js *jobs) failedElsewhere(id task.ID, worker string, since time.Time) bool {
	j, known := js.byID[id]
	if !known {
		return false
	}
	return slices.ContainsFunc(j.failures, func(f jobFailure) bool { return f.worker != worker && !f.at.Before(since) })
}
