package schedule

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// The store takes 32 entries in a transaction. The executor needs three of them
// for the conditions of ownership, and one for the roster.
const (
	maxCommitEntries = 28
	progressEntries  = 1 // the progress record
	finalEntries     = 2 // the final record; the job record is removed
)

// CommitLanes is how many commits may be under way. A slow store answers five
// times a second; with one commit of some ten jobs at a time the ends of a burst
// would wait for it.
const CommitLanes = 4

// rosterLane is the lane of the roster, so that an older one never follows.
const rosterLane = 0

// maybeCommit records what has changed in a lane that is free. Jobs that have
// ended go first, since callers wait for them.
func (c *Core) maybeCommit() {
	if (len(c.dirty) == 0 && !c.rosterDue) || c.now.Sub(c.lastCommit) < c.cfg.CommitInterval {
		return
	}
	lane := slices.Index(c.busyLanes[:], false)
	if lane < 0 {
		return
	}
	commit := Commit{Lane: lane, Changes: c.takeChanges()}
	if c.rosterDue && lane == rosterLane {
		commit.Roster = c.roster()
		c.rosterDue = false
	}
	if len(commit.Changes) == 0 && commit.Roster == nil {
		return
	}
	c.busyLanes[lane] = true
	c.lastCommit = c.now
	c.emit(commit)
}

// takeChanges takes the changes of one commit. A job whose last commit is under
// way waits for it, whatever the lane.
func (c *Core) takeChanges() []Change {
	slices.SortStableFunc(c.dirty, func(a, b *jobState) int {
		return boolOrder(b.state.IsFinal()) - boolOrder(a.state.IsFinal())
	})
	var changes []Change
	var left []*jobState
	entries := 0
	for _, j := range c.dirty {
		need := j.entries()
		if j.committing || entries+need > maxCommitEntries {
			left = append(left, j)
			continue
		}
		entries += need
		j.queued, j.committing = false, true
		changes = append(changes, c.changeOf(j))
		j.hasProgress = j.hasProgress || !j.state.IsFinal()
	}
	c.dirty = left
	return changes
}

// entries returns how many entries of a transaction the change of a job takes.
func (j *jobState) entries() int {
	if !j.state.IsFinal() {
		return progressEntries
	}
	n := finalEntries
	if j.hasProgress {
		n++
	}
	if j.mayBeCancelled() {
		n++
	}
	return n
}

// mayBeCancelled reports whether there may be a record of a cancellation.
func (j *jobState) mayBeCancelled() bool { return j.inherited || j.state == job.Cancelled }

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// changeOf returns the record of a job as it is now. The executor encodes it
// later, so that nothing in it may be shared with the state.
func (c *Core) changeOf(j *jobState) Change {
	if j.state.IsFinal() {
		final := job.Final{State: j.state, Queue: j.Queue, Team: j.Team, FinishedAt: c.wall}
		return Change{Job: j.ID, Final: &final, HadProgress: j.hasProgress, MayBeCancelled: j.mayBeCancelled(), version: j.version}
	}
	progress := job.Progress{Started: j.state == job.Running, Done: make(map[string][]int), Failed: make(map[string]job.Failures)}
	for k, v := range j.progress.Done {
		progress.Done[k] = slices.Clone(v)
	}
	for k, v := range j.progress.Failed {
		progress.Failed[k] = v
	}
	return Change{Job: j.ID, Progress: &progress, version: j.version}
}

// CommitDone takes note that a commit is durable: callers may see the ends, and
// workers may forget them.
func (c *Core) CommitDone(e CommitDone) {
	c.busyLanes[e.Commit.Lane] = false
	for _, change := range e.Commit.Changes {
		j := c.jobs[change.Job]
		if j == nil {
			continue
		}
		j.recorded = change.version
		j.committing = false
		if change.Final != nil {
			c.finals[j.ID] = *change.Final
			c.changed(Status{Job: j.ID, State: j.state, Queue: j.Queue, Team: j.Team})
			delete(c.jobs, j.ID)
			for _, token := range j.cancels {
				c.emit(Done{Token: token})
			}
		}
	}
	for _, r := range e.Commit.Roster {
		if w := c.workers[r.Worker]; w != nil && !r.Closed && !w.closed {
			w.rostered = true
			c.passDue = true
		}
	}
	for _, w := range c.sortedWorkers() {
		if len(w.pending) == 0 {
			continue
		}
		c.advanceConfirmed(w)
		if len(w.pending) == 0 && !w.holding {
			w.nextHold = c.now
			c.hold(w)
		}
	}
}
