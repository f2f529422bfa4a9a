package queue

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// drainWeight is the weight of a new interval between starts in its mean.
	drainWeight = 0.1
	// minRetry and maxRetry bound the retry hint.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
	// retryDrainPart is the part of a full queue that should have started
	// before a refused request comes back.
	retryDrainPart = 0.1
)

// drain measures how fast the queue of a team empties.
type drain struct {
	interval        time.Duration // mean time between starts while work waited
	lastProgress    time.Time     // last start, or when the queue became busy
	startsSinceAged int
}

func (d *drain) becameBusy(now time.Time) { d.lastProgress = now }

func (d *drain) started(now time.Time) {
	if d.lastProgress.IsZero() {
		d.lastProgress = now
		return
	}
	gap := max(now.Sub(d.lastProgress), 0)
	if d.interval == 0 {
		d.interval = gap
	} else {
		d.interval += time.Duration(drainWeight * float64(gap-d.interval))
	}
	d.lastProgress = now
}

// expected returns the interval to reckon with at now. A queue in which nothing
// starts is not expected to go faster than it has lately.
func (d *drain) expected(now time.Time) time.Duration {
	if d.lastProgress.IsZero() {
		return d.interval
	}
	return max(d.interval, now.Sub(d.lastProgress))
}

// ObserveStart learns the rate at which a team's queue drains. Control calls it
// for every task that it starts, with the time for which the task waited.
func (q *Queues) ObserveStart(now time.Time, team task.Team, waited time.Duration) {
	d := &q.queueOf(team).drain
	d.started(now)
	if waited >= q.cfg.AgeLimit {
		d.startsSinceAged = 0
		return
	}
	d.startsSinceAged++
}

// ExpectedWait returns how long an entry would wait if it were pushed now. It
// is zero as long as nothing waits or nothing was learned.
func (q *Queues) ExpectedWait(now time.Time, e Entry) time.Duration {
	t := q.queueOf(e.Team)
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
	return time.Duration(ahead+1) * t.drain.expected(now)
}

// admit refuses an entry that has no room or no chance.
func (q *Queues) admit(now time.Time, t *teamQueue, it *item) *errkind.Error {
	if waiting := t.len(); waiting >= q.cfg.Limit {
		wait := time.Duration(retryDrainPart * float64(waiting) * float64(t.drain.expected(now)))
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
	wait := q.expectedWait(now, t, it)
	left := it.Deadline.Sub(now)
	if wait > left {
		return errkind.New(errkind.DeadlineExceeded, "the expected wait of %v exceeds the %v to the deadline", wait, left).
			WithRetryAfter(q.retryAfter(wait - left))
	}
	return nil
}

// retryAfter spreads a hint over half to one and a half times the wait, so
// that refused callers do not come back at the same moment.
func (q *Queues) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	if q.cfg.Rand == nil {
		return wait
	}
	return time.Duration((0.5 + q.cfg.Rand.Float64()) * float64(wait))
}

// ObserveRun learns the run time of one task.
func (q *Queues) ObserveRun(team task.Team, service task.Service, class string, d time.Duration) {
	q.profiles.observe(profileKey{team, service, class}, d)
}

// ExpectedRun returns the learned run time of a class of work, and false if too
// few runs were seen.
func (q *Queues) ExpectedRun(team task.Team, service task.Service, class string) (time.Duration, bool) {
	return q.profiles.quantile(profileKey{team, service, class})
}
