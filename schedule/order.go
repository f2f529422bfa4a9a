package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// objectiveOf returns the target time from the arrival of a job to its completion: its critical path
// times the stretch factor of its queue, plus the fixed allowance of the queue.
func (c *Core) objectiveOf(j *jobState) time.Duration {
	var longest time.Duration
	for _, chain := range c.chainLengths(j) {
		longest = max(longest, chain)
	}
	return time.Duration(float64(longest)*max(1, j.terms.Stretch)) + j.terms.TargetAllowance
}

// chainLengths returns, for each step, the length of the longest dependency chain that ends with it.
func (c *Core) chainLengths(j *jobState) []time.Duration {
	out := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, dependency := range j.Steps[i].After {
			out[i] = max(out[i], out[dependency])
		}
		out[i] += c.estimatedDuration(j, &j.Steps[i])
	}
	return out
}

// latestStart returns the latest time at which a step can start for its job to meet its objective.
func (c *Core) latestStart(s *stepState) time.Time {
	arrival := s.job.arrivedAt
	if s.job.Repeats > 0 {
		// The monotonic time at which the occurrence was due.
		arrival = c.now.Add(-c.wall.Sub(s.job.DueAt(s.key.Occurrence)))
	}
	return arrival.Add(s.job.objective - c.remainingChain(s.job, s.key.Step))
}

// remainingChain returns the length of the longest dependency chain that begins with a step.
func (c *Core) remainingChain(j *jobState, from int) time.Duration {
	lengths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= from; i-- {
		lengths[i] += c.estimatedDuration(j, &j.Steps[i])
		for _, dependency := range j.Steps[i].After {
			lengths[dependency] = max(lengths[dependency], lengths[i])
		}
	}
	return lengths[from]
}

// priorityPenalty is added to the latest start of a step for each priority level below the most
// urgent one. It prevents a gang that is already late from delaying tasks of a few seconds that can
// still be on time.
const priorityPenalty = 4 * time.Second

// ExpiryFactor is the age of a job, as a multiple of its objective, beyond which its result is no
// longer of use.
const ExpiryFactor = 3

// rank returns the primary sort key of waiting steps; steps of equal rank are ordered by latest
// start. Steps that can be on time precede those that cannot, and entitled jobs precede jobs beyond
// their team's rate. Otherwise, the backlog of a burst would delay everything submitted after it.
func (c *Core) rank(s *stepState) int {
	age := c.now.Sub(s.job.arrivedAt)
	switch {
	case s.job.Repeats == 0 && age > ExpiryFactor*s.job.objective:
		return rankExpired
	case s.job.surplus:
		return rankSurplus
	case c.now.After(s.latestStart.Add(s.job.objective / 2)):
		return rankLate
	default:
		return rankOnTime
	}
}

// Ranks of waiting steps, in the order of placement.
const (
	rankOnTime = iota
	rankLate
	rankSurplus // beyond the rate of its team
	rankExpired // too late to be of use
)

// waitingSteps returns the steps that have tasks to place, in the order of placement.
func (c *Core) waitingSteps() []*stepState {
	list := make([]rankedStep, 0, len(c.steps))
	for _, s := range c.steps {
		if s.ready && s.hasUnplaced() && !c.now.Before(s.notBefore) && !c.isHeldBack(s) {
			list = append(list, rankedStep{s, c.rank(s), c.placementOrder(s).UnixNano()})
		}
	}
	c.addPastUseShifts(list)
	slices.SortFunc(list, compareRanked)
	out := make([]*stepState, len(list))
	for i := range out {
		out[i] = list[i].step
	}
	return out
}

const (
	// minConsidered is the minimum number of steps that a pass considers in their order. Further steps
	// than this or the number of workers could not start before the next pass: a step has three or more
	// tasks, and a worker runs a few tasks at a time.
	minConsidered = 250
	// minRoundInterval is the minimum interval between the starts of two rounds. In each round, every
	// waiting step is considered once, also those behind the first ones: these may wait for something
	// else than capacity.
	minRoundInterval = 500 * time.Millisecond
	// roundShare is the maximum share of the steps behind the first ones that a pass considers.
	roundShare = 1.0 / 8
)

// passBudget limits the number of steps that a placement pass considers.
type passBudget struct {
	round  int // current round
	first  int // remaining number of steps to consider in their order
	behind int // remaining number of steps behind these to consider in the current round
	logged int // remaining number of steps at the limit of their team to be logged
}

// newPassBudget returns the budget of a pass over a number of waiting steps.
func (c *Core) newPassBudget(waiting int) *passBudget {
	first := max(minConsidered, len(c.workers))
	behind := max(0, waiting-first)
	return &passBudget{round: c.round, first: first, behind: 1 + int(float64(behind)*roundShare), logged: first}
}

// take reports whether the pass considers a step, and takes it from the budget.
func (b *passBudget) take(s *stepState) bool {
	switch {
	case b.first > 0:
		b.first--
	case b.behind > 0 && s.consideredRound != b.round:
		b.behind--
	default:
		return false
	}
	s.consideredRound = b.round
	return true
}

