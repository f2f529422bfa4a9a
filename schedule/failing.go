package schedule

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// A worker counts as failing if runs of different jobs fail on it in succession. It then gets only one
// task at a time, its probe, until one succeeds or has run for probeDuration, and no gangs. A job that
// fails wherever it runs must not have this effect, however often its tasks are restarted.

// failingThreshold is the number of causes from which a worker counts as failing.
const failingThreshold = 2

// failingBackoff is the delay before a failing worker gets its next task.
const failingBackoff = 1500 * time.Millisecond

// failingExpiry is how long a worker counts as failing after its last failure, and a failure counts as
// recent. Gangs are not placed on failing workers, so their runs cannot end this state by a success;
// without the expiry, a worker that could only get gangs would stay excluded.
const failingExpiry = 4 * time.Second

// probeDuration is the time after which a probe that still runs counts as passed. A long-lived task
// ends only by failing.
const probeDuration = failingExpiry

// failingShareDivisor bounds the workers of a service that count as failing at a time to one in
// failingShareDivisor, at least one. If more workers fail, the cause is probably not in the workers,
// and jobs need the capacity.
const failingShareDivisor = 3

// maxFailureCauses bounds the causes that are kept for a worker. More than failingThreshold change
// nothing; they appear in the log.
const maxFailureCauses = 8

// imageEvidenceAge is the time for which the success of a run shows that its image works.
const imageEvidenceAge = 10 * time.Second

// failureCause identifies what may have caused a failed run, if not the worker.
type failureCause struct {
	job   job.ID
	image string // empty if the image works elsewhere, or is unknown
	at    time.Time
}

// isSame reports whether two failures may have one cause other than the worker.
func (f failureCause) isSame(other failureCause) bool {
	return f.job == other.job || (f.image != "" && f.image == other.image)
}

// isProbing reports whether the probe of a worker runs and has not passed yet.
func (c *Core) isProbing(w *worker) bool {
	return w.probe != nil && c.now.Sub(w.probe.startedAt) < probeDuration
}

// isFailing reports whether runs of different jobs have recently failed on a worker.
func (c *Core) isFailing(w *worker) bool { return c.now.Before(w.failingUntil) }

// hasLasted reports whether a run is one of a long-lived task that has run for so long that its end says
// nothing about its worker. r is nil if this owner does not know the run.
func (c *Core) hasLasted(r *run) bool {
	return r != nil && r.step != nil && r.step.spec.LongLived && c.now.Sub(r.startedAt) >= probeDuration
}

// recordEndOn updates what the ends of runs show about a worker. A success resets it. A failure does not
// count if the step has also failed on another worker, or if it is one of a long-lived task that has
// lasted; failures of one job, or of one image that is not known to work, count once. s and r are nil if
// the task is not active, or this owner does not know the run.
func (c *Core) recordEndOn(w *worker, s *stepState, r *run, e EndReport) {
	switch e.Reason {
	case EndedSucceeded:
		w.failureCauses, w.failingUntil, w.backoffUntil = nil, time.Time{}, time.Time{}
		if s != nil && s.spec.Image != "" {
			c.imageSucceededAt[s.spec.Image] = c.now
		}
	case EndedFailed:
		if s != nil && s.hasFailedOnOther(w.ID) || c.hasLasted(r) {
			return
		}
		w.addFailureCause(c.causeOf(s, e.Task.Job))
		if len(w.failureCauses) < failingThreshold {
			return
		}
		if !c.isFailing(w) && !c.mayMarkFailing(w.Service) {
			c.emit(Decision{Event: "worker_failing_ignored", Fields: []any{"worker", w.ID, "jobs", len(w.failureCauses), "why", "too_many_workers"}})
			return
		}
		w.failingUntil = c.now.Add(failingExpiry)
		w.backoffUntil = c.now.Add(failingBackoff)
		c.emit(Decision{Event: "worker_failing", Fields: []any{"worker", w.ID, "jobs", len(w.failureCauses)}})
	}
}

// causeOf returns the cause of a failure that has just been reported.
func (c *Core) causeOf(s *stepState, id job.ID) failureCause {
	cause := failureCause{job: id, at: c.now}
	if s != nil {
		cause.image = s.spec.Image
	}
	if succeededAt, found := c.imageSucceededAt[cause.image]; found && c.now.Sub(succeededAt) < imageEvidenceAge {
		cause.image = ""
	}
	return cause
}

// addFailureCause adds a failure to the recent ones of a worker, in place of one with the same cause.
func (w *worker) addFailureCause(cause failureCause) {
	w.failureCauses = slices.DeleteFunc(w.failureCauses, func(other failureCause) bool {
		return cause.at.Sub(other.at) >= failingExpiry || cause.isSame(other)
	})
	w.failureCauses = append(w.failureCauses, cause)
	if len(w.failureCauses) > maxFailureCauses {
		w.failureCauses = slices.Delete(w.failureCauses, 0, 1)
	}
}

// failingCount is the number of workers of a service, and of those that count as failing, as of a time.
type failingCount struct {
	at               time.Time
	workers, failing int
}

// failingCountAge is the time for which the workers of a service are not counted anew. If a whole
// service fails, there are thousands of failures per second.
const failingCountAge = 100 * time.Millisecond

// mayMarkFailing reports whether one more worker of a service may count as failing, and counts it.
func (c *Core) mayMarkFailing(service string) bool {
	count, found := c.failingCounts[service]
	if !found || c.now.Sub(count.at) >= failingCountAge {
		count = failingCount{at: c.now}
		for _, w := range c.workers {
			if w.Service == service && w.listed {
				count.workers++
				count.failing += boolToInt(c.isFailing(w))
			}
		}
	}
	may := count.failing < max(1, count.workers/failingShareDivisor)
	count.failing += boolToInt(may)
	c.failingCounts[service] = count
	return may
}

// evictImages removes the images whose last success is no evidence any more.
func (c *Core) evictImages() {
	for image, at := range c.imageSucceededAt {
		if c.now.Sub(at) >= imageEvidenceAge {
			delete(c.imageSucceededAt, image)
		}
	}
}

// The tasks of a long-lived step that fail soon after their start are restarted together, after a delay
// that doubles. The attempts of long-lived tasks are not limited, and without a delay a faulty job would
// use the owner and the workers for its restarts. The maximum leaves time to place a task within the 6 s
// in which it must run again.
const (
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 2 * time.Second
)

// longLivedEnded handles the end of a run of a long-lived task.
func (c *Core) longLivedEnded(s *stepState, w *worker, r *run, reason EndReason) {
	switch {
	case c.hasLasted(r):
		// The step can run, so that its earlier failures say nothing about the next ones.
		s.workerFailures, s.restartDelay = nil, 0
	case reason == EndedFailed:
		s.countWorkerFailure(w.ID)
		c.delayRestart(s)
	}
}

// delayRestart delays the starts of a step unless a delay is in force, so that no task waits longer than
// maxRestartDelay.
func (c *Core) delayRestart(s *stepState) {
	if c.now.Before(s.notBefore) {
		return
	}
	if c.now.Sub(s.notBefore) >= probeDuration {
		s.restartDelay = 0
	}
	s.restartDelay = min(max(2*s.restartDelay, minRestartDelay), maxRestartDelay)
	s.notBefore = c.now.Add(s.restartDelay)
}
