package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/speed"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// runState is the state of a run as tracked by this owner.
type runState int

const (
	runStarting runState = iota // ordered, not answered yet
	runUnclear                  // ordered, but the answer was lost
	runRunning
	runStopping
)

// run is one execution of a task on a worker. It occupies capacity there until the worker reports
// its end or until it provably has ended or never started.
type run struct {
	task   job.TaskKey
	number int
	worker *worker
	step   *stepState // nil if the task is not active; the run is then only tracked until it ends
	team   string
	size   task.Resources
	state  runState

	adopted        bool // ordered by a former owner
	sizeUnknown    bool // its job is unknown; counted in worker.unsizedRuns
	startedAt      time.Time
	answeredAt     time.Time // when the start order was answered, its answer was lost, or a report showed that it had been executed
	stopSentAt     time.Time // when the last stop order was sent
	stopAnsweredAt time.Time // when a stop order was last answered
	percent        int
	progressedAt   time.Time // when percent last rose
	resumed        bool      // started from a checkpoint
	measured       speed.Progress
}

func compareTasks(a, b job.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// addRun adds a run to its worker and to the usage of the worker and the team.
func (c *Core) addRun(r *run) {
	r.worker.runs[r.task] = r
	r.worker.used = r.worker.used.Add(r.size)
	c.changeRunning(r.team, r.size)
}

// removeRun removes a run and releases its resources.
func (c *Core) removeRun(r *run) {
	w := r.worker
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	delete(c.unsettled, r)
	w.used = w.used.Sub(r.size)
	c.changeRunning(r.team, r.size.Scale(-1))
	if r.sizeUnknown {
		w.unsizedRuns = max(0, w.unsizedRuns-1)
	}
	if w.probe == r {
		w.probe = nil
	}
	if s := r.step; s != nil {
		delete(s.job.runs, r)
		if t := &s.tasks[r.task.Index]; t.run == r {
			t.run = nil
		}
	}
	c.passDue = true
}

// nextRun returns the number of the next run of a task or gang. It is higher than last and than any
// number that a former owner has used.
func (c *Core) nextRun(last int) int {
	return max(last, int(c.epoch)*c.cfg.RunsPerEpoch) + 1
}

// start orders a run of a task on a worker. The members of a gang share a run number.
func (c *Core) start(s *stepState, index int, w *worker, number int, ticket string) {
	t := &s.tasks[index]
	r := &run{
		task: job.TaskKey{StepKey: s.key, Index: index}, number: number, worker: w, step: s,
		team: s.job.Team, size: taskSize(s.spec), state: runStarting, startedAt: c.now, progressedAt: c.now,
	}
	t.run, t.lastRun = r, number
	s.runsOrdered++
	s.lastRun = max(s.lastRun, number)
	s.job.runs[r] = struct{}{}
	c.addRun(r)
	if c.isFailing(w) && !c.isProbing(w) {
		w.probe = r
	}
	checkpoint := t.checkpoint
	if s.spec.Gang {
		checkpoint = s.tasks[0].checkpoint
	}
	r.resumed = checkpoint != ""
	c.emitStart(Start{
		Target: w.target(), Task: r.task, Run: number, Spec: s.job.Spec, Ticket: ticket,
		Checkpoint: checkpoint, LeaseEnd: c.leaseEnd(w), WaitTime: c.now.Sub(s.job.arrivedAt),
	})
}

// StartDone handles the answer to a start order.
func (c *Core) StartDone(e StartDone) {
	c.startAnswered(e.Start)
	w := c.workers[e.Start.Worker]
	if w == nil {
		return
	}
	r := w.runs[e.Start.Task]
	if r == nil || r.number != e.Start.Run || (r.state != runStarting && r.state != runStopping) {
		return
	}
	if e.Verdict != Accepted {
		c.logDecision(r.task.Job, "start_refused", "task", r.task.String(), "run", r.number, "worker", w.ID, "verdict", e.Verdict.String())
	}
	switch e.Verdict {
	case Accepted:
		c.observeLatency(c.now.Sub(r.startedAt))
		if r.state == runStarting {
			c.runStarted(r)
		}
		c.markBegun(r.task.Job, begunByAnswer, w.ID) // also if it is being stopped
		r.answeredAt = c.now
	case Unclear:
		w.markSilent(c.now)
		if r.state == runStarting {
			r.state = runUnclear
			r.answeredAt = c.now
			c.unsettled[r] = struct{}{}
		}
	default:
		c.backOff(w, e.Verdict)
		if e.Verdict == TicketRejected && r.step != nil {
			r.step.advice.expireTicket(w.ID)
		}
		c.runNotStarted(r)
	}
}

// backOff suspends placement on a worker that has rejected an order or could not be reached.
func (c *Core) backOff(w *worker, v Verdict) {
	const (
		unhealthyBackoff   = time.Second            // a healthy worker accepts orders again within one heartbeat
		unreachableBackoff = 300 * time.Millisecond // until the next report shows whether it answers
	)
	switch v {
	case Unhealthy, InsufficientCapacity:
		w.backoffUntil = c.now.Add(unhealthyBackoff)
	case NotSent, OtherIncarnation:
		w.markSilent(c.now)
		w.backoffUntil = c.now.Add(unreachableBackoff)
	}
}

// runStarted handles a run that its worker has accepted or reports as running.
func (c *Core) runStarted(r *run) {
	if r.state != runStopping {
		r.state = runRunning
		delete(c.unsettled, r)
		c.beginMeasurement(r)
	}
	r.answeredAt = c.now
}

// runNotStarted handles a run that provably did not start.
func (c *Core) runNotStarted(r *run) {
	s := r.step
	c.removeRun(r)
	if s != nil && s.spec.Gang {
		c.stopGang(s)
	}
}

// stopGang stops the remaining members of a gang, since they cannot complete without the missing
// ones.
func (c *Core) stopGang(s *stepState) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			c.stop(r)
		}
	}
}

