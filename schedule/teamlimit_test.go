package schedule

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// countAdviceCalls returns a counter of the advice calls for a job from now on.
func (s *simulation) countAdviceCalls(id job.ID) *int {
	n := 0
	s.onAdviceCall = func(a AdviceCall) {
		if a.Step.Job == id {
			n++
		}
	}
	return &n
}

// TestNoAdviceAtLimit guards against repeated advice calls for a step that cannot start because its
// team is at its limit. They would occupy advice proxies that other steps need.
func TestNoAdviceAtLimit(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newSimulation(t, 5, 48)
		s.run(time.Second)
		busy := &job.Job{ID: "00000000000000a0", Queue: "plain", Team: "red", Spec: "work", Steps: []job.Step{{
			Count: 2, Size: task.Resources{CPUMilli: 30_000, MemoryMB: 100}, Estimate: 6 * time.Second,
		}}}
		s.submit(busy)
		s.run(500 * time.Millisecond)
		const id = "00000000000000a1"
		calls := s.countAdviceCalls(id)
		s.submit(&job.Job{ID: id, Queue: "advised", Team: "red", Spec: "work", Steps: []job.Step{{
			Count: 2, Gang: gang, Size: task.Resources{CPUMilli: 20_000, MemoryMB: 100}, Estimate: time.Second,
		}}})
		s.run(4 * time.Second)
		if *calls > 1 {
			t.Errorf("gang %v: %d advice calls for a step whose team is at its limit, want at most 1", gang, *calls)
		}
		s.finish(20 * time.Second)
	}
}
