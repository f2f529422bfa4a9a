package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// taskSize returns the resources that a task of a step takes on a worker. Best-effort CPU does not
// count.
func taskSize(s *job.Step) task.Resources {
	size := s.Size
	if s.BestEffortCPU {
		size.CPUMilli = 0
	}
	return size
}

// isUsable reports whether tasks may be placed on a worker.
func (c *Core) isUsable(w *worker) bool {
	return w.listed && w.recordedOpen && w.fenced && !w.silent && !w.Draining && w.unsizedRuns == 0 &&
		!c.now.Before(w.backoffUntil) && !c.isProbing(w) && !c.isEvacuated(w)
}

// freeCPU returns the unused millicores of a worker.
func (w *worker) freeCPU() int64 { return w.Capacity.CPUMilli - w.used.CPUMilli }

// meetsRequirements reports whether a worker belongs to the service of a step, has the required
// label and could hold a task of the step if it were empty.
func meetsRequirements(w *worker, s *stepState) bool {
	if w.Service != s.job.terms.Service || !taskSize(s.spec).Fits(w.Capacity) {
		return false
	}
	return s.spec.RequiredLabel == "" || slices.Contains(w.Labels, s.spec.RequiredLabel)
}

// countWorkerFailure counts a failure of the step on a worker, so that the next runs prefer other
// workers.
func (s *stepState) countWorkerFailure(worker string) {
	if s.workerFailures == nil {
		s.workerFailures = make(map[string]int)
	}
	s.workerFailures[worker]++
}

// hasFailedOnOther reports whether a run of the step has failed, or timed out waiting for its gang,
// on another worker.
func (s *stepState) hasFailedOnOther(worker string) bool {
	for id := range s.workerFailures {
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
	c.releaseStaleReservations()
	c.passes++
	maxFreeResources := maxFree(usable)
	var withoutTicket []*stepState
	waiting := c.waitingSteps()
	budget := c.newPassBudget(len(waiting))
	for _, s := range waiting {
		if s.spec.Gang && s.advice.proxy != nil {
			continue // a call is in flight; its reply may start the gang on its reserved workers
		}
		c.refreshTerms(s.job)
		c.refreshEstimate(s)
		if c.isAtLimit(s) {
			// It is not taken from the budget, so that a team at its limit does not keep the steps of
			// others from being considered. Tickets for it would expire before a task of its team ends.
			c.releaseReservation(s)
			s.wait, s.heldSince = waitsForLimit, time.Time{}
			if budget.logged > 0 {
				budget.logged--
				c.recordWait(s, waitsForLimit)
			}
			continue
		}
		if !budget.take(s) {
			continue
		}
		fits := taskSize(s.spec).Fits(maxFreeResources)
		switch {
		case !fits:
			s.wait = waitsForCapacity
		case needsAdvice(s) && c.now.Add(ticketMargin).After(s.advice.expiresAt):
			s.wait = waitsForTicket // fast path for a backlog that waits for advice
		case c.placeStep(s, usable):
			s.heldSince = time.Time{}
			continue
		case s.wait == waitsForOrders:
			continue
		}
		if s.heldSince.IsZero() {
			s.heldSince = c.now
		}
		if s.spec.Gang {
			c.reserve(s, usable)
		}
		if needsAdvice(s) && (fits || s.spec.Gang || !s.hasQueried()) {
			withoutTicket = append(withoutTicket, s)
		}
	}
	c.endRound(budget)
	c.requestAdvice(withoutTicket, usable)
}

// maxFree returns the maximum free amount of each resource over all usable workers. A task that
// exceeds it fits on no worker, which rejects most steps of a long queue quickly.
func maxFree(usable []*worker) task.Resources {
	var largest task.Resources
	for _, w := range usable {
		largest = largest.Max(w.Capacity.Sub(w.used))
	}
	return largest
}

// needsAdvice reports whether the queue of a step requires tickets.
func needsAdvice(s *stepState) bool { return s.job.terms.Advice != nil }

// candidate is a worker on which tasks of a step may start now.
type candidate struct {
	worker       *worker
	ticket       string
	taskCount    int  // number of tasks of the step that fit
	usesReserved bool // they fit only in capacity reserved for gangs of less urgent queues
}

// placeStep starts as many tasks of a step as possible and reports whether none is left to start.
func (c *Core) placeStep(s *stepState, usable []*worker) bool {
	candidates := c.candidates(s, usable, false)
	before, effectsBefore := s.runsOrdered, len(c.effects)
	var allPlaced bool
	if s.spec.Gang {
		allPlaced = c.placeGang(s, candidates)
	} else {
		allPlaced = c.placeTasks(s, candidates)
	}
	if n := s.runsOrdered - before; n > 0 {
		c.logDecision(s.key.Job, "placed", "step", s.key.String(), "tasks", n, "of", len(s.tasks), "options", len(candidates),
			"waited_ms", c.now.Sub(s.job.arrivedAt).Milliseconds(), "slack_ms", s.latestStart.Sub(c.now).Milliseconds(), "rank", c.rank(s),
			"run", s.lastRun, "on", describeStarts(c.effects[effectsBefore:]))
	}
	return allPlaced
}

// maxDescribedStarts bounds the length of a log line: a step may have thousands of tasks.
const maxDescribedStarts = 16

// describeStarts lists the start orders among effects for the log, as the indexes of the tasks and their
// workers.
func describeStarts(effects []Effect) string {
	var text strings.Builder
	n := 0
	for _, e := range effects {
		order, ok := e.(Start)
		if !ok {
			continue
		}
		if n++; n > maxDescribedStarts {
			text.WriteString(",...")
			break
		}
		if n > 1 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(order.Task.Index) + "@" + order.Worker)
	}
	return text.String()
}

