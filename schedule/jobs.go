package schedule

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// jobState is one unfinished job, or a finished one that is not recorded yet.
type jobState struct {
	*job.Job
	service   string // whose workers run it; the last one that the catalog named
	priority  int
	attempts  int
	objective time.Duration // from arrival to completion
	arrived   time.Time     // at this owner, monotonic
	surplus   bool          // beyond the rate to which its team is entitled
	inherited bool          // known before this owner took over

	state       job.State
	remaining   int // steps of all occurrences that have tasks to do
	runs        map[*run]struct{}
	progress    job.Progress
	version     uint64 // rises with every change that must be recorded
	recorded    uint64
	queued      bool     // among Core.dirty
	committing  bool     // a commit of it is under way
	hasProgress bool     // a progress record may exist
	cancels     []uint64 // callers that wait for the record of the cancellation
	nextDue     int      // first occurrence whose steps are not active
}

// stepState is one step of one occurrence that has tasks to do.
type stepState struct {
	key      job.StepKey
	job      *jobState
	spec     *job.Step
	tasks    []taskState
	left     int          // tasks that have not succeeded
	fails    job.Failures // of a gang
	ready    bool
	lastRun  int // highest run number of a gang
	placed   int // runs that were ordered
	advice   adviceState
	reserved *reservation // room that is kept for a gang; nil if none
	wait     waitCause    // as of the last pass
	noted    waitCause    // that was last logged
	notedAt  time.Time    // when
	urgent   time.Time
	retryAt  time.Time
	away     map[string]int // runs that failed or waited for their gang in vain, by worker
}

type taskState struct {
	done       bool
	fails      job.Failures
	lastRun    int
	checkpoint string
	run        *run
}

// Known is what a new owner reads of one unfinished job.
type Known struct {
	Job       *job.Job
	Progress  *job.Progress // nil if none is recorded
	Cancelled bool
}

// Inherit takes over a job of a former owner.
func (c *Core) Inherit(k Known) {
	j := c.add(k.Job, k.Progress, true)
	if k.Cancelled {
		c.cancel(j, 0)
	}
}

// Accept takes a new job that is recorded. A job that is known changes nothing.
func (c *Core) Accept(submitted *job.Job) {
	if _, known := c.jobs[submitted.ID]; known {
		return
	}
	if _, known := c.finals[submitted.ID]; known {
		return
	}
	j := c.add(submitted, nil, false)
	c.decide(j.ID, "queued", "queue", j.Queue, "team", j.Team, "steps", len(j.Steps), "surplus", j.surplus)
}

func (c *Core) add(submitted *job.Job, progress *job.Progress, inherited bool) *jobState {
	j := &jobState{Job: submitted, arrived: c.now, state: job.Pending, inherited: inherited, runs: make(map[*run]struct{})}
	j.remaining = len(j.Steps) * j.Occurrences()
	if progress != nil {
		j.progress = *progress
		j.hasProgress = true
		if progress.Started {
			j.state = job.Running
		}
	}
	if j.progress.Done == nil {
		j.progress.Done = make(map[string][]int)
	}
	if j.progress.Failed == nil {
		j.progress.Failed = make(map[string]job.Failures)
	}
	c.jobs[j.ID] = j
	if j.state == job.Pending {
		c.waiting[j.Queue]++
	}
	c.changed(Status{Job: j.ID, State: j.state, Queue: j.Queue, Team: j.Team})
	c.refreshPolicy(j)
	j.objective = c.objectiveOf(j)
	if inherited {
		// The wall clocks of instances differ by little; an age below zero is one
		// of a clock that runs ahead.
		j.arrived = c.now.Add(-max(0, c.wall.Sub(j.AcceptedAt)))
	} else {
		j.surplus = c.takeEntitlement(j.Team)
	}
	if j.surplus {
		c.teamUsage(j.Team).surplusWaiting++
	}
	c.startDue(j)
	if j.nextDue < j.Occurrences() {
		c.timed[j.ID] = j
	}
	if c.hasFailed(j) {
		c.finish(j, job.Failed)
	}
	if j.remaining == 0 {
		// A former owner recorded the last task and not the end.
		c.finish(j, job.Completed)
	}
	return j
}

// hasFailed reports whether a task or a gang of a job has failed as often as its
// queue allows, for a job whose record or whose queue says so from the start.
func (c *Core) hasFailed(j *jobState) bool {
	for _, fails := range j.progress.Failed {
		if j.attempts > 0 && len(fails) >= j.attempts {
			return true
		}
	}
	return false
}

// refreshPolicy takes over what the catalog says of the job's queue. A queue
// that was removed keeps its last policy for the jobs that it accepted.
func (c *Core) refreshPolicy(j *jobState) {
	q := c.catalog.Queue(j.Queue)
	if q == nil {
		return
	}
	j.service, j.priority, j.attempts = q.Service, q.Priority, q.MaxAttempts
}

// startDueOccurrences activates the occurrences whose time has come.
func (c *Core) startDueOccurrences() {
	for id, j := range c.timed {
		if j.nextDue >= j.Occurrences() || j.state.IsFinal() {
			delete(c.timed, id)
			continue
		}
		c.startDue(j)
	}
}

func (c *Core) startDue(j *jobState) {
	for j.nextDue < j.Occurrences() {
		due := j.DueAt(j.nextDue)
		if !due.IsZero() && c.wall.Before(due) {
			return
		}
		c.activate(j, j.nextDue)
		j.nextDue++
	}
}

