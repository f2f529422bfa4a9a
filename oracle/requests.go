package oracle

import (
	"fmt"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// checkNeverLost reports durable work that was accepted, was not answered and is
// not known to its home at the end. The end of an attempt at its owner does not
// count: the home may have lost it.
func checkNeverLost(ix *index, report *Report) {
	answered := make(map[task.ID]bool)
	for _, e := range ix.byType[timeline.RequestAnswered] {
		answered[e.Task] = true
	}
	for _, e := range ix.byType[timeline.RequestAccepted] {
		if !task.Kind(e.Kind).IsDurable() || ix.accepted[e.Task] != e {
			continue
		}
		report.examine(NeverLost)
		if _, known := ix.InProgress[e.Task]; known || answered[e.Task] {
			continue
		}
		report.add(Violation{
			Invariant: NeverLost,
			Message:   fmt.Sprintf("task %s was accepted, was not answered and is not known to its home", e.Task),
			Events:    ix.eventsOf(e.Task), Runs: ix.runsOf[e.Task],
		})
	}
}

// checkNotRun reports work that ran although it was stated that it did not.
func checkNotRun(ix *index, report *Report) {
	for _, e := range ix.Events {
		if !ix.statesNotRun(e) {
			continue
		}
		report.examine(TrueNotRun)
		runs := slices.DeleteFunc(slices.Clone(ix.runsOf[e.Task]), func(r Run) bool {
			return e.Type == timeline.TaskNotRun && e.Attempt != 0 && e.Attempt != r.Attempt.Number
		})
		if len(runs) > 0 {
			report.add(Violation{
				Invariant: TrueNotRun,
				Message:   fmt.Sprintf("task %s was stated as not run and ran", e.Task),
				Events:    []timeline.Event{e}, Runs: runs,
			})
		}
	}
}

// statesNotRun reports whether e says of a task that it did not run.
func (ix *index) statesNotRun(e timeline.Event) bool {
	switch {
	case e.Task == "":
		return false
	case e.Type == timeline.TaskNotRun:
		return true
	case e.Type == timeline.RequestAnswered:
		return e.Kind == string(errkind.FateNotRun)
	case e.Type == timeline.RequestRefused:
		// A later submission with the same idempotency key may have been accepted.
		_, accepted := ix.accepted[e.Task]
		return !accepted && errkind.AnswerFor(errkind.Kind(e.Kind)).Fate == errkind.FateNotRun
	}
	return false
}

// checkAnswers reports answers that are not the result of a run of their own
// request.
func checkAnswers(ix *index, report *Report) {
	for _, a := range ix.Answers {
		report.examine(WholeAnswer)
		if !slices.ContainsFunc(ix.runsOf[a.Task], a.isOf) {
			report.add(Violation{
				Invariant: WholeAnswer,
				Message: fmt.Sprintf("the caller of %s received %d bytes with digest %s, which no run of its request gave",
					a.Task, a.ResultBytes, a.ResultDigest),
				Events: ix.eventsOf(a.Task), Runs: ix.runsOf[a.Task],
			})
		}
	}
	for _, e := range ix.byType[timeline.RequestAnswered] {
		if e.Detail == "" {
			continue
		}
		report.examine(WholeAnswer)
		given := func(r Run) bool {
			return r.ResultDigest == e.Detail && (e.Attempt == 0 || e.Attempt == r.Attempt.Number)
		}
		if !slices.ContainsFunc(ix.runsOf[e.Task], given) {
			report.add(Violation{
				Invariant: WholeAnswer,
				Message:   fmt.Sprintf("task %s was answered with a result that no run of it gave", e.Task),
				Events:    []timeline.Event{e}, Runs: ix.runsOf[e.Task],
			})
		}
	}
}

// isOf reports whether a is the whole result of r and r ran the caller's payload.
func (a Answer) isOf(r Run) bool {
	return r.ResultDigest == a.ResultDigest && r.ResultBytes == a.ResultBytes &&
		r.PayloadDigest == a.PayloadDigest && (a.Attempt == 0 || a.Attempt == r.Attempt.Number)
}
