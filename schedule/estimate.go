package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// estimatedDuration returns the expected duration of a task of a step on an average worker.
func (c *Core) estimatedDuration(_ *jobState, step *job.Step) time.Duration { return step.Estimate }

// durationOn returns the expected duration of a task of a step on a worker.
func (c *Core) durationOn(s *stepState, _ *worker) time.Duration {
	return c.estimatedDuration(s.job, s.spec)
}
