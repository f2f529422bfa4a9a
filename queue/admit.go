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

// stalled returns for how long nothing has started.
func (d *drain) stalled(now time.Time) time.Duration {
	if d.lastProgress.IsZero() {
		return 0
	}
	return now.Sub(d.lastProgress)
}

// waitBehind returns the expected wait behind a number of entries. The first
// start is expected to take as long again as nothing has started, so that a
// stalled queue is noticed although it yields no intervals.
func (d *drain) waitBehind(now time.Time, ahead int) time.Duration {
	return max(d.interval, d.stalled(now)) + time.Duration(ahead)*d.interval
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
// is zero as long as nothing waits.
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
	return t.drain.waitBehind(now, ahead)
}

// admit refuses an entry that has no room or no chance.
func (q *Queues) admit(now time.Time, t *teamQueue, it *item) *errkind.Error {
	if waiting := t.len(); waiting >= q.cfg.Limit {
		wait := t.drain.waitBehind(now, int(retryDrainPart*float64(waiting)))
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
