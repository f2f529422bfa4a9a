package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// worker is one worker as this owner knows it.
type worker struct {
	Worker
	listed   bool      // in the latest directory
	rostered bool      // the recorded roster names it, so that a new owner asks it what it runs
	closed   bool      // nothing starts on it, so that the roster can name all that may run
	fenced   bool      // this life has answered a hold of this owner
	silent   bool      // it does not answer
	silentAt time.Time // since when
	misses   int       // reports in a row that did not come
	runs     map[job.TaskKey]*run
	used     task.Resources
	claims   map[job.StepKey]claim // room kept for gangs
	ends     []expectedEnd         // of its runs, as of endsAt
	endsAt   time.Time
	strange  int // runs of unknown size that are being stopped

	clock      time.Duration // last reading of the worker's clock
	clockAt    time.Time     // when the reading arrived
	maxLease   time.Duration // latest lease end that was sent, on the worker's clock
	holding    bool          // a hold is under way
	nextHold   time.Time
	processed  uint64 // number of the last end that was processed
	confirmed  uint64 // ends up to this number are recorded
	pending    []pendingEnd
	restUntil  time.Time // no starts before; after refusals and failures
	failStreak int       // failed runs since the last that succeeded
	failedAt   time.Time // when the last one was listed
	probing    *run      // the one run by which a failing worker is tried again
	progressAt time.Time // when a run last advanced
}

// pendingEnd is an end that may be confirmed once a version of a job is recorded.
type pendingEnd struct {
	number  uint64
	job     *jobState
	version uint64
}

// Directory replaces what is known of the workers that exist.
func (c *Core) Directory(listed []Worker) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, entry := range listed {
		w, known := c.workers[entry.ID]
		if !known {
			w = &worker{runs: make(map[job.TaskKey]*run), claims: make(map[job.StepKey]claim)}
			c.workers[entry.ID] = w
			c.ordered = nil
			c.rosterDue = true
			w.Worker = entry
		} else if entry.Born >= w.Born {
			c.changeLife(w, entry.Born)
			w.Worker = entry
		}
		w.listed = true
	}
	c.forgetUnlisted()
	c.passDue = true
}

// sortedWorkers returns the workers by ID, so that the same events always have
// the same effects in the same order.
func (c *Core) sortedWorkers() []*worker {
	if c.ordered == nil {
		for _, id := range slices.Sorted(maps.Keys(c.workers)) {
			c.ordered = append(c.ordered, c.workers[id])
		}
	}
	return c.ordered
}

// forgetUnlisted drops workers that are gone and on which nothing can run.
func (c *Core) forgetUnlisted() {
	for id, w := range c.workers {
		_, unresolved := c.unresolved[id]
		if !w.listed && len(w.runs) == 0 && !unresolved && !w.holding && c.leaseIsOver(w) {
			delete(c.workers, id)
			c.ordered = nil
			c.rosterDue = true
		}
	}
}

// changeLife forgets what an earlier life of a worker ran. A worker that has
// restarted runs nothing of before.
func (c *Core) changeLife(w *worker, born int64) {
	if w.Born == 0 || born == w.Born || born == 0 {
		if born != 0 {
			w.Born = born
		}
		return
	}
	c.emit(Decision{What: "worker_restarted", Fields: []any{"worker", w.ID, "runs", len(w.runs)}})
	w.Born = born
	w.fenced = false
	w.clock, w.clockAt, w.maxLease = 0, time.Time{}, 0
	w.processed, w.confirmed, w.pending = 0, 0, nil
	w.strange, w.failStreak, w.probing = 0, 0, nil
	for _, r := range runsOf(w) {
		c.runLost(r, "worker_restarted")
	}
	w.nextHold = c.now
}

func runsOf(w *worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	return sortRuns(out)
}

// sortRuns orders runs by their tasks, in place.
func sortRuns(runs []*run) []*run {
	slices.SortFunc(runs, func(a, b *run) int { return compareTasks(a.task, b.task) })
	return runs
}

// leaseIsOver reports whether every lease that this owner may have given the
// worker has ended.
func (c *Core) leaseIsOver(w *worker) bool {
	if w.maxLease == 0 {
		return true
	}
	return c.now.After(w.clockAt.Add(scaleDrift(w.maxLease-w.clock) + leaseMargin))
}

// workerClock estimates the worker's clock from its last reading.
func (c *Core) workerClock(w *worker) time.Duration { return w.clock + c.now.Sub(w.clockAt) }

func (c *Core) leaseEnd(w *worker) time.Duration {
	end := c.workerClock(w) + c.cfg.Lease
	w.maxLease = max(w.maxLease, end)
	return end
}

func (w *worker) target() Target {
	return Target{Worker: w.ID, Born: w.Born, Address: w.Address, FailureDomain: w.FailureDomain}
}

// tickWorker sends the next hold, repeats stops and gives up what a silent
// worker ran once its lease has ended.
func (c *Core) tickWorker(w *worker) {
	if !w.holding && !c.now.Before(w.nextHold) {
		c.hold(w)
	}
	c.closeOrOpen(w)
	var due []*run
	for _, r := range w.runs {
		if r.stopDue(c.now, c.cfg) {
			due = append(due, r)
		}
	}
	for _, r := range sortRuns(due) {
		c.sendStop(r)
	}
	if w.silent && len(w.runs) > 0 && c.leaseIsOver(w) {
		for _, r := range runsOf(w) {
			c.runLost(r, "lease_over")
		}
		w.strange = 0
	}
}

