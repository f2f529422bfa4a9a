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
	metricShortWorkBytes   = "control.short_work_bytes"
	metricPlacedWorkBytes  = "control.placed_work_bytes"
	metricRequestKind      = "request.kind_count."  // followed by the kind of work
	metricRequestError     = "request.error_count." // followed by the error kind
	metricTaskWait         = "task.wait_ms."        // followed by the team
	metricStartSent        = "task.start_sent_count"
	metricStartNotRun      = "task.start_not_run_count"
	metricStartUnclear     = "task.start_unclear_count"
	metricReportResent     = "entry.report_resent_count"
	metricSameRegionBytes  = "entry.near_bytes"
	metricCrossRegionBytes = "entry.cross_region_bytes"
	metricDigestBytes      = "entry.digest_bytes"
	metricStoreCalls       = "store.call_count." // followed by the call and its outcome
	metricStoreTime        = "store.call_us."    // followed by the call
	metricEventsDropped    = "timeline.dropped_count"
)

const (
	// Size and decay of histogram samples: the values that go-metrics recommends for a window of five
	// minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// meters records metrics from the traffic goroutines. Every metric is atomic or has its own lock,
// which is held only during an update.
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

// countRequest counts a submission by its kind of work if it succeeded, and by its error kind
// otherwise.
func (m meters) countRequest(kind task.Kind, err error) {
	if err != nil {
		m.count(metricRequestError + string(errkind.From(err).Kind))
		return
	}
	m.count(metricRequestKind + string(kind))
}

// countStart counts an attempt to start a task by its outcome and records the task's waiting time.
func (m meters) countStart(done control.StartDone) {
	m.count(metricStartSent)
	switch done.Result {
	case control.StartNotRun:
		m.count(metricStartNotRun)
	case control.StartUnclear:
		m.count(metricStartUnclear)
	default:
		m.observe(metricTaskWait+string(done.Start.Team), done.Start.WaitTime.Milliseconds())
	}
}

// recordStoreCall counts a call to the store by its outcome and records its duration. A transaction
// whose comparison failed counts as a successful call.
func (m meters) recordStoreCall(call string, started time.Time, err error) {
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

// byteCounter is implemented by an EntryClient that counts bytes.
type byteCounter interface {
	Bytes() (sameRegion, crossRegion int64)
	DigestBytes() int64
}

// registerGauges registers the gauges that are evaluated when the metrics are read.
func registerGauges(registry metrics.Registry, loop *control.Loop, recorder *timeline.Recorder, entries EntryClient) {
	gauge := func(name string, read func() int64) { _ = registry.Register(name, metrics.NewFunctionalGauge(read)) }
	for _, name := range []string{metricStartSent, metricStartNotRun, metricStartUnclear, metricReportResent} {
		metrics.GetOrRegisterCounter(name, registry) // reported as 0 before the first event
	}
	gauge(metricControlQueue, func() int64 { return int64(loop.QueuedEvents()) })
	gauge(metricAllowanceRefused, func() int64 { return int64(loop.AllowanceRefusals()) })
	gauge(metricShortWorkBytes, func() int64 { short, _ := loop.WorkMemory(); return short })
	gauge(metricPlacedWorkBytes, func() int64 { _, placed := loop.WorkMemory(); return placed })
	gauge(metricUnitsHeld, func() int64 { return unitsHeld(loop.Snapshot(), time.Now()) })
	gauge(metricEventsDropped, func() int64 { return int64(recorder.Dropped()) })
	if traffic, ok := entries.(byteCounter); ok {
		gauge(metricSameRegionBytes, func() int64 { sameRegion, _ := traffic.Bytes(); return sameRegion })
		gauge(metricCrossRegionBytes, func() int64 { _, crossRegion := traffic.Bytes(); return crossRegion })
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
