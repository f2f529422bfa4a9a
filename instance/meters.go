package instance

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// meters are the metrics of an instance's requests. docs/OPERATIONS.md describes each
// metric.
type meters struct {
	registry   metrics.Registry
	acceptTime metrics.Histogram // us, duration of accepted submissions
	taskWait   metrics.Histogram // ms, from the arrival of a job to the start order of a task
}

func newMeters(registry metrics.Registry) meters {
	const (
		// Size and decay that go-metrics recommends for the latest five minutes.
		sampleSize  = 1028
		sampleDecay = 0.015
	)
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return meters{registry: registry, acceptTime: histogram("request.accept_us"), taskWait: histogram("task.wait_ms")}
}

// submitted counts one submission by its outcome.
func (m *meters) submitted(took time.Duration, err error) {
	if err == nil {
		m.acceptTime.Update(took.Microseconds())
		metrics.GetOrRegisterCounter("request.accepted_count", m.registry).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("request.error_count."+string(errkind.From(err).Kind), m.registry).Inc(1)
}
