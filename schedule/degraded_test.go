package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// submitSpeedLoad submits small jobs and gangs at a steady rate for the given time.
func (s *simulation) submitSpeedLoad(duration, smallInterval, gangInterval time.Duration) {
	s.submitEvery(duration, smallInterval, 0xb0000, "plain", job.Step{Count: 5, Size: task.Resources{CPUMilli: 3_500, MemoryMB: 100}, Estimate: 2 * time.Second, Checkpoints: true}, nil)
	s.submitEvery(duration, gangInterval, 0xa0000, "plain", job.Step{Count: 4, Gang: true, Size: task.Resources{CPUMilli: 9_000, MemoryMB: 100}, Estimate: 3 * time.Second}, nil)
	differ := s.speeds.work
	s.speeds.work = func(k job.TaskKey) time.Duration { // by up to 15% from the mean
		return differ(k) * time.Duration(85+(7*k.Index+11*int(idNumber(k.Job)%64))%31) / 100
	}
}

// firstChange returns the first change of the condition of a worker since a time, or an empty one.
func (s *simulation) firstChange(worker string, since time.Time) speedChange {
	for _, change := range s.speeds.changes {
		if change.worker == worker && !change.at.Before(since) {
			return change
		}
	}
	return speedChange{}
}

// gangStartsOn counts the gang members that have started on a worker in a period.
func (s *simulation) gangStartsOn(worker string, from, to time.Time) int {
	n := 0
	for _, started := range s.startedOn {
		if started.gang && started.worker == worker && started.at.After(from) && started.at.Before(to) {
			n++
		}
	}
	return n
}

// TestDegradedWorker guards against gangs on a worker that has suddenly become five times slower, against
// a worker that is avoided after it has recovered, and against a steadily slow one that is avoided.
func TestDegradedWorker(t *testing.T) {
	t.Parallel()
	const (
		slow       = "w03" // suddenly
		steady     = "w05" // always
		detection  = 4 * time.Second
		inFlight   = 50 * time.Millisecond // orders that were sent before
		usualSpeed = 1.0
	)
	s := newSpeedSimulation(newSimulation(t, 21, 12), true)
	s.setSpeed(steady, 0.4)
	s.submitSpeedLoad(50*time.Second, 150*time.Millisecond, 1200*time.Millisecond)
	s.run(20 * time.Second)
	if len(s.speeds.changes) > 0 {
		t.Fatalf("workers counted as degraded without a change of their speeds: %v", s.speeds.changes)
	}
	if w := s.core.workers[steady]; w.relativeSpeed() < 0.35 || w.relativeSpeed() > 0.5 {
		t.Errorf("the steadily slow worker has the learned speed %.2f, want 0.4", w.relativeSpeed())
	}

	s.setSpeed(slow, usualSpeed/5)
	fell := s.now
	s.run(8 * time.Second)
	degraded := s.firstChange(slow, fell)
	if degraded.change != "degraded" || degraded.at.Sub(fell) > detection {
		t.Fatalf("first change after the fall: %+v, want degraded within %s of %s", degraded, detection, fell)
	}
	s.setSpeed(slow, usualSpeed)
	back := s.now
	s.run(10 * time.Second)
	recovered := s.firstChange(slow, back)
	if recovered.change != "recovered" && recovered.change != "idle" {
		t.Fatalf("first change after the end of the fall: %+v, want recovered", recovered)
	}
	if delay := recovered.at.Sub(back); delay > 5*time.Second {
		t.Errorf("recovered %s after the end of the fall", delay)
	}
	if n := s.gangStartsOn(slow, degraded.at.Add(inFlight), recovered.at); n > 0 {
		t.Errorf("%d gang members started on the degraded worker", n)
	}
	if v := s.core.workers[slow].relativeSpeed(); v < 0.85 || v > 1.2 {
		t.Errorf("the speed of the worker is %.2f after its recovery, want 1", v)
	}
	for _, change := range s.speeds.changes {
		if change.worker != slow {
			t.Errorf("another worker has changed: %+v", change)
		}
	}
	s.run(10 * time.Second)
	if n := s.gangStartsOn(slow, recovered.at, s.now); n == 0 {
		t.Error("no gang member started on the worker after its recovery")
	}
	s.finish(time.Minute)
}

