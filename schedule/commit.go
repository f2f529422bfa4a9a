package schedule

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// The store accepts 32 entries per transaction. The executor needs three of them for the ownership
// conditions and one for the roster.
const (
	maxCommitEntries = 28
	pastUseEntries   = 1 // writes the record of past use
	progressEntries  = 1 // writes the progress record
	finalEntries     = 2 // writes the final record and deletes the job record
)

// CommitStreams is the number of commit streams, and thus the maximum number of concurrent commits. A
// slow store completes five transactions per second, and a commit holds about ten jobs: with a single
// stream, jobs that end in a burst would queue up.
const CommitStreams = 4

// rosterStream is the only commit stream that writes the roster and the record of past use, so that an
// older one never overwrites a newer one.
const rosterStream = 0

// commitIfDue commits pending changes if a commit stream is free. Jobs that have ended go first,
// since callers wait for them.
func (c *Core) commitIfDue() {
	pastUseDue := c.isPastUseDue()
	if (len(c.dirty) == 0 && !c.rosterDirty && !pastUseDue) || c.now.Sub(c.lastCommit) < c.cfg.CommitInterval {
		return
	}
	stream := slices.Index(c.busyStreams[:], false)
	if stream < 0 {
		return
	}
	commit := Commit{Stream: stream}
	maxEntries := maxCommitEntries
	if pastUseDue && stream == rosterStream {
		commit.PastUse = c.takePastUse()
		maxEntries -= pastUseEntries
	}
	commit.Changes = c.takeChanges(maxEntries)
	if c.rosterDirty && stream == rosterStream {
		commit.Roster = c.roster()
		c.rosterDirty = false
	}
	if len(commit.Changes) == 0 && commit.Roster == nil && commit.PastUse == nil {
		return
	}
	c.busyStreams[stream] = true
	c.lastCommit = c.now
	c.emit(commit)
}

// takeChanges removes the changes of one commit from the dirty jobs, of at most maxEntries entries. A job
// with a commit in flight on any stream stays dirty until that commit is durable.
func (c *Core) takeChanges(maxEntries int) []Change {
	slices.SortStableFunc(c.dirty, func(a, b *jobState) int {
		return boolToInt(b.state.IsFinal()) - boolToInt(a.state.IsFinal())
	})
	var changes []Change
	var deferred []*jobState
	entries := 0
	for _, j := range c.dirty {
		need := j.commitEntries()
		if j.committing || entries+need > maxEntries {
			deferred = append(deferred, j)
			continue
		}
		entries += need
		j.isDirty, j.committing = false, true
		changes = append(changes, c.changeOf(j))
		j.hasProgress = j.hasProgress || !j.state.IsFinal()
	}
	c.dirty = deferred
	return changes
}

// commitEntries returns the number of transaction entries that the change of a job takes.
func (j *jobState) commitEntries() int {
	if !j.state.IsFinal() {
		return progressEntries
	}
	n := finalEntries
	if j.hasProgress {
		n++
	}
	if j.mayHaveCancelRecord() {
		n++
	}
	return n
}

// mayHaveCancelRecord reports whether a cancellation record of the job may exist.
func (j *jobState) mayHaveCancelRecord() bool { return j.restored || j.state == job.Cancelled }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// changeOf returns a snapshot of a job's record. It is a deep copy because the executor encodes it
// later, outside the control goroutine.
func (c *Core) changeOf(j *jobState) Change {
	if j.state.IsFinal() {
		final := job.Final{State: j.state, Queue: j.Queue, Team: j.Team, Work: j.Work, FinishedAt: c.wall}
		return Change{Job: j.ID, Final: &final, HadProgress: j.hasProgress, MayBeCancelled: j.mayHaveCancelRecord(), version: j.version}
	}
	j.beginRecorded = j.begun
	progress := job.Progress{Started: j.begun, Complete: slices.Clone(j.progress.Complete), Done: make(map[string][]int), Failed: make(map[string]job.Failures)}
	for k, v := range j.progress.Done {
		progress.Done[k] = slices.Clone(v)
	}
	for k, v := range j.progress.Failed {
		progress.Failed[k] = v
	}
	return Change{Job: j.ID, Progress: &progress, version: j.version}
}

// CommitDone handles a durable commit: it publishes the final states to callers and confirms the
// ends of runs that the commit covers to the workers.
func (c *Core) CommitDone(e CommitDone) {
	c.busyStreams[e.Commit.Stream] = false
	for _, change := range e.Commit.Changes {
		j := c.jobs[change.Job]
		if j == nil {
			continue
		}
		j.recordedVersion = change.version
		j.committing = false
		if change.Final != nil {
			c.finals[j.ID] = endedJob{*change.Final, j.subscribers, c.now, e.Revision}
			c.publish(j, j.state)
			delete(c.jobs, j.ID)
			c.held.Resize(c.now, j.ID, endedMemory)
			for _, token := range j.cancelTokens {
				c.emit(CancelDone{Token: token})
			}
		}
	}
	for _, r := range e.Commit.Roster {
		if w := c.workers[r.Worker]; w != nil && !r.Closed && !w.closed {
			w.recordedOpen = true
			c.passDue = true
		}
	}
	for _, w := range c.sortedWorkers() {
		if len(w.pendingEnds) == 0 {
			continue
		}
		c.advanceConfirmed(w)
		if len(w.pendingEnds) == 0 && !w.polling {
			w.nextPoll = c.now
			c.poll(w)
		}
	}
}
