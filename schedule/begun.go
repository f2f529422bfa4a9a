package schedule

import "github.com/mulberrydrum/mulberrydrum/job"

// beginEvidence is what shows that a job has begun.
type beginEvidence string

const (
	begunByAnswer beginEvidence = "answer" // a worker has accepted a start order
	begunByReport beginEvidence = "report" // a worker reports a run
	begunByEnd    beginEvidence = "end"    // a worker reports the end of a run
)

// markBegun marks a job as begun once a worker has shown that a task of it has started. A start order
// alone does not: it may be lost or refused.
func (c *Core) markBegun(id job.ID, evidence beginEvidence, worker string) {
	j := c.jobs[id]
	if j == nil || j.begun {
		return
	}
	c.logDecision(id, "begun", "by", evidence, "worker", worker, "after_ms", c.now.Sub(j.arrivedAt).Milliseconds())
	j.begun = true
	if !j.state.IsFinal() {
		c.removeFromPending(j)
		j.state = job.Running
	}
	c.publish(j, j.shownState())
	c.checkForecast(j)
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
