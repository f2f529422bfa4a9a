package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// objectiveOf returns how long a job may take and still be in time: its longest
// chain of work, stretched, and the allowance of its queue.
func (c *Core) objectiveOf(j *jobState) time.Duration {
	stretch, target := 1.0, time.Duration(0)
	if q := c.catalog.Queue(j.Queue); q != nil {
		stretch, target = max(1, q.Stretch), q.Target
	}
	var longest time.Duration
	for _, chain := range chains(j.Steps) {
		longest = max(longest, chain)
	}
	return time.Duration(float64(longest)*stretch) + target
}

// chains returns, for each step, the longest chain of estimates that ends with it.
func chains(steps []job.Step) []time.Duration {
	out := make([]time.Duration, len(steps))
	for i := range steps {
		for _, earlier := range steps[i].After {
			out[i] = max(out[i], out[earlier])
		}
		out[i] += steps[i].Estimate
	}
	return out
}

// latestStart returns when a step has to start for its job to be in time.
func (c *Core) latestStart(s *stepState) time.Time {
	begin := s.job.arrived
	if s.job.Repeats > 0 {
		// The monotonic time at which the occurrence was due.
		begin = c.now.Add(-c.wall.Sub(s.job.DueAt(s.key.Occurrence)))
	}
	return begin.Add(s.job.objective - remainingChain(s.job.Steps, s.key.Step))
}

// remainingChain returns the longest chain of estimates that begins with a step.
func remainingChain(steps []job.Step, from int) time.Duration {
	rest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= from; i-- {
		rest[i] += steps[i].Estimate
		for _, earlier := range steps[i].After {
			rest[earlier] = max(rest[earlier], rest[i])
		}
	}
	return rest[from]
}

// priorityLead is how much later a step of the next less urgent queue counts. A
// gang that is late already does not delay tasks of seconds that can be in time.
const priorityLead = 4 * time.Second

// lateFactor is how many objectives a job may take before it is worth nothing.
const lateFactor = 3

// rank orders steps that wait. Work that can be in time goes before work that
// cannot, entitled work before what a team sends beyond its rate, and then by
// how soon it has to start. It answers a burst: without the first two terms the
// backlog of the burst delays everything that follows it.
func (c *Core) rank(s *stepState) int {
	age := c.now.Sub(s.job.arrived)
	switch {
	case s.job.Repeats == 0 && age > lateFactor*s.job.objective:
		return rankWorthless
	case s.job.surplus:
		return rankSurplus
	case c.now.After(s.urgent.Add(s.job.objective / 2)):
		return rankLate
	default:
		return rankInTime
	}
}

// Ranks of steps that wait, the first to be placed first.
const (
	rankInTime = iota
	rankLate
	rankSurplus   // of a team beyond its rate
	rankWorthless // too late to be of use
)

// waitingSteps returns the steps that have tasks to place, most urgent first.
func (c *Core) waitingSteps() []*stepState {
	list := make([]rankedStep, 0, len(c.steps))
	for _, s := range c.steps {
		if s.ready && s.hasUnplaced() && !c.now.Before(s.retryAt) && !c.isHeldBack(s) {
			list = append(list, rankedStep{s, c.rank(s), s.urgent.Add(time.Duration(s.job.priority) * priorityLead).UnixNano()})
		}
	}
	slices.SortFunc(list, compareRanked)
	// The steps behind these could not start before the next pass: a step has
	// three tasks and more, and the workers of a partition hold a few hundred.
	const maxConsidered = 250
	out := make([]*stepState, min(len(list), maxConsidered))
	for i := range out {
		out[i] = list[i].step
	}
	return out
}

// sortedSteps returns all steps that have tasks to do, by name.
func (c *Core) sortedSteps() []*stepState {
	return slices.SortedFunc(maps.Values(c.steps), func(a, b *stepState) int {
		return compareTasks(job.TaskKey{StepKey: a.key}, job.TaskKey{StepKey: b.key})
	})
}

type rankedStep struct {
	step   *stepState
	rank   int
	urgent int64 // Unix nanoseconds, which compare fast
}

// compareRanked compares names only where the rest is equal: the queue is
// sorted in every pass.
func compareRanked(a, b rankedStep) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.urgent != b.urgent {
		return cmp.Compare(a.urgent, b.urgent)
	}
	x, y := a.step.key, b.step.key
	return compareTasks(job.TaskKey{StepKey: x}, job.TaskKey{StepKey: y})
}

func (s *stepState) hasUnplaced() bool {
	if s.spec.Gang {
		for i := range s.tasks {
			if s.tasks[i].run != nil {
				return false // every member of the former run has to end first
			}
		}
		return true
	}
	for i := range s.tasks {
		if !s.tasks[i].done && s.tasks[i].run == nil {
			return true
		}
	}
	return false
}

// teamUsage is what a team has running, and how many jobs it is entitled to.
type teamUsage struct {
	running   task.Resources
	tokens    float64
	refreshed time.Time

	surplusWaiting int     // jobs beyond the team's rate that have not started
	demand         float64 // jobs handed in a second
	demandAt       time.Time
}

func (u *teamUsage) add(size task.Resources) { u.running = u.running.Add(size) }

func (c *Core) teamUsage(team string) *teamUsage {
	u, ok := c.usage[team]
	if !ok {
		u = &teamUsage{}
		c.usage[team] = u
	}
	return u
}

// entitlementWindow is the burst that a team's rate of jobs allows, in seconds
// of that rate.
const entitlementWindow = 5.0

// takeEntitlement counts a job against its team's rate and reports whether the
// job exceeds it. It answers a team that floods the queue: the surplus waits
// behind what the other teams are entitled to.
func (c *Core) takeEntitlement(team string) (surplus bool) {
	t := c.catalog.Team(team)
	if t == nil || t.Weight <= 0 {
		return false
	}
	u := c.teamUsage(team)
	most := max(1, t.Weight*entitlementWindow)
	if u.refreshed.IsZero() {
		u.tokens = most
	} else {
		u.tokens = min(most, u.tokens+t.Weight*c.now.Sub(u.refreshed).Seconds())
	}
	u.refreshed = c.now
	if u.tokens < 1 {
		return true
	}
	u.tokens--
	return false
}

// unresolvedRoom is what tasks may take on workers that have not yet told a new
// owner what they run. It counts against every team, since any may have it.
func (c *Core) unresolvedRoom() task.Resources {
	var room, largest task.Resources
	for _, w := range c.workers {
		largest = largest.Max(w.Capacity)
		if w.strange > 0 {
			// What is being stopped there is of a job that is not known any more.
			room = room.Add(w.Capacity.Sub(w.used))
		}
	}
	for id, u := range c.unresolved {
		w := c.workers[id]
		switch {
		case u.closed:
			room = room.Add(c.sizeOf(u.tasks))
		case w != nil:
			room = room.Add(w.Capacity)
		default:
			room = room.Add(largest)
		}
	}
	return room
}

// allowance returns how many tasks of a size a team may start now.
func (c *Core) allowance(team string, size task.Resources, most int) int {
	t := c.catalog.Team(team)
	if t == nil || t.Limit.IsZero() {
		return most
	}
	running := c.teamUsage(team).running.Add(c.mayHold())
	bound := func(limit, running, each int64) {
		if limit > 0 && each > 0 {
			most = min(most, int(max(0, limit-running)/each))
		}
	}
	bound(t.Limit.CPUMilli, running.CPUMilli, size.CPUMilli)
	bound(t.Limit.MemoryMB, running.MemoryMB, size.MemoryMB)
	bound(t.Limit.Accelerators, running.Accelerators, size.Accelerators)
	return most
}