// stopPartialGangs stops the adopted members of gangs whose other members ended, or never started,
// under the former owner.
func (c *Core) stopPartialGangs() {
	if !c.gangsAdopted || c.openUnresolved > 0 {
		return
	}
	c.gangsAdopted = len(c.unresolved) > 0
	for _, s := range c.sortedSteps() {
		if s.spec.Gang && !s.isConsistent() && !c.isHeldBack(s) {
			c.stopGang(s)
		}
	}
}

// isConsistent reports whether either all members of a gang have a run with the same number or none
// has a run.
func (s *stepState) isConsistent() bool {
	first := s.tasks[0].run
	for i := range s.tasks {
		r := s.tasks[i].run
		if (r == nil) != (first == nil) || (r != nil && r.number != first.number) {
			return false
		}
	}
	return true
}

// stop sends a stop order for a run, unless one was sent before.
func (c *Core) stop(r *run) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	c.unsettled[r] = struct{}{}
	c.sendStop(r)
}

// sendDueStops sends or retries the stop orders that are due, those that were sent last at the end:
// otherwise, the repeated ones to workers that do not answer would fill the window.
func (c *Core) sendDueStops() {
	if c.window.stopsHeld {
		return // stopAnswered calls it again once a part of the window is free
	}
	var due []*run
	for r := range c.unsettled {
		if r.stopDue(c.now, c.cfg) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int {
		return cmp.Or(a.stopSentAt.Compare(b.stopSentAt), cmp.Compare(a.worker.ID, b.worker.ID), compareTasks(a.task, b.task))
	})
	for _, r := range due {
		c.sendStop(r)
	}
}

// sendStop sends a stop order for a run unless too many are in flight; a later sendDueStops repeats it.
func (c *Core) sendStop(r *run) {
	if c.emitStop(Stop{Target: r.worker.target(), Task: r.task, Run: r.number}) {
		r.stopSentAt = c.now
	}
}

