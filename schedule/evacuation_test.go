package schedule

import (
	"strconv"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// evacuate passes a set of evacuated failure domains to the owner.
func (s *simulation) evacuate(domains ...string) {
	s.dispatch(func(c *Core) { c.SetEvacuated(domains) })
}

// startsIn counts the starts on workers of a failure domain.
func (s *simulation) startsIn(domain string, since time.Time) int {
	n := 0
	for _, started := range s.startedOn {
		if s.workers[started.worker].FailureDomain == domain && started.at.After(since) {
			n++
		}
	}
	return n
}

// TestEvacuation guards against tasks that start in an evacuated failure domain under load: through
// placement, a reservation, an advice call in flight or a new owner. Running tasks must go on, work must
// go to the other domains, and the domain must be used again after the evacuation.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 11, 9)
	i := 0
	for _, w := range s.sortedWorkers() {
		w.FailureDomain = "z" + strconv.Itoa(i%3)
		i++
	}
	s.run(time.Second)
	s.submitSmallTasks("advised", 15*time.Second)
	s.run(2 * time.Second)
	running := len(s.running)
	s.submit(&job.Job{ID: "00000000000000a0", Queue: "advised", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 3, Gang: true, Size: task.Resources{CPUMilli: 28_000, MemoryMB: 100}, Estimate: 3 * time.Second,
	}}})
	s.run(200 * time.Millisecond)

	s.evacuate("z1")
	const inFlight = 20 * time.Millisecond // latency of an order in the simulation
	s.run(inFlight)
	begin := s.now
	s.run(2 * time.Second)
	s.evacuate("z1", "z2")
	s.run(inFlight)
	second := s.now
	s.run(time.Second)
	s.takeOver()
	s.evacuate("z1", "z2")
	s.run(time.Second)
	if n := s.startsIn("z1", begin); n > 0 {
		t.Errorf("%d tasks have started in z1 after its evacuation", n)
	}
	if n := s.startsIn("z2", second); n > 0 {
		t.Errorf("%d tasks have started in z2 after its evacuation", n)
	}
	if n := s.startsIn("z0", second); n == 0 || running == 0 {
		t.Errorf("%d tasks have started in z0 meanwhile, %d ran before", n, running)
	}
	if lost := s.stoppedRuns; lost > 0 {
		t.Errorf("%d runs were stopped", lost)
	}
	s.evacuate("z2")
	reopened := s.now
	s.run(2 * time.Second)
	if n := s.startsIn("z1", reopened); n == 0 {
		t.Error("no task has started in z1 after the end of its evacuation")
	}
	if n := s.startsIn("z2", second); n > 0 {
		t.Errorf("%d tasks have started in z2, which is still evacuated", n)
	}
	s.evacuate()
	s.finish(30 * time.Second)
}

// TestColdWorkerLast guards against tasks that start on workers which are slow after their start while
// others are free.
func TestColdWorkerLast(t *testing.T) {
	s := newSimulation(t, 12, 4)
	for id, w := range s.workers {
		if id != "w03" {
			w.ColdLeft = 20 * time.Second
			w.Revision++
		}
	}
	s.run(2 * time.Second)
	s.submit(&job.Job{ID: "00000000000000b0", Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{{
		Count: 3, Size: task.Resources{CPUMilli: 8_000, MemoryMB: 100}, Estimate: time.Second,
	}}})
	s.run(500 * time.Millisecond)
	if len(s.startedOn) != 3 {
		t.Fatalf("%d tasks have started, want 3", len(s.startedOn))
	}
	for _, started := range s.startedOn {
		if started.worker != "w03" {
			t.Errorf("a task has started on %s, which is cold", started.worker)
		}
	}
}

// TestEvacuationEndsInOrder guards against effects whose order depends on that of a map.
func TestEvacuationEndsInOrder(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000, 0)
	domains := []string{"z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"}
	for range 5 {
		c := New(now, DefaultConfig(), 1, &job.Catalog{}, nil)
		c.SetEvacuated(domains)
		c.effects = nil
		c.SetEvacuated(nil)
		for i, e := range c.effects {
			if got := e.(Decision).Fields[1]; got != domains[i] {
				t.Fatalf("the end for %v is logged in place of %s", got, domains[i])
			}
		}
	}
}

// TestAdviceBesideEvacuation guards against a step that asks for no advice about other workers because
// those for which it has tickets are enough, although they are evacuated.
func TestAdviceBesideEvacuation(t *testing.T) {
	s := newSimulation(t, 13, 12)
	for id, w := range s.workers {
		if w.FailureDomain = "z0"; id < "w06" {
			w.FailureDomain = "z1"
		}
		w.Revision++
	}
	s.isEligible = func(job.StepKey, string) bool { return true }
	s.run(time.Second)
	step := &stepState{spec: &job.Step{Count: 1, Size: task.Resources{CPUMilli: 1_000}}, tasks: make([]taskState, 1)}
	step.job = &jobState{Job: &job.Job{Queue: "advised"}}
	step.job.terms.Service = "calc"
	step.advice.tickets = make(map[string]ticket)
	for id, w := range s.core.workers {
		if w.FailureDomain == "z1" {
			step.advice.tickets[id] = ticket{incarnation: w.Incarnation}
		}
	}
	if !s.core.hasEnoughTickets(step) {
		t.Fatal("the tickets are not enough before the evacuation")
	}
	s.evacuate("z1")
	if s.core.hasEnoughTickets(step) {
		t.Error("tickets for evacuated workers count as enough")
	}
}
