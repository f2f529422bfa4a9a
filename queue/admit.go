package queue

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// drainSmoothing is the weight of the newest sample in the exponential moving average of the
	// intervals between starts.
	drainSmoothing = 0.1
	// minRetryAfter and maxRetryAfter bound the retry-after hint before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryDrainFraction is the fraction of a full queue that has to drain, at the estimated rate,
	// before a refused request should be retried.
	retryDrainFraction = 0.1
)

// drainEstimator estimates the drain rate of a team's queue.
type drainEstimator struct {
	interval        time.Duration // moving average of the time between starts, without idle periods
	lastProgress    time.Time     // when an entry last started or the queue last became non-empty
	startsSinceAged int           // starts since the last start of aged work, see Queues.agedItem
}

// startBusyPeriod records that the queue became non-empty.
func (d *drainEstimator) startBusyPeriod(now time.Time) { d.lastProgress = now }

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

// stallTime returns the time since the last start, or since the queue became non-empty if that was
// later.
func (d *drainEstimator) stallTime(now time.Time) time.Duration {
	if d.lastProgress.IsZero() {
		return 0
	}
	return now.Sub(d.lastProgress)
}

// estimateWait returns the expected wait behind the given number of entries. The wait for the first
// start is at least the stall time, so that the estimate grows while a queue is stalled and the
// average gets no new samples.
func (d *drainEstimator) estimateWait(now time.Time, ahead int) time.Duration {
	return max(d.interval, d.stallTime(now)) + time.Duration(ahead)*d.interval
}

// ObserveStart updates the estimated drain rate of a team's queue. Package control calls it for every
// task that it starts, with the time that the task waited in the queue.
func (q *Queues) ObserveStart(now time.Time, team task.Team, waited time.Duration) {
	d := &q.getOrCreateQueue(team).drain
	d.observeStart(now)
	if waited >= q.cfg.AgingThreshold {
		d.startsSinceAged = 0
		return
	}
	d.startsSinceAged++
}

// ExpectedWait returns the estimated time until an entry would start if it were pushed now. It is
// zero if the queue of the team is empty.
func (q *Queues) ExpectedWait(now time.Time, e Entry) time.Duration {
	t := q.getOrCreateQueue(e.Team)
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

// admit performs admission control: it refuses an entry if the queue is full or if the entry is not
// expected to start by its deadline.
func (q *Queues) admit(now time.Time, t *teamQueue, it *item) *errkind.Error {
	if length := t.len(); length >= q.cfg.MaxEntriesPerTeam {
		wait := t.drain.estimateWait(now, int(retryDrainFraction*float64(length)))
		return errkind.New(errkind.QueueFull, "the queue of team %s is full: it holds %d of at most %d requests",
			it.Team, length, q.cfg.MaxEntriesPerTeam).
			WithRetryAfter(q.retryAfter(wait))
	}
	if it.Deadline.IsZero() {
		return nil
	}
	if remaining := it.Deadline.Sub(now); remaining <= 0 {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed %v ago", -remaining).
			WithRetryAfter(q.retryAfter(0))
	}
	remaining := it.Deadline.Sub(now)
	if wait := q.expectedWait(now, t, it); wait > remaining {
		return errkind.New(errkind.DeadlineExceeded, "the expected wait of %v exceeds the %v to the deadline", wait, remaining).
			WithRetryAfter(q.retryAfter(wait - remaining))
	}
	return nil
}

// retryAfter returns a retry-after hint: the wait, bounded and multiplied by a jitter of 0.5 to 1.5,
// so that refused callers do not all retry at the same time.
func (q *Queues) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if q.cfg.Rand == nil {
		return wait
	}
	return time.Duration((0.5 + q.cfg.Rand.Float64()) * float64(wait))
}

// ObserveRun adds the run time of one task to the run time profile of its class.
func (q *Queues) ObserveRun(team task.Team, service task.Service, class string, run time.Duration) {
	q.profiles.observe(profileKey{team, service, class}, run)
}

// ExpectedRun returns the estimated run time of a class of work, a quantile of its past run times. It
// returns false if too few runs were observed.
func (q *Queues) ExpectedRun(team task.Team, service task.Service, class string) (time.Duration, bool) {
	return q.profiles.quantile(profileKey{team, service, class})
}
