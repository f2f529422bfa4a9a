package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/speed"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// worker is the state of a worker as tracked by this owner.
type worker struct {
	Worker
	listed        bool      // in the latest directory
	recordedOpen  bool      // the durable roster lists it as open, so that a new owner expects any runs on it
	closed        bool      // it gets no new runs, so that the roster can list all runs that may exist there
	fenced        bool      // this incarnation has answered a poll of this owner, so that it rejects former owners
	restarted     bool      // a later incarnation than the listed one answers; it gets no orders until it is listed
	silent        bool      // it does not answer
	silentAt      time.Time // since when it does not answer
	missedReports int       // consecutive missed reports
	runs          map[job.TaskKey]*run
	used          task.Resources
	leftFree      task.Resources        // free after the last pass; see recordLeftCapacity
	claims        map[job.StepKey]claim // capacity reserved for gangs
	ends          []expectedEnd         // expected ends of its runs, cached as of endsAt
	endsAt        time.Time
	unsizedRuns   int // number of runs of unknown size, which are being stopped

	clock         time.Duration // last reading of the worker's clock
	clockAt       time.Time     // when that reading arrived
	maxLeaseEnd   time.Duration // latest lease end sent, on the worker's clock
	polling       bool          // a poll is in flight
	firstPoll     bool          // the poll in flight counts in Core.firstPolls
	nextPoll      time.Time
	lastProcessed uint64         // number of the last ended run that was processed
	confirmed     uint64         // the effect of ends up to this number is durable; the worker may discard them
	pendingEnds   []pendingEnd   // sorted by number
	backoffUntil  time.Time      // no placement before this time, after rejected orders and failed runs
	failureCauses []failureCause // of the recent failed runs since the last success
	failingUntil  time.Time      // until then the worker counts as failing
	probe         *run           // only run on a failing worker, to test whether it has recovered
	progressAt    time.Time      // when a run last made progress
	coldUntil     time.Time      // until then the worker is slow after its start

	learned       *speed.Worker // what is known of its speed; nil if nothing
	speed         float64       // as of the last update; 0 if there was none
	latestReport  time.Duration // on the worker's clock
	formerReport  time.Duration // the one before it
	endsAreRecent bool          // the latest report was sent as soon as a run ended
}

// pendingEnd is the end of a run that may be confirmed once the given version of its job is durable.
type pendingEnd struct {
	number  uint64
	job     *jobState
	version uint64
}

// SetDirectory applies a new list of all existing workers.
func (c *Core) SetDirectory(listed []Worker) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, entry := range listed {
		w, known := c.workers[entry.ID]
		if !known {
			w = &worker{runs: make(map[job.TaskKey]*run), claims: make(map[job.StepKey]claim)}
			c.workers[entry.ID] = w
			c.workerOrder = nil
			c.rosterDirty = true
			w.Worker = entry
			w.setColdUntil(c.now)
		} else if entry.Revision >= w.Revision {
			if entry.Incarnation != w.Incarnation {
				c.endIncarnation(w, entry.Incarnation)
				w.restarted = false
				w.nextPoll = c.now
			}
			isNewer := entry.Revision > w.Revision
			w.Worker = entry
			if isNewer {
				w.setColdUntil(c.now)
			}
		}
		w.listed = true
	}
	c.removeUnlisted()
	c.capacitySet = nil
	c.passDue = true
}

// sortedWorkers returns the workers sorted by ID, so that the order of effects is deterministic.
func (c *Core) sortedWorkers() []*worker {
	if c.workerOrder == nil {
		for _, id := range slices.Sorted(maps.Keys(c.workers)) {
			c.workerOrder = append(c.workerOrder, c.workers[id])
		}
	}
	return c.workerOrder
}

// removeUnlisted removes the workers that are no longer listed and on which no runs can exist.
func (c *Core) removeUnlisted() {
	for id, w := range c.workers {
		_, unresolved := c.unresolved[id]
		if !w.listed && len(w.runs) == 0 && !unresolved && !w.polling && c.leaseExpired(w) {
			c.forgetSpeed(w)
			delete(c.workers, id)
			c.workerOrder = nil
			c.rosterDirty = true
		}
	}
}

// endIncarnation handles the end of the listed incarnation of a worker, which the given one follows.
// Its runs are lost, since runs do not survive a restart. A start order for it that is still on its
// way has no effect, because no other incarnation executes it (see Target).
func (c *Core) endIncarnation(w *worker, next int64) {
	if w.restarted {
		return
	}
	w.restarted = true
	c.emit(Decision{Event: "worker_restarted", Fields: []any{"worker", w.ID, "incarnation", w.Incarnation, "next", next, "runs", len(w.runs)}})
	w.fenced, w.silent, w.missedReports, w.backoffUntil = false, false, 0, time.Time{}
	w.clock, w.clockAt, w.maxLeaseEnd = 0, time.Time{}, 0
	w.lastProcessed, w.confirmed, w.pendingEnds = 0, 0, nil
	w.unsizedRuns, w.failureCauses, w.failingUntil, w.probe = 0, nil, time.Time{}, nil
	c.forgetSpeed(w)
	for _, r := range sortedRunsOf(w) {
		c.runLost(r, "worker_restarted")
	}
}

