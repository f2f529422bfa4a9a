package schedule

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// taskSize returns the resources that a task of a step takes on a worker.
func taskSize(s *job.Step) task.Resources {
	size := s.Size
	if s.Fills {
		size.CPUMilli = 0
	}
	return size
}

// isUsable reports whether a worker may get new work.
func (c *Core) isUsable(w *worker) bool {
	return w.listed && w.rostered && w.fenced && !w.silent && !w.Draining && w.unsizedRuns == 0 &&
		!c.now.Before(w.backoffUntil) && w.probe == nil
}

// freeCPU returns the unused millicores of a worker.
func (w *worker) freeCPU() int64 { return w.Capacity.CPUMilli - w.used.CPUMilli }

// meetsRequirements reports whether a worker belongs to the service of a step, has the required
// label and could hold a task of the step if it were empty.
func meetsRequirements(w *worker, s *stepState) bool {
	if w.Service != s.job.service || !taskSize(s.spec).Fits(w.Capacity) {
		return false
	}
	return s.spec.Needs == "" || slices.Contains(w.Labels, s.spec.Needs)
}

// avoid makes a step prefer other workers for its next runs.
func (s *stepState) avoid(worker string) {
	if s.avoided == nil {
		s.avoided = make(map[string]int)
	}
	s.avoided[worker]++
}

// failedElsewhere reports whether a run of the step has failed, or timed out waiting for its gang, on
// another worker.
func (s *stepState) failedElsewhere(worker string) bool {
	for id := range s.avoided {
		if id != worker {
			return true
		}
	}
	return false
}

// placementPass starts as many waiting tasks as possible, in the order of their steps, updates the
// reservations for gangs and requests advice.
func (c *Core) placementPass() {
	c.lastPass = c.now
	c.passDue = false
	usable := make([]*worker, 0, len(c.workers))
	for _, w := range c.sortedWorkers() {
		if c.isUsable(w) {
			usable = append(usable, w)
		}
	}
	c.sumServiceUsage(usable)
	c.plansMade = 0
	clear(c.oversizedGangWaits)
	c.dropStalePlans()
	c.passes++
	maxFreeResources := maxFree(usable)
	var unadvised []*stepState
	for _, s := range c.waitingSteps() {
		if s.spec.Gang && s.advice.proxy != nil {
			continue // the reply may start it on its reserved workers
		}
		c.refreshPolicy(s.job)
		if c.isAtLimit(s) {
			// Tickets for it would expire before a task of its team ends.
			c.dropReservation(s)
			c.recordWait(s, waitsForLimit)
			continue
		}
		fits := taskSize(s.spec).Fits(maxFreeResources)
		switch {
		case !fits:
			s.wait = waitsForCapacity
		case c.needsAdvice(s) && c.now.Add(ticketMargin).After(s.advice.expiresAt):
			s.wait = waitsForTicket // fast path for a backlog that waits for advice
		case c.placeStep(s, usable):
			continue
		}
		if s.spec.Gang {
			c.reserve(s, usable)
		}
		if c.needsAdvice(s) && (fits || s.spec.Gang || !s.hasAskedAdvice()) {
			unadvised = append(unadvised, s)
		}
	}
	c.requestAdvice(unadvised, usable)
}

// maxFree returns the maximum free amount of each resource over all workers. A task that is larger
// fits nowhere, which is a fast check for most steps of a long queue.
func maxFree(usable []*worker) task.Resources {
	var largest task.Resources
	for _, w := range usable {
		largest = largest.Max(w.Capacity.Sub(w.used))
	}
	return largest
}

// needsAdvice reports whether the queue of a step requires tickets.
func (c *Core) needsAdvice(s *stepState) bool {
	q := c.catalog.Queue(s.job.Queue)
	return q != nil && q.Advice != nil
}

// option is a worker on which tasks of a step may start now.
type option struct {
	worker       *worker
	ticket       string
	taskCount    int  // number of tasks of the step that fit
	usesReserved bool // they fit only in capacity reserved for gangs of less urgent queues
}

// placeStep starts as many tasks of a step as possible and reports whether none is left to start.
func (c *Core) placeStep(s *stepState, usable []*worker) bool {
	options := c.options(s, usable, false)
	before := s.runsOrdered
	var all bool
	if s.spec.Gang {
		all = c.placeGang(s, options)
	} else {
		all = c.placeTasks(s, options)
	}
	if n := s.runsOrdered - before; n > 0 {
		c.logDecision(s.key.Job, "placed", "step", s.key.String(), "tasks", n, "of", len(s.tasks), "options", len(options),
			"waited_ms", c.now.Sub(s.job.arrivedAt).Milliseconds(), "slack_ms", s.latestStart.Sub(c.now).Milliseconds(), "rank", c.rank(s))
	}
	return all
}

// options returns the workers that have capacity for a task of a step and, where required, a valid
// ticket. With anyTicket, expired tickets count as well.
func (c *Core) options(s *stepState, usable []*worker, anyTicket bool) []option {
	advised := c.needsAdvice(s)
	size := taskSize(s.spec)
	var out []option
	for _, w := range usable {
		if !meetsRequirements(w, s) {
			continue
		}
		o := option{worker: w, taskCount: fitCount(size, w.free(s, c.now), len(s.tasks))}
		if o.taskCount == 0 && len(w.claims) > 0 {
			o.taskCount = fitCount(size, w.freeOverClaims(s, c.now), len(s.tasks))
			o.usesReserved = true
		}
		if s.spec.AntiAffinity > 0 {
			o.taskCount = min(o.taskCount, s.spec.AntiAffinity-s.tasksOn(w))
		}
		if c.isFailing(w) {
			o.taskCount = min(o.taskCount, 1)
		}
		if o.taskCount <= 0 {
			continue
		}
		if advised {
			ticket, ok := s.advice.ticket(w, c.now, anyTicket)
			if !ok {
				continue
			}
			o.ticket = ticket
		}
		out = append(out, o)
	}
	return out
}

