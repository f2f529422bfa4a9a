package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// leastPercent is the progress from which the end of a run is extrapolated.
	leastPercent = 5
	// unknownEnd is when a run of unknown length is taken to end.
	unknownEnd = time.Second
	// stopEnd is when a run that is being stopped is taken to end.
	stopEnd = 500 * time.Millisecond
	// overrun is the part of its time so far that a run past its estimate is
	// expected to take on top.
	overrun = 0.25
)

// readyWith returns when the members of an earlier plan have their room, by the
// slots as they are now.
func (r *reservation) readyWith(slots []slot) (ready time.Time, ok bool) {
	if r == nil {
		return ready, false
	}
	missing := maps.Clone(r.members)
	for _, sl := range slots {
		if missing[sl.worker] > 0 {
			missing[sl.worker]--
			ready = sl.at
		}
	}
	for _, n := range missing {
		if n > 0 {
			return ready, false
		}
	}
	return ready, true
}

// chooseSlots takes n of the slots that are free when the n-th is, from as few
// workers as possible. The slots are ordered by time.
func chooseSlots(slots []slot, n int) map[*worker]int {
	ready := slots[n-1].at
	counts := make(map[*worker]int)
	for _, sl := range slots {
		if sl.at.After(ready) {
			break
		}
		counts[sl.worker]++
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

// slot is room for one member of a gang.
type slot struct {
	worker *worker
	at     time.Time // when it should be free
}

func compareSlots(a, b slot) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker.ID, b.worker.ID))
}

// slots lists the room for members of a gang on the workers that may run it.
func (c *Core) slots(s *stepState, usable []*worker) []slot {
	size, advised := stepSize(s.spec), c.needsAdvice(s)
	var out []slot
	for _, w := range usable {
		if !suits(w, s) || c.isFailing(w) {
			continue
		}
		if _, ok := s.advice.ticket(w, c.now, true); advised && !ok {
			continue
		}
		most := len(s.tasks)
		if s.spec.AntiAffinity > 0 {
			most = min(most, s.spec.AntiAffinity)
		}
		out = c.appendSlots(out, w, s, size, most)
	}
	return out
}

// appendSlots adds the slots of one worker: those that are free now, then those
// that become free as its runs end.
func (c *Core) appendSlots(out []slot, w *worker, s *stepState, size task.Resources, most int) []slot {
	room := w.free(s, c.now)
	n := fitCount(size, room, most)
	for range n {
		out = append(out, slot{w, c.now})
	}
	if n == most {
		return out
	}
	for _, e := range c.endsOn(w) {
		room = room.Add(e.size)
		for fits := fitCount(size, room, most); n < fits; n++ {
			out = append(out, slot{w, e.at})
		}
	}
	return out
}

// expectedEnd is when a run should end and what it gives back.
type expectedEnd struct {
	at   time.Time
	size task.Resources
}

// endsOn returns the ends of the runs on a worker in their order. All plans of a
// pass share them.
func (c *Core) endsOn(w *worker) []expectedEnd {
	if w.endsAt.Equal(c.now) {
		return w.ends
	}
	ends := w.ends[:0]
	for _, r := range w.runs {
		if at, ok := c.expectEnd(r); ok {
			ends = append(ends, expectedEnd{at, r.size})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	w.ends, w.endsAt = ends, c.now
	return ends
}

// expectEnd extrapolates the end of a run from its progress, or else from the
// caller's estimate. A long-lived run has no end.
func (c *Core) expectEnd(r *run) (time.Time, bool) {
	if r.state == runStopping {
		return c.now.Add(stopEnd), true
	}
	if r.step == nil {
		return c.now.Add(unknownEnd), true
	}
	if r.step.spec.LongLived {
		return time.Time{}, false
	}
	if !r.step.spec.Gang {
		return c.now.Add(max(0, c.restOf(r))), true
	}
	// The members of a gang end together.
	rest := time.Duration(0)
	for i := range r.step.tasks {
		if member := r.step.tasks[i].run; member != nil {
			rest = max(rest, c.restOf(member))
		}
	}
	return c.now.Add(rest), true
}

// restOf returns how much longer a run should take, by itself.
func (c *Core) restOf(r *run) time.Duration {
	elapsed := c.now.Sub(r.startedAt)
	if worked := r.advancedAt.Sub(r.startedAt); r.percent >= leastPercent && !r.adopted {
		return worked*100/time.Duration(r.percent) - elapsed
	}
	return max(r.step.spec.Estimate-elapsed, time.Duration(overrun*float64(elapsed)))
}
