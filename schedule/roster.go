package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// closeDelay is the delay before a worker that did not answer its last order is closed and its
	// runs are listed in the roster: most such workers answer the next poll.
	closeDelay = time.Second
	// closeMissedReports is the number of consecutive missed reports from which a silent worker is
	// closed without waiting for closeDelay.
	closeMissedReports = 2
)

// unresolvedWorker is a worker on which runs of a former owner may exist.
type unresolvedWorker struct {
	leaseExpiry time.Time // by which all leases of the former owners have expired
	closed      bool      // only the listed tasks can run there
	tasks       []job.TaskKey
}

// addUnresolved records which tasks may still run on a worker of a former owner.
func (c *Core) addUnresolved(r RosterEntry, leaseExpiry time.Time) {
	u := unresolvedWorker{leaseExpiry: leaseExpiry, closed: r.Closed}
	for _, name := range r.Tasks {
		key, err := job.ParseTaskKey(name)
		if err != nil {
			c.emit(Decision{Event: "roster_unreadable", Fields: []any{"worker", r.Worker, "task", name, "error", err}})
			u.closed = false // any task may run there
			continue
		}
		u.tasks = append(u.tasks, key)
	}
	c.unresolved[r.Worker] = u
	c.countUnresolved(u, 1)
}

// countUnresolved adds a worker to the counts of open unresolved workers and held-back tasks if delta
// is 1, and removes it if delta is -1.
func (c *Core) countUnresolved(u unresolvedWorker, delta int) {
	if !u.closed {
		c.openUnresolved += delta
		return
	}
	for _, key := range u.tasks {
		c.heldBackTasks[key.StepKey] += delta
	}
}

// isHeldBack reports whether a task of a restored step may still run on a worker that has not yet
// reported its runs.
func (c *Core) isHeldBack(s *stepState) bool {
	return s.job.restored && (c.openUnresolved > 0 || c.heldBackTasks[s.key] > 0)
}

// resolve removes a worker from the unresolved ones, once all runs on it are known or have ended.
func (c *Core) resolve(id string) {
	if u, open := c.unresolved[id]; open {
		delete(c.unresolved, id)
		c.countUnresolved(u, -1)
		c.passDue = true
		// The worker gets no tasks until a roster that lists it as open is recorded.
		c.rosterDirty = c.rosterDirty || u.closed
	}
}

// expireUnresolved resolves the workers of a former owner whose leases have expired. A worker that
// answers with partial reports remains unresolved, since this owner has renewed its lease.
func (c *Core) expireUnresolved() {
	for id, u := range c.unresolved {
		if w := c.workers[id]; w != nil && w.fenced && !(w.silent && c.leaseExpired(w)) {
			continue
		}
		if c.now.After(u.leaseExpiry) {
			c.emit(Decision{Event: "former_lease_over", Fields: []any{"worker", id, "closed", u.closed, "tasks", len(u.tasks)}})
			c.resolve(id)
			c.rosterDirty = true
		}
	}
}

// updateClosed closes a worker that will get no tasks for some time, or reopens it. Until the leases
// of a closed worker have expired, a new owner holds back only the tasks listed in the roster instead
// of all restored tasks. A reopened worker gets no tasks until a roster that lists it as open is
// recorded.
func (c *Core) updateClosed(w *worker) {
	shouldClose := w.Draining || !w.listed || (w.silent && (w.missedReports >= closeMissedReports || c.now.Sub(w.silentAt) > closeDelay))
	if shouldClose == w.closed {
		return
	}
	w.closed = shouldClose
	w.recordedOpen = false
	c.rosterDirty = true
}

// markSilent records that a worker does not answer, and since when.
func (w *worker) markSilent(now time.Time) {
	if !w.silent {
		w.silent, w.silentAt = true, now
	}
}

// roster returns the workers on which runs may exist.
func (c *Core) roster() []RosterEntry {
	out := make([]RosterEntry, 0, len(c.workers))
	for id, w := range c.workers {
		r := RosterEntry{Worker: id, Closed: w.closed}
		if u, open := c.unresolved[id]; open {
			r = u.rosterEntry(id)
		}
		if w.closed && r.Closed {
			for _, running := range sortedRunsOf(w) {
				r.Tasks = append(r.Tasks, running.task.String())
			}
		}
		out = append(out, r)
	}
	for id, u := range c.unresolved {
		if _, known := c.workers[id]; !known {
			out = append(out, u.rosterEntry(id))
		}
	}
	slices.SortFunc(out, func(a, b RosterEntry) int { return strings.Compare(a.Worker, b.Worker) })
	c.limitRoster(out)
	return out
}

// maxRosterTasks is the maximum number of tasks in the roster, about half of the store's largest value.
const maxRosterTasks = 15_000

// limitRoster lists closed workers as open, without their tasks, so that the roster fits into one value
// of the store: those with the most tasks first. A new owner then expects any task there.
func (c *Core) limitRoster(roster []RosterEntry) {
	tasks := 0
	for i := range roster {
		tasks += len(roster[i].Tasks)
	}
	if tasks <= maxRosterTasks {
		return
	}
	order := make([]*RosterEntry, len(roster))
	for i := range roster {
		order[i] = &roster[i]
	}
	slices.SortFunc(order, func(a, b *RosterEntry) int {
		return cmp.Or(-cmp.Compare(len(a.Tasks), len(b.Tasks)), strings.Compare(a.Worker, b.Worker))
	})
	opened, total := 0, tasks
	for _, entry := range order {
		if tasks <= maxRosterTasks {
			break
		}
		tasks -= len(entry.Tasks)
		entry.Closed, entry.Tasks = false, nil
		opened++
	}
	c.emit(Decision{Event: "roster_limited", Fields: []any{"tasks", total, "limit", maxRosterTasks, "listed_as_open", opened}})
}

func (u unresolvedWorker) rosterEntry(id string) RosterEntry {
	r := RosterEntry{Worker: id, Closed: u.closed}
	for _, key := range u.tasks {
		r.Tasks = append(r.Tasks, key.String())
	}
	return r
}

// sizeOf returns the total resources of tasks. Tasks of unknown jobs count as ended and are skipped.
func (c *Core) sizeOf(tasks []job.TaskKey) task.Resources {
	var sum task.Resources
	for _, key := range tasks {
		if j := c.jobs[key.Job]; j != nil && key.Step < len(j.Steps) {
			sum = sum.Add(taskSize(&j.Steps[key.Step]))
		}
	}
	return sum
}
