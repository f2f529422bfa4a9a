package timeline

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkRecord measures how long Record blocks the control goroutine while
// operators read the timeline continuously.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("i", "1", 1<<16)
	for range 1 << 16 {
		r.Record(startTime, Event{Type: TaskStarted, Task: "t"})
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				r.Events(Filter{Task: "another"})
			}
		}
	}()
	var samples []time.Duration
	for b.Loop() {
		before := time.Now()
		r.Record(before, Event{Type: TaskStarted, Task: "t"})
		samples = append(samples, time.Since(before))
	}
	close(stop)
	<-stopped
	slices.Sort(samples)
	sum := time.Duration(0)
	for _, d := range samples {
		sum += d
	}
	b.ReportMetric(float64(sum.Nanoseconds())/1e3/float64(len(samples)), "mean-us")
	for name, perMille := range map[string]int{"p50-us": 500, "p99-us": 990, "p99.9-us": 999} {
		b.ReportMetric(float64(samples[len(samples)*perMille/1000].Nanoseconds())/1e3, name)
	}
}
