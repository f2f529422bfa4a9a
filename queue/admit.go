package queue

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// drainSmoothing is the weight of the newest interval between starts in their exponential moving
	// average.
	drainSmoothing = 0.1
	// minRetry and maxRetry bound the retry-after hint before jitter.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
	// retryDrainFraction is the fraction of a full queue that is expected to start before a refused
	// request is retried.
	retryDrainFraction = 0.1
)

// drainEstimator measures how fast the queue of a team drains.
type drainEstimator struct {
	interval        time.Duration // moving average of the time between starts while work waited
	lastProgress    time.Time     // time of the last start, or when the queue last became non-empty
	startsSinceAged int
}

func (d *drainEstimator) becameBusy(now time.Time) { d.lastProgress = now }

func (d *drainEstimator) observeStart(now time.Time) {
	if d.lastProgress.IsZero() {
		d.lastProgress = now
		return
	}
	gap := max(now.Sub(d.lastProgress), 0)
	if d.interval == 0 {
		d.interval = gap
	} else {
		d.interval += time.Duration(drainSmoothing * float64(gap-d.interval))
	}
	d.lastProgress = now
}

// stallTime returns the time since the last start.
func (d *drainEstimator) stallTime(now time.Time) time.Duration {
	if d.lastProgress.IsZero() {
		return 0
	}
	return now.Sub(d.lastProgress)
}

// estimateWait returns the expected wait behind the given number of entries. The wait for the first
// start is at least the time since the last one, so that the estimate grows for a stalled queue,
// which adds no intervals to the average.
func (d *drainEstimator) estimateWait(now time.Time, ahead int) time.Duration {
	return max(d.interval, d.stallTime(now)) + time.Duration(ahead)*d.interval
}

// ObserveStart updates the drain rate of a team's queue. Package control calls it for every task
// that it starts, with the time that the task waited.
func (q *Queues) ObserveStart(now time.Time, team task.Team, waited time.Duration) {
	d := &q.queueOf(team).drain
	d.observeStart(now)
	if waited >= q.cfg.AgeLimit {
		d.startsSinceAged = 0
		return
	}
	d.startsSinceAged++
}

// ExpectedWait returns how long an entry would wait if it were pushed now. It is zero if the queue
// of the team is empty.
func (q *Queues) ExpectedWait(now time.Time, e Entry) time.Duration {
	t := q.queueOf(e.Team)
	q.promote(now, t)
	if e.EnqueuedAt.IsZero() {
		e.EnqueuedAt = now
	}
	return q.expectedWait(now, t, q.newItem(e))
}

func (q *Queues) expectedWait(now time.Time, t *teamQueue, it *item) time.Duration {
	if t.len() == 0 {
		return 0
	}
	ahead := t.tiers[it.tier].search(it)
	for k := range it.tier {
		ahead += len(t.tiers[k].items)
	}
	return t.drain.estimateWait(now, ahead)
}

// admit refuses an entry if the queue is full or if the entry is not expected to start by its
// deadline.
func (q *Queues) admit(now time.Time, t *teamQueue, it *item) *errkind.Error {
	if waiting := t.len(); waiting >= q.cfg.Limit {
		wait := t.drain.estimateWait(now, int(retryDrainFraction*float64(waiting)))
		return errkind.New(errkind.QueueFull, "the queue of team %s holds %d requests, its limit", it.Team, waiting).
			WithRetryAfter(q.retryAfter(wait))
	}
	if it.Deadline.IsZero() {
		return nil
	}
	if left := it.Deadline.Sub(now); left <= 0 {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed %v ago", -left).
			WithRetryAfter(q.retryAfter(0))
	}
	left := it.Deadline.Sub(now)
	if wait := q.expectedWait(now, t, it); wait > left {
		return errkind.New(errkind.DeadlineExceeded, "the expected wait of %v exceeds the %v to the deadline", wait, left).
			WithRetryAfter(q.retryAfter(wait - left))
	}
	return nil
}

// retryAfter returns a retry hint with jitter, between 0.5 and 1.5 times the wait, so that refused
// callers do not all retry at the same moment.
func (q *Queues) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	if q.cfg.Rand == nil {
		return wait
	}
	return time.Duration((0.5 + q.cfg.Rand.Float64()) * float64(wait))
}

// ObserveRun adds the run time of one task to the profile of its class.
func (q *Queues) ObserveRun(team task.Team, service task.Service, class string, d time.Duration) {
	q.profiles.observe(profileKey{team, service, class}, d)
}

// ExpectedRun returns the run time of a class of work as estimated from past runs, and false if
// there were too few runs.
func (q *Queues) ExpectedRun(team task.Team, service task.Service, class string) (time.Duration, bool) {
	return q.profiles.quantile(profileKey{team, service, class})
}
