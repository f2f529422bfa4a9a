package schedule

import (
	"fmt"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// simSpeeds is the part of the simulation in which workers differ in speed and report progress.
type simSpeeds struct {
	learn    bool                                    // Config.LearnSpeeds
	progress bool                                    // runs take work at the speed of their worker and report progress
	work     func(k job.TaskKey) time.Duration       // of a task at the usual speed
	report   func(r *simRun, percent int) int        // changes a reported percentage; may be nil
	endedAt  map[job.TaskKey]time.Time               // of the successful runs
	expected map[job.TaskKey]map[time.Time]time.Time // expected ends by the time at which they were expected
	changes  []speedChange                           // changes of the condition of a worker, in order
}

// simWork is the work of a run that depends on the speed of its worker.
type simWork struct {
	total, left time.Duration // at the usual speed
	updatedAt   time.Time     // left is as of this time, which is in the future during a pause
	version     int           // of the timer of its end
	reason      EndReason
}

// speedChange is a logged change of the condition of a worker.
type speedChange struct {
	worker, change string
	at             time.Time
}

func (s *simSpeeds) observe(now time.Time, d Decision) {
	if d.Event == "worker_speed" {
		s.changes = append(s.changes, speedChange{worker: d.Fields[1].(string), change: d.Fields[5].(string), at: now})
	}
}

// restorePause is the time that a run takes to restore its checkpoint.
const restorePause = 500 * time.Millisecond

func newSpeedSimulation(s *simulation, learn bool) *simulation {
	s.speeds = simSpeeds{learn: learn, progress: true, endedAt: map[job.TaskKey]time.Time{}, expected: map[job.TaskKey]map[time.Time]time.Time{}}
	s.speeds.work = func(k job.TaskKey) time.Duration { return s.jobs[k.Job].Steps[k.Step].Estimate }
	s.takeOver()
	return s
}

func (w *simWorker) currentSpeed() float64 {
	if w.speed == 0 {
		return 1
	}
	return w.speed
}

// beginWork starts the work of a run.
func (s *simulation) beginWork(r *simRun, e Start, reason EndReason) {
	r.total = s.speeds.work(r.key)
	r.left, r.updatedAt, r.reason = r.total, s.now, reason
	if percent, err := strconv.Atoi(e.Checkpoint); err == nil {
		r.left -= r.total * time.Duration(percent) / 100
		r.updatedAt = s.now.Add(restorePause)
	}
	s.scheduleEnd(r)
}

func (s *simulation) scheduleEnd(r *simRun) {
	r.version++
	version := r.version
	s.after(r.updatedAt.Sub(s.now)+time.Duration(float64(r.left)/r.worker.currentSpeed()), func() {
		if r.ended || r.version != version {
			return
		}
		r.left = 0
		if !s.isMemberLeft(r) {
			for i := range s.jobs[r.key.Job].Steps[r.key.Step].Count {
				key := job.TaskKey{StepKey: r.key.StepKey, Index: i}
				if key == r.key || s.jobs[r.key.Job].Steps[r.key.Step].Gang {
					s.speeds.endedAt[key] = s.now
				}
			}
			s.endRun(r, r.reason)
		}
	})
}

// isMemberLeft reports whether a run belongs to a gang of which another member has work left.
func (s *simulation) isMemberLeft(r *simRun) bool {
	step := s.jobs[r.key.Job].Steps[r.key.Step]
	if !step.Gang {
		return false
	}
	for i := range step.Count {
		other := s.running[job.TaskKey{StepKey: r.key.StepKey, Index: i}]
		if other == nil || other.number != r.number || other.left > 0 {
			return true
		}
	}
	return false
}

// settle brings the work that is left to the current time.
func (s *simulation) settle(r *simRun) {
	if s.now.After(r.updatedAt) {
		r.left = max(0, r.left-time.Duration(float64(s.now.Sub(r.updatedAt))*r.worker.currentSpeed()))
		r.updatedAt = s.now
	}
}

// setSpeed changes the speed of a worker.
func (s *simulation) setSpeed(id string, speed float64) {
	w := s.workers[id]
	for _, r := range w.sortedRuns() {
		s.settle(r)
	}
	w.speed = speed
	for _, r := range w.sortedRuns() {
		s.scheduleEnd(r)
	}
}

// reportRun returns the report of a run.
func (s *simulation) reportRun(r *simRun) RunReport {
	report := RunReport{Task: r.key, Run: r.number}
	if !s.speeds.progress {
		return report
	}
	s.settle(r)
	s.scheduleEnd(r)
	report.Percent = int(100 - 100*r.left/max(1, r.total))
	if s.jobs[r.key.Job].Steps[r.key.Step].Checkpoints {
		report.Checkpoint = strconv.Itoa(report.Percent)
	}
	if s.speeds.report != nil {
		report.Percent = s.speeds.report(r, report.Percent)
	}
	return report
}

// submitEvery submits jobs of one step at an interval for the given time. change changes the step of a job;
// it may be nil.
func (s *simulation) submitEvery(duration, interval time.Duration, firstID int, queue string, step job.Step, change func(job.ID, *job.Step)) (ids []job.ID) {
	for i := range int(duration / interval) {
		id := job.ID(fmt.Sprintf("%016x", firstID+i))
		ids = append(ids, id)
		s.pendingJobs++
		s.after(time.Duration(i)*interval, func() {
			step := step
			if change != nil {
				change(id, &step)
			}
			s.submit(&job.Job{ID: id, Queue: queue, Team: "blue", Spec: "work", Steps: []job.Step{step}})
		})
	}
	return ids
}

// recordExpectedEnds records the expected ends of some runs.
func (s *simulation) recordExpectedEnds(filter func(*run) bool) {
	s.core.Begin(s.now, s.now)
	for _, w := range s.core.sortedWorkers() {
		for _, r := range sortedRunsOf(w) {
			if at, ok := s.core.estimateEnd(r); ok && r.step != nil && filter(r) {
				if s.speeds.expected[r.task] == nil {
					s.speeds.expected[r.task] = map[time.Time]time.Time{}
				}
				s.speeds.expected[r.task][s.now] = at
			}
		}
	}
}

// meanEndError returns the mean difference between the expected and the actual ends of successful runs.
func (s *simulation) meanEndError() time.Duration {
	var sum time.Duration
	n := 0
	for key, expected := range s.speeds.expected {
		end, ended := s.speeds.endedAt[key]
		for at, expectedEnd := range expected {
			if starts := s.starts[key]; ended && at.Before(end) && at.After(starts[len(starts)-1]) {
				sum += expectedEnd.Sub(end).Abs()
				n++
			}
		}
	}
	return sum / time.Duration(max(1, n))
}
