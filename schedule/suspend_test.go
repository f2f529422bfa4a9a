package schedule

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestNoGangWhileSuspended guards against a gang that starts with the reply to an advice call although
// placement is suspended: the worker may be leaving, the job cancelled, or another owner may have taken
// over.
func TestNoGangWhileSuspended(t *testing.T) {
	const id = "00000000000000a1"
	for name, suspend := range map[string]func(*Core){
		"knowledge outdated": func(c *Core) { c.SuspendPlacement(true) },
		"no authority":       func(c *Core) { c.SuspendLeases(true) },
		"shutdown":           func(c *Core) { c.DisablePlacement() },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 7, 6)
			s.isEligible = func(job.StepKey, string) bool { return true }
			s.adviceLatency = time.Second
			s.run(2 * time.Second)
			const busyDuration = 5 * time.Second
			s.submit(&job.Job{ID: "00000000000000a0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 6, Size: task.Resources{CPUMilli: 32_000, MemoryMB: 100}, Estimate: busyDuration,
			}}})
			s.run(time.Second)
			s.submit(&job.Job{ID: id, Queue: "advised", Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 2, Gang: true, Size: task.Resources{CPUMilli: 28_000, MemoryMB: 100}, Estimate: time.Second,
			}}})
			step := s.core.steps[job.StepKey{Job: id}]
			for deadline := s.now.Add(3 * busyDuration); step.reservation == nil || step.advice.proxy == nil || s.core.leastFree() < 28_000; s.run(10 * time.Millisecond) {
				if s.now.After(deadline) || s.hasStarted(id, 1) {
					t.Fatalf("no advice call was in flight for the reserved and free workers: %s", s.core.describe(id))
				}
			}
			suspend(s.core)
			s.run(2 * s.adviceLatency)
			if s.hasStarted(id, 1) {
				t.Error("the gang has started")
			}
		})
	}
}

// leastFree returns the lowest number of free millicores of any worker.
func (c *Core) leastFree() int64 {
	least := int64(-1)
	for _, w := range c.workers {
		if least < 0 || w.freeCPU() < least {
			least = w.freeCPU()
		}
	}
	return least
}
