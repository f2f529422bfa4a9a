package oracle

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// checkKeyOfTeam reports work accepted under a key of another team.
func checkKeyOfTeam(ix *index) []Violation {
	granted := make(map[string]timeline.Event)
	for _, e := range ix.byType[timeline.KeyGranted] {
		granted[e.KeyID] = e
	}
	var found []Violation
	for _, e := range ix.byType[timeline.RequestAccepted] {
		if key, known := granted[e.KeyID]; known && key.Team != e.Team {
			found = append(found, Violation{
				Invariant: KeyOfTeam,
				Message:   fmt.Sprintf("task %s of team %s was accepted under a key of team %s", e.Task, e.Team, key.Team),
				Events:    []timeline.Event{key, e},
			})
		}
	}
	return found
}

// checkWithdrawnKeys reports acceptances and starts under a key that had been
// withdrawn for longer than the bound.
func checkWithdrawnKeys(ix *index) []Violation {
	withdrawn := make(map[string]timeline.Event) // first withdrawal
	for _, e := range ix.byType[timeline.KeyWithdrawn] {
		if _, seen := withdrawn[e.KeyID]; !seen {
			withdrawn[e.KeyID] = e
		}
	}
	bound := ix.Bounds.KeyWithdrawal + ix.Bounds.ClockSkew
	var found []Violation
	for _, e := range ix.byType[timeline.RequestAccepted] {
		withdrawal, ok := withdrawn[e.KeyID]
		if !ok || e.KeyID == "" {
			continue
		}
		until := withdrawal.Clock.Wall.Add(bound)
		late := startedAfter(ix.runsOf[e.Task], until)
		if len(late) > 0 || e.Clock.Wall.After(until) {
			found = append(found, Violation{
				Invariant: WithdrawnKey,
				Message:   fmt.Sprintf("key %s was used for task %s after %s", e.KeyID, e.Task, instant(until)),
				Events:    []timeline.Event{withdrawal, e}, Runs: late,
			})
		}
	}
	return found
}

func startedAfter(runs []Run, limit time.Time) []Run {
	var late []Run
	for _, r := range runs {
		if r.Start.After(limit) {
			late = append(late, r)
		}
	}
	return late
}

// checkLeaving reports starts on a worker that had been leaving for longer than
// the bound, by its own ledger or by the first event that says so.
func checkLeaving(ix *index) []Violation {
	events := make(map[string]timeline.Event) // first for each worker
	for _, e := range ix.byType[timeline.WorkerLeaving] {
		if _, seen := events[e.Worker]; !seen {
			events[e.Worker] = e
		}
	}
	bound := ix.Bounds.Leaving + ix.Bounds.ClockSkew
	var found []Violation
	for _, w := range ix.Workers {
		for _, p := range leavingPeriods(w, events[w.Worker]) {
			for _, r := range startedAfter(w.Runs, p.Start.Add(bound)) {
				if !p.End.IsZero() && r.Start.After(p.End) {
					continue
				}
				found = append(found, Violation{
					Invariant: LeavingWorker,
					Message:   fmt.Sprintf("%s started %s, leaving since %s", w.Worker, r.Attempt, instant(p.Start)),
					Events:    ix.eventsOf(r.Attempt.Task), Runs: []Run{r},
				})
			}
		}
	}
	return found
}

// leavingPeriods prefers the ledger: an event has no counterpart for a worker
// that stays after all.
func leavingPeriods(w WorkerLedger, event timeline.Event) []Period {
	if len(w.Leaving) > 0 || event.Type == "" {
		return w.Leaving
	}
	return []Period{{Start: event.Clock.Wall}}
}

// checkConfig reports configuration that went back in one process.
func checkConfig(ix *index) []Violation {
	type place struct {
		process  process
		team     task.Team
		document string
	}
	last := make(map[place]timeline.Event)
	var found []Violation
	for _, e := range ix.byType[timeline.ConfigInForce] {
		at := place{processOf(e), e.Team, e.Detail}
		if before, seen := last[at]; seen && e.Revision < before.Revision {
			found = append(found, Violation{
				Invariant: ConfigRevisions,
				Message: fmt.Sprintf("%s/%s went back from revision %d to %d", e.Instance, e.Incarnation,
					before.Revision, e.Revision),
				Events: []timeline.Event{before, e},
			})
		}
		last[at] = e
	}
	return found
}
