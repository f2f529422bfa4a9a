package quarantine

import (
	"container/list"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// jobHistory records the workers on which each job failed, for a bounded number of jobs.
type jobHistory struct {
	byID map[task.ID]*jobRecord
	lru  *list.List // of *jobRecord, most recent failure first
}

type jobRecord struct {
	id       task.ID
	failures []jobFailure // the latest failure on each worker, oldest first
	element  *list.Element
}

type jobFailure struct {
	worker string
	at     time.Time
}

func newJobHistory() jobHistory {
	return jobHistory{byID: map[task.ID]*jobRecord{}, lru: list.New()}
}

func (h *jobHistory) recordFailure(now time.Time, o Outcome, window time.Duration) {
	h.evict(now.Add(-window))
	j, known := h.byID[o.Job]
	if !known {
		j = &jobRecord{id: o.Job}
		j.element = h.lru.PushFront(j)
		h.byID[o.Job] = j
	}
	h.lru.MoveToFront(j.element)
	j.failures = slices.DeleteFunc(j.failures, func(f jobFailure) bool { return f.worker == o.Worker })
	if len(j.failures) == maxFailures {
		j.failures = slices.Delete(j.failures, 0, 1)
	}
	j.failures = append(j.failures, jobFailure{o.Worker, now})
}

// recordSuccess deletes the record of a job, because the failures of a job that later succeeds are
// attributed to the workers.
func (h *jobHistory) recordSuccess(id task.ID) {
	if j, known := h.byID[id]; known {
		h.lru.Remove(j.element)
		delete(h.byID, id)
	}
}

// evict deletes the jobs whose last failure is before the given time. While maxJobs is reached, it
// also deletes the least recently failed jobs.
func (h *jobHistory) evict(before time.Time) {
	for oldest := h.lru.Back(); oldest != nil; oldest = h.lru.Back() {
		j := oldest.Value.(*jobRecord)
		if len(h.byID) < maxJobs && !j.failures[len(j.failures)-1].at.Before(before) {
			return
		}
		h.lru.Remove(oldest)
		delete(h.byID, j.id)
	}
}

// failedElsewhere reports whether a job also failed on another worker since the given time.
func (h *jobHistory) failedElsewhere(id task.ID, worker string, since time.Time) bool {
	j, known := h.byID[id]
	if !known {
		return false
	}
	return slices.ContainsFunc(j.failures, func(f jobFailure) bool { return f.worker != worker && !f.at.Before(since) })
}
