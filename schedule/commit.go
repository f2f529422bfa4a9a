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
	finalEntries     = 4 // the final record; job, progress and cancellation are removed
)

// maybeCommit records what has changed, one transaction at a time. Jobs that
// have ended go first, since callers wait for them.
func (c *Core) maybeCommit() {
	if c.committing || (len(c.dirty) == 0 && !c.rosterDue) || c.now.Sub(c.lastCommit) < c.cfg.CommitInterval {
		return
	}
	var commit Commit
	if c.rosterDue {
		commit.Roster = c.roster()
		c.rosterDue = false
	}
	slices.SortStableFunc(c.dirty, func(a, b *jobState) int {
		return boolOrder(b.state.IsFinal()) - boolOrder(a.state.IsFinal())
	})
	entries := 0
	taken := 0
	for _, j := range c.dirty {
		need := progressEntries
		if j.state.IsFinal() {
			need = finalEntries
		}
		if entries+need > maxCommitEntries {
			break
		}
		entries += need
		taken++
		commit.Changes = append(commit.Changes, c.changeOf(j))
	}
	for _, j := range c.dirty[:taken] {
		j.queued = false
	}
	c.dirty = slices.Clone(c.dirty[taken:])
	c.committing = true
	c.lastCommit = c.now
	c.emit(commit)
}

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
		return Change{Job: j.ID, Final: &final, version: j.version}
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
	c.committing = false
	for _, change := range e.Commit.Changes {
		j := c.jobs[change.Job]
		if j == nil {
			continue
		}
		j.recorded = change.version
		if change.Final != nil {
			c.finals[j.ID] = *change.Final
			c.changed(Status{Job: j.ID, State: j.state, Queue: j.Queue, Team: j.Team})
			delete(c.jobs, j.ID)
			for _, token := range j.cancels {
				c.emit(Done{Token: token})
			}
		}
	}
	for _, id := range e.Commit.Roster {
		if w := c.workers[id]; w != nil {
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