func sortedRunsOf(w *worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	return sortRuns(out)
}

// sortRuns sorts runs by task, in place.
func sortRuns(runs []*run) []*run {
	slices.SortFunc(runs, func(a, b *run) int { return compareTasks(a.task, b.task) })
	return runs
}

// leaseExpired reports whether every lease that this owner may have granted to the worker has
// expired.
func (c *Core) leaseExpired(w *worker) bool {
	return w.maxLeaseEnd == 0 || c.now.After(c.leaseExpiry(w))
}

// leaseExpiry returns the time by which every lease that this owner may have granted to the worker has
// expired.
func (c *Core) leaseExpiry(w *worker) time.Time {
	if w.maxLeaseEnd == 0 {
		return c.now
	}
	return w.clockAt.Add(maxLocalDuration(w.maxLeaseEnd-w.clock) + leaseMargin)
}

// workerClock estimates the current time on the worker's clock from its last reading.
func (c *Core) workerClock(w *worker) time.Duration { return w.clock + c.now.Sub(w.clockAt) }

// leaseEnd returns the end of a lease that is granted now, on the worker's clock, and records it.
func (c *Core) leaseEnd(w *worker) time.Duration {
	end := c.workerClock(w) + c.cfg.Lease
	w.maxLeaseEnd = max(w.maxLeaseEnd, end)
	return end
}

func (w *worker) target() Target {
	return Target{Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address, FailureDomain: w.FailureDomain}
}

// tickWorker sends the next poll and marks the runs of a silent worker as lost once its lease has
// expired.
func (c *Core) tickWorker(w *worker) {
	if !w.polling && !w.restarted && !c.now.Before(w.nextPoll) && (!w.isUnknown() || c.firstPolls < maxFirstPolls) {
		c.poll(w)
	}
	c.updateClosed(w)
	if w.silent && len(w.runs) > 0 && c.leaseExpired(w) {
		for _, r := range sortedRunsOf(w) {
			c.runLost(r, "lease_over")
		}
		w.unsizedRuns = 0
	}
}

// poll sends a poll to a worker. The poll also renews the worker's lease if the worker has answered
// a poll of this owner and is not silent.
func (c *Core) poll(w *worker) {
	order := Poll{Target: w.target(), Confirmed: w.confirmed}
	// The lease of a worker that does not answer is not renewed: a renewal that may have arrived
	// would delay the time from which its tasks can be restarted elsewhere.
	if w.fenced && !w.silent {
		if !c.leasesSuspended {
			order.LeaseEnd = c.leaseEnd(w)
		}
		if len(w.pendingEnds) == 0 {
			order.Wait = c.cfg.PollWait
		}
	}
	w.polling = true
	if w.isUnknown() {
		w.firstPoll = true
		c.firstPolls++
	}
	c.emit(order)
}

// maxFirstPolls is the maximum number of workers that are polled for the first time at once. Until other
// instances relay the orders of a new owner, each poll opens a connection. An owner that
// polled thousands of workers at once could be too busy to renew its ownership.
const maxFirstPolls = 256

// isUnknown reports whether this owner has no result of any poll of the worker.
func (w *worker) isUnknown() bool { return !w.fenced && w.missedReports == 0 }

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pollRetryDelay is the increment of the linear backoff between polls of a worker that does not
// answer. The backoff is at most twice this delay.
const pollRetryDelay = 250 * time.Millisecond

// unrecordedPollDelay is the delay before the next poll of a worker whose ends are not all recorded
// yet. Without the delay, polls would repeat at once, since they are sent without a long-poll timeout.
const unrecordedPollDelay = 400 * time.Millisecond

// PollDone handles the answer to a poll: a worker's report or the failure of the call.
func (c *Core) PollDone(e PollDone) {
	w := c.workers[e.Poll.Worker]
	if w == nil {
		return
	}
	w.polling = false
	c.endFirstPoll(w)
	switch {
	case e.Poll.Incarnation != w.Incarnation:
		w.nextPoll = c.now
		return // the polled incarnation has ended since
	case e.Verdict == OtherIncarnation && e.Incarnation != 0:
		c.endIncarnation(w, e.Incarnation)
		return
	}
	if e.Verdict != Accepted {
		// A single lost report does not make the worker silent; the next one is requested at once.
		w.missedReports++
		if w.missedReports > 1 || e.Verdict != Unclear {
			w.markSilent(c.now)
		}
		w.nextPoll = c.now.Add(time.Duration(w.missedReports-1) * pollRetryDelay)
		w.nextPoll = minTime(w.nextPoll, c.now.Add(2*pollRetryDelay))
		if e.Verdict == OtherIncarnation {
			w.fenced = false
		}
		return
	}
	w.silent, w.missedReports = false, 0
	w.clock, w.clockAt = e.Clock, c.now
	first := !w.fenced
	w.fenced = true
	c.learnProgress(w, e)
	c.processEnds(w, e.Ended)
	c.processRunning(w, e)
	if !e.Partial {
		c.resolve(w.ID)
	}
	c.advanceConfirmed(w)
	switch {
	case first || len(w.pendingEnds) == 0:
		w.nextPoll = c.now
		c.poll(w)
	default:
		w.nextPoll = c.now.Add(unrecordedPollDelay)
	}
	c.passDue = true
}

