package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// cancelledRetention is how long submissions of a cancelled job that has no record are refused. A request that
	// was held up between two instances arrives earlier.
	cancelledRetention = 2 * time.Minute
	// maxCancelledPerTeam bounds the cancelled jobs without a record that are remembered for a team.
	maxCancelledPerTeam = 1000
)

// cancelledJobs are the jobs without a record that were cancelled at their home. A submission may have been sent
// before the cancellation and arrive after it.
type cancelledJobs struct {
	at     map[ledger.JobKey]time.Time // when the last cancellation arrived
	counts map[task.Team]int
}

func newCancelledJobs() *cancelledJobs {
	return &cancelledJobs{at: make(map[ledger.JobKey]time.Time), counts: make(map[task.Team]int)}
}

// add remembers a cancellation, unless too many of the team are remembered.
func (c *cancelledJobs) add(now time.Time, job ledger.JobKey) *errkind.Error {
	if _, known := c.at[job]; !known {
		if c.counts[job.Team] >= maxCancelledPerTeam {
			return errkind.New(errkind.OverLimit, "team %s has cancelled %d jobs without a record within %s", job.Team, maxCancelledPerTeam, cancelledRetention).
				WithRetryAfter(max(time.Second, c.untilExpiry(now, job.Team)))
		}
		c.counts[job.Team]++
	}
	c.at[job] = now
	return nil
}

// untilExpiry returns the time until a job of the team is forgotten.
func (c *cancelledJobs) untilExpiry(now time.Time, team task.Team) time.Duration {
	least := cancelledRetention
	for job, at := range c.at {
		if job.Team == team {
			least = min(least, cancelledRetention-now.Sub(at))
		}
	}
	return least + expireInterval
}

func (c *cancelledJobs) contains(now time.Time, job ledger.JobKey) bool {
	at, found := c.at[job]
	return found && now.Sub(at) < cancelledRetention
}

// expire forgets the jobs whose retention has passed.
func (c *cancelledJobs) expire(now time.Time) {
	for job, at := range c.at {
		if now.Sub(at) < cancelledRetention {
			continue
		}
		delete(c.at, job)
		if c.counts[job.Team]--; c.counts[job.Team] == 0 {
			delete(c.counts, job.Team)
		}
	}
}
