package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// checkStart checks the invariants that must hold when a run starts.
func (s *simulation) checkStart(r *simRun, j *job.Job) {
	violation := func(format string, args ...any) {
		s.t.Errorf("at %s: start of %s run %d on %s: %s", s.now.Format("05.000"), r.key, r.number, r.worker.ID, fmt.Sprintf(format, args...))
	}
	if other := s.running[r.key]; other != nil {
		violation("already running on %s as run %d", other.worker.ID, other.number)
	}
	if s.done[r.key] {
		violation("the success of the task was already confirmed")
	}
	used := r.size
	for _, other := range r.worker.runs {
		used = used.Add(other.size)
	}
	if !used.Fits(r.worker.Capacity) {
		violation("the worker's runs use %s of its capacity of %s", used, r.worker.Capacity)
	}
	if limit := s.limit(j.Team); limit > 0 && s.usage[j.Team].Add(r.size).CPUMilli > limit {
		violation("team %s already uses %s", j.Team, s.usage[j.Team])
	}
	for _, dependency := range j.Steps[r.key.Step].After {
		for i := range j.Steps[dependency].Count {
			if key := (job.TaskKey{StepKey: job.StepKey{Job: j.ID, Step: dependency}, Index: i}); !s.succeeded[key] {
				violation("dependency %s has not succeeded", key)
			}
		}
	}
	if at, cancelled := s.cancels[j.ID]; cancelled && s.now.Sub(at) > 3*time.Second && !s.lateOrders {
		violation("its job was cancelled %s ago", s.now.Sub(at))
	}
	s.starts[r.key] = append(s.starts[r.key], s.now)
	s.begun[j.ID] = true
	s.logEvent(r.key, "run %d starts on %s", r.number, r.worker.ID)
}

// limit returns the limit of a team in millicores, 0 if it has none. While a configuration is being
// distributed, the higher one of its limits and the former one is in force.
func (s *simulation) limit(team string) int64 {
	limit := s.catalog.Team(team).Limit.CPUMilli
	if s.now.Before(s.formerCatalogUntil) {
		limit = max(limit, s.formerCatalog.Team(team).Limit.CPUMilli)
	}
	return limit
}

// checkNotRestarted checks that no run of a task has started after a success that is being confirmed.
func (s *simulation) checkNotRestarted(key job.TaskKey, succeededAt time.Time) {
	for _, at := range s.starts[key] {
		if at.After(succeededAt) {
			s.t.Errorf("%s started at %s after a success at %s that was confirmed later: %s", key, at.Format("05.000"), succeededAt.Format("05.000"), strings.Join(s.history[key], "; "))
		}
	}
}

// finish runs the simulation until every job has ended, at most for the given time, and checks the
// final states.
func (s *simulation) finish(within time.Duration) {
	s.runUntilEnded(within)
	s.checkOutcomes()
}

// checkOutcomes checks the final states of all jobs and the attempts of their tasks.
func (s *simulation) checkOutcomes() {
	s.checkAttempts()
	for _, id := range sortedIDs(s.jobs) {
		final, ended := s.finals[id]
		want := job.Completed
		if strings.HasPrefix(s.jobs[id].Spec, "fail") {
			want = job.Failed
		}
		_, cancelled := s.cancels[id]
		switch {
		case !ended:
			s.t.Errorf("job %s has not ended: %s", id, s.core.describe(id))
		case cancelled:
		case final.State != want && !s.mayFail():
			s.t.Errorf("job %s is %s, want %s", id, final.State, want)
		}
	}
}

// orderDrainTime is the time after which no lost order is executed any more: an order is at most 11 s
// late, and the worker reports the end of the run in its next report.
const orderDrainTime = 15 * time.Second

// runUntilEnded runs until every job has ended, at most for the given time, and then for as long as a
// lost order may still be executed.
func (s *simulation) runUntilEnded(within time.Duration) {
	end := s.now.Add(within)
	for s.now.Before(end) && (len(s.finals) < len(s.jobs) || s.pendingJobs > 0) && !s.t.Failed() {
		s.run(time.Second)
	}
	s.run(orderDrainTime)
}

// checkAttempts checks that no task started after as many failed runs as its queue allows. Only failures
// that an owner has confirmed count.
func (s *simulation) checkAttempts() {
	for key, starts := range s.starts {
		for _, at := range starts {
			before := 0
			for _, failed := range s.failed[key] {
				if failed.Before(at) {
					before++
				}
			}
			if before >= 3 {
				s.t.Errorf("%s started at %s after %d failed runs: %s", key, at.Format("05.000"), before, strings.Join(s.history[key], "; "))
			}
		}
	}
}

// logEvent adds an event to the history of a task.
func (s *simulation) logEvent(key job.TaskKey, format string, args ...any) {
	s.history[key] = append(s.history[key], s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// mayFail reports whether a worker that fails all runs may have used up the attempts of a job that
// should succeed.
func (s *simulation) mayFail() bool {
	return slices.ContainsFunc(s.faults, func(f string) bool { return strings.HasPrefix(f, "fail") })
}

// describe returns the state of a job for failure messages.
func (c *Core) describe(id job.ID) string {
	j := c.jobs[id]
	if j == nil {
		return "unknown"
	}
	text := fmt.Sprintf("state %s, unfinished steps %d, version %d, recorded %d, runs %d, unresolved %d;", j.state, j.unfinishedSteps, j.version, j.recordedVersion, len(j.runs), len(c.unresolved))
	for _, s := range c.steps {
		if s.job != j {
			continue
		}
		text += fmt.Sprintf(" step %s ready %v unfinished tasks %d gang %v wait %q queried %d tickets %d advice call %v;", s.key, s.ready, s.unfinishedTasks, s.spec.Gang, s.wait, len(s.advice.queried), len(s.advice.tickets), s.advice.proxy != nil)
		for i := range s.tasks {
			if r := s.tasks[i].run; r != nil {
				text += fmt.Sprintf(" task %d run %d on %s state %d;", i, r.number, r.worker.ID, r.state)
			}
		}
	}
	return text
}
