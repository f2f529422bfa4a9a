package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// Status is the state of a job that every instance reports to callers.
type Status struct {
	Job   job.ID
	State job.State
	Queue string
	Team  string
}

// View is the part of the owner's state that is replicated to every instance: the job states that
// have changed since the instance's last request, and the limits for accepting submissions.
type View struct {
	Epoch         int64
	Sequence      uint64 // of the last change
	Full          bool   // Changes holds all jobs, not only changed ones
	Changes       []Status
	PendingJobs   map[string]int     // number of pending jobs, by queue
	AdmittedShare map[string]float64 // share of a team's submissions to accept; 1 if missing
}

// maxChanges is the minimum number of changes retained for instances that lag behind; at most twice
// as many are retained. At 200 changes per second it covers more than 30 s; an instance that lags by
// more gets a full view.
const maxChanges = 8192

// finalRetention is how long final states stay in the owner's memory. The store retains them for as
// long as callers may request them.
const finalRetention = 30 * time.Second

// publish makes a new state of a job visible to callers.
func (c *Core) publish(s Status) {
	c.changes = append(c.changes, s)
	c.sequence++
	if len(c.changes) > 2*maxChanges {
		c.changes = slices.Clone(c.changes[len(c.changes)-maxChanges:])
	}
}

// ViewSince returns the changes after the given sequence number, or a full view if the epoch differs
// or those changes are no longer retained.
func (c *Core) ViewSince(epoch int64, since uint64) View {
	v := View{Epoch: c.epoch, Sequence: c.sequence, PendingJobs: make(map[string]int), AdmittedShare: c.admittedShares()}
	for queue, n := range c.pendingJobs {
		if n > 0 {
			v.PendingJobs[queue] = n
		}
	}
	oldest := c.sequence - uint64(len(c.changes))
	if epoch == c.epoch && since >= oldest && since <= c.sequence {
		v.Changes = slices.Clone(c.changes[since-oldest:])
		return v
	}
	v.Full = true
	for id, j := range c.jobs {
		state := j.state
		if state.IsFinal() {
			state = job.Running // the final state is not recorded yet
		}
		v.Changes = append(v.Changes, Status{Job: id, State: state, Queue: j.Queue, Team: j.Team})
	}
	for id, f := range c.finals {
		v.Changes = append(v.Changes, Status{Job: id, State: f.State, Queue: f.Queue, Team: f.Team})
	}
	slices.SortFunc(v.Changes, func(a, b Status) int { return cmp.Compare(a.Job, b.Job) })
	return v
}

// evictFinals removes final states older than finalRetention.
func (c *Core) evictFinals() {
	for id, f := range c.finals {
		if c.wall.Sub(f.FinishedAt) > finalRetention {
			delete(c.finals, id)
		}
	}
}