// activate makes the steps of one occurrence schedulable.
func (c *Core) activate(j *jobState, occurrence int) {
	for i := range j.Steps {
		s := &stepState{
			key: job.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}, job: j, spec: &j.Steps[i],
			tasks: make([]taskState, j.Steps[i].Count), left: j.Steps[i].Count,
		}
		c.restore(s)
		if s.left == 0 {
			j.remaining--
			continue
		}
		c.steps[s.key] = s
	}
	c.unlockSteps(j, occurrence)
	c.passDue = true
}

// restore applies the recorded progress to a step.
func (c *Core) restore(s *stepState) {
	name := progressKey(s.key)
	for _, index := range s.job.progress.Done[name] {
		if index < len(s.tasks) && !s.tasks[index].done {
			s.tasks[index].done = true
			s.left--
		}
	}
	s.fails = s.job.progress.Failed[name]
	for i := range s.tasks {
		s.tasks[i].fails = s.job.progress.Failed[name+"."+strconv.Itoa(i)]
	}
}

func progressKey(k job.StepKey) string {
	return strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// unlockSteps marks the steps of an occurrence whose earlier steps are done.
func (c *Core) unlockSteps(j *jobState, occurrence int) {
	for i := range j.Steps {
		s, active := c.steps[job.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}]
		if !active || s.ready {
			continue
		}
		s.ready = true
		for _, earlier := range s.spec.After {
			if _, open := c.steps[job.StepKey{Job: j.ID, Occurrence: occurrence, Step: earlier}]; open {
				s.ready = false
			}
		}
		if s.ready {
			s.urgent = c.latestStart(s)
			c.passDue = true
		}
	}
}

// touch marks a job whose record has changed.
func (c *Core) touch(j *jobState) {
	j.version++
	if !j.queued {
		j.queued = true
		c.dirty = append(c.dirty, j)
	}
}

// taskDone takes note of a task that succeeded.
func (c *Core) taskDone(s *stepState, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.left--
	name := progressKey(s.key)
	s.job.progress.Done[name] = append(s.job.progress.Done[name], index)
	c.touch(s.job)
	if s.left == 0 {
		c.stepDone(s)
	}
}

func (c *Core) stepDone(s *stepState) {
	j := s.job
	c.dropReservation(s)
	delete(c.steps, s.key)
	j.remaining--
	if j.remaining == 0 {
		c.finish(j, job.Completed)
		return
	}
	c.unlockSteps(j, s.key.Occurrence)
}

// countFailure takes note of a failed run and reports whether the job has
// failed with it. Long-lived tasks have no bound on their attempts.
func (c *Core) countFailure(s *stepState, index, run int) bool {
	if s.spec.LongLived {
		return false
	}
	name, fails := progressKey(s.key), &s.fails
	if !s.spec.Gang {
		fails = &s.tasks[index].fails
		name += "." + strconv.Itoa(index)
	}
	if slices.Contains(*fails, run) {
		return false
	}
	*fails = append(slices.Clone(*fails), run)
	s.job.progress.Failed[name] = *fails
	c.touch(s.job)
	if s.job.attempts > 0 && len(*fails) >= s.job.attempts {
		c.finish(s.job, job.Failed)
		return true
	}
	return false
}

// finish ends a job: nothing of it starts any more, and what runs is stopped.
func (c *Core) finish(j *jobState, state job.State) {
	if j.state.IsFinal() {
		return
	}
	c.noLongerPending(j)
	j.state = state
	for occurrence := range j.nextDue {
		for i := range j.Steps {
			key := job.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}
			if s, open := c.steps[key]; open {
				c.dropReservation(s)
				delete(c.steps, key)
			}
		}
	}
	for _, r := range slices.SortedFunc(maps.Keys(j.runs), func(a, b *run) int { return compareTasks(a.task, b.task) }) {
		c.stop(r)
	}
	c.touch(j)
	c.decide(j.ID, string(state), "after_ms", c.now.Sub(j.arrived).Milliseconds(), "objective_ms", j.objective.Milliseconds())
}

// Cancel cancels a job. Done with the token follows when that is recorded. It
// reports false if the job is not known here.
func (c *Core) Cancel(id job.ID, token uint64) bool {
	j, known := c.jobs[id]
	if !known {
		if _, recorded := c.finals[id]; !recorded {
			return false
		}
		c.emit(Done{Token: token})
		return true
	}
	c.cancel(j, token)
	return true
}

func (c *Core) cancel(j *jobState, token uint64) {
	c.finish(j, job.Cancelled)
	if token != 0 {
		j.cancels = append(j.cancels, token)
	}
}

// StateOf returns the recorded state of a job.
func (c *Core) StateOf(id job.ID) (state job.State, team, queue string, known bool) {
	if f, ok := c.finals[id]; ok {
		return f.State, f.Team, f.Queue, true
	}
	j, ok := c.jobs[id]
	if !ok {
		return "", "", "", false
	}
	if j.state.IsFinal() {
		// The end is not recorded yet, so that a new owner would still run it.
		return job.Running, j.Team, j.Queue, true
	}
	return j.state, j.Team, j.Queue, true
}

func (c *Core) markStarted(j *jobState) {
	if j.state == job.Pending {
		c.noLongerPending(j)
		j.state = job.Running
		c.changed(Status{Job: j.ID, State: j.state, Queue: j.Queue, Team: j.Team})
	}
}

func (c *Core) noLongerPending(j *jobState) {
	if j.state != job.Pending {
		return
	}
	c.waiting[j.Queue]--
	if j.surplus {
		c.teamUsage(j.Team).surplusWaiting--
	}
}
