package oracle

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// change is a point of time at which what runs changes, or is looked at.
type change struct {
	at   time.Time
	kind changeKind
	run  int
}

// changeKind orders the changes of one instant: what ends makes room for what
// starts, and limits are compared with the result.
type changeKind int

const (
	ends changeKind = iota
	starts
	observed
)

// sweep calls visit with the sum of what runs after each start and at each
// given instant. A run without duration counts at its start only.
func sweep(runs []Run, instants []time.Time, visit func(at time.Time, used task.Resources, active func() []Run)) {
	running := make(map[int]bool)
	var used task.Resources
	for _, c := range changesOf(runs, instants) {
		switch c.kind {
		case ends:
			delete(running, c.run)
			used = used.Sub(runs[c.run].Size)
			continue
		case starts:
			running[c.run] = true
			used = used.Add(runs[c.run].Size)
		}
		visit(c.at, used, func() []Run { return pick(runs, running) })
		if c.kind == starts && isInstant(runs[c.run]) {
			delete(running, c.run)
			used = used.Sub(runs[c.run].Size)
		}
	}
}

func changesOf(runs []Run, instants []time.Time) []change {
	var changes []change
	for i, r := range runs {
		changes = append(changes, change{at: r.Start, kind: starts, run: i})
		if !r.End.IsZero() && !isInstant(r) {
			changes = append(changes, change{at: r.End, kind: ends, run: i})
		}
	}
	for _, at := range instants {
		changes = append(changes, change{at: at, kind: observed})
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.kind, b.kind), cmp.Compare(a.run, b.run))
	})
	return changes
}

func isInstant(r Run) bool { return r.End.Equal(r.Start) }

func pick(runs []Run, indexes map[int]bool) []Run {
	var picked []Run
	for i, r := range runs {
		if indexes[i] {
			picked = append(picked, r)
		}
	}
	return picked
}

// checkCapacity reports workers that ran more than fits, or were asked to.
func checkCapacity(ix *index, report *Report) {
	for _, w := range ix.Workers {
		sweep(w.Runs, nil, func(at time.Time, used task.Resources, active func() []Run) {
			report.examine(Capacity)
			if !used.Fits(w.Capacity) {
				report.add(Violation{
					Invariant: Capacity,
					Message:   fmt.Sprintf("%s ran [%s] of [%s] at %s", w.Worker, used, w.Capacity, instant(at)),
					Runs:      active(),
				})
			}
		})
		for _, r := range w.OverCapacity {
			report.examine(Capacity)
			report.add(Violation{
				Invariant: Capacity,
				Message: fmt.Sprintf("%s was asked to start %s with [%s] beside [%s] of [%s] under epoch %d at %s",
					w.Worker, r.Attempt, r.Size, r.Used, w.Capacity, r.Epoch, instant(r.At)),
				Events: ix.eventsOf(r.Attempt.Task),
			})
		}
	}
}

// eventsOf returns the events of one task.
func (ix *index) eventsOf(id task.ID) []timeline.Event {
	var found []timeline.Event
	for _, e := range ix.Events {
		if e.Task == id {
			found = append(found, e)
		}
	}
	return found
}

