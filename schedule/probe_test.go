package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// maxRestartWait is the longest time for which a long-lived task that has ended may wait for its next
// run while there is capacity.
const maxRestartWait = 6 * time.Second

// submitLongLived submits a job of long-lived tasks, at most perWorker on each worker.
func (s *simulation) submitLongLived(id job.ID, tasks, perWorker int, cpuMilli int64) {
	s.submit(&job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "fail", Steps: []job.Step{
		{Count: tasks, AntiAffinity: perWorker, Size: task.Resources{CPUMilli: cpuMilli}, LongLived: true},
	}})
}

// TestLongLivedProbe guards against a worker that gets a long-lived task as a probe after failures, and
// nothing else while that runs, which is for good.
func TestLongLivedProbe(t *testing.T) {
	const long, short = "00000000000000a0", "00000000000000a1"
	for _, c := range []struct {
		name    string
		workers int
		runTime time.Duration // of the first runs of the long-lived tasks, which fail
		failAll time.Duration // for which all workers fail what they start
	}{
		{"tasks fail once after some time", 6, 5 * time.Second, 0},
		{"tasks fail once at once", 6, 100 * time.Millisecond, 0},
		{"all workers fail everything", 6, 100 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 13, c.workers)
			s.run(time.Second)
			s.runTimes = map[job.ID]time.Duration{long: c.runTime, short: 600 * time.Millisecond}
			s.submitLongLived(long, 2*c.workers, 2, 2_800)
			if c.failAll > 0 {
				s.run(c.failAll)
			}
			s.after(c.runTime-10*time.Millisecond, func() { s.runTimes[long] = time.Hour })
			s.run(c.runTime + maxRestartWait)
			if n := s.runningTasks(long); n != 2*c.workers {
				t.Errorf("%d of %d long-lived tasks run %s after the failures: %s", n, 2*c.workers, maxRestartWait, s.core.describe(long))
			}
			s.submit(&job.Job{ID: short, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{
				{Count: 2 * c.workers, AntiAffinity: 2, Size: task.Resources{CPUMilli: 2_800}, Estimate: 600 * time.Millisecond},
			}})
			s.run(3 * time.Second)
			if state := s.finals[short].State; state != job.Completed {
				t.Errorf("the short job is %q: %s", state, s.core.describe(short))
			}
		})
	}
}

// runningTasks returns how many tasks of the first step of a job run.
func (s *simulation) runningTasks(id job.ID) int {
	n := 0
	for i := range s.jobs[id].Steps[0].Count {
		if s.running[job.TaskKey{StepKey: job.StepKey{Job: id}, Index: i}] != nil {
			n++
		}
	}
	return n
}

// TestProbeOfFailingWorker guards against a worker that fails everything and gets more than one task
// at a time.
func TestProbeOfFailingWorker(t *testing.T) {
	s := newSimulation(t, 14, 1)
	s.run(time.Second)
	s.workers["w00"].failAll = true
	for i := range 40 {
		s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xb000+i)), Queue: "plain", Team: "blue", Spec: "fail", Steps: []job.Step{
			{Count: 1, Size: task.Resources{CPUMilli: 10_000}, Estimate: 500 * time.Millisecond},
		}})
	}
	s.run(2 * time.Second)
	for range 40 {
		s.run(100 * time.Millisecond)
		if n := len(s.workers["w00"].runs); n > 1 {
			t.Fatalf("%d tasks run on a failing worker", n)
		}
	}
}

