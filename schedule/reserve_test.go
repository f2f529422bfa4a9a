package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// smallTasks hands in two small tasks at a time, so that they use about four
// fifths of eight workers, for as long as given.
func (s *simulation) smallTasks(queue string, lasting time.Duration) {
	const every = 25 * time.Millisecond
	for i := range int(lasting / every) {
		s.pendingJobs++
		s.after(time.Duration(i)*every, func() {
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

// TestGangAmongSmallTasks guards against a gang that never starts because a
// stream of small tasks takes each piece of room as it becomes free, with and
// without advice, whose tickets expire while the gang waits.
func TestGangAmongSmallTasks(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			const (
				stream = 20 * time.Second
				wait   = 5 * time.Second // within which the gang is in time: its chain stretched by 2, and 1 s
			)
			s := newSimulation(t, 3, 8)
			s.run(time.Second)
			s.smallTasks(queue, stream)
			s.run(3 * time.Second)
			const id = "00000000000000a0"
			s.submit(&job.Job{ID: id, Queue: queue, Team: "blue", Spec: "work", Steps: []job.Step{{
				Count: 4, Gang: true, Size: task.Resources{CPUMilli: 28_000, MemoryMB: 100}, Estimate: 4 * time.Second,
			}}})
			s.run(wait)
			if !s.hasStarted(id, 4) {
				t.Errorf("the gang waits after %s: %s", wait, s.core.describe(id))
			}
			s.finish(stream)
		})
	}
}

// TestBackfill guards against room that stays idle while it is kept for a gang:
// tasks that end before the gang can start use it.
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
		t.Error("a task that ends in time does not use the room that is kept")
	}
	if s.hasStarted(tooLong.ID, 1) {
		t.Error("a task that ends too late uses the room that is kept")
	}
	s.finish(40 * time.Second)
}

// TestKeptRoomAfterRouteChange guards against room that counts as kept for ever,
// so that no other gang gets any, because the queue of a waiting gang was routed
// to another service.
func TestKeptRoomAfterRouteChange(t *testing.T) {
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
	if s.core.kept["calc"] == 0 {
		t.Fatal("no room is kept for the gang")
	}
	elsewhere := job.NewCatalog(2, 2, []job.Queue{
		*s.catalog.Queue("advised"), {Name: "plain", Service: "other", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, []job.Service{{Name: "calc"}, {Name: "other"}}, nil)
	s.input(func(c *Core) { c.SetCatalog(elsewhere) })
	s.run(500 * time.Millisecond)
	s.cancel(gang.ID)
	s.run(500 * time.Millisecond)
	for service, kept := range s.core.kept {
		if kept != 0 {
			t.Errorf("%d thousandths of a core of %s are kept for nothing", kept, service)
		}
	}
}

// TestStalePlan guards against room that stays idle for a gang which the passes
// do not reach any more, because more urgent steps fill them.
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
	if waiting.reserved == nil {
		t.Fatal("no room is kept for the gang")
	}
	waiting.retryAt = s.now.Add(time.Hour) // no pass considers it
	s.run(stalePlan + time.Second)
	if waiting.reserved != nil || s.core.kept["calc"] != 0 {
		t.Error("the room is still kept")
	}
}

// TestGangBeyondShare guards against a gang that needs more than may be kept at a
// time and never gets room, because less urgent gangs keep it in turn.
func TestGangBeyondShare(t *testing.T) {
	const (
		stream = 30 * time.Second
		every  = 40 * time.Millisecond
		wait   = 20 * time.Second
	)
	s := newSimulation(t, 6, 48)
	s.run(time.Second)
	gang := func(id job.ID, tasks int, milli int64) *job.Job {
		return &job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
			Count: tasks, Gang: true, Size: task.Resources{CPUMilli: milli, MemoryMB: 100}, Estimate: time.Second,
		}}}
	}
	// Gangs of two workers for a second, which use all of the 48 workers.
	for i := range int(stream / every) {
		s.pendingJobs++
		s.after(time.Duration(i)*every, func() { s.submit(gang(job.ID(fmt.Sprintf("%016x", 0xd000+i)), 2, 28_000)) })
	}
	s.run(2 * time.Second)
	const id = "00000000000000a0"
	s.submit(gang(id, 12, 28_000))
	s.run(wait)
	if !s.hasStarted(id, 12) {
		t.Errorf("the wide gang waits after %s: %s", wait, s.core.describe(id))
	}
	s.finish(stream)
}

// TestGangsAfterBacklog guards against gangs that wait while the service is empty,
// because their tickets have expired in the backlog and are renewed only for the
// few gangs for which room is kept.
func TestGangsAfterBacklog(t *testing.T) {
	const (
		gangs = 6
		busy  = 5 * time.Second
		wait  = 3 * time.Second // that a job may have nothing running while there is room
	)
	s := newSimulation(t, 7, 48)
	s.adviceTakes = time.Second // of a call that names a hundred workers for a gang
	for i := range 16 {
		s.every(time.Second, func() { s.input(func(c *Core) { c.SeeLane(fmt.Sprint("more-", i)) }) })
	}
	s.run(2 * time.Second)
	s.submit(&job.Job{ID: "00000000000000a0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 48, Size: task.Resources{CPUMilli: 32_000, MemoryMB: 100}, Estimate: busy,
	}}})
	s.run(time.Second)
	for i := range gangs {
		s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", 0xe000+i)), Queue: "advised", Team: "blue", Spec: "work", Steps: []job.Step{{
			Count: 6, Gang: true, Size: task.Resources{CPUMilli: 28_000, MemoryMB: 100}, Estimate: 4 * time.Second,
		}}})
	}
	s.run(busy - time.Second + wait)
	for i := range gangs {
		if id := job.ID(fmt.Sprintf("%016x", 0xe000+i)); !s.hasStarted(id, 6) {
			t.Errorf("a gang waits %s after the service is empty: %s", wait, s.core.describe(id))
		}
	}
	s.finish(30 * time.Second)
}
