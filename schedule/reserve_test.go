package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// submitSmallTasks schedules submissions of jobs of two small tasks for the given duration. They use
// about four fifths of eight workers.
func (s *simulation) submitSmallTasks(queue string, duration time.Duration) {
	const interval = 25 * time.Millisecond
	for i := range int(duration / interval) {
		s.pendingJobs++
		s.after(time.Duration(i)*interval, func() {
			s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xb000+i)), Queue: queue, Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 2, Size: task.Resources{CPUMilli: 4_000, MemoryMB: 100}, Estimate: 500 * time.Millisecond,
			}}})
		})
	}
}

// hasStarted reports whether every task of a job has started by now.
func (s *simulation) hasStarted(id job.ID, tasks int) bool {
	for i := range tasks {
		if len(s.starts[job.TaskKey{StepKey: job.StepKey{Job: id}, Index: i}]) == 0 {
			return false
		}
	}
	return true
}

// TestGangAmongSmallTasks guards against starvation of a gang by a stream of small tasks that take
// capacity as it becomes free. It runs with and without advice, since tickets expire while the gang
// waits.
func TestGangAmongSmallTasks(t *testing.T) {
	t.Parallel()
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			const (
				streamDuration = 20 * time.Second
				maxWait        = 5 * time.Second // longest wait of a gang that is on time: its objective is twice its estimate of 4 s plus 1 s
			)
			s := newSimulation(t, 3, 8)
			s.run(time.Second)
			s.submitSmallTasks(queue, streamDuration)
			s.run(3 * time.Second)
			const id = "00000000000000a0"
			s.submit(&job.Job{ID: id, Queue: queue, Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 4, Gang: true, Size: task.Resources{CPUMilli: 28_000, MemoryMB: 100}, Estimate: 4 * time.Second,
			}}})
			s.run(maxWait)
			if !s.hasStarted(id, 4) {
				t.Errorf("the gang has not started after %s: %s", maxWait, s.core.describe(id))
			}
			s.finish(streamDuration)
		})
	}
}

// TestBackfill guards against reserved capacity that stays idle: tasks that end before the gang can
// start must backfill it, and longer ones must not.
func TestBackfill(t *testing.T) {
	s := newSimulation(t, 4, 1)
	s.run(time.Second)
	long := &job.Job{ID: "00000000000000c0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 1, Size: task.Resources{CPUMilli: 16_000}, Estimate: 6 * time.Second,
	}}}
	gang := &job.Job{ID: "00000000000000c1", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 2, Gang: true, Size: task.Resources{CPUMilli: 16_000}, Estimate: time.Second,
	}}}
	short := &job.Job{ID: "00000000000000c2", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 1, Size: task.Resources{CPUMilli: 8_000}, Estimate: time.Second,
	}}}
	tooLong := &job.Job{ID: "00000000000000c3", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 1, Size: task.Resources{CPUMilli: 8_000}, Estimate: 10 * time.Second,
	}}}
	for _, j := range []*job.Job{long, gang, short, tooLong} {
		s.submit(j)
		s.run(300 * time.Millisecond)
	}
	if !s.hasStarted(long.ID, 1) || s.hasStarted(gang.ID, 1) {
		t.Fatal("the gang should wait for the long task")
	}
	if !s.hasStarted(short.ID, 1) {
		t.Error("a task that ends in time did not backfill the reserved capacity")
	}
	if s.hasStarted(tooLong.ID, 1) {
		t.Error("a task that ends too late uses the reserved capacity")
	}
	s.finish(40 * time.Second)
}

// TestReservationAfterRouteChange guards against a reservation that is never released, and so
// prevents further ones, after the queue of a waiting gang was routed to another service.
func TestReservationAfterRouteChange(t *testing.T) {
	s := newSimulation(t, 6, 2)
	s.run(time.Second)
	busy := &job.Job{ID: "00000000000000e0", Queue: "advised", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 2, AntiAffinity: 1, Size: task.Resources{CPUMilli: 20_000}, Estimate: 3 * time.Second,
	}}}
	gang := &job.Job{ID: "00000000000000e1", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 2, Gang: true, Size: task.Resources{CPUMilli: 20_000}, Estimate: time.Second,
	}}}
	s.submit(busy)
	s.run(500 * time.Millisecond)
	s.submit(gang)
	s.run(500 * time.Millisecond)
	if s.core.reservedCPU["calc"] == 0 {
		t.Fatal("no capacity is reserved for the gang")
	}
	rerouted := job.NewCatalog(2, 2, []job.Queue{
		*s.catalog.Queue("advised"), {Name: "plain", Service: "other", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second},
	}, []job.Service{{Name: "calc"}, {Name: "other"}}, nil)
	s.dispatch(func(c *Core) { c.SetCatalog(rerouted) })
	s.run(500 * time.Millisecond)
	s.cancel(gang.ID)
	s.run(500 * time.Millisecond)
	for service, reserved := range s.core.reservedCPU {
		if reserved != 0 {
			t.Errorf("%d millicores of %s are still reserved", reserved, service)
		}
	}
}

