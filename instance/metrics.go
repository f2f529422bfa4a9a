package instance

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// requestMetrics are the metrics of an instance's requests. docs/OPERATIONS.md describes
// each metric.
type requestMetrics struct {
	registry   metrics.Registry
	acceptTime metrics.Histogram // duration of accepted submissions in microseconds
	taskWait   metrics.Histogram // time from the arrival of a job to the start order of a task in milliseconds
}

func newRequestMetrics(registry metrics.Registry) requestMetrics {
	const (
		// Reservoir size and decay factor that go-metrics recommends for a sample that
		// is weighted toward the last five minutes.
		sampleSize  = 1028
		sampleDecay = 0.015
	)
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return requestMetrics{registry: registry, acceptTime: histogram("request.accept_us"), taskWait: histogram("task.wait_ms")}
}

// recordSubmission records the duration of an accepted submission, and counts each
// submission by its outcome.
func (m *requestMetrics) recordSubmission(took time.Duration, err error) {
	if err == nil {
		m.acceptTime.Update(took.Microseconds())
		metrics.GetOrRegisterCounter("request.accepted_count", m.registry).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("request.error_count."+string(errkind.From(err).Kind), m.registry).Inc(1)
}
