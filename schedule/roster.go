package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// closeAfter is how long a worker whose last order was not answered may be
	// silent before the roster names what may run on it: most such workers answer
	// the next report.
	closeAfter = time.Second
	// closeMisses is the number of reports in a row, without an answer, after which
	// it does so at once.
	closeMisses = 2
)

// unresolved is a worker on which a former owner may have left work.
type unresolved struct {
	until  time.Time // its leases have ended by then
	closed bool      // nothing but tasks can run there
	tasks  []job.TaskKey
}

// holdBack notes what may still run on a worker of a former owner.
func (c *Core) holdBack(r Rostered, until time.Time) {
	u := unresolved{until: until, closed: r.Closed}
	for _, name := range r.Tasks {
		key, err := job.ParseTaskKey(name)
		if err != nil {
			c.emit(Decision{What: "roster_unreadable", Fields: []any{"worker", r.Worker, "task", name, "error", err}})
			u.closed = false // any task may run there
			continue
		}
		u.tasks = append(u.tasks, key)
	}
	c.unresolved[r.Worker] = u
	c.countUnresolved(u, 1)
}

func (c *Core) countUnresolved(u unresolved, n int) {
	if !u.closed {
		c.unresolvedOpen += n
		return
	}
	for _, key := range u.tasks {
		c.heldSteps[key.StepKey] += n
	}
}

// isHeldBack reports whether a task of an inherited step may still run on a
// worker that has not told what it runs.
func (c *Core) isHeldBack(s *stepState) bool {
	return s.job.inherited && (c.unresolvedOpen > 0 || c.heldSteps[s.key] > 0)
}

// resolve notes that nothing unknown runs on a worker any more.
func (c *Core) resolve(id string) {
	if u, open := c.unresolved[id]; open {
		delete(c.unresolved, id)
		c.countUnresolved(u, -1)
		c.passDue = true
		c.rosterDue = c.rosterDue || u.closed // it gets work once the roster opens it
	}
}

// expireUnresolved gives up on workers of a former owner whose leases are over.
func (c *Core) expireUnresolved() {
	for id, u := range c.unresolved {
		if c.now.After(u.until) {
			c.emit(Decision{What: "former_lease_over", Fields: []any{"worker", id, "closed", u.closed, "tasks", len(u.tasks)}})
			c.resolve(id)
			c.rosterDue = true
		}
	}
}

// closeOrOpen closes a worker that gets no work for some time. A successor then
// holds back only the tasks that the roster names, and not every task that it
// inherits, until the worker's leases are over. An open worker gets work only
// once the roster says so.
func (c *Core) closeOrOpen(w *worker) {
	closing := w.Draining || !w.listed || (w.silent && (w.misses >= closeMisses || c.now.Sub(w.silentAt) > closeAfter))
	if closing == w.closed {
		return
	}
	w.closed = closing
	w.rostered = false
	c.rosterDue = true
}

// fallSilent notes that a worker does not answer.
func (w *worker) fallSilent(now time.Time) {
	if !w.silent {
		w.silent, w.silentAt = true, now
	}
}

// roster lists the workers on which something may run.
func (c *Core) roster() []Rostered {
	out := make([]Rostered, 0, len(c.workers))
	for id, w := range c.workers {
		r := Rostered{Worker: id, Closed: w.closed}
		if u, open := c.unresolved[id]; open {
			r = u.rostered(id)
		}
		if w.closed && r.Closed {
			for _, running := range runsOf(w) {
				r.Tasks = append(r.Tasks, running.task.String())
			}
		}
		out = append(out, r)
	}
	for id, u := range c.unresolved {
		if _, known := c.workers[id]; !known {
			out = append(out, u.rostered(id))
		}
	}
	slices.SortFunc(out, func(a, b Rostered) int { return strings.Compare(a.Worker, b.Worker) })
	return out
}

func (u unresolved) rostered(id string) Rostered {
	r := Rostered{Worker: id, Closed: u.closed}
	for _, key := range u.tasks {
		r.Tasks = append(r.Tasks, key.String())
	}
	return r
}

// sizeOf returns what tasks take together. Tasks of jobs that are not known have
// ended.
func (c *Core) sizeOf(tasks []job.TaskKey) task.Resources {
	var sum task.Resources
	for _, key := range tasks {
		if j := c.jobs[key.Job]; j != nil && key.Step < len(j.Steps) {
			sum = sum.Add(stepSize(&j.Steps[key.Step]))
		}
	}
	return sum
}
