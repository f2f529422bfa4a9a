package standin

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// A simulated task uses three quarters of its CPU and memory size, so that reported usage differs
// from the reported size.
const (
	usedNumerator   = 3
	usedDenominator = 4
)

// throttle holds the limit on the usage of a task since a point in time, and the limit before that,
// which determines the reported usage until the usage lag has passed.
type throttle struct {
	limit, previous task.Resources
	since           time.Time
}

// throttle limits the usage of a running attempt from now on.
func (m *machine) throttle(now time.Time, req worker.ThrottleRequest) (worker.LookupReply, *worker.Rejection) {
	if rejection := m.checkEpoch(now, req.Epoch); rejection != nil {
		return worker.LookupReply{}, rejection
	}
	if r := m.running[req.Attempt]; r != nil {
		r.throttle = throttle{limit: req.Limit, previous: r.throttle.limit, since: now}
	}
	return m.lookup(now, req.Attempt), nil
}

// updateUsage sets the reported usage of running tasks to their usage at the time now minus the
// configured lag.
func (m *machine) updateUsage(now time.Time) {
	sampledAt := now.Add(-m.config.UsageLag)
	for _, r := range m.sortedRunning() {
		if usage := r.usageAt(sampledAt); usage != r.report.Usage {
			r.report.Usage = usage
			m.markChanged(r)
		}
	}
}

// usageAt returns the usage of the task at the time sampledAt.
func (r *record) usageAt(sampledAt time.Time) task.Resources {
	if sampledAt.Before(r.startedAt) {
		return task.Resources{}
	}
	usage := r.report.Size
	usage.CPUMilli = usage.CPUMilli * usedNumerator / usedDenominator
	usage.MemoryMB = usage.MemoryMB * usedNumerator / usedDenominator
	limit := r.throttle.limit
	if sampledAt.Before(r.throttle.since) {
		limit = r.throttle.previous
	}
	if limit.CPUMilli > 0 {
		usage.CPUMilli = min(usage.CPUMilli, limit.CPUMilli)
	}
	if limit.MemoryMB > 0 {
		usage.MemoryMB = min(usage.MemoryMB, limit.MemoryMB)
	}
	return usage
}
