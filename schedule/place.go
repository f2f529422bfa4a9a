package schedule

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// stepSize returns what one task of a step takes of a worker.
func stepSize(s *job.Step) task.Resources {
	size := s.Size
	if s.Fills {
		size.CPUMilli = 0
	}
	return size
}

// isUsable reports whether a worker may get new work at all.
func (c *Core) isUsable(w *worker) bool {
	return w.listed && w.rostered && w.fenced && !w.silent && !w.Draining && w.strange == 0 &&
		!c.now.Before(w.restUntil) && w.probing == nil
}

// roomCPU returns the processors of a worker that nothing uses.
func (w *worker) roomCPU() int64 { return w.Capacity.CPUMilli - w.used.CPUMilli }

// suits reports whether a worker could ever run a task of a step.
func suits(w *worker, s *stepState) bool {
	if w.Service != s.job.service || !stepSize(s.spec).Fits(w.Capacity) {
		return false
	}
	return s.spec.Needs == "" || slices.Contains(w.Labels, s.spec.Needs)
}

// avoid makes a step prefer other workers from now on.
func (s *stepState) avoid(worker string) {
	if s.away == nil {
		s.away = make(map[string]int)
	}
	s.away[worker]++
}

// failedElsewhere reports whether a run of the step has failed on another worker.
func (s *stepState) failedElsewhere(worker string) bool {
	for id := range s.away {
		if id != worker {
			return true
		}
	}
	return false
}

// pass places what can be placed, the most urgent step first.
func (c *Core) pass() {
	c.lastPass = c.now
	c.passDue = false
	usable := make([]*worker, 0, len(c.workers))
	for _, w := range c.sortedWorkers() {
		if c.isUsable(w) {
			usable = append(usable, w)
		}
	}
	c.sumUse(usable)
	c.plans = 0
	clear(c.widerWaits)
	c.dropStalePlans()
	c.passes++
	most := largestRoom(usable)
	var unadvised []*stepState
	for _, s := range c.waitingSteps() {
		if s.spec.Gang && s.advice.lane != nil {
			continue // the answer may start it, in the room that is kept for it
		}
		c.refreshPolicy(s.job)
		if c.isAtLimit(s) {
			// Its tickets would expire before a task of its team ends.
			c.dropReservation(s)
			c.waits(s, waitsForLimit)
			continue
		}
		fits := stepSize(s.spec).Fits(most)
		switch {
		case !fits:
			s.wait = waitsForRoom
		case c.needsAdvice(s) && c.now.Add(ticketMargin).After(s.advice.till):
			s.wait = waitsForTicket // settles most of a backlog that waits for advice
		case c.placeStep(s, usable):
			continue
		}
		if s.spec.Gang {
			c.reserve(s, usable)
		}
		if c.needsAdvice(s) && (fits || s.spec.Gang || !s.isAdvised()) {
			unadvised = append(unadvised, s)
		}
	}
	c.seekAdvice(unadvised, usable)
}

// largestRoom returns the largest free amount of each resource on any worker. A
// task that is larger fits nowhere, which settles most of a long queue at once.
func largestRoom(usable []*worker) task.Resources {
	var most task.Resources
	for _, w := range usable {
		most = most.Max(w.Capacity.Sub(w.used))
	}
	return most
}

// needsAdvice reports whether the queue of a step asks for tickets.
func (c *Core) needsAdvice(s *stepState) bool {
	q := c.catalog.Queue(s.job.Queue)
	return q != nil && q.Advice != nil
}

// option is a worker on which a step may start tasks now.
type option struct {
	worker *worker
	ticket string
	room   int  // tasks of the step that fit
	kept   bool // the room is kept for a gang of a less urgent queue
}

// placeStep starts what it can of a step and reports whether nothing is left.
func (c *Core) placeStep(s *stepState, usable []*worker) bool {
	options := c.options(s, usable, false)
	before := s.placed
	var all bool
	if s.spec.Gang {
		all = c.placeGang(s, options)
	} else {
		all = c.placeTasks(s, options)
	}
	if n := s.placed - before; n > 0 {
		c.decide(s.key.Job, "placed", "step", s.key.String(), "tasks", n, "of", len(s.tasks), "options", len(options),
			"waited_ms", c.now.Sub(s.job.arrived).Milliseconds(), "slack_ms", s.urgent.Sub(c.now).Milliseconds(), "rank", c.rank(s))
	}
	return all
}