// candidates returns the workers that have capacity for a task of a step and, if the queue requires
// it, a valid ticket. With allowExpired, expired tickets count as valid.
func (c *Core) candidates(s *stepState, usable []*worker, allowExpired bool) []candidate {
	needsTicket, overrides := needsAdvice(s), c.overridesReservations(s)
	size := taskSize(s.spec)
	var out []candidate
	for w := range c.possibleWorkers(s, usable) {
		if !size.Fits(w.Capacity.Sub(w.used)) || !meetsRequirements(w, s) {
			continue
		}
		cand := candidate{worker: w, taskCount: fitCount(size, w.free(s, c.now), len(s.tasks))}
		if cand.taskCount == 0 && len(w.claims) > 0 {
			free := w.freeIncludingLessUrgentClaims(s, c.now)
			if overrides {
				free = w.Capacity.Sub(w.used)
			}
			cand.taskCount = fitCount(size, free, len(s.tasks))
			cand.usesReserved = true
		}
		if s.spec.AntiAffinity > 0 {
			cand.taskCount = min(cand.taskCount, s.spec.AntiAffinity-s.tasksOn(w))
		}
		if c.isProbing(w) {
			continue // an earlier step of this pass has started the probe
		}
		if c.isFailing(w) {
			cand.taskCount = min(cand.taskCount, 1)
		}
		if cand.taskCount <= 0 {
			continue
		}
		if needsTicket {
			ticket, ok := s.advice.ticket(w, c.now, allowExpired)
			if !ok {
				continue
			}
			cand.ticket = ticket
		}
		out = append(out, cand)
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

// placeTasks starts the tasks of a step that is not a gang and reports whether none is left to start.
// It uses best fit: a task preferably goes to the fullest worker on which it fits, so that whole
// workers stay free for gangs.
func (c *Core) placeTasks(s *stepState, candidates []candidate) bool {
	size := taskSize(s.spec)
	allowed, starts := c.allowance(s.job.Team, size, len(s.tasks)), c.maxStarts(s)
	placed := true
	for i := range s.tasks {
		if s.tasks[i].done || s.tasks[i].run != nil {
			continue
		}
		if starts == 0 {
			c.window.startsHeld = true
			s.wait = waitsForOrders
			return false
		}
		best := -1
		for k := range candidates {
			if candidates[k].taskCount > 0 && (best < 0 || c.prefer(s, &candidates[k], &candidates[best])) {
				best = k
			}
		}
		if best < 0 || allowed <= 0 {
			placed = false
			break
		}
		cand := &candidates[best]
		allowed--
		starts--
		cand.taskCount--
		c.start(s, i, cand.worker, c.nextRun(s.tasks[i].lastRun), cand.ticket)
		if c.isProbing(cand.worker) {
			cand.taskCount = 0
		}
	}
	if !placed {
		s.wait = placementWaitCause(len(candidates), allowed)
	}
	return placed
}

// prefer reports whether a is better for a step than b. The criteria are, in this order: fewer
// failures of the step on the worker, a worker that is not failing, capacity that is not reserved,
// a worker that is not degraded, one that is not cold, affinity, the speed that suits the step, the
// fullest worker, and the worker's ID.
func (c *Core) prefer(s *stepState, a, b *candidate) bool {
	if x, y := s.workerFailures[a.worker.ID], s.workerFailures[b.worker.ID]; x != y {
		return x < y
	}
	if x, y := c.isFailing(a.worker), c.isFailing(b.worker); x != y {
		return y
	}
	if a.usesReserved != b.usesReserved {
		return b.usesReserved
	}
	if x, y := c.isDegraded(a.worker), c.isDegraded(b.worker); x != y {
		return y
	}
	if x, y := a.worker.isCold(c.now), b.worker.isCold(c.now); x != y {
		return y
	}
	if x, y := affinityScore(s.spec, a.worker), affinityScore(s.spec, b.worker); x != y {
		return x > y
	}
	if d := c.compareSpeed(s, a.worker, b.worker); d != 0 {
		return d < 0
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
func (c *Core) placeGang(s *stepState, candidates []candidate) bool {
	if c.allowance(s.job.Team, taskSize(s.spec), len(s.tasks)) < len(s.tasks) {
		s.wait = waitsForLimit
		return false
	}
	if !c.mayStartGang() {
		c.window.startsHeld = true
		s.wait = waitsForOrders
		return false
	}
	chosen := c.chooseHealthyGang(s, candidates)
	if chosen == nil {
		s.wait = placementWaitCause(len(candidates), 1)
		return false
	}
	c.releaseReservation(s)
	number := c.nextRun(s.lastRun)
	for i, cand := range chosen {
		c.start(s, i, cand.worker, number, cand.ticket)
	}
	return true
}

// chooseGang returns a candidate for each task, or nil if they do not all fit. Workers on which many
// members fit are preferred: the fewer workers a gang uses, the fewer it leaves partly used. A gang
// that slows down when spread over racks is placed on a single rack if possible.
func (c *Core) chooseGang(s *stepState, candidates []candidate) []candidate {
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(cand candidate) bool { return c.isFailing(cand.worker) })
	if s.spec.SameRack {
		byRack := make(map[string][]candidate)
		for _, cand := range healthy {
			byRack[cand.worker.Rack] = append(byRack[cand.worker.Rack], cand)
		}
		for _, rack := range slices.Sorted(maps.Keys(byRack)) {
			if chosen := c.fillGang(s, byRack[rack]); chosen != nil {
				return chosen
			}
		}
	}
	return c.fillGang(s, healthy)
}

// fillGang assigns the tasks of a gang to the candidates in the order of preference, as many to each
// as fit. It returns a candidate for each task, or nil if they do not all fit.
func (c *Core) fillGang(s *stepState, candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			c.compareSuitability(s, &a, &b),
			-cmp.Compare(a.taskCount, b.taskCount),
			cmp.Compare(a.worker.freeCPU(), b.worker.freeCPU()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	var chosen []candidate
	for _, cand := range candidates {
		for range min(cand.taskCount, len(s.tasks)-len(chosen)) {
			chosen = append(chosen, cand)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return c.fastestGang(s, candidates, chosen)
}

// compareSuitability compares two candidates for members of a gang apart from the number that fits: it
// is negative if a is better.
func (c *Core) compareSuitability(s *stepState, a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(s.workerFailures[a.worker.ID], s.workerFailures[b.worker.ID]),
		boolToInt(a.usesReserved)-boolToInt(b.usesReserved),
		boolToInt(c.isDegraded(a.worker))-boolToInt(c.isDegraded(b.worker)),
		boolToInt(a.worker.isCold(c.now))-boolToInt(b.worker.isCold(c.now)),
		-cmp.Compare(affinityScore(s.spec, a.worker), affinityScore(s.spec, b.worker)),
	)
}
