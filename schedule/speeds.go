package schedule

import (
	"slices"
	"time"
)

// degradedShare is the share of the workers from which degraded ones are no longer avoided. So many
// workers do not become slow for reasons of their own; the tasks or the network have.
const degradedShare = 0.25

// isDegraded reports whether a worker has suddenly become slow and is to be avoided until it recovers.
func (c *Core) isDegraded(w *worker) bool {
	return c.learned.degraded > 0 && w.learned.IsDegraded() && float64(c.learned.degraded) <= max(1, degradedShare*float64(len(c.workers)))
}

// speedTier is a class of speeds within which workers are equally good for a task.
type speedTier int

// The tiers are bounded by the middles between 0.8, 1.0 and 1.25 times the usual speed.
const (
	slowTier speedTier = iota
	usualTier
	fastTier

	slowTierEnd   = 0.9
	fastTierBegin = 1.12
)

func (w *worker) speedTier() speedTier {
	switch v := w.relativeSpeed(); {
	case v < slowTierEnd:
		return slowTier
	case v < fastTierBegin:
		return usualTier
	default:
		return fastTier
	}
}

// minSpeed returns the lowest speed of a tier.
func (t speedTier) minSpeed() float64 {
	switch t {
	case fastTier:
		return fastTierBegin
	case usualTier:
		return slowTierEnd
	default:
		return 0
	}
}

const (
	// fastSlack is the slack, as a multiple of the expected duration, below which a step is about to be
	// late: one task in twenty takes three times as long as others.
	fastSlack = 2
	// slowSlack is the slack from which a slow worker serves as well. On a worker with 0.8 times the usual
	// speed, a task that takes three times as long needs a slack of 2.75 times the expected duration.
	slowSlack = 3
)

// compareSpeed compares two workers for a step by their speeds: it is negative if a is better. Fast
// workers are better for a step that is about to be late, and slow ones for a step with slack, so that
// the fast ones remain for others.
func (c *Core) compareSpeed(s *stepState, a, b *worker) int {
	if !c.cfg.LearnSpeeds || s.spec.LongLived {
		return 0
	}
	x, y := a.speedTier(), b.speedTier()
	if x == y {
		return 0
	}
	slack, duration := s.latestStart.Sub(c.now), s.expectedDuration()
	switch {
	case duration == 0:
		return 0
	case slack < fastSlack*duration:
		return int(y - x)
	case slack > slowSlack*duration:
		return int(x - y)
	default:
		return 0
	}
}

// isWaitingForHealthy reports whether a gang should go on waiting for workers that are not degraded. A
// gang that would fit on degraded workers waits for maxDegradedWait: after 3 s without progress, a job
// counts as lost.
func (c *Core) isWaitingForHealthy(s *stepState) bool {
	const maxDegradedWait = time.Second
	if s.estimate.avoidsDegradedSince.IsZero() {
		s.estimate.avoidsDegradedSince = c.now
	}
	return c.now.Sub(s.estimate.avoidsDegradedSince) < maxDegradedWait
}

// chooseHealthyGang is chooseGang without degraded workers. It chooses them only for a gang that has
// waited for others long enough.
func (c *Core) chooseHealthyGang(s *stepState, candidates []candidate) []candidate {
	isDegraded := func(cand candidate) bool { return c.isDegraded(cand.worker) }
	if !slices.ContainsFunc(candidates, isDegraded) {
		return c.chooseGang(s, candidates)
	}
	if chosen := c.chooseGang(s, slices.DeleteFunc(slices.Clone(candidates), isDegraded)); chosen != nil {
		s.estimate.avoidsDegradedSince = time.Time{}
		return chosen
	}
	chosen := c.chooseGang(s, candidates)
	if chosen == nil || c.isWaitingForHealthy(s) {
		return nil
	}
	return chosen
}

// fastestGang returns the assignment of a gang whose slowest worker is in the fastest tier, among those
// that are as good as the given one in all other respects. The candidates must be in the order of
// preference. A gang ends with its slowest member.
func (c *Core) fastestGang(s *stepState, candidates, chosen []candidate) []candidate {
	if !c.cfg.LearnSpeeds || len(chosen) < len(s.tasks) || s.spec.LongLived {
		return chosen
	}
	workers, last := countWorkers(chosen), chosen[len(chosen)-1]
	slowest := fastTier
	for _, cand := range chosen {
		slowest = min(slowest, cand.worker.speedTier())
	}
	for tier := fastTier; tier > slowest; tier-- {
		var faster []candidate
		for _, cand := range candidates {
			if cand.worker.speedTier() < tier {
				continue
			}
			for range min(cand.taskCount, len(s.tasks)-len(faster)) {
				faster = append(faster, cand)
			}
		}
		// The candidates are sorted by these criteria first, so that the last one is the worst.
		if len(faster) == len(s.tasks) && countWorkers(faster) <= workers && c.compareSuitability(s, &faster[len(faster)-1], &last) <= 0 {
			return faster
		}
	}
	return chosen
}

// countWorkers counts the workers of a gang, of which the members on one worker are adjacent.
func countWorkers(members []candidate) int {
	n := 0
	for i := range members {
		if i == 0 || members[i].worker != members[i-1].worker {
			n++
		}
	}
	return n
}

// fasterSlots returns the slots with which a gang is expected to end first: all of them, or only those
// on workers from a tier on, which may be free later. The slots must be sorted by time.
func (c *Core) fasterSlots(s *stepState, slots []slot) []slot {
	if !c.cfg.LearnSpeeds {
		return slots
	}
	slots = c.withoutDegraded(s, slots)
	duration := s.expectedDuration()
	if duration == 0 || s.spec.LongLived {
		return slots
	}
	best, bestEnd := slots, time.Time{}
	for tier := slowTier; tier <= fastTier; tier++ {
		chosen := slots
		if tier > slowTier {
			chosen = slices.DeleteFunc(slices.Clone(slots), func(x slot) bool { return x.worker.speedTier() < tier })
		}
		if len(chosen) < len(s.tasks) {
			break
		}
		slowest := chosen[0].worker.relativeSpeed()
		for _, x := range chosen[:len(s.tasks)] {
			slowest = min(slowest, x.worker.relativeSpeed())
		}
		end := chosen[len(s.tasks)-1].at.Add(scaled(duration, 1/max(slowest, tier.minSpeed())))
		if bestEnd.IsZero() || end.Before(bestEnd) {
			best, bestEnd = chosen, end
		}
	}
	return best
}

// withoutDegraded returns the slots on workers that are not degraded if they suffice for a gang.
func (c *Core) withoutDegraded(s *stepState, slots []slot) []slot {
	if c.learned.degraded == 0 {
		return slots
	}
	healthy := slices.DeleteFunc(slices.Clone(slots), func(x slot) bool { return c.isDegraded(x.worker) })
	if len(healthy) < len(s.tasks) {
		return slots
	}
	return healthy
}
