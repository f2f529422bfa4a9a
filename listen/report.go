package listen

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/intake"
)

// reportInterval is the time over which decisions are counted before they are logged in one line.
const reportInterval = 5 * time.Second

// Causes for which connections are closed.
const (
	closedForOther      = "for_other"   // the budget was needed for another connection
	closedForHeaders    = "headers"     // above the limit
	closedForHeaderTime = "header_time" // headers were not received in time
	closedForBodyTime   = "body_time"   // a body made no progress
	closedIdle          = "idle"
)

// Counters of a budget; the first three are followed by a cause.
const (
	refusedConnection = "refused_connection_count."
	refusedRequest    = "refused_request_count."
	closedCount       = "closed_count."
	acceptErrors      = "accept_error_count"
)

// Report counts the decisions about clients, and logs how many there were in each interval in which
// there were any.
type Report struct {
	budget   *intake.Budget
	name     string
	registry metrics.Registry
	logEvent func(event string, fields ...any)

	mu     sync.Mutex
	counts map[string]int // since the last line; nil if no line is due
	last   error          // of Accept
}

// NewReport returns a report of a budget, and registers its metrics. The name distinguishes the budgets
// of a process.
func NewReport(name string, budget *intake.Budget, registry metrics.Registry, logEvent func(event string, fields ...any)) *Report {
	name = "intake." + name
	for _, metric := range []string{
		refusedConnection + string(intake.CauseConnections), refusedConnection + string(intake.CauseMemory),
		refusedRequest + string(intake.CauseMemory), acceptErrors,
		closedCount + closedForOther, closedCount + closedForHeaders, closedCount + closedForHeaderTime,
		closedCount + closedForBodyTime, closedCount + closedIdle,
	} {
		metrics.GetOrRegisterCounter(name+"."+metric, registry)
	}
	gauge := func(metric string, value func() int64) {
		// The name is new in the registry of a process.
		_ = registry.Register(name+"."+metric, metrics.NewFunctionalGauge(value))
	}
	gauge("connections", func() int64 { return int64(budget.Stats().Connections) })
	gauge("charged_bytes", func() int64 { return budget.Stats().Bytes })
	return &Report{budget: budget, name: name, registry: registry, logEvent: logEvent}
}

func (r *Report) refusedConnection(cause intake.Cause) {
	r.count(refusedConnection + string(cause))
}

func (r *Report) refusedRequest(cause intake.Cause) {
	r.count(refusedRequest + string(cause))
}
func (r *Report) closedConnection(cause string) { r.count(closedCount + cause) }

func (r *Report) acceptFailed(err error) {
	r.count(acceptErrors)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = err
}

func (r *Report) count(metric string) {
	metrics.GetOrRegisterCounter(r.name+"."+metric, r.registry).Inc(1)
	if metric == closedCount+closedIdle {
		return // the ordinary end of a connection
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
		time.AfterFunc(reportInterval, r.log)
	}
	r.counts[metric]++
}

// log writes the line of an interval.
func (r *Report) log() {
	r.mu.Lock()
	counts, last := r.counts, r.last
	r.counts, r.last = nil, nil
	r.mu.Unlock()
	stats, limits := r.budget.Stats(), r.budget.Limits()
	fields := []any{"budget", r.name, "connections", stats.Connections, "of", limits.Connections,
		"bytes", stats.Bytes, "of_bytes", limits.Memory, "sources", stats.Sources}
	for _, metric := range slices.Sorted(maps.Keys(counts)) {
		fields = append(fields, metric, counts[metric])
	}
	if last != nil {
		fields = append(fields, "accept_error", last)
	}
	r.logEvent("clients limited", fields...)
}
