package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// minProgressPercent is the minimum progress of a run for its end to be extrapolated.
	minProgressPercent = 5
	// unknownRunDuration is the assumed remaining time of a run whose step is unknown.
	unknownRunDuration = time.Second
	// stopDuration is the assumed remaining time of a run that is being stopped.
	stopDuration = 500 * time.Millisecond
	// overrunShare is the assumed remaining time of a run that exceeds its estimate, as a share of
	// its elapsed time.
	overrunShare = 0.25
)

// readyTime returns the time at which the capacity for all members of an existing plan will be free
// according to the current slots, which must be sorted by time. It returns false if there is no plan
// or the slots do not cover it.
func (r *reservation) readyTime(slots []slot) (ready time.Time, ok bool) {
	if r == nil {
		return ready, false
	}
	missing := maps.Clone(r.members)
	for _, next := range slots {
		if missing[next.worker] > 0 {
			missing[next.worker]--
			ready = next.at
		}
	}
	for _, n := range missing {
		if n > 0 {
			return ready, false
		}
	}
	return ready, true
}

// chooseSlots chooses n slots among those that are free no later than the n-th one, on as few
// workers as possible. The slots must be sorted by time. It returns the number of slots by worker.
func chooseSlots(slots []slot, n int) map[*worker]int {
	ready := slots[n-1].at
	counts := make(map[*worker]int)
	for _, next := range slots {
		if next.at.After(ready) {
			break
		}
		counts[next.worker]++
	}
	order := slices.SortedFunc(maps.Keys(counts), func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(counts[a], counts[b]), cmp.Compare(a.ID, b.ID))
	})
	members := make(map[*worker]int)
	for _, w := range order {
		if n == 0 {
			break
		}
		members[w] = min(n, counts[w])
		n -= members[w]
	}
	return members
}

// slot is capacity for one member of a gang.
type slot struct {
	worker *worker
	at     time.Time // expected time at which it is free
}

func compareSlots(a, b slot) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker.ID, b.worker.ID))
}

// slots returns the present and future capacity for members of a gang on the eligible workers.
func (c *Core) slots(s *stepState, usable []*worker) []slot {
	size, needsTicket := taskSize(s.spec), needsAdvice(s)
	var out []slot
	for w := range c.possibleWorkers(s, usable) {
		if !meetsRequirements(w, s) || c.isFailing(w) {
			continue
		}
		if _, ok := s.advice.ticket(w, c.now, true); needsTicket && !ok {
			continue
		}
		maxTasks := len(s.tasks)
		if s.spec.AntiAffinity > 0 {
			maxTasks = min(maxTasks, s.spec.AntiAffinity)
		}
		out = c.appendSlots(out, w, s, size, maxTasks)
	}
	return out
}

// appendSlots adds the slots of one worker: those that are free now, followed by those that become
// free as its runs end.
func (c *Core) appendSlots(out []slot, w *worker, s *stepState, size task.Resources, maxTasks int) []slot {
	free := w.free(s, c.now)
	n := fitCount(size, free, maxTasks)
	for range n {
		out = append(out, slot{w, c.now})
	}
	if n == maxTasks {
		return out
	}
	for _, e := range c.expectedEnds(w) {
		free = free.Add(e.size)
		for fits := fitCount(size, free, maxTasks); n < fits; n++ {
			out = append(out, slot{w, e.at})
		}
	}
	return out
}

// expectedEnd is the expected end of a run and the resources that it releases.
type expectedEnd struct {
	at   time.Time
	size task.Resources
}

// expectedEnds returns the expected ends of the runs on a worker, sorted by time. They are cached
// for all plans of a pass.
func (c *Core) expectedEnds(w *worker) []expectedEnd {
	if w.endsAt.Equal(c.now) {
		return w.ends
	}
	ends := w.ends[:0]
	for _, r := range w.runs {
		if at, ok := c.estimateEnd(r); ok {
			ends = append(ends, expectedEnd{at, r.size})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	w.ends, w.endsAt = ends, c.now
	return ends
}

// estimateEnd returns the expected end of a run, extrapolated from its progress or else based on the
// caller's estimate. It returns false for a long-lived run.
func (c *Core) estimateEnd(r *run) (time.Time, bool) {
	if isUnconfirmed := r.state == runStopping || r.state == runUnclear; isUnconfirmed && r.worker.silent {
		return c.leaseExpiry(r.worker), true
	}
	if r.state == runStopping {
		return c.now.Add(stopDuration), true
	}
	if r.step == nil {
		return c.now.Add(unknownRunDuration), true
	}
	if r.step.spec.LongLived {
		return time.Time{}, false
	}
	if !r.step.spec.Gang {
		return c.now.Add(max(0, c.remainingTime(r))), true
	}
	// The members of a gang end together.
	remaining := time.Duration(0)
	for i := range r.step.tasks {
		if member := r.step.tasks[i].run; member != nil {
			remaining = max(remaining, c.remainingTime(member))
		}
	}
	return c.now.Add(remaining), true
}

// remainingTime returns the expected remaining time of a run, regardless of its gang.
func (c *Core) remainingTime(r *run) time.Duration {
	if d, ok := c.learnedRemaining(r); ok {
		return d
	}
	elapsed := c.now.Sub(r.startedAt)
	if worked := r.progressedAt.Sub(r.startedAt); r.percent >= minProgressPercent && !r.adopted {
		return worked*100/time.Duration(r.percent) - elapsed
	}
	return max(c.durationOn(r.step, r.worker)-elapsed, time.Duration(overrunShare*float64(elapsed)))
}