// options lists the workers that have room for a step and, where needed, a
// ticket that is still valid. With anyTicket, one that has expired counts too.
func (c *Core) options(s *stepState, usable []*worker, anyTicket bool) []option {
	advised := c.needsAdvice(s)
	size := stepSize(s.spec)
	var out []option
	for _, w := range usable {
		if !suits(w, s) {
			continue
		}
		o := option{worker: w, room: fitCount(size, w.free(s, c.now), len(s.tasks))}
		if o.room == 0 && len(w.claims) > 0 {
			o.room = fitCount(size, w.freeFirst(s, c.now), len(s.tasks))
			o.kept = true
		}
		if s.spec.AntiAffinity > 0 {
			o.room = min(o.room, s.spec.AntiAffinity-s.tasksOn(w))
		}
		if c.isFailing(w) {
			o.room = min(o.room, 1)
		}
		if o.room <= 0 {
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

// fitCount returns how many tasks of a size fit into room, at most most.
func fitCount(size, room task.Resources, most int) int {
	bound := func(room, each int64) {
		if each > 0 {
			most = min(most, int(max(0, room)/each))
		}
	}
	bound(room.CPUMilli, size.CPUMilli)
	bound(room.MemoryMB, size.MemoryMB)
	bound(room.Accelerators, size.Accelerators)
	return most
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

// placeTasks starts tasks that need not run together, each on the fullest
// worker that holds it, so that whole workers stay free for gangs.
func (c *Core) placeTasks(s *stepState, options []option) bool {
	size := stepSize(s.spec)
	allowed := c.allowance(s.job.Team, size, len(s.tasks))
	placed := true
	for i := range s.tasks {
		if s.tasks[i].done || s.tasks[i].run != nil {
			continue
		}
		best := -1
		for k := range options {
			if options[k].room > 0 && (best < 0 || c.prefer(s, &options[k], &options[best])) {
				best = k
			}
		}
		if best < 0 || allowed <= 0 {
			placed = false
			break
		}
		o := &options[best]
		allowed--
		o.room--
		c.start(s, i, o.worker, c.nextRun(s.tasks[i].lastRun), o.ticket)
		if o.worker.probing != nil {
			o.room = 0
		}
	}
	if !placed {
		s.wait = waitReason(len(options), allowed)
	}
	return placed
}

// prefer reports whether a step does better on a than on b: on a worker where
// it has not failed, in room that is not kept for others, near its data, then on
// the fullest one.
func (c *Core) prefer(s *stepState, a, b *option) bool {
	if x, y := s.away[a.worker.ID], s.away[b.worker.ID]; x != y {
		return x < y
	}
	if x, y := c.isFailing(a.worker), c.isFailing(b.worker); x != y {
		return y
	}
	if a.kept != b.kept {
		return b.kept
	}
	if x, y := nearness(s.spec, a.worker), nearness(s.spec, b.worker); x != y {
		return x > y
	}
	if x, y := a.worker.roomCPU(), b.worker.roomCPU(); x != y {
		return x < y
	}
	return a.worker.ID < b.worker.ID
}

func nearness(s *job.Step, w *worker) int {
	if s.Affinity != "" && slices.Contains(w.Labels, s.Affinity) {
		return 1
	}
	return 0
}

// placeGang starts all tasks of a gang or none.
func (c *Core) placeGang(s *stepState, options []option) bool {
	if c.allowance(s.job.Team, stepSize(s.spec), len(s.tasks)) < len(s.tasks) {
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

// chooseGang returns an option for each task, or nil if they do not all fit.
// Workers that hold many members go first: the fewer workers a gang needs, the
// fewer it leaves half full. A gang that slows down when it is spread over racks
// takes one rack if one holds it.
func (c *Core) chooseGang(s *stepState, options []option) []option {
	sound := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return c.isFailing(o.worker) })
	if s.spec.SameRack {
		byRack := make(map[string][]option)
		for _, o := range sound {
			byRack[o.worker.Rack] = append(byRack[o.worker.Rack], o)
		}
		for _, rack := range slices.Sorted(maps.Keys(byRack)) {
			if chosen := c.fillGang(s, byRack[rack]); chosen != nil {
				return chosen
			}
		}
	}
	return c.fillGang(s, sound)
}

func (c *Core) fillGang(s *stepState, options []option) []option {
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(s.away[a.worker.ID], s.away[b.worker.ID]),
			boolOrder(a.kept)-boolOrder(b.kept),
			-cmp.Compare(nearness(s.spec, a.worker), nearness(s.spec, b.worker)),
			-cmp.Compare(a.room, b.room),
			cmp.Compare(a.worker.roomCPU(), b.worker.roomCPU()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	var chosen []option
	for _, o := range options {
		for range o.room {
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
