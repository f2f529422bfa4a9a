package instance

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// requestMetrics are the metrics of an instance's requests. docs/OPERATIONS.md describes
// each metric.
type requestMetrics struct {
	registry   metrics.Registry
	acceptTime metrics.Histogram // duration of accepted submissions in microseconds
	taskWait   metrics.Histogram // time from the arrival of a job to the start order of a task in milliseconds

	pastUseNames  map[string]struct{} // gauges of past use; accessed by the control goroutine only
	forecastError metrics.Histogram   // by how much later than forecast jobs started, in milliseconds; on the owner
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
	return requestMetrics{
		registry: registry, pastUseNames: make(map[string]struct{}), acceptTime: histogram("request.accept_us"),
		taskWait: histogram("task.wait_ms"), forecastError: histogram("admission.forecast_error_ms"),
	}
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

// Metrics of the cancellations of jobs that the owner does not know.
const (
	tombstonesMetric     = "cancel.tombstone_count"
	limitedCancelsMetric = "cancel.limited_count"
)

// count adds one to a counter.
func (m *requestMetrics) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

// Prefixes of the gauges of past use, which the names of teams follow.
const (
	PastUseSharePrefix = "use.share."    // average share of the capacity in the dominant resource
	PastUseShiftPrefix = "use.shift_ms." // shift of the waiting work in the order of placement
)

// showPastUse sets the gauges of past use and removes those of other teams. Only the owner has them.
func (m *requestMetrics) showPastUse(p schedule.PastUse) {
	shown := make(map[string]struct{}, 2*len(p.Teams))
	set := func(name string, value float64) {
		metrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(value)
		shown[name] = struct{}{}
	}
	for _, t := range p.Teams {
		set(PastUseSharePrefix+t.Team, t.Use)
		set(PastUseShiftPrefix+t.Team, float64(t.Shift.Milliseconds()))
	}
	for name := range m.pastUseNames {
		if _, found := shown[name]; !found {
			m.registry.Unregister(name)
		}
	}
	m.pastUseNames = shown
}

// recordAdmission counts an answer of the owner to an admission query.
func (m *requestMetrics) recordAdmission(a schedule.Admission) {
	if a.Rejected {
		metrics.GetOrRegisterCounter("admission.rejected_count."+a.Cause, m.registry).Inc(1)
	}
	if a.Returned {
		metrics.GetOrRegisterCounter("admission.returned_count", m.registry).Inc(1)
	}
}
