package oracle

import (
	"fmt"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// checkNeverLost reports durable work that was accepted, has no outcome and is
// not in progress either.
func checkNeverLost(ix *index) []Violation {
	placed := make(map[task.ID]uint32) // highest attempt
	for _, e := range ix.byType[timeline.TaskPlaced] {
		placed[e.Task] = max(placed[e.Task], e.Attempt)
	}
	final := make(map[task.ID]bool)
	for _, e := range ix.Events {
		if isFinal(e, placed[e.Task]) {
			final[e.Task] = true
		}
	}
	var found []Violation
	for _, e := range ix.byType[timeline.RequestAccepted] {
		if ix.accepted[e.Task] != e || !task.Kind(e.Kind).IsDurable() || final[e.Task] || ix.InProgress[e.Task] {
			continue
		}
		found = append(found, Violation{
			Invariant: NeverLost,
			Message:   fmt.Sprintf("task %s was accepted, has no outcome and is not in progress", e.Task),
			Events:    ix.eventsOf(e.Task), Runs: ix.runsOf[e.Task],
		})
	}
	return found
}

// isFinal reports whether e ends its task, of which attempt highest was placed
// last. The end of an earlier attempt is not the end of the task.
func isFinal(e timeline.Event, highest uint32) bool {
	switch e.Type {
	case timeline.RequestAnswered, timeline.TaskFinished, timeline.TaskUnknown:
		return e.Attempt == 0 || e.Attempt >= highest
	case timeline.TaskNotRun:
		return e.Attempt == 0
	}
	return false
}

// checkNotRun reports work that ran although it was stated that it did not.
func checkNotRun(ix *index) []Violation {
	var found []Violation
	for _, e := range ix.Events {
		runs := ix.runsAgainst(e)
		if len(runs) == 0 {
			continue
		}
		found = append(found, Violation{
			Invariant: TrueNotRun,
			Message:   fmt.Sprintf("task %s was stated as not run and ran", e.Task),
			Events:    []timeline.Event{e}, Runs: runs,
		})
	}
	return found
}

// runsAgainst returns the runs that contradict a statement of not run in e.
func (ix *index) runsAgainst(e timeline.Event) []Run {
	if e.Task == "" {
		return nil
	}
	runs := ix.runsOf[e.Task]
	switch e.Type {
	case timeline.TaskNotRun:
		if e.Attempt == 0 {
			return runs
		}
		return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Attempt.Number != e.Attempt })
	case timeline.RequestAnswered:
		if e.Kind == string(errkind.FateNotRun) {
			return runs
		}
	case timeline.RequestRefused:
		// A later submission with the same idempotency key may have been accepted.
		_, accepted := ix.accepted[e.Task]
		if !accepted && errkind.AnswerFor(errkind.Kind(e.Kind)).Fate == errkind.FateNotRun {
			return runs
		}
	}
	return nil
}

// checkAnswers reports answers that are not the result of a run of their own
// request.
func checkAnswers(ix *index) []Violation {
	var found []Violation
	for _, a := range ix.Answers {
		if !slices.ContainsFunc(ix.runsOf[a.Task], a.isOf) {
			found = append(found, Violation{
				Invariant: WholeAnswer,
				Message: fmt.Sprintf("the caller of %s received %d bytes with digest %s, which no run of its request gave",
					a.Task, a.ResultBytes, a.ResultDigest),
				Events: ix.eventsOf(a.Task), Runs: ix.runsOf[a.Task],
			})
		}
	}
	for _, e := range ix.byType[timeline.RequestAnswered] {
		given := func(r Run) bool {
			return r.ResultDigest == e.Detail && (e.Attempt == 0 || e.Attempt == r.Attempt.Number)
		}
		if e.Detail != "" && !slices.ContainsFunc(ix.runsOf[e.Task], given) {
			found = append(found, Violation{
				Invariant: WholeAnswer,
				Message:   fmt.Sprintf("task %s was answered with a result that no run of it gave", e.Task),
				Events:    []timeline.Event{e}, Runs: ix.runsOf[e.Task],
			})
		}
	}
	return found
}

// isOf reports whether a is the whole result of r and r ran the caller's payload.
func (a Answer) isOf(r Run) bool {
	return r.ResultDigest == a.ResultDigest && r.ResultBytes == a.ResultBytes &&
		r.PayloadDigest == a.PayloadDigest && (a.Attempt == 0 || a.Attempt == r.Attempt.Number)
}
