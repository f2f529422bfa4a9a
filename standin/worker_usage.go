package standin

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// A task uses three quarters of the processor time and memory that it asked for,
// so that reports of usage and of size can be told apart.
const (
	usedNumerator   = 3
	usedDenominator = 4
)

// throttle is the bound on what a task may use, and the one before it, which
// shows in reports until the lag has passed.
type throttle struct {
	limit, before task.Resources
	since         time.Time
}

// throttle bounds what a running attempt uses from now on.
func (m *machine) throttle(now time.Time, req worker.ThrottleRequest) (worker.LookupReply, *worker.Rejection) {
	if rejection := m.checkEpoch(now, req.Epoch); rejection != nil {
		return worker.LookupReply{}, rejection
	}
	if r := m.running[req.Attempt]; r != nil {
		r.throttle = throttle{limit: req.Limit, before: r.throttle.limit, since: now}
	}
	return m.lookup(now, req.Attempt), nil
}

// measure updates the usage in the reports of running tasks. Usage is as old
// as the configured lag.
func (m *machine) measure(now time.Time) {
	seen := now.Add(-m.config.UsageLag)
	for _, r := range m.sortedRunning() {
		if usage := r.usageAt(seen); usage != r.report.Usage {
			r.report.Usage = usage
			m.touch(r)
		}
	}
}

func (r *record) usageAt(at time.Time) task.Resources {
	if at.Before(r.startedAt) {
		return task.Resources{}
	}
	usage := r.report.Size
	usage.CPUMilli = usage.CPUMilli * usedNumerator / usedDenominator
	usage.MemoryMB = usage.MemoryMB * usedNumerator / usedDenominator
	limit := r.throttle.limit
	if at.Before(r.throttle.since) {
		limit = r.throttle.before
	}
	if limit.CPUMilli > 0 {
		usage.CPUMilli = min(usage.CPUMilli, limit.CPUMilli)
	}
	if limit.MemoryMB > 0 {
		usage.MemoryMB = min(usage.MemoryMB, limit.MemoryMB)
	}
	return usage
}
