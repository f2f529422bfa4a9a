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

// exitStopped is the exit code of a task that was ended from outside.
const exitStopped = 143

// machine is the state of one boot of a worker. It is a pure function of the
// calls and the times passed to them; Worker adds the loop and the faults.
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
	ledger     *oracle.WorkerLedger // outlives the boot
}

// record is one attempt that was started and is not yet acknowledged.
type record struct {
	report    worker.TaskReport
	result    []byte
	exit      int
	startedAt time.Time
	endsAt    time.Time // zero for a task that runs until it is stopped
	startBy   time.Duration
	changed   uint64 // sequence of the last change
	throttle  throttle
	run       int           // index in the ledger
	ended     chan struct{} // closed at the end
}

// tombstone remembers an attempt that must not start until the given reading.
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

// clock returns the reading of the worker's monotonic clock.
func (m *machine) clock(now time.Time) time.Duration { return now.Sub(m.bootedAt) }

// next returns when the next task ends, or the zero time.
func (m *machine) next() time.Time {
	var next time.Time
	for _, r := range m.running {
		at, _ := m.endOf(r)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// endOf returns when r ends if no call intervenes, and in which state.
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

// advance ends every task whose end or lease end is not after now.
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
	m.dropTombstones(now)
}

func (m *machine) dropTombstones(now time.Time) {
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

// end records the outcome of a running task.
func (m *machine) end(at time.Time, r *record, state worker.TaskState, reason string) {
	if state != worker.Finished {
		r.result, r.exit = nil, exitStopped
	}
	if state == worker.Finished && r.exit != 0 {
		reason = string(errkind.TaskFailed)
	}
	r.report.State = state
	r.report.ResultBytes = int64(len(r.result))
	r.report.Outcome = &task.Outcome{
		Attempt:  r.report.Attempt,
		State:    task.Finished,
		ExitCode: r.exit,
		Reason:   reason,
		Worker:   m.config.Name,
		RunTime:  at.Sub(r.startedAt),
		Digest:   worker.Digest(r.result),
	}
	m.used = m.used.Sub(r.report.Size)
	delete(m.running, r.report.Attempt)
	m.touch(r)
	entry := &m.ledger.Runs[r.run]
	entry.End, entry.State = wall(at), string(state)
	entry.ResultDigest, entry.ResultBytes = r.report.Outcome.Digest, r.report.ResultBytes
	close(r.ended)
}

// halt ends everything that runs, as a reboot does.
func (m *machine) halt(now time.Time) {
	for _, r := range m.running {
		m.ledger.Runs[r.run].End = wall(now)
		m.ledger.Runs[r.run].State = "lost"
		close(r.ended)
	}
}

// sortedRunning returns the running tasks in a fixed order.
func (m *machine) sortedRunning() []*record {
	return slices.SortedFunc(maps.Values(m.running), func(a, b *record) int {
		return compareAttempts(a.report.Attempt, b.report.Attempt)
	})
}

// touch gives r the next sequence number.
func (m *machine) touch(r *record) {
	m.sequence++
	r.changed = m.sequence
}

// wall drops the monotonic reading, which has no meaning outside the process.
func wall(t time.Time) time.Time { return t.Round(0) }