// stopDue reports whether a stop order must be sent or retried.
func (r *run) stopDue(now time.Time, cfg Config) bool {
	switch r.state {
	case runUnclear:
		if now.Sub(r.answeredAt) < cfg.UnclearTimeout {
			return false
		}
	case runStopping:
	default:
		return false
	}
	return r.stopAnsweredAt.IsZero() && now.Sub(r.stopSentAt) >= cfg.StopRetryInterval
}

// StopDone handles the answer to a stop order. A worker that has accepted it rejects the run if the
// start order arrives later.
func (c *Core) StopDone(e StopDone) {
	defer c.stopAnswered() // it may send the orders that are due, of which this one no longer is
	w := c.workers[e.Stop.Worker]
	if w == nil {
		return
	}
	r := w.runs[e.Stop.Task]
	if r == nil || r.number != e.Stop.Run || e.Verdict != Accepted {
		return
	}
	if r.state == runUnclear {
		r.state = runStopping
	}
	r.stopAnsweredAt = c.now
}

// runLost handles a run that provably has ended or never started, although its end was not reported:
// its worker has restarted or no longer reports it, its lease has expired, or it was stopped before
// it started.
func (c *Core) runLost(r *run, reason string) {
	s := r.step
	c.logDecision(r.task.Job, "run_lost", "task", r.task.String(), "run", r.number, "worker", r.worker.ID, "why", reason)
	c.removeRun(r)
	if s != nil && s.spec.Gang {
		c.stopGang(s)
	}
}

// runEnded handles the end of a run that a worker reports.
func (c *Core) runEnded(w *worker, e EndReport) {
	r := w.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	var wasStopping bool
	if r != nil {
		wasStopping = r.state == runStopping
		c.learnEnd(r, e.Reason)
		c.removeRun(r)
	}
	c.markBegun(e.Task.Job, begunByEnd, w.ID)
	s := c.reportedStep(e.Task.StepKey)
	c.recordEndOn(w, s, r, e)
	if s == nil || e.Task.Index >= len(s.tasks) {
		return
	}
	t := &s.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Run)
	s.lastRun = max(s.lastRun, e.Run)
	if e.Checkpoint != "" {
		s.setCheckpoint(e.Task.Index, e.Checkpoint)
	}
	if e.Reason != EndedSucceeded {
		c.logDecision(s.key.Job, "run_ended", "task", e.Task.String(), "run", e.Run, "worker", w.ID, "how", string(e.Reason), "ordered", wasStopping)
	}
	switch {
	case s.spec.LongLived:
		c.longLivedEnded(s, w, r, e.Reason)
	case e.Reason == EndedSucceeded && s.spec.Gang:
		c.gangDone(s)
		return
	case e.Reason == EndedSucceeded:
		if t.run != nil {
			c.stop(t.run)
		}
		c.taskDone(s, e.Task.Index)
		return
	case e.Reason == EndedFailed:
		if c.countFailure(s, e.Task.Index, e.Run) {
			return
		}
		s.countWorkerFailure(w.ID)
	case e.Reason == EndedGangTimeout:
		s.countWorkerFailure(w.ID)
	}
	if s.spec.Gang {
		c.stopGang(s)
	}
}

// setCheckpoint sets the checkpoint from which a task resumes. All members of a gang resume from the
// same one.
func (s *stepState) setCheckpoint(index int, checkpoint string) {
	if s.spec.Gang {
		index = 0
	}
	s.tasks[index].checkpoint = checkpoint
}

// gangDone marks a gang as succeeded: the success of one member implies that of all.
func (c *Core) gangDone(s *stepState) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			// The other members end at the same time without a stop order.
			r.step = nil
			delete(s.job.runs, r)
			s.tasks[i].run = nil
		}
	}
	for i := range s.tasks {
		c.taskDone(s, i)
	}
}

// recordProgress records the progress of a run from a report.
func (r *run) recordProgress(now time.Time, report RunReport) {
	if report.Percent > r.percent || r.progressedAt.IsZero() {
		r.percent = report.Percent
		r.progressedAt = now
		r.worker.progressAt = now
	}
	if s := r.step; s != nil && report.Checkpoint != "" {
		s.setCheckpoint(r.task.Index, report.Checkpoint)
	}
}
