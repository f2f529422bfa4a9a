package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestFirstPollsOfNewOwner guards against a new owner that polls thousands of workers at once, each over a new
// connection, and loses its ownership meanwhile, and against workers that do not answer and hold up the others.
func TestFirstPollsOfNewOwner(t *testing.T) {
	const (
		workers = 3000
		silent  = workers / 10
		within  = 4 * time.Second // the polls of the silent workers take 1 s each
	)
	s := newSimulation(t, 31, 0)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		w := s.newWorker(Worker{ID: id, Incarnation: 1, Address: id, Service: "calc", Rack: fmt.Sprint("r", i/20), Capacity: task.Resources{CPUMilli: 16_000, MemoryMB: 32 << 10}})
		w.partitioned = i%(workers/silent) == 0
		s.workers[id] = w
	}
	s.takeOver()
	most := 0
	for end := s.now.Add(within); s.now.Before(end); {
		s.run(10 * time.Millisecond)
		inFlight, answered := 0, 0
		for _, w := range s.core.workers {
			switch {
			case w.fenced:
				answered++
			case w.polling && w.missedReports == 0:
				inFlight++
			}
		}
		most = max(most, inFlight)
		if answered == workers-silent {
			break
		}
	}
	if most > maxFirstPolls {
		t.Errorf("%d workers are polled for the first time at once, want at most %d", most, maxFirstPolls)
	}
	for id, w := range s.core.workers {
		if !w.fenced && !s.workers[id].partitioned {
			t.Fatalf("%s was not polled within %s", id, within)
		}
	}
}