// checkOnePlace reports runs of one task that overlap.
func checkOnePlace(ix *index, report *Report) {
	for _, id := range sortedKeys(ix.runsOf) {
		runs := ix.runsOf[id]
		for i, a := range runs {
			report.examine(OnePlace)
			for _, b := range runs[i+1:] {
				if overlap(a, b) {
					report.add(Violation{
						Invariant: OnePlace,
						Message:   fmt.Sprintf("task %s ran twice at once", id),
						Events:    ix.eventsOf(id), Runs: []Run{a, b},
					})
				}
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func overlap(a, b Run) bool {
	return startsBefore(a, b) && startsBefore(b, a)
}

// startsBefore reports whether a starts before b ends.
func startsBefore(a, b Run) bool { return b.End.IsZero() || a.Start.Before(b.End) }

// checkAtMostOnce reports at-most-once tasks with several runs, and attempt
// numbers that were used twice.
func checkAtMostOnce(ix *index, report *Report) {
	for _, id := range sortedKeys(ix.runsOf) {
		runs := ix.runsOf[id]
		if ix.accepted[id].Kind == string(task.AtMostOnce) && len(runs) > 1 {
			report.examine(AtMostOnce)
			report.add(Violation{
				Invariant: AtMostOnce,
				Message:   fmt.Sprintf("task %s must not be repeated and ran %d times", id, len(runs)),
				Events:    ix.eventsOf(id), Runs: runs,
			})
			continue
		}
		byNumber := make(map[uint32]Run)
		for _, r := range runs {
			report.examine(AtMostOnce)
			if before, used := byNumber[r.Attempt.Number]; used {
				report.add(Violation{
					Invariant: AtMostOnce,
					Message:   fmt.Sprintf("attempt %s ran twice", r.Attempt),
					Events:    ix.eventsOf(id), Runs: []Run{before, r},
				})
			}
			byNumber[r.Attempt.Number] = r
		}
	}
}

// checkLimits reports instants at which a team had more running than its limit.
func checkLimits(ix *index, report *Report) {
	limits := limitsOf(ix)
	for _, team := range sortedKeys(limits) {
		var runs []Run
		for _, r := range ix.runs {
			if r.Team == team {
				runs = append(runs, r)
			}
		}
		var instants []time.Time
		for _, e := range limits[team] {
			// A limit that replaces a higher one is judged once the skew has passed.
			instants = append(instants, e.Clock.Wall.Add(2*ix.Bounds.ClockSkew))
		}
		sweep(runs, instants, func(at time.Time, used task.Resources, active func() []Run) {
			report.examine(TeamLimit)
			inForce := around(limits[team], at, ix.Bounds.ClockSkew)
			if len(inForce) > 0 && !slices.ContainsFunc(inForce, func(e timeline.Event) bool { return within(used, e) }) {
				report.add(Violation{
					Invariant: TeamLimit,
					Message:   fmt.Sprintf("team %s had [%s] running at %s", team, used, instant(at)),
					Events:    inForce, Runs: active(),
				})
			}
		})
	}
}

// limitsOf returns the first event of each revision of each team's limit, in
// the order of the clock. The limits given with the trace come first.
func limitsOf(ix *index) map[task.Team][]timeline.Event {
	limits := make(map[task.Team][]timeline.Event)
	for team, size := range ix.Limits {
		limits[team] = []timeline.Event{{Type: timeline.LimitInForce, Team: team, Size: &size}}
	}
	for _, e := range ix.byType[timeline.LimitInForce] {
		known := slices.ContainsFunc(limits[e.Team], func(o timeline.Event) bool { return o.Revision == e.Revision })
		if e.Size != nil && !known {
			limits[e.Team] = append(limits[e.Team], e)
		}
	}
	return limits
}

// around returns the limits in force at some time within skew of at. There is
// none while the team may have had no limit yet.
func around(limits []timeline.Event, at time.Time, skew time.Duration) []timeline.Event {
	if limits[0].Clock.Wall.After(at.Add(-skew)) {
		return nil
	}
	var inForce []timeline.Event
	for i, e := range limits {
		startsInTime := !e.Clock.Wall.After(at.Add(skew))
		lastsUntil := i+1 == len(limits) || limits[i+1].Clock.Wall.After(at.Add(-skew))
		if startsInTime && lastsUntil {
			inForce = append(inForce, e)
		}
	}
	return inForce
}

// within reports whether used is within the limit of e, where an amount of zero
// does not limit.
func within(used task.Resources, e timeline.Event) bool {
	limit := *e.Size
	ok := func(used, limit int64) bool { return limit <= 0 || used <= limit }
	return ok(used.CPUMilli, limit.CPUMilli) && ok(used.MemoryMB, limit.MemoryMB) &&
		ok(used.Accelerators, limit.Accelerators) && ok(used.Slots, limit.Slots) &&
		ok(used.Connections, limit.Connections)
}
