package schedule

import (
	"cmp"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// runState is how much is known of a run.
type runState int

const (
	runStarting runState = iota // ordered, not answered
	runUnclear                  // ordered, the answer was lost
	runRunning
	runStopping
)

// run is one ordered run of a task. It takes room on its worker until its end
// is listed, or until it is proved that it never began.
type run struct {
	task   job.TaskKey
	number int
	worker *worker
	step   *stepState // nil for a run that is only to be stopped
	team   string
	size   task.Resources
	state  runState

	adopted     bool // ordered by an earlier owner
	strange     bool // of unknown size
	startedAt   time.Time
	confirmedAt time.Time // when the worker's acceptance arrived
	stopSentAt  time.Time // last order to stop
	stoppedAt   time.Time // when an order to stop was answered
	percent     int
	advancedAt  time.Time // when percent last rose
}

func compareTasks(a, b job.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// place takes the room of a run on its worker and in its team's usage.
func (c *Core) place(r *run) {
	r.worker.runs[r.task] = r
	r.worker.used = r.worker.used.Add(r.size)
	c.teamUsage(r.team).add(r.size)
}

// release gives back the room of a run and forgets it.
func (c *Core) release(r *run) {
	w := r.worker
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.used = w.used.Sub(r.size)
	c.teamUsage(r.team).add(r.size.Scale(-1))
	if r.strange {
		w.strange = max(0, w.strange-1)
	}
	if w.probing == r {
		w.probing = nil
	}
	if s := r.step; s != nil {
		delete(s.job.runs, r)
		if t := &s.tasks[r.task.Index]; t.run == r {
			t.run = nil
		}
	}
	c.passDue = true
}

// nextRun returns a run number above every one that was used for a task, or for
// any task of a gang.
func (c *Core) nextRun(last int) int {
	return max(last, int(c.epoch)*c.cfg.RunsPerEpoch) + 1
}

// start orders a run of a task on a worker. Members of a gang share a number.
func (c *Core) start(s *stepState, index int, w *worker, number int, ticket string) {
	t := &s.tasks[index]
	r := &run{
		task: job.TaskKey{StepKey: s.key, Index: index}, number: number, worker: w, step: s,
		team: s.job.Team, size: stepSize(s.spec), state: runStarting, startedAt: c.now, advancedAt: c.now,
	}
	t.run, t.lastRun = r, number
	s.placed++
	s.lastRun = max(s.lastRun, number)
	s.job.runs[r] = struct{}{}
	c.place(r)
	if c.isFailing(w) && w.probing == nil {
		w.probing = r
	}
	c.markStarted(s.job)
	checkpoint := t.checkpoint
	if s.spec.Gang {
		checkpoint = s.tasks[0].checkpoint
	}
	c.emit(Start{
		Target: w.target(), Task: r.task, Run: number, Spec: s.job.Spec, Ticket: ticket,
		Checkpoint: checkpoint, LeaseEnd: c.leaseEnd(w), Waited: c.now.Sub(s.job.arrived),
	})
}

// StartDone takes in the answer to an order to start.
func (c *Core) StartDone(e StartDone) {
	w := c.workers[e.Start.Worker]
	if w == nil {
		return
	}
	r := w.runs[e.Start.Task]
	if r == nil || r.number != e.Start.Run || (r.state != runStarting && r.state != runStopping) {
		return
	}
	if e.Verdict != Accepted {
		c.decide(r.task.Job, "start_refused", "task", r.task.String(), "run", r.number, "worker", w.ID, "verdict", e.Verdict.String())
	}
	switch e.Verdict {
	case Accepted:
		if r.state == runStarting {
			c.runStarted(r)
		}
		r.confirmedAt = c.now
	case Unclear:
		w.fallSilent(c.now)
		if r.state == runStarting {
			r.state = runUnclear
			r.confirmedAt = c.now
		}
	default:
		c.restAfter(w, e.Verdict)
		if e.Verdict == TicketRejected && r.step != nil {
			r.step.advice.forget(w.ID)
		}
		c.runRefused(r)
	}
}

// restAfter keeps a worker that refuses orders from getting the next ones.
func (c *Core) restAfter(w *worker, v Verdict) {
	const (
		unhealthyRest = time.Second            // a sound worker takes orders again within one heartbeat
		lostRest      = 300 * time.Millisecond // until the next report tells whether it answers
	)
	switch v {
	case Unhealthy, NoRoom:
		w.restUntil = c.now.Add(unhealthyRest)
	case NotSent, OtherLife:
		w.fallSilent(c.now)
		w.restUntil = c.now.Add(lostRest)
	}
}

// runStarted notes that a worker has accepted a run.
func (c *Core) runStarted(r *run) {
	if r.state != runStopping {
		r.state = runRunning
	}
	r.confirmedAt = c.now
}

// runRefused handles a run that surely did not begin.
func (c *Core) runRefused(r *run) {
	s := r.step
	c.release(r)
	if s != nil && s.spec.Gang {
		c.breakGang(s)
	}
}

// breakGang stops the members of a gang that are left, since they cannot
// complete without those that are missing.
func (c *Core) breakGang(s *stepState) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			c.stop(r)
		}
	}
}

// breakPartialGangs stops the members of gangs that were taken over without the
// others: these ended, or never started, under the former owner.
func (c *Core) breakPartialGangs() {
	if !c.gangsAdopted || c.unresolvedOpen > 0 {
		return
	}
	c.gangsAdopted = len(c.unresolved) > 0
	for _, s := range c.sortedSteps() {
		if s.spec.Gang && !s.isWhole() && !c.isHeldBack(s) {
			c.breakGang(s)
		}
	}
}