// TestStalePlan guards against capacity that stays reserved for a gang that the passes no longer
// reach because they consider only the most urgent steps.
func TestStalePlan(t *testing.T) {
	s := newSimulation(t, 7, 2)
	s.run(time.Second)
	busy := &job.Job{ID: "00000000000000f0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 2, AntiAffinity: 1, Size: task.Resources{CPUMilli: 20_000}, Estimate: 20 * time.Second,
	}}}
	gang := &job.Job{ID: "00000000000000f1", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 2, Gang: true, Size: task.Resources{CPUMilli: 20_000}, Estimate: time.Second,
	}}}
	s.submit(busy)
	s.run(500 * time.Millisecond)
	s.submit(gang)
	s.run(500 * time.Millisecond)
	waiting := s.core.steps[job.StepKey{Job: gang.ID}]
	if waiting.reservation == nil {
		t.Fatal("no capacity is reserved for the gang")
	}
	waiting.notBefore = s.now.Add(time.Hour) // excludes it from all passes
	s.run(maxPlanAge + time.Second)
	if waiting.reservation != nil || s.core.reservedCPU["calc"] != 0 {
		t.Error("the capacity is still reserved")
	}
}

// TestGangBeyondShare guards against starvation of a gang that needs more than the maximum reserved
// share: less urgent gangs would hold reservations in turn.
func TestGangBeyondShare(t *testing.T) {
	t.Parallel()
	const (
		streamDuration = 30 * time.Second
		interval       = 40 * time.Millisecond
		maxWait        = 20 * time.Second
	)
	s := newSimulation(t, 6, 48)
	s.run(time.Second)
	gang := func(id job.ID, tasks int, milli int64) *job.Job {
		return &job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
			Count: tasks, Gang: true, Size: task.Resources{CPUMilli: milli, MemoryMB: 100}, Estimate: time.Second,
		}}}
	}
	// A stream of gangs that take two workers for a second each and use all of the 48 workers.
	for i := range int(streamDuration / interval) {
		s.pendingJobs++
		s.after(time.Duration(i)*interval, func() { s.submit(gang(job.ID(fmt.Sprintf("%016x", 0xd000+i)), 2, 28_000)) })
	}
	s.run(2 * time.Second)
	const id = "00000000000000a0"
	s.submit(gang(id, 12, 28_000))
	s.run(maxWait)
	if !s.hasStarted(id, 12) {
		t.Errorf("the wide gang has not started after %s: %s", maxWait, s.core.describe(id))
	}
	s.finish(streamDuration)
}

// TestGangsAfterBacklog guards against gangs that wait on an idle service because their tickets
// expired during a backlog and are renewed only for the few gangs with a reservation.
func TestGangsAfterBacklog(t *testing.T) {
	const (
		gangs        = 6
		busyDuration = 5 * time.Second
		maxWait      = 3 * time.Second // maximum time for which a job may have no running task while there is free capacity
	)
	s := newSimulation(t, 7, 48)
	s.adviceLatency = time.Second // duration of a call for a gang that names 100 workers
	for i := range 16 {
		s.every(time.Second, func() { s.dispatch(func(c *Core) { c.ObserveInstance(fmt.Sprint("more-", i)) }) })
	}
	s.run(2 * time.Second)
	s.submit(&job.Job{ID: "00000000000000a0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 48, Size: task.Resources{CPUMilli: 32_000, MemoryMB: 100}, Estimate: busyDuration,
	}}})
	s.run(time.Second)
	for i := range gangs {
		s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xe000+i)), Queue: "advised", Team: "blue", Spec: "work", Steps: []job.Step{{
			Count: 6, Gang: true, Size: task.Resources{CPUMilli: 28_000, MemoryMB: 100}, Estimate: 4 * time.Second,
		}}})
	}
	s.run(busyDuration - time.Second + maxWait)
	for i := range gangs {
		if id := job.ID(fmt.Sprintf("%016x", 0xe000+i)); !s.hasStarted(id, 6) {
			t.Errorf("a gang has not started %s after the service became idle: %s", maxWait, s.core.describe(id))
		}
	}
	s.finish(30 * time.Second)
}