// TestFaultyLongLivedJobs guards against jobs whose long-lived tasks fail again and again and thereby make
// all workers count as failing, so that no gang is placed (review/7), and against restarts of such tasks
// without a pause.
func TestFaultyLongLivedJobs(t *testing.T) {
	const (
		workers     = 6
		gang        = job.ID("00000000000000f0")
		maxGangWait = 3 * time.Second
		maxStarts   = 12 // of one task in 11 s: the delay of restarts grows from 0.25 s to 2 s
	)
	for _, c := range []struct {
		name    string
		jobs    int
		runTime time.Duration
	}{
		{"one job", 1, 800 * time.Millisecond},
		{"three jobs", 3, 800 * time.Millisecond},
		{"one job fails at once", 1, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 15, workers)
			s.run(time.Second)
			s.runTimes = map[job.ID]time.Duration{}
			for i := range c.jobs {
				id := job.ID(fmt.Sprintf("%016x", 0xe0+i))
				s.runTimes[id] = c.runTime
				s.submitLongLived(id, 2*workers, 2, 1_000)
			}
			s.run(8 * time.Second)
			s.submit(&job.Job{ID: gang, Queue: "plain", Team: "red", Spec: "work", Steps: []job.Step{
				{Count: 4, Gang: true, Size: task.Resources{CPUMilli: 2_000}, Estimate: time.Second},
			}})
			s.run(maxGangWait)
			if !s.hasStarted(gang, 4) {
				t.Errorf("the gang has not started within %s: %s", maxGangWait, s.core.describe(gang))
			}
			for key, starts := range s.starts {
				if key.Job == gang {
					continue
				}
				if len(starts) > maxStarts {
					t.Errorf("%s has started %d times", key, len(starts))
				}
				for i := 1; i < len(starts); i++ {
					if pause := starts[i].Sub(starts[i-1]); pause > c.runTime+maxRestartWait {
						t.Errorf("%s was restarted after %s", key, pause)
					}
				}
			}
		})
	}
}

// TestFailingWorkerIsDetected guards against a worker that fails everything it starts and goes on getting
// gangs and several tasks at a time, and against healthy workers that count as failing beside it.
func TestFailingWorkerIsDetected(t *testing.T) {
	for name, image := range map[string]string{"no image": "", "jobs of one image that works elsewhere": "a"} {
		t.Run(name, func(t *testing.T) {
			const jobs, interval = 120, 50 * time.Millisecond
			s := newSimulation(t, 16, 6)
			s.run(time.Second)
			s.workers["w03"].failAll = true
			s.faults = []string{"failing worker"}
			for i := range jobs {
				s.after(time.Duration(i)*interval, func() {
					s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xd000+i)), Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{
						{Count: 2, AntiAffinity: 1, Size: task.Resources{CPUMilli: 6_000}, Estimate: 600 * time.Millisecond, Image: image},
					}})
				})
			}
			s.run(2500 * time.Millisecond)
			failing := 0
			const checks = 30
			for range checks {
				s.run(100 * time.Millisecond)
				for id, w := range s.core.workers {
					switch {
					case !s.core.isFailing(w):
					case id == "w03":
						failing++
					default:
						t.Fatalf("the healthy worker %s counts as failing", id)
					}
				}
			}
			if failing < checks {
				t.Errorf("the worker counted as failing in %d of %d checks", failing, checks)
			}
		})
	}
}

// TestShareOfFailingWorkers guards against a service without a worker for gangs because jobs fail on all
// of its workers.
func TestShareOfFailingWorkers(t *testing.T) {
	const workers, jobs = 9, 200
	s := newSimulation(t, 17, workers)
	s.run(time.Second)
	for _, w := range s.workers {
		w.failAll = true
	}
	for i := range jobs {
		s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xd000+i)), Queue: "plain", Team: "blue", Spec: "fail", Steps: []job.Step{
			{Count: 1, Size: task.Resources{CPUMilli: 6_000}, Estimate: 100 * time.Millisecond},
		}})
	}
	most := 0
	for range 60 {
		s.run(50 * time.Millisecond)
		failing := 0
		for _, w := range s.core.workers {
			failing += boolToInt(s.core.isFailing(w))
		}
		most = max(most, failing)
	}
	if most == 0 || most > workers/failingShareDivisor {
		t.Errorf("%d of %d workers count as failing at a time", most, workers)
	}
}