func (c *Core) hold(w *worker) {
	h := Hold{Target: w.target(), Confirmed: w.confirmed}
	// The lease of a worker that does not answer is left to end: a renewal that
	// may have arrived would put off the moment from which its tasks are free.
	if w.fenced && !w.silent {
		h.LeaseEnd = c.leaseEnd(w)
		if len(w.pending) == 0 {
			h.Wait = c.cfg.HoldWait
		}
	}
	w.holding = true
	c.emit(h)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// retryHold is the wait before a worker that did not answer is asked again.
const retryHold = 250 * time.Millisecond

// unrecordedHold is how soon a worker is asked again whose ends are not yet
// recorded: its report would not wait for a new end.
const unrecordedHold = 400 * time.Millisecond

// HoldDone takes in a worker's report.
func (c *Core) HoldDone(e HoldDone) {
	w := c.workers[e.Hold.Worker]
	if w == nil {
		return
	}
	w.holding = false
	if e.Verdict != Accepted {
		// One lost report is no proof: the next one is asked for at once.
		w.misses++
		if w.misses > 1 || e.Verdict != Unclear {
			w.fallSilent(c.now)
		}
		w.nextHold = c.now.Add(time.Duration(w.misses-1) * retryHold)
		w.nextHold = minTime(w.nextHold, c.now.Add(2*retryHold))
		if e.Verdict == OtherLife {
			w.fenced = false
		}
		return
	}
	c.changeLife(w, e.Born)
	w.silent, w.misses = false, 0
	w.clock, w.clockAt = e.Clock, c.now
	first := !w.fenced
	w.fenced = true
	c.processEnds(w, e.Ended)
	c.processRunning(w, e)
	c.resolve(w.ID)
	c.advanceConfirmed(w)
	switch {
	case first || len(w.pending) == 0:
		w.nextHold = c.now
		c.hold(w)
	default:
		w.nextHold = c.now.Add(unrecordedHold)
	}
	c.passDue = true
}

// processEnds takes note of the ends that are new.
func (c *Core) processEnds(w *worker, ends []EndReport) {
	for _, e := range ends {
		if e.Number <= w.processed {
			continue
		}
		w.processed = e.Number
		j := c.jobs[e.Task.Job]
		c.runEnded(w, e)
		// Also an end that changes nothing waits for the record of its job: the
		// failure that ended the job may be lost, and this one with it.
		if j != nil && j.recorded < j.version {
			w.pending = append(w.pending, pendingEnd{number: e.Number, job: j, version: j.version})
		}
	}
}

// processRunning compares what a worker runs with what this owner believes.
func (c *Core) processRunning(w *worker, e HoldDone) {
	seen := make(map[job.TaskKey]int, len(e.Running))
	for _, report := range e.Running {
		seen[report.Task] = report.Run
		r, known := w.runs[report.Task]
		if !known || r.number != report.Run {
			c.adopt(w, report)
			continue
		}
		r.observe(c.now, report)
		if r.state == runStarting || r.state == runUnclear {
			c.runStarted(r)
		}
	}
	for _, r := range runsOf(w) {
		if number, running := seen[r.task]; !running || number != r.number {
			c.checkMissing(r, e.SentAt)
		}
	}
}

// checkMissing handles a run that a report does not list. The report proves
// something only if it was asked for after the order was answered.
func (c *Core) checkMissing(r *run, reportSentAt time.Time) {
	switch r.state {
	case runRunning:
		if reportSentAt.After(r.confirmedAt) {
			c.runLost(r, "not_listed")
		}
	case runStopping, runUnclear:
		if !r.stoppedAt.IsZero() && reportSentAt.After(r.stoppedAt) {
			c.runLost(r, "stopped_before_start")
		}
	}
}

// adopt takes over a run that this owner did not order, or stops it if its task
// must not run there.
func (c *Core) adopt(w *worker, report RunReport) {
	if _, known := w.runs[report.Task]; known {
		// Another run of the task is on its way here, so that this one is old.
		c.emit(Stop{Target: w.target(), Task: report.Task, Run: report.Run})
		return
	}
	r := &run{task: report.Task, number: report.Run, worker: w, state: runRunning, startedAt: c.now, confirmedAt: c.now, adopted: true}
	s := c.steps[report.Task.StepKey]
	if s == nil || report.Task.Index >= len(s.tasks) || s.tasks[report.Task.Index].done || s.tasks[report.Task.Index].run != nil {
		if j := c.jobs[report.Task.Job]; j != nil && report.Task.Step < len(j.Steps) {
			r.size = j.Steps[report.Task.Step].Size
			r.team = j.Team
		} else {
			w.strange++
			r.strange = true
		}
		c.place(r)
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
	r.step, r.size, r.team = s, stepSize(s.spec), s.job.Team
	s.job.runs[r] = struct{}{}
	c.place(r)
	r.observe(c.now, report)
	c.markStarted(s.job)
	c.decide(s.key.Job, "adopted", "task", report.Task.String(), "run", report.Run, "worker", w.ID)
}

// advanceConfirmed raises the number up to which ends may be forgotten.
func (c *Core) advanceConfirmed(w *worker) {
	for len(w.pending) > 0 && w.pending[0].job.recorded >= w.pending[0].version {
		w.pending = w.pending[1:]
	}
	if len(w.pending) > 0 {
		w.confirmed = w.pending[0].number - 1
	} else {
		w.confirmed = w.processed
	}
}
