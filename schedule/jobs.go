package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// jobState is the state of a job until its final state is recorded.
type jobState struct {
	*job.Job
	terms       job.Terms     // of its queue, as last configured
	objective   time.Duration // target time from arrival to completion
	arrivedAt   time.Time     // monotonic
	surplus     bool          // exceeds the rate to which its team is entitled
	usage       *teamUsage    // of its team
	unshifted   bool          // not delayed by the past use of its team, see unshiftedJobs
	restored    bool          // accepted before this owner took over
	precedence  time.Duration // by which its steps are placed earlier; see exchangePlaces
	expectedAt  time.Time     // forecast of its start; zero if there is none
	subscribers subscribers   // instances that receive the changes of its state

	state           job.State
	begun           bool      // a worker, or the record of a former owner, has shown that a task of it has started
	begunAt         time.Time // when this owner was shown it
	beginRecorded   bool      // in a commit that is durable or in flight
	unfinishedSteps int       // of all occurrences
	runs            map[*run]struct{}
	progress        job.Progress
	version         uint64   // increases with every change that must be recorded
	recordedVersion uint64   // last version that is durable
	isDirty         bool     // in Core.dirty
	committing      bool     // a commit of the job is in flight
	hasProgress     bool     // a progress record may exist
	cancelTokens    []uint64 // tokens of callers that wait until the cancellation is recorded
	nextOccurrence  int      // first occurrence that is not active yet
	activeTasks     int      // unfinished tasks of the active occurrences

	activeOccurrences int       // with unfinished tasks
	activationRetryAt time.Time // no further occurrence before this time
	adviceEntries     int       // of its active steps, see adviceState.entries
}

// stepState is an unfinished step of one occurrence of a job.
type stepState struct {
	key             job.StepKey
	job             *jobState
	spec            *job.Step
	tasks           []taskState
	unfinishedTasks int          // number of tasks that have not succeeded
	failures        job.Failures // failed runs of a gang
	ready           bool         // all steps that it depends on are done
	lastRun         int          // highest run number
	runsOrdered     int          // number of start orders so far
	advice          adviceState
	reservation     *reservation // capacity reserved for a gang; nil if there is none
	planBackoff     time.Duration
	planRetryAt     time.Time      // no plan for a gang before this time
	wait            waitCause      // cause of waiting as of the last pass
	loggedWait      waitCause      // cause that was last logged
	waitLoggedAt    time.Time      // when it was logged
	latestStart     time.Time      // latest start at which the job meets its objective
	notBefore       time.Time      // no placement before this time
	heldSince       time.Time      // since when passes have not started all of its tasks; zero if they have
	restartDelay    time.Duration  // last delay of the restart of long-lived tasks
	consideredRound int            // round in which a pass last tried to start its tasks
	workerFailures  map[string]int // number of runs that failed or timed out waiting for their gang, by worker
	estimate        stepEstimate
}

// endedJob is a job whose final state is recorded.
type endedJob struct {
	job.Final
	subscribers subscribers
	recordedAt  time.Time
	revision    int64 // of the store with the final state
}

type taskState struct {
	done       bool
	failures   job.Failures
	lastRun    int
	checkpoint string
	run        *run
}

// RecordedJob is the recorded state of an unfinished job that a new owner loads.
type RecordedJob struct {
	Job       *job.Job
	Progress  *job.Progress // nil if none is recorded
	Cancelled bool
}

// RestoreJob adds a job of a former owner.
func (c *Core) RestoreJob(recorded RecordedJob) {
	j := c.addJob(recorded.Job, recorded.Progress, true)
	if recorded.Cancelled {
		c.cancel(j, 0)
	}
}

// Accept adds a new job that is already recorded. It is idempotent.
func (c *Core) Accept(submitted *job.Job) {
	if _, known := c.jobs[submitted.ID]; known {
		return
	}
	if _, known := c.finals[submitted.ID]; known {
		return
	}
	j := c.addJob(submitted, nil, false)
	c.logDecision(j.ID, "queued", "queue", j.Queue, "team", j.Team, "steps", len(j.Steps), "surplus", j.surplus)
}

