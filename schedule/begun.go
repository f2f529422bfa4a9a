package schedule

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// beginEvidence is what shows that a job has begun.
type beginEvidence string

const (
	begunByAnswer beginEvidence = "answer" // a worker has accepted a start order
	begunByReport beginEvidence = "report" // a worker reports a run
	begunByEnd    beginEvidence = "end"    // a worker reports the end of a run
)

// beginRecordDelay is the time after which the begin of a job is recorded if nothing else of the job is. Most
// jobs end or record their progress earlier.
const beginRecordDelay = 5 * time.Second

// markBegun marks a job as begun once a worker has shown that a task of it has started. A start order
// alone does not: it may be lost or refused.
func (c *Core) markBegun(id job.ID, evidence beginEvidence, worker string) {
	j := c.jobs[id]
	if j == nil || j.begun {
		return
	}
	c.logDecision(id, "begun", "by", evidence, "worker", worker, "after_ms", c.now.Sub(j.arrivedAt).Milliseconds())
	j.begun, j.begunAt = true, c.now
	c.unrecordedBegins = append(c.unrecordedBegins, j)
	if !j.state.IsFinal() {
		c.removeFromPending(j)
		j.state = job.Running
	}
	c.publish(j, j.shownState())
	c.checkForecast(j)
}

// recordBegins records the jobs whose begin is not recorded after beginRecordDelay, so that a new owner knows
// of it also if the worker is lost.
func (c *Core) recordBegins() {
	due := 0
	for _, j := range c.unrecordedBegins {
		if c.now.Sub(j.begunAt) < beginRecordDelay {
			break
		}
		due++
		if !j.beginRecorded && !j.state.IsFinal() {
			c.markDirty(j)
		}
	}
	c.unrecordedBegins = slices.Delete(c.unrecordedBegins, 0, due)
}

// shownState returns the state of a job that callers are shown until its final state is recorded: a new
// owner would still run the job until then.
func (j *jobState) shownState() job.State {
	if j.begun {
		return job.Running
	}
	return job.Pending
}

// removeFromPending removes a job from the counts of pending jobs before its state changes.
func (c *Core) removeFromPending(j *jobState) {
	if j.state != job.Pending {
		return
	}
	c.pendingJobs[j.Queue]--
	if j.surplus {
		c.teamUsage(j.Team).surplusPending--
	}
}

// countWaitingJobs returns the number of jobs that have not begun, and the part of them that have a run
// without an answer of its worker.
func (c *Core) countWaitingJobs() (pending, unanswered int) {
	for _, j := range c.jobs {
		if j.state != job.Pending {
			continue
		}
		pending++
		if len(j.runs) > 0 {
			unanswered++
		}
	}
	return pending, unanswered
}
