package schedule

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestWideGangQueriesMoreWorkers guards against starvation of a gang on a fleet with more workers
// than one call may name: the first call yields too few eligible workers, and no further call is made.
func TestWideGangQueriesMoreWorkers(t *testing.T) {
	s := newSimulation(t, 1, 99)
	for i := range 80 {
		w := Worker{ID: "x" + string(rune('0'+i/10)) + string(rune('0'+i%10)), Incarnation: 1, Service: "calc", Rack: "rx",
			Labels: []string{"a", "rx"}, Capacity: task.Resources{CPUMilli: 32_000, MemoryMB: 128 << 10}}
		w.Address = w.ID
		s.workers[w.ID] = s.newWorker(w)
	}
	s.run(2 * time.Second)
	// Five tasks fit on a worker, half of the workers are eligible, and a call names 100 workers, so
	// that one call yields capacity for 250 tasks.
	s.submit(&job.Job{ID: "00000000000000a0", Queue: "advised", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 300, Gang: true, Size: task.Resources{CPUMilli: 6_000, MemoryMB: 100}, Estimate: time.Second,
	}}})
	s.finish(30 * time.Second)
}
