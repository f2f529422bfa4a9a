package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// forEachFleet runs a benchmark for each fleet size, with one success and one failure on each worker.
func forEachFleet(b *testing.B, run func(b *testing.B, m *Monitor, workers int)) {
	for _, workers := range []int{50, 500, 8200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m := newMonitor(workers)
			for i := range workers {
				m.Observe(start, Outcome{workerName(i), classNamed("x"), task.ID(fmt.Sprint(i)), true})
				m.Observe(start, Outcome{workerName(i), classNamed("x"), task.ID(fmt.Sprint("f", i)), false})
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, m, workers)
		})
	}
}

// BenchmarkObserveSuccess measures Observe for a success.
func BenchmarkObserveSuccess(b *testing.B) {
	forEachFleet(b, func(b *testing.B, m *Monitor, workers int) {
		o := Outcome{workerName(workers / 2), classNamed("x"), "job", true}
		for range b.N {
			m.Observe(start, o)
		}
	})
}

// BenchmarkObserveFailure measures Observe for a failure on a worker with many failures.
func BenchmarkObserveFailure(b *testing.B) {
	forEachFleet(b, func(b *testing.B, m *Monitor, workers int) {
		jobs := make([]task.ID, 1000)
		for i := range jobs {
			jobs[i] = task.ID(fmt.Sprint("job-", i))
		}
		name := workerName(workers / 2)
		for i := range b.N {
			m.Observe(start.Add(time.Duration(i)), Outcome{name, classNamed("x"), jobs[i%len(jobs)], false})
		}
	})
}

// BenchmarkQuarantineDeferred measures QuarantineDeferred and BeginDueProbes, which package control
// calls once a second.
func BenchmarkQuarantineDeferred(b *testing.B) {
	forEachFleet(b, func(b *testing.B, m *Monitor, _ int) {
		for range b.N {
			m.QuarantineDeferred(start)
			m.BeginDueProbes(start)
		}
	})
}
