package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestOccurrenceOfFormerOwner guards against an occurrence that runs twice because the time of day of a
// new owner is behind that of the former one: to the new owner the occurrence is not due yet, so that
// it stops the run, or confirms and forgets its success, and starts the task again.
func TestOccurrenceOfFormerOwner(t *testing.T) {
	for _, runTime := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint("run time ", runTime), func(t *testing.T) {
			const ahead, early = 2 * time.Second, 250 * time.Millisecond
			s := newSimulation(t, 16, 2)
			s.storeDown = true // nothing is recorded under the former owner
			s.wallOffset = ahead
			s.run(time.Second)
			j := &job.Job{ID: "00000000000000a0", Queue: "plain", Team: "blue", Spec: "work", Repeats: 3, FirstAt: s.now.Add(ahead + 100*time.Millisecond), Interval: 3 * time.Second,
				Steps: []job.Step{{Count: 2, Size: task.Resources{CPUMilli: 2_000}, Estimate: runTime}}}
			s.storeDown = false
			s.run(time.Second)
			s.storeDown = true
			s.runTimes = map[job.ID]time.Duration{j.ID: runTime}
			s.submit(j)
			s.run(500 * time.Millisecond)
			if !s.hasStarted(j.ID, 2) {
				t.Fatal("the first occurrence has not started under the former owner")
			}
			s.wallOffset = 0
			s.takeOver()
			s.run(time.Second)
			s.storeDown = false
			s.finish(40 * time.Second)
			for occurrence := range 3 {
				key := job.TaskKey{StepKey: job.StepKey{Job: j.ID, Occurrence: occurrence}}
				if n := len(s.starts[key]); n != 1 {
					t.Errorf("occurrence %d was started %d times", occurrence, n)
				} else if at := s.starts[key][0]; occurrence > 0 && at.Before(j.DueAt(occurrence).Add(-early)) {
					t.Errorf("occurrence %d was started %s too early", occurrence, j.DueAt(occurrence).Sub(at))
				}
			}
		})
	}
}

// TestLastOccurrencesAreRecorded guards against a recurring job that never ends: a former owner has recorded that its
// last occurrences are complete, and they are not considered until the first one, which leaves no room for others, has
// ended.
func TestLastOccurrencesAreRecorded(t *testing.T) {
	s := newSimulation(t, 3, 8)
	j := &job.Job{ID: "00000000000000a1", Queue: "plain", Team: "blue", Spec: "work", Repeats: 3, FirstAt: s.now, Interval: time.Second,
		Steps: []job.Step{{Count: job.MaxTasks, Size: task.Resources{CPUMilli: 10}, Estimate: 100 * time.Millisecond}}}
	s.jobs[j.ID] = j
	s.records[j.ID] = &record{job: j, progress: &job.Progress{Started: true, Complete: job.Ranges{{1, 3}}}}
	s.run(5 * time.Second)
	s.takeOver()
	s.runUntilEnded(60 * time.Second)
	if final, ended := s.finals[j.ID]; !ended || final.State != job.Completed {
		t.Errorf("the job is %q: %s", final.State, s.core.describe(j.ID))
	}
}