// isWhole reports whether every member of a gang has the same run, or none has
// one.
func (s *stepState) isWhole() bool {
	first := s.tasks[0].run
	for i := range s.tasks {
		r := s.tasks[i].run
		if (r == nil) != (first == nil) || (r != nil && r.number != first.number) {
			return false
		}
	}
	return true
}

// stop orders the end of a run.
func (c *Core) stop(r *run) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSentAt = c.now
	c.emit(Stop{Target: r.worker.target(), Task: r.task, Run: r.number})
}

// stopDue reports whether the order to stop has to be sent, or sent again.
func (r *run) stopDue(now time.Time, cfg Config) bool {
	switch r.state {
	case runUnclear:
		if now.Sub(r.confirmedAt) < cfg.UnclearPatience {
			return false
		}
	case runStopping:
	default:
		return false
	}
	return r.stoppedAt.IsZero() && now.Sub(r.stopSentAt) >= cfg.StopRetry
}

// StopDone takes in the answer to an order to stop. Once it is answered, the
// worker rejects the run if its start arrives late.
func (c *Core) StopDone(e StopDone) {
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
	r.stoppedAt = c.now
}

// runLost handles a run that has surely ended, or never began, without a listed
// end: its worker restarted, its lease is over, or it was stopped in time.
func (c *Core) runLost(r *run, why string) {
	s := r.step
	c.decide(r.task.Job, "run_lost", "task", r.task.String(), "run", r.number, "worker", r.worker.ID, "why", why)
	c.release(r)
	if s != nil && s.spec.Gang {
		c.breakGang(s)
	}
}

// runEnded takes note of an end that a worker lists.
func (c *Core) runEnded(w *worker, e EndReport) {
	r := w.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	var wasStopping bool
	if r != nil {
		wasStopping = r.state == runStopping
		c.release(r)
	}
	s := c.steps[e.Task.StepKey]
	c.judgeWorker(w, s, e.How)
	if s == nil || e.Task.Index >= len(s.tasks) {
		return
	}
	t := &s.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Run)
	s.lastRun = max(s.lastRun, e.Run)
	if e.Checkpoint != "" {
		s.keepCheckpoint(e.Task.Index, e.Checkpoint)
	}
	if e.How != EndedDone {
		c.decide(s.key.Job, "run_ended", "task", e.Task.String(), "run", e.Run, "worker", w.ID, "how", string(e.How), "ordered", wasStopping)
	}
	switch {
	case s.spec.LongLived:
	case e.How == EndedDone && s.spec.Gang:
		c.gangDone(s)
		return
	case e.How == EndedDone:
		if t.run != nil {
			c.stop(t.run)
		}
		c.taskDone(s, e.Task.Index)
		return
	case e.How == EndedFailed:
		if c.countFailure(s, e.Task.Index, e.Run) {
			return
		}
		s.avoid(w.ID)
	case e.How == EndedAlone:
		s.avoid(w.ID)
	}
	if s.spec.Gang {
		c.breakGang(s)
	}
}

// keepCheckpoint remembers the point from which a task resumes. All members of
// a gang resume from the same one.
func (s *stepState) keepCheckpoint(index int, checkpoint string) {
	if s.spec.Gang {
		index = 0
	}
	s.tasks[index].checkpoint = checkpoint
}

// gangDone takes note of a gang: one member that ended well stands for all.
func (c *Core) gangDone(s *stepState) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			// The other members end by themselves at the same moment.
			r.step = nil
			delete(s.job.runs, r)
			s.tasks[i].run = nil
		}
	}
	for i := range s.tasks {
		c.taskDone(s, i)
	}
}

// observe takes note of the progress of a run.
func (r *run) observe(now time.Time, report RunReport) {
	if report.Percent > r.percent || r.advancedAt.IsZero() {
		r.percent = report.Percent
		r.advancedAt = now
		r.worker.progressAt = now
	}
	if s := r.step; s != nil && report.Checkpoint != "" {
		s.keepCheckpoint(r.task.Index, report.Checkpoint)
	}
}

// failingStreak is the number of failed runs in a row, of whatever jobs, after
// which a worker gets one task at a time until one succeeds.
const failingStreak = 2

// failingRest is how long such a worker rests before its next task.
const failingRest = 1500 * time.Millisecond

// failingMemory is how long failures speak against a worker that was not tried
// again. A gang cannot try a worker, and would otherwise never return to it.
const failingMemory = 4 * time.Second

// isFailing reports whether a worker fails whatever it is given.
func (c *Core) isFailing(w *worker) bool {
	return w.failStreak >= failingStreak && c.now.Sub(w.failedAt) < failingMemory
}

// judgeWorker tells a worker that fails everything from work that fails
// everywhere: only an uninterrupted row of failures counts against a worker, and
// the failure of a step that has failed on another worker does not.
func (c *Core) judgeWorker(w *worker, s *stepState, how Ending) {
	switch how {
	case EndedDone:
		w.failStreak = 0
		w.restUntil = time.Time{}
	case EndedFailed:
		if s != nil && s.failedElsewhere(w.ID) {
			return
		}
		w.failStreak++
		w.failedAt = c.now
		if w.failStreak >= failingStreak {
			w.restUntil = c.now.Add(failingRest)
			c.emit(Decision{What: "worker_failing", Fields: []any{"worker", w.ID, "streak", w.failStreak}})
		}
	}
}
