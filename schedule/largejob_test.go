package schedule

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// ordersInFlight returns the largest number of start and of stop orders that were in flight at a time
// while the given function ran.
func (s *simulation) ordersInFlight(run func()) (starts, stops int) {
	s.onOrder = func() {
		starts, stops = max(starts, s.startsInFlight), max(stops, s.stopsInFlight)
	}
	run()
	s.onOrder = nil
	return starts, stops
}

// TestLargeJob guards against a job of thousands of small tasks that issues all its orders at once, which
// keeps the owner from renewing its leases, and against tasks of other jobs that wait behind them. It
// covers the start of the tasks and their end by a cancellation.
func TestLargeJob(t *testing.T) {
	t.Parallel()
	const (
		tasks   = 5000
		maxWait = time.Second // of a small job; a job must not be without a running task for 3 s
	)
	s := newSimulation(t, 21, 48)
	s.run(time.Second)
	large := &job.Job{ID: "00000000000000c0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: tasks, Size: task.Resources{CPUMilli: 20, MemoryMB: 10}, Estimate: 20 * time.Second,
	}}}
	small := &job.Job{ID: "00000000000000c1", Queue: "plain", Team: "red", Spec: "work", Steps: []job.Step{{
		Count: 2, Size: task.Resources{CPUMilli: 500, MemoryMB: 10}, Estimate: time.Second,
	}}}
	starts, _ := s.ordersInFlight(func() {
		s.submit(large)
		s.run(20 * time.Millisecond)
		s.submit(small)
		s.run(maxWait)
	})
	if starts > maxOrderWindow {
		t.Errorf("%d start orders were in flight, want at most %d", starts, maxOrderWindow)
	}
	if !s.hasStarted(small.ID, 2) {
		t.Errorf("a small job has not started after %s: %s", maxWait, s.core.describe(small.ID))
	}
	s.run(6 * time.Second)
	if !s.hasStarted(large.ID, tasks) {
		t.Error("not all tasks of the large job have started")
	}
	_, stops := s.ordersInFlight(func() {
		s.cancel(large.ID)
		s.run(3 * time.Second)
	})
	if stops == 0 || stops > maxOrderWindow {
		t.Errorf("%d stop orders were in flight, want at most %d", stops, maxOrderWindow)
	}
	if n := len(s.running); n > 0 {
		t.Errorf("%d runs of the cancelled job go on", n)
	}
}

// TestLongLivedTaskBesideReservation guards against a long-lived task, and a job without a running task,
// that wait beside empty workers because a gang that waits for another worker has reserved them.
func TestLongLivedTaskBesideReservation(t *testing.T) {
	const maxWait = 3 * time.Second // longest time for which an accepted job may wait beside free capacity
	for name, step := range map[string]job.Step{
		"long-lived": {Count: 1, Size: task.Resources{CPUMilli: 20_000, MemoryMB: 100}, Estimate: 30 * time.Second, LongLived: true},
		"long":       {Count: 1, Size: task.Resources{CPUMilli: 20_000, MemoryMB: 100}, Estimate: 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 22, 6)
			s.run(time.Second)
			s.submit(&job.Job{ID: "00000000000000d0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 1, Size: task.Resources{CPUMilli: 20_000, MemoryMB: 100}, Estimate: 12 * time.Second,
			}}})
			s.run(500 * time.Millisecond)
			gang := &job.Job{ID: "00000000000000d1", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 6, Gang: true, AntiAffinity: 1, Size: task.Resources{CPUMilli: 15_000, MemoryMB: 100}, Estimate: 2 * time.Second,
			}}}
			s.submit(gang)
			s.run(time.Second)
			if s.core.steps[job.StepKey{Job: gang.ID}].reservation == nil {
				t.Fatal("the gang has no reservation")
			}
			waiting := &job.Job{ID: "00000000000000d2", Queue: "plain", Team: "red", Spec: "work", Steps: []job.Step{step}}
			s.submit(waiting)
			s.run(maxWait)
			if !s.hasStarted(waiting.ID, 1) {
				t.Errorf("the task has not started after %s beside five empty workers: %s", maxWait, s.core.describe(waiting.ID))
			}
		})
	}
}
