package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// newStopTest returns a Core with a window of two orders and running tasks on the given workers, one for
// each name.
func newStopTest(now time.Time, workers ...string) (*Core, []*run) {
	c := New(now, DefaultConfig(), 1, &job.Catalog{}, nil)
	c.Begin(now, now)
	c.window.size = 2
	var runs []*run
	for i, id := range workers {
		w := c.workers[id]
		if w == nil {
			w = &worker{Worker: Worker{ID: id}, runs: make(map[job.TaskKey]*run)}
			c.workers[id] = w
		}
		key := job.TaskKey{StepKey: job.StepKey{Job: job.ID(fmt.Sprintf("%016x", i))}}
		r := &run{task: key, number: 1, worker: w, state: runRunning}
		c.addRun(r)
		runs = append(runs, r)
	}
	return c, runs
}

// takeStops returns the stop orders among the effects since the last call.
func takeStops(c *Core) (stops []Stop) {
	for _, e := range c.effects {
		if s, ok := e.(Stop); ok {
			stops = append(stops, s)
		}
	}
	c.effects = nil
	return stops
}

// TestStopsBesideSilentWorker guards against stop orders that are not sent because the repeated ones to a
// worker that does not answer fill the window.
func TestStopsBesideSilentWorker(t *testing.T) {
	now := time.Unix(1_000, 0)
	c, runs := newStopTest(now, "w0", "w0", "w0", "w0", "w1")
	for _, r := range runs {
		c.stop(r)
	}
	for range 5 {
		inFlight := takeStops(c)
		now = now.Add(700 * time.Millisecond)
		c.Begin(now, now)
		for _, s := range inFlight {
			if s.Worker == "w1" {
				return
			}
			c.StopDone(StopDone{Stop: s, Verdict: Unclear})
		}
		c.sendDueStops()
	}
	t.Error("no stop order was sent to w1 within 3.5 s")
}

// TestAnsweredStopIsNotRepeated guards against a stop order that is repeated because of its own late
// answer.
func TestAnsweredStopIsNotRepeated(t *testing.T) {
	now := time.Unix(1_000, 0)
	c, runs := newStopTest(now, "w0", "w0", "w0")
	for _, r := range runs {
		c.stop(r)
	}
	inFlight := takeStops(c)
	now = now.Add(c.cfg.StopRetryInterval)
	c.Begin(now, now)
	c.removeRun(runs[2]) // it has ended, so that only the orders in flight are due
	c.StopDone(StopDone{Stop: inFlight[0], Verdict: Accepted})
	for _, s := range takeStops(c) {
		if s.Task == inFlight[0].Task {
			t.Errorf("the stop order for %s was repeated after its answer", s.Task)
		}
	}
}

// TestHeldStopsAreNotSorted guards against a Tick, of which there are a hundred per second, that collects
// and sorts thousands of stop orders while the window is full. It counts allocations, which do not depend
// on the speed of the machine.
func TestHeldStopsAreNotSorted(t *testing.T) {
	now := time.Unix(1_000, 0)
	workers := make([]string, 1_000)
	for i := range workers {
		workers[i] = fmt.Sprintf("w%03d", i%100)
	}
	c, runs := newStopTest(now, workers...)
	for _, r := range runs {
		c.stop(r)
	}
	if n := testing.AllocsPerRun(10, c.sendDueStops); n > 0 {
		t.Errorf("%v allocations while the window is full", n)
	}
	sent := 0
	for inFlight := takeStops(c); len(inFlight) > 0; inFlight = takeStops(c) {
		for _, s := range inFlight {
			sent++
			c.StopDone(StopDone{Stop: s, Verdict: Accepted})
		}
	}
	if sent != len(runs) {
		t.Errorf("%d stop orders were sent, want %d", sent, len(runs))
	}
}