// endFirstPoll removes the poll of a worker from the first polls in flight.
func (c *Core) endFirstPoll(w *worker) {
	if w.firstPoll {
		w.firstPoll = false
		c.firstPolls--
	}
}

// processEnds handles those ends that were not processed before, in the order of their numbers: an end
// is confirmed together with all lower numbers.
func (c *Core) processEnds(w *worker, ends []EndReport) {
	slices.SortFunc(ends, func(a, b EndReport) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range ends {
		if e.Number <= w.lastProcessed {
			continue
		}
		w.lastProcessed = e.Number
		j := c.jobs[e.Task.Job]
		c.runEnded(w, e)
		// An end that does not change the job is also confirmed only once the current version of the
		// job is durable: the change that ended the job may still be lost in a takeover, and the new
		// owner then needs this end.
		if j != nil && j.recordedVersion < j.version {
			w.pendingEnds = append(w.pendingEnds, pendingEnd{number: e.Number, job: j, version: j.version})
		}
	}
}

// processRunning reconciles the runs that a worker reports as running with the state of this owner.
func (c *Core) processRunning(w *worker, e PollDone) {
	reported := make(map[job.TaskKey]int, len(e.Running))
	for _, report := range e.Running {
		reported[report.Task] = report.Run
		r, known := w.runs[report.Task]
		if !known || r.number != report.Run {
			c.adopt(w, report)
			continue
		}
		r.recordProgress(c.now, report)
		if r.state != runRunning {
			c.markBegun(report.Task.Job, begunByReport, w.ID)
		}
		if r.state == runStarting || r.state == runUnclear {
			c.runStarted(r)
		}
	}
	if e.Partial {
		return
	}
	for _, r := range sortedRunsOf(w) {
		if number, running := reported[r.task]; !running || number != r.number {
			c.checkMissing(r, e.SentAt)
		}
	}
}

// checkMissing handles a run that is missing from a complete report. The report is conclusive only if it was
// requested after the start or stop order was answered.
func (c *Core) checkMissing(r *run, requestedAt time.Time) {
	switch r.state {
	case runRunning:
		if requestedAt.After(r.answeredAt) {
			c.runLost(r, "not_listed")
		}
	case runStopping, runUnclear:
		if !r.stopAnsweredAt.IsZero() && requestedAt.After(r.stopAnsweredAt) {
			c.runLost(r, "stopped_before_start")
		}
	}
}

// adopt takes over a reported run that this owner did not order, or stops it if its task is done,
// unknown or has another run.
func (c *Core) adopt(w *worker, report RunReport) {
	c.markBegun(report.Task.Job, begunByReport, w.ID)
	if _, known := w.runs[report.Task]; known {
		// This owner has ordered another run of the task on this worker, so this one is obsolete.
		c.emitStop(Stop{Target: w.target(), Task: report.Task, Run: report.Run})
		return
	}
	r := &run{task: report.Task, number: report.Run, worker: w, state: runRunning, startedAt: c.now, answeredAt: c.now, adopted: true}
	s := c.reportedStep(report.Task.StepKey)
	if s == nil || report.Task.Index >= len(s.tasks) || s.tasks[report.Task.Index].done || s.tasks[report.Task.Index].run != nil {
		if j := c.jobs[report.Task.Job]; j != nil && report.Task.Step < len(j.Steps) {
			r.size = j.Steps[report.Task.Step].Size
			r.team = j.Team
		} else {
			w.unsizedRuns++
			r.sizeUnknown = true
		}
		c.addRun(r)
		c.stop(r)
		return
	}
	if s.spec.Gang {
		c.gangsAdopted = true
	}
	t := &s.tasks[report.Task.Index]
	t.run = r
	t.lastRun = max(t.lastRun, report.Run)
	s.lastRun = max(s.lastRun, report.Run)
	r.step, r.size, r.team = s, taskSize(s.spec), s.job.Team
	s.job.runs[r] = struct{}{}
	c.addRun(r)
	r.recordProgress(c.now, report)
	c.logDecision(s.key.Job, "adopted", "task", report.Task.String(), "run", report.Run, "worker", w.ID)
}

// advanceConfirmed advances the number up to which the worker may discard ends of runs.
func (c *Core) advanceConfirmed(w *worker) {
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].job.recordedVersion >= w.pendingEnds[0].version {
		w.pendingEnds = w.pendingEnds[1:]
	}
	if len(w.pendingEnds) > 0 {
		w.confirmed = w.pendingEnds[0].number - 1
	} else {
		w.confirmed = w.lastProcessed
	}
}
