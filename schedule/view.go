package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// Status is what every instance tells callers of a job.
type Status struct {
	Job   job.ID
	State job.State
	Queue string
	Team  string
}

// View is what every instance knows of the owner's state: the states that have
// changed since the instance last asked, and what it should do with submissions.
type View struct {
	Epoch    int64
	Sequence uint64 // of the last change
	Full     bool   // Changes holds every job, not only what has changed
	Changes  []Status
	Waiting  map[string]int     // jobs that have not started, by queue
	Admit    map[string]float64 // part of a team's submissions to accept; 1 where it is missing
}

// maxChanges bounds the changes that are kept for instances that ask rarely.
// At 200 a second it covers more than half a minute; a slower instance gets
// every job.
const maxChanges = 8192

// finalsKept is how long ended jobs stay in the owner's memory. The store keeps
// them as long as callers may ask.
const finalsKept = 30 * time.Second

// changed notes that callers may see another state of a job.
func (c *Core) changed(s Status) {
	c.changes = append(c.changes, s)
	c.sequence++
	if len(c.changes) > 2*maxChanges {
		c.changes = slices.Clone(c.changes[len(c.changes)-maxChanges:])
	}
}

// ViewSince returns what has changed since a sequence of this epoch.
func (c *Core) ViewSince(epoch int64, since uint64) View {
	v := View{Epoch: c.epoch, Sequence: c.sequence, Waiting: make(map[string]int), Admit: c.admission()}
	for queue, n := range c.waiting {
		if n > 0 {
			v.Waiting[queue] = n
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
			state = job.Running // not recorded yet
		}
		v.Changes = append(v.Changes, Status{Job: id, State: state, Queue: j.Queue, Team: j.Team})
	}
	for id, f := range c.finals {
		v.Changes = append(v.Changes, Status{Job: id, State: f.State, Queue: f.Queue, Team: f.Team})
	}
	slices.SortFunc(v.Changes, func(a, b Status) int { return cmp.Compare(a.Job, b.Job) })
	return v
}

// forgetFinals drops ended jobs that are old.
func (c *Core) forgetFinals() {
	for id, f := range c.finals {
		if c.wall.Sub(f.FinishedAt) > finalsKept {
			delete(c.finals, id)
		}
	}
}
