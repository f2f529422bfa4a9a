package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestJobBehindLargeJobs guards against a job that waits beside free capacity because many large jobs
// before it in the order of placement take every place in the window that becomes free. The window is kept
// at its minimum, as if the answers were slow.
func TestJobBehindLargeJobs(t *testing.T) {
	t.Parallel()
	const (
		largeJobs = 20
		maxWait   = 3 * time.Second // longest time for which an accepted job may wait beside free capacity
	)
	s := newSimulation(t, 21, 48)
	s.run(time.Second)
	s.onOrder = func() { s.core.window.size = minOrderWindow }
	for i := range largeJobs {
		s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xc000+i)), Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
			Count: 2000, Size: task.Resources{CPUMilli: 5, MemoryMB: 1}, Estimate: 20 * time.Second,
		}}})
	}
	s.run(20 * time.Millisecond)
	last := &job.Job{ID: "000000000000d001", Queue: "plain", Team: "red", Spec: "work", Steps: []job.Step{{
		Count: 1, Size: task.Resources{CPUMilli: 500, MemoryMB: 10}, Estimate: 25 * time.Second,
	}}}
	s.submit(last)
	for end := s.now.Add(maxWait); s.now.Before(end) && !s.hasStarted(last.ID, 1); {
		s.run(100 * time.Millisecond)
	}
	if !s.hasStarted(last.ID, 1) {
		t.Errorf("the job has not started after %s: %s", maxWait, s.core.describe(last.ID))
	}
}
