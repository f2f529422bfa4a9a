package oracle

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// keyName names a key; teams may use the same identifier.
type keyName struct {
	team task.Team
	id   string
}

// underKeys returns the events that show the use of a key: acceptances and
// starts that name one.
func (ix *index) underKeys() []timeline.Event {
	var used []timeline.Event
	for _, e := range ix.Events {
		if e.KeyID != "" && (e.Type == timeline.RequestAccepted || e.Type == timeline.TaskStartSent) {
			used = append(used, e)
		}
	}
	return used
}

// checkKeyOfTeam reports work under a key that was granted to other teams only.
func checkKeyOfTeam(ix *index, report *Report) {
	granted := make(map[keyName]bool)
	other := make(map[string]timeline.Event)
	for _, e := range ix.byType[timeline.KeyGranted] {
		granted[keyName{e.Team, e.KeyID}] = true
		other[e.KeyID] = e
	}
	for _, e := range ix.underKeys() {
		grant, known := other[e.KeyID]
		if !known {
			continue
		}
		report.examine(KeyOfTeam)
		if !granted[keyName{e.Team, e.KeyID}] {
			report.add(Violation{
				Invariant: KeyOfTeam,
				Message:   fmt.Sprintf("task %s of team %s used a key of team %s", e.Task, e.Team, grant.Team),
				Events:    []timeline.Event{grant, e},
			})
		}
	}
}

// withdrawals returns the first withdrawal of each key that was not granted
// again later.
func (ix *index) withdrawals() map[keyName]timeline.Event {
	first := make(map[keyName]timeline.Event)
	for _, e := range ix.byType[timeline.KeyWithdrawn] {
		name := keyName{e.Team, e.KeyID}
		if _, seen := first[name]; !seen {
			first[name] = e
		}
	}
	for _, e := range ix.byType[timeline.KeyGranted] {
		name := keyName{e.Team, e.KeyID}
		if withdrawal, ok := first[name]; ok && e.Revision > withdrawal.Revision {
			delete(first, name)
		}
	}
	return first
}

// checkWithdrawnKeys reports acceptances and starts under a key that had been
// withdrawn for longer than the bound.
func checkWithdrawnKeys(ix *index, report *Report) {
	withdrawn := ix.withdrawals()
	bound := ix.Bounds.KeyWithdrawal + ix.Bounds.ClockSkew
	for _, e := range ix.underKeys() {
		withdrawal, ok := withdrawn[keyName{e.Team, e.KeyID}]
		if !ok {
			continue
		}
		report.examine(WithdrawnKey)
		until := withdrawal.Clock.Wall.Add(bound)
		late := startedAfter(ix.runsOf[e.Task], until)
		if len(late) > 0 || e.Clock.Wall.After(until) {
			report.add(Violation{
				Invariant: WithdrawnKey,
				Message:   fmt.Sprintf("key %s of team %s was used for task %s after %s", e.KeyID, e.Team, e.Task, instant(until)),
				Events:    []timeline.Event{withdrawal, e}, Runs: late,
			})
		}
	}
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
func checkLeaving(ix *index, report *Report) {
	events := make(map[string]timeline.Event) // first for each worker
	for _, e := range ix.byType[timeline.WorkerLeaving] {
		if _, seen := events[e.Worker]; !seen {
			events[e.Worker] = e
		}
	}
	bound := ix.Bounds.Leaving + ix.Bounds.ClockSkew
	for _, w := range ix.Workers {
		for _, p := range leavingPeriods(w, events[w.Worker]) {
			report.examine(LeavingWorker)
			for _, r := range startedAfter(w.Runs, p.Start.Add(bound)) {
				if !p.End.IsZero() && r.Start.After(p.End) {
					continue
				}
				report.add(Violation{
					Invariant: LeavingWorker,
					Message:   fmt.Sprintf("%s started %s, leaving since %s", w.Worker, r.Attempt, instant(p.Start)),
					Events:    ix.eventsOf(r.Attempt.Task), Runs: []Run{r},
				})
			}
		}
	}
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
func checkConfig(ix *index, report *Report) {
	type place struct {
		process  process
		team     task.Team
		document string
	}
	last := make(map[place]timeline.Event)
	for _, e := range ix.byType[timeline.ConfigInForce] {
		report.examine(ConfigRevisions)
		at := place{processOf(e), e.Team, e.Detail}
		if before, seen := last[at]; seen && e.Revision < before.Revision {
			report.add(Violation{
				Invariant: ConfigRevisions,
				Message: fmt.Sprintf("%s/%s went back from revision %d to %d", e.Instance, e.Incarnation,
					before.Revision, e.Revision),
				Events: []timeline.Event{before, e},
			})
		}
		last[at] = e
	}
}
