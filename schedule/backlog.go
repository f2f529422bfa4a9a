package schedule

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// The backlog on which forecasts are based is at least backlogInterval old before it is built again, and
// older with many workers and steps. To build it takes 3 us for each of them, so that it takes at most a
// tenth of the time. Arriving jobs are added to it.
const (
	backlogInterval    = 50 * time.Millisecond
	backlogTimePerItem = 30 * time.Microsecond
)

// backlog is the waiting work and the capacity that becomes free, as of one time.
type backlog struct {
	at       time.Time
	waiting  map[string][]waitingWork // by service
	supplies map[supplyKey]*supply
	limits   map[string]*supply // of the teams that have a limit
	capacity map[string]serviceCPU
}

// supplyKey names the workers of a service that have a label; all of them if it is empty.
type supplyKey struct{ service, label string }

// waitingWork is the part of a step that waits.
type waitingWork struct {
	team, label string
	rank        int
	order       time.Time // see placementOrder
	work        amounts   // in resource-seconds
	lateAt      time.Time // when it becomes late; see rank
	expiresAt   time.Time // when it is no longer of use
	adviceCall  time.Duration
}

// placementOrder returns the time by which waiting steps of the same rank are ordered, without the shift
// for past use, which a pass adds for all steps together.
func (c *Core) placementOrder(s *stepState) time.Time {
	return s.latestStart.Add(time.Duration(s.job.terms.Priority)*priorityPenalty - s.job.precedence)
}

// currentBacklog returns the backlog and builds it if it is outdated.
func (c *Core) currentBacklog() *backlog {
	interval := backlogInterval + time.Duration(len(c.workers)+len(c.steps))*backlogTimePerItem
	if b := c.backlog; b != nil && c.now.Sub(b.at) < interval {
		return b
	}
	b := &backlog{
		at: c.now, waiting: make(map[string][]waitingWork), supplies: make(map[supplyKey]*supply), limits: make(map[string]*supply),
		capacity: make(map[string]serviceCPU),
	}
	for _, s := range c.steps {
		c.addWaiting(b, s)
	}
	for _, w := range c.workers {
		if c.isUsable(w) {
			u := b.capacity[w.Service]
			b.capacity[w.Service] = serviceCPU{u.capacity + w.Capacity.CPUMilli, u.used + w.used.CPUMilli}
		}
	}
	c.backlog = b
	return b
}

// addWaiting adds the waiting part of a step. Steps that are not ready count too, since they precede
// later jobs once they are.
func (c *Core) addWaiting(b *backlog, s *stepState) {
	if s.spec.LongLived || c.now.Before(s.notBefore) {
		return
	}
	tasks := 0
	for i := range s.tasks {
		if s.tasks[i].mustStart() {
			tasks++
		}
	}
	if tasks == 0 {
		return
	}
	if !s.ready {
		s.latestStart = c.latestStart(s) // it is set again once the step is ready
	}
	item := waitingWork{
		team: s.job.Team, label: s.spec.RequiredLabel, rank: c.rank(s), order: c.placementOrder(s).Add(pastUseShift(s)),
		work: c.workOf(s.job, s.spec, tasks), lateAt: s.latestStart.Add(s.job.objective / 2), expiresAt: expiryOf(s.job),
	}
	if needsAdvice(s) && !s.hasQueried() {
		item.adviceCall = s.job.terms.Advice.Base
	}
	b.waiting[s.job.terms.Service] = append(b.waiting[s.job.terms.Service], item)
}

// mustStart reports whether a task has to start, now or again: it has no run, or one that is being stopped or
// that no worker has confirmed in time.
func (t *taskState) mustStart() bool {
	return !t.done && (t.run == nil || t.run.state == runUnclear || t.run.state == runStopping)
}

// expiryOf returns the time from which the result of a job is of no use.
func expiryOf(j *jobState) time.Time { return j.arrivedAt.Add(ExpiryFactor * j.objective) }

// workOf returns the work of a number of tasks of a step in resource-seconds.
func (c *Core) workOf(j *jobState, step *job.Step, tasks int) amounts {
	return amounts{}.plus(amountsOf(taskSize(step)), float64(tasks)*c.estimatedDuration(j, step).Seconds())
}

// supplyOf returns the supply of the usable workers of a service with a label.
func (c *Core) supplyOf(b *backlog, key supplyKey) *supply {
	if known := b.supplies[key]; known != nil {
		return known
	}
	out := &supply{}
	for _, w := range c.sortedWorkers() {
		if w.Service != key.service || !c.isUsable(w) || key.label != "" && !slices.Contains(w.Labels, key.label) {
			continue
		}
		out.total = out.total.plus(amountsOf(w.Capacity), 1)
		out.free = out.free.plus(amountsOf(w.Capacity.Sub(w.used)), 1)
		for _, e := range c.expectedEnds(w) {
			out.release(e.at.Sub(c.now), amountsOf(e.size))
		}
	}
	b.supplies[key] = out
	return out
}

// limitOf returns the supply below the limit of a team, or nil if it has none.
func (c *Core) limitOf(b *backlog, team string) *supply {
	t := c.catalog.Team(team)
	if t == nil || t.Limit.IsZero() {
		return nil
	}
	if known := b.limits[team]; known != nil {
		return known
	}
	limit := amountsOf(t.Limit)
	out := &supply{total: limit, free: limit.plus(amountsOf(c.teamUsage(team).running.Add(c.unresolvedUsage())), -1)}
	for _, w := range c.sortedWorkers() {
		for _, r := range w.runs {
			if r.team != team {
				continue
			}
			if at, ok := c.estimateEnd(r); ok {
				out.release(at.Sub(c.now), amountsOf(r.size))
			}
		}
	}
	b.limits[team] = out
	return out
}

// smallest returns the smaller amount of each resource.
func smallest(a, b task.Resources) task.Resources {
	return task.Resources{
		CPUMilli: min(a.CPUMilli, b.CPUMilli), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
		Slots: min(a.Slots, b.Slots), Connections: min(a.Connections, b.Connections),
	}
}

// recordLeftCapacity records what the last placement pass has left free on each worker. Capacity that
// became free since then belongs to the waiting steps.
func (c *Core) recordLeftCapacity() {
	c.admission.maxLeftFree = task.Resources{}
	for _, w := range c.workers {
		w.leftFree = task.Resources{}
		if c.isUsable(w) {
			w.leftFree = w.Capacity.Sub(w.used)
			c.admission.maxLeftFree = c.admission.maxLeftFree.Max(w.leftFree)
		}
	}
}

// canStartNow reports whether workers that suit a step stand free for all of its tasks, although the
// last placement pass had the chance to use them.
func (c *Core) canStartNow(s *stepState) bool {
	size, fits := taskSize(s.spec), 0
	if fitCount(size, c.admission.maxLeftFree, 1) == 0 || c.allowance(s.job.Team, size, len(s.tasks)) < len(s.tasks) {
		return false
	}
	for _, w := range c.workers {
		if !c.isUsable(w) || !meetsRequirements(w, s) || c.isFailing(w) {
			continue
		}
		n := fitCount(size, smallest(w.free(s, c.now), w.leftFree), len(s.tasks)-fits)
		if s.spec.AntiAffinity > 0 {
			n = min(n, s.spec.AntiAffinity)
		}
		if fits += n; fits >= len(s.tasks) {
			return true
		}
	}
	return false
}