func (c *Core) addJob(submitted *job.Job, progress *job.Progress, restored bool) *jobState {
	j := &jobState{
		Job: submitted, arrivedAt: c.now, state: job.Pending, restored: restored, runs: make(map[*run]struct{}),
		subscribers: subscribersOf(submitted.AcceptedBy),
		usage:       c.teamUsage(submitted.Team), unshifted: c.isUnshifted(submitted.ID),
	}
	j.unfinishedSteps = len(j.Steps) * j.Occurrences()
	if progress != nil {
		j.progress = *progress
		j.hasProgress = true
		if progress.Started {
			j.state, j.begun, j.beginRecorded = job.Running, true, true
		}
	}
	if j.progress.Done == nil {
		j.progress.Done = make(map[string][]int)
	}
	if j.progress.Failed == nil {
		j.progress.Failed = make(map[string]job.Failures)
	}
	c.jobs[j.ID] = j
	c.held.Hold(c.now, j.ID, j.source(), j.memory())
	if j.state == job.Pending {
		c.pendingJobs[j.Queue]++
	}
	c.publish(j, j.shownState())
	c.refreshTerms(j)
	j.objective = c.objectiveOf(j)
	if restored {
		// The wall clocks of instances differ slightly; the age is negative if the clock of the
		// accepting instance is ahead.
		j.arrivedAt = c.now.Add(-max(0, c.wall.Sub(j.AcceptedAt)))
	} else {
		c.applyAdmission(j)
	}
	if j.surplus {
		c.teamUsage(j.Team).surplusPending++
	}
	c.activateDue(j)
	if j.nextOccurrence < j.Occurrences() {
		c.recurring[j.ID] = j
	}
	if c.hasFailed(j) {
		c.finishJob(j, job.Failed)
	}
	c.completeIfDone(j) // the former owner may have recorded the last task but not the final state
	return j
}

// hasFailed reports whether the recorded progress of a new or restored job shows that a task or gang
// has already used all attempts that its queue allows.
func (c *Core) hasFailed(j *jobState) bool {
	for _, failures := range j.progress.Failed {
		if j.terms.MaxAttempts > 0 && len(failures) >= j.terms.MaxAttempts {
			return true
		}
	}
	return false
}

// refreshTerms applies the current terms of its queue to a job. If the queue was removed, its jobs
// keep the last ones, or those of their acceptance if the owner has not known the queue.
func (c *Core) refreshTerms(j *jobState) {
	if q := c.catalog.Queue(j.Queue); q != nil {
		j.terms = q.Terms()
	} else if j.terms.Service == "" && j.Terms != nil {
		j.terms = *j.Terms
	}
}

// activationRetryDelay is the delay before an occurrence for which there is no room is considered again.
const activationRetryDelay = 100 * time.Millisecond

