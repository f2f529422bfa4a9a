package oracle

import (
	"fmt"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// checkDurableOutcomes reports durable work that was accepted, was not answered
// and has no record at its home instance at the end of the trace. An attempt whose
// end only its owner recorded does not count as an outcome, because the report to
// the home instance may have been lost.
func checkDurableOutcomes(idx *traceIndex, report *Report) {
	answered := make(map[task.ID]bool)
	for _, e := range idx.byType[timeline.RequestAnswered] {
		answered[e.Task] = true
	}
	for _, e := range idx.byType[timeline.RequestAccepted] {
		if !task.Kind(e.Kind).IsDurable() || idx.accepted[e.Task] != e {
			continue
		}
		report.countExamined(NoLostWork)
		if _, known := idx.KnownTasks[e.Task]; known || answered[e.Task] {
			continue
		}
		report.add(Violation{
			Invariant: NoLostWork,
			Message:   fmt.Sprintf("task %s was accepted, was not answered and has no record at its home instance", e.Task),
			Events:    idx.eventsOf(e.Task), Runs: idx.runsOf[e.Task],
		})
	}
}

// checkNotRunClaims reports work that ran although it was reported as not run.
func checkNotRunClaims(idx *traceIndex, report *Report) {
	for _, e := range idx.Events {
		if !idx.claimsNotRun(e) {
			continue
		}
		report.countExamined(NotRunClaims)
		runs := slices.DeleteFunc(slices.Clone(idx.runsOf[e.Task]), func(r Run) bool {
			return e.Type == timeline.TaskNotRun && e.Attempt != 0 && e.Attempt != r.Attempt.Number
		})
		if len(runs) > 0 {
			report.add(Violation{
				Invariant: NotRunClaims,
				Message:   fmt.Sprintf("task %s was reported as not run, but it ran", e.Task),
				Events:    []timeline.Event{e}, Runs: runs,
			})
		}
	}
}

// claimsNotRun reports whether e reports a task or an attempt as not run.
func (idx *traceIndex) claimsNotRun(e timeline.Event) bool {
	switch {
	case e.Task == "":
		return false
	case e.Type == timeline.TaskNotRun:
		return true
	case e.Type == timeline.RequestAnswered:
		return e.Kind == string(errkind.FateNotRun)
	case e.Type == timeline.RequestRefused:
		// A later submission with the same idempotency key may have been accepted.
		_, accepted := idx.accepted[e.Task]
		return !accepted && errkind.ResponseFor(errkind.Kind(e.Kind)).Fate == errkind.FateNotRun
	}
	return false
}

// checkAnswers reports answers whose result was not produced by a run of the same
// task.
func checkAnswers(idx *traceIndex, report *Report) {
	for _, a := range idx.Answers {
		report.countExamined(AnswerIntegrity)
		if !slices.ContainsFunc(idx.runsOf[a.Task], a.matchesRun) {
			report.add(Violation{
				Invariant: AnswerIntegrity,
				Message: fmt.Sprintf("the caller of task %s received a result of %d bytes with digest %s, which no run of the task produced",
					a.Task, a.ResultBytes, a.ResultDigest),
				Events: idx.eventsOf(a.Task), Runs: idx.runsOf[a.Task],
			})
		}
	}
	for _, e := range idx.byType[timeline.RequestAnswered] {
		if e.Detail == "" {
			continue
		}
		report.countExamined(AnswerIntegrity)
		isResult := func(r Run) bool {
			return r.ResultDigest == e.Detail && (e.Attempt == 0 || e.Attempt == r.Attempt.Number)
		}
		if !slices.ContainsFunc(idx.runsOf[e.Task], isResult) {
			report.add(Violation{
				Invariant: AnswerIntegrity,
				Message:   fmt.Sprintf("task %s was answered with a result that no run of the task produced", e.Task),
				Events:    []timeline.Event{e}, Runs: idx.runsOf[e.Task],
			})
		}
	}
}

// matchesRun reports whether a is the complete result of r and r ran the caller's
// payload.
func (a Answer) matchesRun(r Run) bool {
	return r.ResultDigest == a.ResultDigest && r.ResultBytes == a.ResultBytes &&
		r.PayloadDigest == a.PayloadDigest && (a.Attempt == 0 || a.Attempt == r.Attempt.Number)
}
