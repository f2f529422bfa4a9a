package standin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// exitStopped is the exit code of a task that was stopped before it completed: 128 + SIGTERM.
const exitStopped = 143

// machine is the state machine of a worker during one boot. Its state depends only on the calls and
// the times passed to them; Worker adds the loop and the faults.
type machine struct {
	config     WorkerConfig
	bootID     string
	bootedAt   time.Time
	epoch      uint64
	sequence   uint64
	leaving    bool
	failTasks  bool
	used       task.Resources
	records    map[task.Attempt]*record
	running    map[task.Attempt]*record
	tombstones map[task.Attempt]tombstone
	ledger     *oracle.WorkerLedger // kept across boots
}

// record is an attempt that was started and is not yet acknowledged.
type record struct {
	report         worker.TaskReport
	result         []byte
	exitCode       int
	startedAt      time.Time
	endsAt         time.Time // zero for a task that runs until it is stopped
	startBy        time.Duration
	changeSequence uint64 // sequence number of the last change
	throttle       throttle
	runIndex       int           // index in ledger.Runs
	ended          chan struct{} // closed when the task ends
}

// tombstone records an attempt that must not be started until the worker's clock has passed until.
type tombstone struct {
	until time.Duration
	ran   bool // acknowledged, as opposed to stopped before its start
}

func newMachine(now time.Time, config WorkerConfig, boot int, ledger *oracle.WorkerLedger) *machine {
	return &machine{
		config:     config,
		bootID:     fmt.Sprintf("%x-%d", now.UnixNano(), boot),
		bootedAt:   now,
		records:    make(map[task.Attempt]*record),
		running:    make(map[task.Attempt]*record),
		tombstones: make(map[task.Attempt]tombstone),
		ledger:     ledger,
	}
}

// clock returns the reading of the worker's monotonic clock, which starts at zero with each boot.
func (m *machine) clock(now time.Time) time.Duration { return now.Sub(m.bootedAt) }

// nextEnd returns the earliest end of a running task, or the zero time if no end is due.
func (m *machine) nextEnd() time.Time {
	var next time.Time
	for _, r := range m.running {
		at, _ := m.endOf(r)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// endOf returns the time at which r ends if no call ends it earlier, and the state in which it
// ends.
func (m *machine) endOf(r *record) (time.Time, worker.TaskState) {
	leaseEnd := m.bootedAt.Add(r.report.LeaseUntil)
	switch {
	case m.config.IgnoreValidity:
		return r.endsAt, worker.Finished
	case !r.endsAt.IsZero() && r.endsAt.Before(leaseEnd):
		return r.endsAt, worker.Finished
	}
	return leaseEnd, worker.Stopped
}

// advance ends every task that has completed or whose lease has expired by now, and deletes expired
// tombstones.
func (m *machine) advance(now time.Time) {
	var due []*record
	for _, r := range m.running {
		if at, _ := m.endOf(r); !at.IsZero() && !at.After(now) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int {
		endA, _ := m.endOf(a)
		endB, _ := m.endOf(b)
		return cmp.Or(endA.Compare(endB), compareAttempts(a.report.Attempt, b.report.Attempt))
	})
	for _, r := range due {
		at, state := m.endOf(r)
		reason := ""
		if state == worker.Stopped {
			reason = string(errkind.WorkerLost)
		}
		m.end(at, r, state, reason)
	}
	m.dropExpiredTombstones(now)
}

func (m *machine) dropExpiredTombstones(now time.Time) {
	clock := m.clock(now)
	for a, t := range m.tombstones {
		if t.until < clock {
			delete(m.tombstones, a)
		}
	}
}

func compareAttempts(a, b task.Attempt) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

// end ends a running task and records its outcome.
func (m *machine) end(at time.Time, r *record, state worker.TaskState, reason string) {
	if state != worker.Finished {
		r.result, r.exitCode = nil, exitStopped
	}
	if state == worker.Finished && r.exitCode != 0 {
		reason = string(errkind.TaskFailed)
	}
	r.report.State = state
	r.report.ResultBytes = int64(len(r.result))
	r.report.Outcome = &task.Outcome{
		Attempt:  r.report.Attempt,
		State:    task.Finished,
		ExitCode: r.exitCode,
		Reason:   reason,
		Worker:   m.config.Name,
		RunTime:  at.Sub(r.startedAt),
		Digest:   worker.Digest(r.result),
	}
	m.used = m.used.Sub(r.report.Size)
	delete(m.running, r.report.Attempt)
	m.markChanged(r)
	run := &m.ledger.Runs[r.runIndex]
	run.End, run.State = wallTime(at), string(state)
	run.ResultDigest, run.ResultBytes = r.report.Outcome.Digest, r.report.ResultBytes
	close(r.ended)
}

// abortRunning ends all running tasks without an outcome, as the reboot of a worker does.
func (m *machine) abortRunning(now time.Time) {
	for _, r := range m.running {
		m.ledger.Runs[r.runIndex].End = wallTime(now)
		m.ledger.Runs[r.runIndex].State = "lost"
		close(r.ended)
	}
}

// sortedRunning returns the running tasks in the order of their attempts.
func (m *machine) sortedRunning() []*record {
	return slices.SortedFunc(maps.Values(m.running), func(a, b *record) int {
		return compareAttempts(a.report.Attempt, b.report.Attempt)
	})
}

// markChanged assigns the next sequence number to r, so that the next report includes it.
func (m *machine) markChanged(r *record) {
	m.sequence++
	r.changeSequence = m.sequence
}

// wallTime strips the monotonic clock reading, which has no meaning outside the process.
func wallTime(t time.Time) time.Time { return t.Round(0) }