// TestNewIncarnationForgetsSpeed guards against the speed of an incarnation that has ended.
func TestNewIncarnationForgetsSpeed(t *testing.T) {
	s := newSpeedSimulation(newSimulation(t, 22, 8), true)
	s.setSpeed("w03", 0.5)
	s.submitSpeedLoad(30*time.Second, 250*time.Millisecond, 3*time.Second)
	s.run(20 * time.Second)
	if v := s.core.workers["w03"].relativeSpeed(); v > 0.65 {
		t.Fatalf("the learned speed is %.2f, want 0.5", v)
	}
	s.restart("w03", time.Second)
	s.run(2 * time.Second)
	s.core.Begin(s.now, s.now)
	if w := s.core.workers["w03"]; w.Incarnation != 2 || w.relativeSpeed() != 1 || w.learned.Known() {
		t.Errorf("incarnation %d has the speed %.2f", w.Incarnation, w.relativeSpeed())
	}
	s.finish(time.Minute)
}

// TestSpeedOfResumedRuns guards against wrong speeds and expected ends because of runs that resume from a
// checkpoint after a pause: their progress begins above 0%.
func TestSpeedOfResumedRuns(t *testing.T) {
	t.Parallel()
	const maxError = 250 * time.Millisecond // half of the pause; extrapolated from 0%, ends are off by more
	off, on := resumedEndError(t, false), resumedEndError(t, true)
	if on > maxError || off < maxError {
		t.Errorf("the expected ends of resumed runs are off by %s, want at most %s; without learning by %s", on, maxError, off)
	}
}

// resumedEndError returns the mean error of the expected ends of resumed runs while one worker
// after another restarts.
func resumedEndError(t *testing.T, learn bool) time.Duration {
	s := newSpeedSimulation(newSimulation(t, 23, 8), learn)
	s.faults = []string{"restart"}
	for i := range 36 {
		s.after(time.Duration(3+i)*time.Second, func() { s.restart(fmt.Sprintf("w%02d", i%8), 200*time.Millisecond) })
	}
	s.submitSpeedLoad(40*time.Second, 180*time.Millisecond, 4*time.Second)
	s.run(10 * time.Second)
	for range 120 {
		s.recordExpectedEnds(func(r *run) bool { return r.resumed && r.percent >= minPointsForRate && !r.step.spec.Gang })
		s.run(250 * time.Millisecond)
	}
	for _, w := range s.core.sortedWorkers() {
		if v := w.relativeSpeed(); v < 0.85 || v > 1.15 {
			t.Errorf("%s has the speed %.2f, want 1", w.ID, v)
		}
	}
	if len(s.speeds.changes) > 0 {
		t.Errorf("workers counted as degraded: %v", s.speeds.changes)
	}
	s.finish(time.Minute)
	t.Logf("learning %v: %d resumed runs, expected ends off by %s", learn, len(s.speeds.expected), s.meanEndError())
	return s.meanEndError()
}

// TestGarbageInProgressReports guards against reports that stop the owner or make speeds, expected ends
// or the condition of workers absurd.
func TestGarbageInProgressReports(t *testing.T) {
	t.Parallel()
	t.Run("garbage", func(t *testing.T) {
		s := newSpeedSimulation(newSimulation(t, 24, 8), true)
		s.speeds.report = s.garbage
		s.checkEstimates()
	})
	t.Run("updated once a second", func(t *testing.T) {
		s := newSpeedSimulation(newSimulation(t, 25, 8), true)
		s.speeds.report = func(r *simRun, percent int) int {
			elapsed := s.now.Sub(r.startedAt)
			return int(int64(percent) * int64(elapsed.Truncate(time.Second)) / max(1, int64(elapsed)))
		}
		s.checkEstimates()
	})
}

// garbage replaces a reported percentage in half of the reports.
func (s *simulation) garbage(_ *simRun, percent int) int {
	switch s.rng.IntN(8) {
	case 0:
		return -1 << 40
	case 1:
		return 1 << 40
	case 2:
		return 0
	case 3:
		return s.rng.IntN(percent + 1)
	}
	return percent
}

// checkEstimates runs a load on workers of the usual speed and checks what is learned from their reports.
func (s *simulation) checkEstimates() {
	s.t.Helper()
	t := s.t
	s.submitSpeedLoad(30*time.Second, 180*time.Millisecond, 3*time.Second)
	for range 120 {
		s.run(250 * time.Millisecond)
		s.core.Begin(s.now, s.now)
		for _, w := range s.core.sortedWorkers() {
			if v := w.relativeSpeed(); v < 0.7 || v > 1.4 {
				t.Errorf("%s has the speed %.2f, want about 1", w.ID, v)
			}
			for _, r := range w.runs {
				if at, ok := s.core.estimateEnd(r); ok && (at.Before(s.now) || at.Sub(s.now) > time.Minute) {
					t.Errorf("%s is expected to end in %s", r.task, at.Sub(s.now))
				}
			}
		}
	}
	if len(s.speeds.changes) > 0 {
		t.Errorf("workers counted as degraded: %v", s.speeds.changes)
	}
	s.finish(time.Minute)
}
