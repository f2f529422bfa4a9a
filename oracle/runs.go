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

// sweepPoint is a time at which the set of running tasks changes or is sampled.
type sweepPoint struct {
	at   time.Time
	kind pointKind
	run  int // index of the run that starts or ends
}

// pointKind orders the points at one instant: ends release resources before
// starts take them, and samples come last.
type pointKind int

const (
	runEnds pointKind = iota
	runStarts
	sample
)

// sweep calls visit with the resources in use and the active runs, after each start
// and at each of the given instants. A run with zero duration counts only at its
// start.
func sweep(runs []Run, instants []time.Time, visit func(at time.Time, used task.Resources, active func() []Run)) {
	running := make(map[int]bool)
	var used task.Resources
	for _, p := range sweepPoints(runs, instants) {
		switch p.kind {
		case runEnds:
			delete(running, p.run)
			used = used.Sub(runs[p.run].Size)
			continue
		case runStarts:
			running[p.run] = true
			used = used.Add(runs[p.run].Size)
		}
		visit(p.at, used, func() []Run { return selectRuns(runs, running) })
		if p.kind == runStarts && hasZeroDuration(runs[p.run]) {
			delete(running, p.run)
			used = used.Sub(runs[p.run].Size)
		}
	}
}

func sweepPoints(runs []Run, instants []time.Time) []sweepPoint {
	var points []sweepPoint
	for i, r := range runs {
		points = append(points, sweepPoint{at: r.Start, kind: runStarts, run: i})
		if !r.End.IsZero() && !hasZeroDuration(r) {
			points = append(points, sweepPoint{at: r.End, kind: runEnds, run: i})
		}
	}
	for _, at := range instants {
		points = append(points, sweepPoint{at: at, kind: sample})
	}
	slices.SortFunc(points, func(a, b sweepPoint) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.kind, b.kind), cmp.Compare(a.run, b.run))
	})
	return points
}

func hasZeroDuration(r Run) bool { return r.End.Equal(r.Start) }

func selectRuns(runs []Run, indexes map[int]bool) []Run {
	var selected []Run
	for i, r := range runs {
		if indexes[i] {
			selected = append(selected, r)
		}
	}
	return selected
}

// checkCapacity reports workers whose running tasks exceeded their capacity, or that
// received a start that would have exceeded it.
func checkCapacity(idx *traceIndex, report *Report) {
	for _, w := range idx.Workers {
		sweep(w.Runs, nil, func(at time.Time, used task.Resources, active func() []Run) {
			report.countExamined(Capacity)
			if !used.Fits(w.Capacity) {
				report.add(Violation{
					Invariant: Capacity,
					Message:   fmt.Sprintf("worker %s ran tasks of [%s] with a capacity of [%s] at %s", w.Worker, used, w.Capacity, formatTime(at)),
					Runs:      active(),
				})
			}
		})
		for _, r := range w.RejectedStarts {
			report.countExamined(Capacity)
			report.add(Violation{
				Invariant: Capacity,
				Message: fmt.Sprintf("worker %s received a start of %s with [%s] while [%s] of [%s] were in use, under epoch %d at %s",
					w.Worker, r.Attempt, r.Size, r.Used, w.Capacity, r.Epoch, formatTime(r.At)),
				Events: idx.eventsOf(r.Attempt.Task),
			})
		}
	}
}

// eventsOf returns the events of one task.
func (idx *traceIndex) eventsOf(id task.ID) []timeline.Event {
	var found []timeline.Event
	for _, e := range idx.Events {
		if e.Task == id {
			found = append(found, e)
		}
	}
	return found
}