// fitCount returns how many tasks of a size fit into the free resources, at most maxTasks.
func fitCount(size, free task.Resources, maxTasks int) int {
	bound := func(free, each int64) {
		if each > 0 {
			maxTasks = min(maxTasks, int(max(0, free)/each))
		}
	}
	bound(free.CPUMilli, size.CPUMilli)
	bound(free.MemoryMB, size.MemoryMB)
	bound(free.Accelerators, size.Accelerators)
	return maxTasks
}

// tasksOn counts the tasks of a step on a worker.
func (s *stepState) tasksOn(w *worker) int {
	n := 0
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.worker == w {
			n++
		}
	}
	return n
}

// placeTasks starts the tasks of a step that is not a gang. It uses best fit: by preference, a task
// goes to the fullest worker on which it fits, so that whole workers stay free for gangs.
func (c *Core) placeTasks(s *stepState, options []option) bool {
	size := taskSize(s.spec)
	allowed := c.allowance(s.job.Team, size, len(s.tasks))
	placed := true
	for i := range s.tasks {
		if s.tasks[i].done || s.tasks[i].run != nil {
			continue
		}
		best := -1
		for k := range options {
			if options[k].taskCount > 0 && (best < 0 || c.prefer(s, &options[k], &options[best])) {
				best = k
			}
		}
		if best < 0 || allowed <= 0 {
			placed = false
			break
		}
		o := &options[best]
		allowed--
		o.taskCount--
		c.start(s, i, o.worker, c.nextRun(s.tasks[i].lastRun), o.ticket)
		if o.worker.probe != nil {
			o.taskCount = 0
		}
	}
	if !placed {
		s.wait = waitReason(len(options), allowed)
	}
	return placed
}

// prefer reports whether a is better for a step than b. The criteria are, in this order: fewer
// failures of the step on the worker, a worker that is not failing, capacity that is not reserved,
// affinity, the fullest worker, and the worker's ID.
func (c *Core) prefer(s *stepState, a, b *option) bool {
	if x, y := s.avoided[a.worker.ID], s.avoided[b.worker.ID]; x != y {
		return x < y
	}
	if x, y := c.isFailing(a.worker), c.isFailing(b.worker); x != y {
		return y
	}
	if a.usesReserved != b.usesReserved {
		return b.usesReserved
	}
	if x, y := affinityScore(s.spec, a.worker), affinityScore(s.spec, b.worker); x != y {
		return x > y
	}
	if x, y := a.worker.freeCPU(), b.worker.freeCPU(); x != y {
		return x < y
	}
	return a.worker.ID < b.worker.ID
}

func affinityScore(s *job.Step, w *worker) int {
	if s.Affinity != "" && slices.Contains(w.Labels, s.Affinity) {
		return 1
	}
	return 0
}

// placeGang starts all tasks of a gang or none.
func (c *Core) placeGang(s *stepState, options []option) bool {
	if c.allowance(s.job.Team, taskSize(s.spec), len(s.tasks)) < len(s.tasks) {
		s.wait = waitsForLimit
		return false
	}
	chosen := c.chooseGang(s, options)
	if chosen == nil {
		s.wait = waitReason(len(options), 1)
		return false
	}
	c.dropReservation(s)
	number := c.nextRun(s.lastRun)
	for i, o := range chosen {
		c.start(s, i, o.worker, number, o.ticket)
	}
	return true
}

// chooseGang returns an option for each task, or nil if they do not all fit. Workers that hold many
// members are preferred: the fewer workers a gang uses, the fewer it leaves partly used. A gang that
// slows down when spread over racks is placed on a single rack if possible.
func (c *Core) chooseGang(s *stepState, options []option) []option {
	healthy := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return c.isFailing(o.worker) })
	if s.spec.SameRack {
		byRack := make(map[string][]option)
		for _, o := range healthy {
			byRack[o.worker.Rack] = append(byRack[o.worker.Rack], o)
		}
		for _, rack := range slices.Sorted(maps.Keys(byRack)) {
			if chosen := c.fillGang(s, byRack[rack]); chosen != nil {
				return chosen
			}
		}
	}
	return c.fillGang(s, healthy)
}

func (c *Core) fillGang(s *stepState, options []option) []option {
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(s.avoided[a.worker.ID], s.avoided[b.worker.ID]),
			boolToInt(a.usesReserved)-boolToInt(b.usesReserved),
			-cmp.Compare(affinityScore(s.spec, a.worker), affinityScore(s.spec, b.worker)),
			-cmp.Compare(a.taskCount, b.taskCount),
			cmp.Compare(a.worker.freeCPU(), b.worker.freeCPU()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	var chosen []option
	for _, o := range options {
		for range o.taskCount {
			if len(chosen) == len(s.tasks) {
				return chosen
			}
			chosen = append(chosen, o)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
