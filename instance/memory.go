package instance

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/cell"
)

// memoryReportInterval is the minimum time between two log lines about refusals for want of memory.
const memoryReportInterval = 5 * time.Second

// memoryRefusals counts the submissions that are refused because the memory for accepted jobs is exhausted.
// One log line in memoryReportInterval states how many were.
type memoryRefusals struct {
	logEvent func(event string, fields ...any)

	mu       sync.Mutex
	counts   map[string]int // since the last line, by cause
	loggedAt time.Time
}

func (r *memoryRefusals) add(now time.Time, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[cause]++
	if now.Sub(r.loggedAt) < memoryReportInterval {
		return
	}
	r.loggedAt = now
	fields := []any{}
	for _, c := range memoryCauses {
		fields = append(fields, c, r.counts[c])
	}
	clear(r.counts)
	r.logEvent("jobs refused for want of memory", fields...)
}

// Metrics of the memory for accepted jobs. The first four are those of the owner.
const (
	heldBytesMetric      = "memory.jobs_bytes"
	heldReservedMetric   = "memory.reserved_bytes" // part of jobs_bytes: admitted, not known to be recorded
	heldLimitMetric      = "memory.limit_bytes"
	heldJobsMetric       = "memory.jobs"
	unusedAllowanceGauge = "memory.allowance_bytes"
)

// showAllowance sets the metric of what this instance may accept without asking the owner.
func (m *requestMetrics) showAllowance(bytes int64) {
	metrics.GetOrRegisterGauge(unusedAllowanceGauge, m.registry).Update(bytes)
}

// showHeldMemory sets the metrics of the owner; all are 0 on other instances.
func (m *requestMetrics) showHeldMemory(e cell.ShowHeldMemory) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, m.registry).Update(value) }
	set(heldBytesMetric, e.Bytes)
	set(heldReservedMetric, e.Reserved)
	set(heldLimitMetric, e.Limit)
	set(heldJobsMetric, int64(e.Jobs))
}
