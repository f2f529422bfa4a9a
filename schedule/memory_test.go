package schedule

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestMemoryOfJobs guards against a charge below what the owner really takes, when all tasks run and after they
// have failed and succeeded, and against one that is several times as high.
func TestMemoryOfJobs(t *testing.T) {
	text := func(kind string, n, i int) string {
		return job.ShortText(fmt.Sprintf("%s%d-%d%s", kind, n, i, strings.Repeat("x", 200)))
	}
	manySteps := func(steps, tasks int, texts bool) func(int) job.Job {
		return func(n int) job.Job {
			j := job.Job{Spec: strings.Clone("1s")}
			for i := range steps {
				s := job.Step{Count: tasks, Estimate: time.Second}
				if texts {
					s.RequiredLabel, s.Affinity, s.Image = text("l", n, i), text("a", n, i), text("i", n, i)
					s.After = make([]int, i)
				}
				j.Steps = append(j.Steps, s)
			}
			return j
		}
	}
	for _, c := range []struct {
		name string
		jobs int
		make func(int) job.Job
	}{
		{"one task", 4000, manySteps(1, 1, false)},
		{"three tasks", 4000, manySteps(1, 3, false)},
		{"a long spec", 2000, func(int) job.Job {
			j := manySteps(1, 1, false)(0)
			j.Spec = strings.Repeat("x", job.MaxSpecBytes)
			return j
		}},
		{"many steps with texts", 200, manySteps(job.MaxSteps, 1, true)},
		{"many tasks", 5, manySteps(1, job.MaxTasks, false)},
		{"many steps with many tasks", 5, manySteps(job.MaxSteps, 150, false)},
		{"occurrences", 10, func(n int) job.Job {
			j := manySteps(4, 2, false)(n)
			j.Repeats, j.FirstAt = 500, time.Unix(0, 0)
			return j
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			cfg := DefaultConfig()
			cfg.JobMemory = 1 << 40
			core := New(now, cfg, 1, job.NewCatalog(1, 1, []job.Queue{{Name: "q", Service: "calc", MaxAttempts: 3}}, nil, nil), nil)
			core.Begin(now, now)
			w := &worker{Worker: Worker{ID: "w"}, runs: make(map[job.TaskKey]*run)}
			core.workers["w"] = w
			before := heapBytes()
			for n := range c.jobs {
				j := c.make(n)
				j.ID, j.Queue, j.Team, j.AcceptedBy = job.ID(fmt.Sprintf("%016x", n)), strings.Clone("q"), strings.Clone("red"), strings.Clone("edge-1")
				j.Terms = &job.Terms{Service: strings.Clone("calc"), Advice: &job.AdvicePolicy{}}
				core.Accept(&j)
			}
			check := func(when string) {
				t.Helper()
				core.effects, core.changes = nil, nil
				used, charged := heapBytes()-before, core.held.Stats().Bytes
				t.Logf("%s: %d kB charged, %d kB used", when, charged>>10, used>>10)
				if used > charged {
					t.Errorf("%s: %d kB are charged for %d kB", when, charged>>10, used>>10)
				}
			}
			check("waiting")
			for _, s := range core.steps {
				for i := range s.tasks {
					core.start(s, i, w, 1, "")
					core.unsettled[s.tasks[i].run] = struct{}{}
				}
			}
			check("running")
			if used := heapBytes() - before; core.held.Stats().Bytes > 4*used {
				t.Errorf("%d kB are charged for %d kB", core.held.Stats().Bytes>>10, used>>10)
			}
			for _, s := range core.sortedSteps() {
				for i := range s.tasks {
					core.removeRun(s.tasks[i].run)
					core.countFailure(s, i, 1)
					core.countFailure(s, i, 2)
					s.countWorkerFailure("w")
				}
			}
			check("failed")
			for _, j := range core.jobs {
				for index := range max(1, j.TaskCount()) - 1 {
					for occurrence := range j.nextOccurrence {
						for step := range j.Steps {
							if s := core.steps[job.StepKey{Job: j.ID, Occurrence: occurrence, Step: step}]; s != nil && index < len(s.tasks)-1 {
								core.taskDone(s, index)
							}
						}
					}
				}
			}
			check("nearly succeeded")
			runtime.KeepAlive(core)
		})
	}
}

// TestMemoryIsReturned guards against a charge that outlives its job, whatever becomes of it.
func TestMemoryIsReturned(t *testing.T) {
	s := newSimulation(t, 5, 4)
	s.jobMemory = 1 << 20
	s.takeOver()
	for n := range 12 {
		j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: []string{"plain", "advised"}[n%2], Team: "blue", Spec: "work",
			Steps: []job.Step{{Count: 1 + n, Size: task.Resources{CPUMilli: 1000}, Estimate: 300 * time.Millisecond}, {Count: 2, Size: task.Resources{CPUMilli: 1000}, Estimate: 300 * time.Millisecond, After: []int{0}}}}
		switch n % 4 {
		case 1:
			j.Spec = "fail"
		case 2:
			j.Repeats, j.Interval, j.FirstAt = 4, 100*time.Millisecond, s.now
		}
		var a Admission
		s.dispatch(func(c *Core) { a = c.Admit(j, len(j.Spec)) })
		if a.Rejected {
			t.Fatalf("job %d was rejected: %+v", n, a)
		}
		if n%5 == 4 {
			continue // is not recorded
		}
		s.submit(j)
		if n == 6 {
			s.cancel(j.ID)
		}
	}
	s.run(time.Second)
	if held := s.core.held.Stats(); held.Bytes < 12*jobMemory {
		t.Errorf("%+v are charged for unfinished jobs", held)
	}
	s.finish(60 * time.Second)
	s.run(finalRetention + finalRetention/5)
	s.dispatch(func(c *Core) { c.ObserveInbox(1 << 40) })
	s.run(finalRetention / 5)
	if held := s.core.held.Stats(); held != (holding.Stats{Limit: 1 << 20}) {
		t.Errorf("%+v are still charged after all jobs have ended", held)
	}
}