// endRound starts the next round if the current one has considered all waiting steps.
func (c *Core) endRound(b *passBudget) {
	if b.behind > 0 && c.now.Sub(c.roundStartedAt) >= minRoundInterval {
		c.round++
		c.roundStartedAt = c.now
	}
}

// sortedSteps returns all active steps, sorted by key.
func (c *Core) sortedSteps() []*stepState {
	return slices.SortedFunc(maps.Values(c.steps), func(a, b *stepState) int {
		return compareTasks(job.TaskKey{StepKey: a.key}, job.TaskKey{StepKey: b.key})
	})
}

type rankedStep struct {
	step        *stepState
	rank        int
	latestStart int64 // with the priority penalty and the shift for past use, in Unix nanoseconds for fast comparison
}

// compareRanked orders steps by rank and latest start. It compares keys only as a tie-breaker, which
// keeps it fast: every pass sorts the queue.
func compareRanked(a, b rankedStep) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.latestStart != b.latestStart {
		return cmp.Compare(a.latestStart, b.latestStart)
	}
	x, y := a.step.key, b.step.key
	return compareTasks(job.TaskKey{StepKey: x}, job.TaskKey{StepKey: y})
}

// hasUnplaced reports whether a step has tasks without a run that are not done. A gang has none while
// any of its members has a run.
func (s *stepState) hasUnplaced() bool {
	if s.spec.Gang {
		for i := range s.tasks {
			if s.tasks[i].run != nil {
				return false // all members of the previous run must have ended
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

// teamUsage holds the resources that a team uses and the token bucket of its job rate.
type teamUsage struct {
	running    task.Resources // of its runs
	tokens     float64
	refilledAt time.Time // last refill of tokens

	surplusPending  int     // pending jobs beyond the team's rate
	demand          float64 // smoothed submission rate in jobs per second
	demandUpdatedAt time.Time

	past teamPastUse
}

func (c *Core) teamUsage(team string) *teamUsage {
	u, ok := c.usage[team]
	if !ok {
		u = &teamUsage{}
		c.usage[team] = u
	}
	return u
}

// burstSeconds is the size of a team's token bucket, in seconds of the team's job rate.
const burstSeconds = 5.0

// takeToken takes a token for a job from its team's bucket and reports whether the job exceeds the
// team's rate because the bucket has no token apart from the reserved ones. If a team exceeds its rate,
// its surplus jobs wait behind the entitled jobs of all teams.
func (c *Core) takeToken(team string, reserved float64) (surplus bool) {
	if !c.hasToken(team, reserved) {
		return true
	}
	if t := c.catalog.Team(team); t != nil && t.Weight > 0 {
		c.teamUsage(team).tokens--
	}
	return false
}

// hasToken refills the bucket of a team and reports whether it has a token for a job apart from the
// reserved ones.
func (c *Core) hasToken(team string, reserved float64) bool {
	t := c.catalog.Team(team)
	if t == nil || t.Weight <= 0 {
		return true
	}
	u := c.teamUsage(team)
	burst := max(1, t.Weight*burstSeconds)
	if u.refilledAt.IsZero() {
		u.tokens = burst
	} else {
		u.tokens = min(burst, u.tokens+t.Weight*c.now.Sub(u.refilledAt).Seconds())
	}
	u.refilledAt = c.now
	return u.tokens >= 1+reserved
}

// sumUnresolvedUsage returns the resources that tasks may use on workers that have not yet reported
// their runs to a new owner. It counts against the limit of every team, since the team is unknown.
func (c *Core) sumUnresolvedUsage() task.Resources {
	var usage, largest task.Resources
	for _, w := range c.workers {
		largest = largest.Max(w.Capacity)
		if w.unsizedRuns > 0 {
			// The runs of unknown size that are being stopped there belong to unknown jobs.
			usage = usage.Add(w.Capacity.Sub(w.used))
		}
	}
	for id, u := range c.unresolved {
		w := c.workers[id]
		switch {
		case u.closed:
			usage = usage.Add(c.sizeOf(u.tasks))
		case w != nil:
			usage = usage.Add(w.Capacity)
		default:
			usage = usage.Add(largest)
		}
	}
	return usage
}

// allowance returns how many tasks of a size a team may start within its limit, at most maxTasks.
func (c *Core) allowance(team string, size task.Resources, maxTasks int) int {
	t := c.catalog.Team(team)
	if t == nil || t.Limit.IsZero() {
		return maxTasks
	}
	running := c.teamUsage(team).running.Add(c.unresolvedUsage())
	bound := func(limit, running, each int64) {
		if limit > 0 && each > 0 {
			maxTasks = min(maxTasks, int(max(0, limit-running)/each))
		}
	}
	bound(t.Limit.CPUMilli, running.CPUMilli, size.CPUMilli)
	bound(t.Limit.MemoryMB, running.MemoryMB, size.MemoryMB)
	bound(t.Limit.Accelerators, running.Accelerators, size.Accelerators)
	return maxTasks
}
