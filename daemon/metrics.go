package daemon

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// Names of the metrics, with their units. docs/OPERATIONS.md explains each.
const (
	metricControlQueue     = "control.queue_events"
	metricAllowanceRefused = "control.allowance_refused_count"
	metricUnitsHeld        = "control.units_held_count"
	metricRequestKind      = "request.kind_count."  // and the kind of work
	metricRequestError     = "request.error_count." // and the error kind
	metricWait             = "task.wait_ms."        // and the team
	metricStartSent        = "task.start_sent_count"
	metricStartNotRun      = "task.start_not_run_count"
	metricStartUnclear     = "task.start_unclear_count"
	metricReportResent     = "entry.report_resent_count"
	metricNearBytes        = "entry.near_bytes"
	metricCrossBytes       = "entry.cross_region_bytes"
	metricDigestBytes      = "entry.digest_bytes"
	metricStoreCalls       = "store.call_count." // and the call and its outcome
	metricStoreTime        = "store.call_us."    // and the call
	metricEventsDropped    = "timeline.dropped_count"
)

const (
	// Size and decay of the samples of histograms: go-metrics recommends these
	// for the latest five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// meters records what traffic goroutines see. Its metrics are atomic or have a
// lock of their own that is held for one update.
type meters struct{ registry metrics.Registry }

func (m meters) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m meters) observe(name string, value int64) {
	histogram := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	histogram.(metrics.Histogram).Update(value)
}

// request counts a submission by the kind of its work, or by its error.
func (m meters) request(kind task.Kind, err error) {
	if err != nil {
		m.count(metricRequestError + string(errkind.From(err).Kind))
		return
	}
	m.count(metricRequestKind + string(kind))
}

// start counts a start and how long the task waited for it.
func (m meters) start(done control.StartDone) {
	m.count(metricStartSent)
	switch done.Result {
	case control.StartNotRun:
		m.count(metricStartNotRun)
	case control.StartUnclear:
		m.count(metricStartUnclear)
	default:
		m.observe(metricWait+string(done.Start.Team), done.Start.Waited.Milliseconds())
	}
}

// storeCall counts a call to the store by its outcome and takes its time. A
// transaction whose comparison failed is a call that succeeded.
func (m meters) storeCall(call string, started time.Time, err error) {
	m.count(metricStoreCalls + call + "." + storeOutcome(err))
	m.observe(metricStoreTime+call, time.Since(started).Microseconds())
}

func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, store.ErrRejected):
		return "rejected"
	case errors.Is(err, store.ErrLeaseGone):
		return "lease_gone"
	case errors.Is(err, store.ErrCompacted):
		return "compacted"
	}
	return "unclear"
}

// trafficCounter is an EntryCaller that counts bytes.
type trafficCounter interface {
	Bytes() (near, across int64)
	DigestBytes() int64
}

// registerGauges registers what is read when an operator asks for it.
func registerGauges(registry metrics.Registry, loop *control.Loop, recorder *timeline.Recorder, entries EntryCaller) {
	gauge := func(name string, read func() int64) { _ = registry.Register(name, metrics.NewFunctionalGauge(read)) }
	for _, name := range []string{metricStartSent, metricStartNotRun, metricStartUnclear, metricReportResent} {
		metrics.GetOrRegisterCounter(name, registry) // shown as 0 before the first one
	}
	gauge(metricControlQueue, func() int64 { return int64(loop.Queued()) })
	gauge(metricAllowanceRefused, func() int64 { return int64(loop.AllowanceRefused()) })
	gauge(metricUnitsHeld, func() int64 { return unitsHeld(loop.Snapshot(), time.Now()) })
	gauge(metricEventsDropped, func() int64 { return int64(recorder.Dropped()) })
	if traffic, ok := entries.(trafficCounter); ok {
		gauge(metricNearBytes, func() int64 { near, _ := traffic.Bytes(); return near })
		gauge(metricCrossBytes, func() int64 { _, across := traffic.Bytes(); return across })
		gauge(metricDigestBytes, traffic.DigestBytes)
	}
}

func unitsHeld(s *control.Snapshot, now time.Time) int64 {
	var held int64
	for _, term := range s.Terms {
		if now.Before(term.End) {
			held++
		}
	}
	return held
}