// activateDueOccurrences activates the occurrences that are due, in the order of their due times, since there may
// not be memory for all of them.
func (c *Core) activateDueOccurrences() {
	var due []*jobState
	for id, j := range c.recurring {
		switch {
		case j.nextOccurrence >= j.Occurrences() || j.state.IsFinal():
			delete(c.recurring, id)
		case !c.wall.Before(j.DueAt(j.nextOccurrence)) && !c.now.Before(j.activationRetryAt):
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *jobState) int {
		return cmp.Or(a.DueAt(a.nextOccurrence).Compare(b.DueAt(b.nextOccurrence)), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range due {
		c.activateDue(j)
		c.completeIfDone(j)
	}
}

// completeIfDone completes a job whose remaining occurrences were recorded as complete by a former owner.
func (c *Core) completeIfDone(j *jobState) {
	if j.unfinishedSteps == 0 {
		c.finishJob(j, job.Completed)
	}
}

func (c *Core) activateDue(j *jobState) {
	for j.nextOccurrence < j.Occurrences() {
		due := j.DueAt(j.nextOccurrence)
		if !due.IsZero() && c.wall.Before(due) {
			return
		}
		if !j.progress.Complete.Contains(j.nextOccurrence) && !c.canActivate(j) {
			j.activationRetryAt = c.now.Add(activationRetryDelay)
			return
		}
		c.activateNext(j)
	}
}

// reportedStep returns the step of a task that a worker reports, or nil if it is not active. The report
// shows that the occurrence was due by the time of day of a former owner, so it is activated even if it
// is not due by that of this owner.
func (c *Core) reportedStep(key job.StepKey) *stepState {
	j := c.jobs[key.Job]
	if j == nil || j.state.IsFinal() || key.Occurrence >= j.Occurrences() || j.DueAt(key.Occurrence).Sub(c.wall) > maxClockSkew {
		return c.steps[key]
	}
	for j.nextOccurrence <= key.Occurrence {
		c.activateNext(j)
	}
	c.completeIfDone(j)
	return c.steps[key]
}

// maxClockSkew is the maximum difference between the times of day of two owners.
const maxClockSkew = 10 * time.Second

// activateNext creates the unfinished steps of the next occurrence. Its tasks do not start before it is
// due.
func (c *Core) activateNext(j *jobState) {
	occurrence := j.nextOccurrence
	j.nextOccurrence++
	if j.progress.Complete.Contains(occurrence) {
		j.unfinishedSteps -= len(j.Steps)
		return
	}
	activeTasks := j.activeTasks
	for i := range j.Steps {
		s := &stepState{
			key: job.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}, job: j, spec: &j.Steps[i],
			tasks: make([]taskState, j.Steps[i].Count), unfinishedTasks: j.Steps[i].Count,
		}
		if due := j.DueAt(occurrence); due.After(c.wall) {
			s.notBefore = c.now.Add(due.Sub(c.wall))
		}
		c.restoreProgress(s)
		if s.unfinishedTasks == 0 {
			j.unfinishedSteps--
			continue
		}
		j.activeTasks += s.unfinishedTasks
		c.steps[s.key] = s
	}
	if j.activeTasks > activeTasks {
		j.activeOccurrences++
		c.chargeMemory(j)
	}
	c.markReadySteps(j, occurrence)
	c.passDue = true
}

// restoreProgress applies the recorded progress to a step.
func (c *Core) restoreProgress(s *stepState) {
	name := progressKey(s.key)
	for _, index := range s.job.progress.Done[name] {
		if index < len(s.tasks) && !s.tasks[index].done {
			s.tasks[index].done = true
			s.unfinishedTasks--
		}
	}
	s.failures = s.job.progress.Failed[name]
	for i := range s.tasks {
		s.tasks[i].failures = s.job.progress.Failed[name+"."+strconv.Itoa(i)]
	}
}

func progressKey(k job.StepKey) string {
	return strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// markReadySteps marks those steps of an occurrence as ready whose dependencies are all done.
func (c *Core) markReadySteps(j *jobState, occurrence int) {
	for i := range j.Steps {
		s, active := c.steps[job.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}]
		if !active || s.ready {
			continue
		}
		s.ready = true
		for _, dependency := range s.spec.After {
			if _, open := c.steps[job.StepKey{Job: j.ID, Occurrence: occurrence, Step: dependency}]; open {
				s.ready = false
			}
		}
		if s.ready {
			s.latestStart = c.latestStart(s)
			c.refreshEstimate(s)
			c.passDue = true
		}
	}
}

// markDirty queues a job whose record has changed for the next commit.
func (c *Core) markDirty(j *jobState) {
	j.version++
	if !j.isDirty {
		j.isDirty = true
		c.dirty = append(c.dirty, j)
	}
}

// taskDone marks a task as succeeded.
func (c *Core) taskDone(s *stepState, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.unfinishedTasks--
	s.job.activeTasks--
	name := progressKey(s.key)
	s.job.progress.Done[name] = append(s.job.progress.Done[name], index)
	c.markDirty(s.job)
	if s.unfinishedTasks == 0 {
		c.stepDone(s)
	}
}

func (c *Core) stepDone(s *stepState) {
	j := s.job
	c.releaseReservation(s)
	s.estimate.runs.Evaluate(&c.learned.fleet)
	delete(c.steps, s.key)
	j.adviceEntries -= s.advice.entries()
	c.chargeMemory(j)
	j.unfinishedSteps--
	if j.unfinishedSteps == 0 {
		c.finishJob(j, job.Completed)
		return
	}
	c.recordCompleteOccurrence(j, s.key.Occurrence)
	c.markReadySteps(j, s.key.Occurrence)
}

// recordCompleteOccurrence replaces the progress of an occurrence by its number if all of its steps are
// done.
func (c *Core) recordCompleteOccurrence(j *jobState, occurrence int) {
	if j.Repeats == 0 {
		return
	}
	key := job.StepKey{Job: j.ID, Occurrence: occurrence}
	for key.Step = range j.Steps {
		if _, open := c.steps[key]; open {
			return
		}
	}
	j.progress.Complete.Add(occurrence)
	for key.Step = range j.Steps {
		name := progressKey(key)
		delete(j.progress.Done, name)
		delete(j.progress.Failed, name)
		for i := range j.Steps[key.Step].Count {
			delete(j.progress.Failed, name+"."+strconv.Itoa(i))
		}
	}
	c.occurrenceEnded(j)
}

// countFailure counts a failed run and reports whether the job has thereby failed. Long-lived tasks
// have no limit on their attempts.
func (c *Core) countFailure(s *stepState, index, run int) bool {
	if s.spec.LongLived {
		return false
	}
	name, failures := progressKey(s.key), &s.failures
	if !s.spec.Gang {
		failures = &s.tasks[index].failures
		name += "." + strconv.Itoa(index)
	}
	if slices.Contains(*failures, run) {
		return false
	}
	*failures = append(slices.Clone(*failures), run)
	s.job.progress.Failed[name] = *failures
	c.chargeMemory(s.job)
	c.markDirty(s.job)
	if s.job.terms.MaxAttempts > 0 && len(*failures) >= s.job.terms.MaxAttempts {
		c.finishJob(s.job, job.Failed)
		return true
	}
	return false
}

// finishJob sets the final state of a job, removes its steps and stops its runs. It has no effect on
// a job that already has a final state.
func (c *Core) finishJob(j *jobState, state job.State) {
	if j.state.IsFinal() {
		return
	}
	c.removeFromPending(j)
	j.state = state
	for occurrence := range j.nextOccurrence {
		for i := range j.Steps {
			key := job.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}
			if s, open := c.steps[key]; open {
				c.releaseReservation(s)
				delete(c.steps, key)
			}
		}
	}
	for _, r := range slices.SortedFunc(maps.Keys(j.runs), func(a, b *run) int { return compareTasks(a.task, b.task) }) {
		c.stop(r)
	}
	c.markDirty(j)
	c.logDecision(j.ID, string(state), "after_ms", c.now.Sub(j.arrivedAt).Milliseconds(), "objective_ms", j.objective.Milliseconds())
}

// Cancel cancels a job. A CancelDone effect with the token follows once the final state is recorded.
// It returns false if the job is unknown.
func (c *Core) Cancel(id job.ID, token uint64) bool {
	j, known := c.jobs[id]
	if !known {
		if _, recorded := c.finals[id]; !recorded {
			return false
		}
		c.emit(CancelDone{Token: token})
		return true
	}
	c.cancel(j, token)
	return true
}

func (c *Core) cancel(j *jobState, token uint64) {
	c.finishJob(j, job.Cancelled)
	if token != 0 {
		j.cancelTokens = append(j.cancelTokens, token)
	}
}

// StateOf returns the state of a job that callers are shown.
func (c *Core) StateOf(id job.ID) (state job.State, team, queue string, found bool) {
	if f, ok := c.finals[id]; ok {
		return f.State, f.Team, f.Queue, true
	}
	j, ok := c.jobs[id]
	if !ok {
		return "", "", "", false
	}
	return j.shownState(), j.Team, j.Queue, true
}
