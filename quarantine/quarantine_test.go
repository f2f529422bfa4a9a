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

// TestFaultyWorkerIsQuarantined guards against a worker remaining in service although tasks fail on it
// that succeed on other workers.
func TestFaultyWorkerIsQuarantined(t *testing.T) {
	m := newMonitor(10)
	for _, c := range []string{"x", "y"} {
		m.Observe(start, Outcome{"w01", classNamed(c), task.ID(c + "-good"), true})
	}
	first := m.Observe(start, Outcome{"w00", classNamed("x"), "x-1", false})
	if first.WorkerQuarantined || m.IsQuarantined("w00") {
		t.Fatal("the worker was quarantined after failures of only one class")
	}
	second := m.Observe(start, Outcome{"w00", classNamed("y"), "y-1", false})
	if !second.WorkerQuarantined || !m.IsQuarantined("w00") {
		t.Fatalf("verdict = %+v, want the worker in quarantine", second)
	}
}

// TestFaultyClassQuarantinesNoWorker guards against quarantining workers because of work that fails
// everywhere.
func TestFaultyClassQuarantinesNoWorker(t *testing.T) {
	m := newMonitor(10)
	for i := range 10 {
		m.Observe(start, Outcome{workerName(i), classNamed("good"), task.ID(fmt.Sprint("g", i)), true})
		for _, c := range []string{"x", "y", "z"} {
			v := m.Observe(start, Outcome{workerName(i), classNamed(c), task.ID(fmt.Sprint(c, i)), false})
			if v.WorkerQuarantined {
				t.Fatalf("worker %d quarantined by classes that fail everywhere", i)
			}
		}
	}
}

// TestFaultyJobIsDetected guards against endless retries of a job that fails everywhere, and against
// attributing its failures to the workers.
func TestFaultyJobIsDetected(t *testing.T) {
	m := newMonitor(10)
	for i := range 10 {
		m.Observe(start, Outcome{workerName(i), classNamed("x"), task.ID(fmt.Sprint("g", i)), true})
		m.Observe(start, Outcome{workerName(i), classNamed("y"), task.ID(fmt.Sprint("h", i)), true})
	}
	later := start.Add(time.Second)
	for i, want := range []bool{false, false, true} {
		v := m.Observe(later, Outcome{workerName(i), classNamed("x"), "poison", false})
		if v.JobFaulty != want {
			t.Fatalf("after failures on %d workers, JobFaulty = %v, want %v", i+1, v.JobFaulty, want)
		}
	}
	v := m.Observe(later, Outcome{"w00", classNamed("y"), "other", false})
	if v.WorkerQuarantined {
		t.Error("the failure of a faulty job was attributed to the worker")
	}
}

// TestQuarantineIsCapped guards against a common-cause failure removing an entire partition from
// service, and against a cap of zero in a small partition.
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
			t.Errorf("%d of %d workers are quarantined, want %d", got, workers, want)
		}
	}
}

// TestSuccessfulProbeEndsQuarantine guards against a repaired worker remaining quarantined, and
// against a faulty one returning to service or being probed without exponential backoff.
func TestSuccessfulProbeEndsQuarantine(t *testing.T) {
	m := newMonitor(10)
	makeFaulty(m, "w00")
	if due := m.BeginDueProbes(start.Add(DefaultInitialProbeDelay - 1)); len(due) != 0 {
		t.Fatalf("due = %v before the probe delay has elapsed, want none", due)
	}
	at := start.Add(DefaultInitialProbeDelay)
	if due := m.BeginDueProbes(at); !slices.Equal(due, []string{"w00"}) {
		t.Fatalf("due = %v after the probe delay, want [w00]", due)
	}
	if due := m.BeginDueProbes(at); len(due) != 0 {
		t.Fatalf("due = %v while a probe is running, want none", due)
	}
	if m.RecordProbe(at, "w00", false) || len(m.BeginDueProbes(at.Add(DefaultInitialProbeDelay))) != 0 {
		t.Fatal("a failed probe returned the worker to service or did not double the delay")
	}
	at = at.Add(2 * DefaultInitialProbeDelay)
	if due := m.BeginDueProbes(at); len(due) != 1 {
		t.Fatalf("due = %v after the doubled delay, want one worker", due)
	}
	if !m.RecordProbe(at, "w00", true) || m.IsQuarantined("w00") || m.Penalty(at, "w00") != 0 {
		t.Fatal("a successful probe did not return the worker to service")
	}
}

// TestFastFailingWorkerIsPenalized guards against a worker on which every task fails immediately
// attracting all the work before it is quarantined.
func TestFastFailingWorkerIsPenalized(t *testing.T) {
	m := newMonitor(10)
	for i := range 3 {
		m.Observe(start, Outcome{"w00", classNamed("x"), task.ID(fmt.Sprint("j", i)), false})
		if got := m.Penalty(start, "w00"); got != i+1 {
			t.Errorf("penalty after %d failures = %d, want the number of failures", i+1, got)
		}
	}
	if got := m.Penalty(start.Add(DefaultWindow+1), "w00"); got != 0 {
		t.Errorf("penalty after the window = %d, want 0", got)
	}
	m.Observe(start.Add(1), Outcome{"w00", classNamed("x"), "ok", true})
	if got := m.Penalty(start.Add(1), "w00"); got != 0 {
		t.Errorf("penalty after a success = %d, want 0", got)
	}
}

// TestDeferredWorkerIsQuarantinedBelowCap guards against a worker never being quarantined because the
// cap was reached when the worker was found to be faulty.
func TestDeferredWorkerIsQuarantinedBelowCap(t *testing.T) {
	m := newMonitor(10)
	makeFaulty(m, "w00")
	makeFaulty(m, "w02")
	if m.IsQuarantined("w02") {
		t.Fatal("w02 was quarantined although the cap of 1 was reached")
	}
	m.RemoveWorker("w00")
	if got := m.QuarantineDeferred(start); !slices.Equal(got, []string{"w02"}) {
		t.Errorf("QuarantineDeferred = %v, want [w02]", got)
	}
}

// makeFaulty records failures of two classes on a worker, and their successes on w01.
func makeFaulty(m *Monitor, name string) {
	for _, c := range []string{"x", "y"} {
		m.Observe(start, Outcome{"w01", classNamed(c), task.ID(c + "-good"), true})
		m.Observe(start, Outcome{name, classNamed(c), task.ID(name + c), false})
	}
}

// TestJobFailuresOutsideWindowAreIgnored guards against counting a job's failure outside the window
// while the job has newer failures on other workers.
func TestJobFailuresOutsideWindowAreIgnored(t *testing.T) {
	m := newMonitor(10)
	m.Observe(start, Outcome{"w02", classNamed("x"), "job", false})
	m.Observe(start.Add(DefaultWindow/2), Outcome{"w00", classNamed("x"), "job", false})
	now := start.Add(DefaultWindow + time.Second)
	for _, c := range []string{"x", "y"} {
		m.Observe(now, Outcome{"w01", classNamed(c), task.ID(c + "-later"), true})
	}
	if v := m.Observe(now, Outcome{"w00", classNamed("y"), "other", false}); !v.WorkerQuarantined {
		t.Error("a failure outside the window was attributed to the job instead of the worker")
	}
}