// checkOverlappingRuns reports runs of one task that overlap in time.
func checkOverlappingRuns(idx *traceIndex, report *Report) {
	for _, id := range sortedKeys(idx.runsOf) {
		runs := idx.runsOf[id]
		for i, a := range runs {
			report.countExamined(NoOverlappingRuns)
			for _, b := range runs[i+1:] {
				if overlaps(a, b) {
					report.add(Violation{
						Invariant: NoOverlappingRuns,
						Message:   fmt.Sprintf("task %s has two runs that overlap", id),
						Events:    idx.eventsOf(id), Runs: []Run{a, b},
					})
				}
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func overlaps(a, b Run) bool {
	return startsBefore(a, b) && startsBefore(b, a)
}

// startsBefore reports whether a starts before b ends.
func startsBefore(a, b Run) bool { return b.End.IsZero() || a.Start.Before(b.End) }

// checkAtMostOnce reports at-most-once tasks with several runs, and attempts that
// ran more than once.
func checkAtMostOnce(idx *traceIndex, report *Report) {
	for _, id := range sortedKeys(idx.runsOf) {
		runs := idx.runsOf[id]
		if idx.accepted[id].Kind == string(task.AtMostOnce) && len(runs) > 1 {
			report.countExamined(AtMostOnce)
			report.add(Violation{
				Invariant: AtMostOnce,
				Message:   fmt.Sprintf("at-most-once task %s ran %d times", id, len(runs)),
				Events:    idx.eventsOf(id), Runs: runs,
			})
			continue
		}
		byNumber := make(map[uint32]Run)
		for _, r := range runs {
			report.countExamined(AtMostOnce)
			if previous, used := byNumber[r.Attempt.Number]; used {
				report.add(Violation{
					Invariant: AtMostOnce,
					Message:   fmt.Sprintf("attempt %s ran twice", r.Attempt),
					Events:    idx.eventsOf(id), Runs: []Run{previous, r},
				})
			}
			byNumber[r.Attempt.Number] = r
		}
	}
}

// checkLimits reports times at which the running tasks of a team exceeded its
// limit.
func checkLimits(idx *traceIndex, report *Report) {
	limits := limitHistory(idx)
	for _, team := range sortedKeys(limits) {
		var runs []Run
		for _, r := range idx.runs {
			if r.Team == team {
				runs = append(runs, r)
			}
		}
		var instants []time.Time
		for _, e := range limits[team] {
			// Twice the clock skew after its event, a limit is in force according to
			// every clock, and a higher limit that it replaced no longer applies.
			instants = append(instants, e.Clock.Wall.Add(2*idx.Bounds.ClockSkew))
		}
		sweep(runs, instants, func(at time.Time, used task.Resources, active func() []Run) {
			report.countExamined(TeamLimit)
			inForce := limitsInForce(limits[team], at, idx.Bounds.ClockSkew)
			if len(inForce) > 0 && !slices.ContainsFunc(inForce, func(e timeline.Event) bool { return isWithinLimit(used, e) }) {
				report.add(Violation{
					Invariant: TeamLimit,
					Message:   fmt.Sprintf("team %s had [%s] running at %s, above its limit", team, used, formatTime(at)),
					Events:    inForce, Runs: active(),
				})
			}
		})
	}
}

// limitHistory returns the first event of each revision of each team's limit, in
// order of time. The limits given with the trace come first.
func limitHistory(idx *traceIndex) map[task.Team][]timeline.Event {
	limits := make(map[task.Team][]timeline.Event)
	for team, size := range idx.Limits {
		limits[team] = []timeline.Event{{Type: timeline.LimitInForce, Team: team, Size: &size}}
	}
	for _, e := range idx.byType[timeline.LimitInForce] {
		recorded := slices.ContainsFunc(limits[e.Team], func(o timeline.Event) bool { return o.Revision == e.Revision })
		if e.Size != nil && !recorded {
			limits[e.Team] = append(limits[e.Team], e)
		}
	}
	return limits
}

// limitsInForce returns the limits that were in force at some time within skew
// before or after at. It returns none if the team may not have had a limit yet.
func limitsInForce(limits []timeline.Event, at time.Time, skew time.Duration) []timeline.Event {
	if limits[0].Clock.Wall.After(at.Add(-skew)) {
		return nil
	}
	var inForce []timeline.Event
	for i, e := range limits {
		startedByThen := !e.Clock.Wall.After(at.Add(skew))
		notYetReplaced := i+1 == len(limits) || limits[i+1].Clock.Wall.After(at.Add(-skew))
		if startedByThen && notYetReplaced {
			inForce = append(inForce, e)
		}
	}
	return inForce
}

// isWithinLimit reports whether used is within the limit of e. A zero amount means
// no limit.
func isWithinLimit(used task.Resources, e timeline.Event) bool {
	limit := *e.Size
	fits := func(used, limit int64) bool { return limit <= 0 || used <= limit }
	return fits(used.CPUMilli, limit.CPUMilli) && fits(used.MemoryMB, limit.MemoryMB) &&
		fits(used.Accelerators, limit.Accelerators) && fits(used.Slots, limit.Slots) &&
		fits(used.Connections, limit.Connections)
}
