package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func classNamed(name string) Class { return Class{Team: "a", Service: "s", Name: name} }

func newMonitor(workers int) *Monitor {
	m := New(Config{})
	for i := range workers {
		m.AddWorker(workerName(i), "w/r/0")
	}
	return m
}

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// TestBadWorkerIsQuarantined guards against a worker that fails what runs on
// the others staying in service.
func TestBadWorkerIsQuarantined(t *testing.T) {
	m := newMonitor(10)
	for _, c := range []string{"x", "y"} {
		m.Observe(start, Outcome{"w01", classNamed(c), task.ID(c + "-good"), true})
	}
	first := m.Observe(start, Outcome{"w00", classNamed("x"), "x-1", false})
	if first.WorkerBad || m.IsQuarantined("w00") {
		t.Fatal("quarantined after failures of one class only")
	}
	second := m.Observe(start, Outcome{"w00", classNamed("y"), "y-1", false})
	if !second.WorkerBad || !m.IsQuarantined("w00") {
		t.Fatalf("verdict = %+v, want the worker in quarantine", second)
	}
}

// TestBadClassQuarantinesNoWorker guards against work that fails everywhere
// taking workers out of service.
func TestBadClassQuarantinesNoWorker(t *testing.T) {
	m := newMonitor(10)
	for i := range 10 {
		m.Observe(start, Outcome{workerName(i), classNamed("good"), task.ID(fmt.Sprint("g", i)), true})
		for _, c := range []string{"x", "y", "z"} {
			v := m.Observe(start, Outcome{workerName(i), classNamed(c), task.ID(fmt.Sprint(c, i)), false})
			if v.WorkerBad {
				t.Fatalf("worker %d quarantined by classes that fail everywhere", i)
			}
		}
	}
}

// TestBadJobIsFound guards against a job that fails everywhere being repeated
// for ever, and against its failures being held against the workers.
func TestBadJobIsFound(t *testing.T) {
	m := newMonitor(10)
	for i := range 10 {
		m.Observe(start, Outcome{workerName(i), classNamed("x"), task.ID(fmt.Sprint("g", i)), true})
		m.Observe(start, Outcome{workerName(i), classNamed("y"), task.ID(fmt.Sprint("h", i)), true})
	}
	later := start.Add(time.Second)
	for i, want := range []bool{false, false, true} {
		v := m.Observe(later, Outcome{workerName(i), classNamed("x"), "poison", false})
		if v.JobBad != want {
			t.Fatalf("after %d workers JobBad = %v, want %v", i+1, v.JobBad, want)
		}
	}
	v := m.Observe(later, Outcome{"w00", classNamed("y"), "other", false})
	if v.WorkerBad {
		t.Error("the failure of a bad job was held against the worker")
	}
}

// TestQuarantineIsCapped guards against a common cause taking a whole partition
// out of service, and against a small partition having no quarantine at all.
func TestQuarantineIsCapped(t *testing.T) {
	for workers, want := range map[int]int{2: 1, 10: 1, 11: 2, 57: 6} {
		m := newMonitor(workers)
		for round := range 2 {
			c := classNamed(fmt.Sprint("c", round))
			for i := range workers {
				m.Observe(start, Outcome{workerName(i), c, task.ID(fmt.Sprint("g", round, i)), true})
			}
		}
		later := start.Add(time.Second)
		for i := range workers {
			for round := range 2 {
				c := classNamed(fmt.Sprint("c", round))
				m.Observe(later, Outcome{workerName(i), c, task.ID(fmt.Sprint("f", round, i)), false})
			}
		}
		got := 0
		for i := range workers {
			if m.IsQuarantined(workerName(i)) {
				got++
			}
		}
		if got != want {
			t.Errorf("%d of %d workers in quarantine, want %d", got, workers, want)
		}
	}
}

// TestProbeReturnsWorker guards against a repaired worker staying out, and a
// broken one coming back or being probed without pause.
func TestProbeReturnsWorker(t *testing.T) {
	m := newMonitor(10)
	badWorker(m, "w00")
	if due := m.ProbesDue(start.Add(DefaultProbeAfter - 1)); len(due) != 0 {
		t.Fatalf("probe due early: %v", due)
	}
	at := start.Add(DefaultProbeAfter)
	if due := m.ProbesDue(at); !slices.Equal(due, []string{"w00"}) {
		t.Fatalf("due = %v", due)
	}
	if due := m.ProbesDue(at); len(due) != 0 {
		t.Fatalf("second probe while one runs: %v", due)
	}
	if m.ProbeDone(at, "w00", false) || len(m.ProbesDue(at.Add(DefaultProbeAfter))) != 0 {
		t.Fatal("a failed probe returned the worker or did not lengthen the wait")
	}
	at = at.Add(2 * DefaultProbeAfter)
	if due := m.ProbesDue(at); len(due) != 1 {
		t.Fatalf("due = %v", due)
	}
	if !m.ProbeDone(at, "w00", true) || m.IsQuarantined("w00") || m.Penalty(at, "w00") != 0 {
		t.Fatal("a succeeded probe did not return the worker")
	}
}

// TestFastFailingWorkerIsPenalised guards against a worker that fails
// everything at once drawing the work of the fleet before it is judged.
func TestFastFailingWorkerIsPenalised(t *testing.T) {
	m := newMonitor(10)
	for i := range 3 {
		m.Observe(start, Outcome{"w00", classNamed("x"), task.ID(fmt.Sprint("j", i)), false})
		if got := m.Penalty(start, "w00"); got != i+1 {
			t.Errorf("penalty after %d failures = %d", i+1, got)
		}
	}
	if got := m.Penalty(start.Add(DefaultWindow+1), "w00"); got != 0 {
		t.Errorf("penalty after the window = %d", got)
	}
	m.Observe(start.Add(1), Outcome{"w00", classNamed("x"), "ok", true})
	if got := m.Penalty(start.Add(1), "w00"); got != 0 {
		t.Errorf("penalty after a success = %d", got)
	}
}

// TestReviewQuarantinesWhenRoom guards against a worker found bad while the cap
// was reached being forgotten.
func TestReviewQuarantinesWhenRoom(t *testing.T) {
	m := newMonitor(10)
	badWorker(m, "w00")
	badWorker(m, "w02")
	if m.IsQuarantined("w02") {
		t.Fatal("the cap was exceeded")
	}
	m.RemoveWorker("w00")
	if got := m.Review(start); !slices.Equal(got, []string{"w02"}) {
		t.Errorf("Review = %v", got)
	}
}

func badWorker(m *Monitor, name string) {
	for _, c := range []string{"x", "y"} {
		m.Observe(start, Outcome{"w01", classNamed(c), task.ID(c + "-good"), true})
		m.Observe(start, Outcome{name, classNamed(c), task.ID(name + c), false})
	}
}

// TestOldFailuresOfAJobExcuseNoWorker guards against a failure outside the
// window being counted as long as the job keeps failing somewhere.
func TestOldFailuresOfAJobExcuseNoWorker(t *testing.T) {
	m := newMonitor(10)
	m.Observe(start, Outcome{"w02", classNamed("x"), "job", false})
	m.Observe(start.Add(DefaultWindow/2), Outcome{"w00", classNamed("x"), "job", false})
	now := start.Add(DefaultWindow + time.Second)
	for _, c := range []string{"x", "y"} {
		m.Observe(now, Outcome{"w01", classNamed(c), task.ID(c + "-later"), true})
	}
	if v := m.Observe(now, Outcome{"w00", classNamed("y"), "other", false}); !v.WorkerBad {
		t.Error("the worker is excused by a failure outside the window")
	}
}
