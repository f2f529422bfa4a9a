package oracle

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// keyRef identifies a key. Different teams may use the same key ID.
type keyRef struct {
	team task.Team
	id   string
}

// keyUses returns the events in which a key was used: acceptances and starts with
// a key ID.
func (idx *traceIndex) keyUses() []timeline.Event {
	var used []timeline.Event
	for _, e := range idx.Events {
		if e.KeyID != "" && (e.Type == timeline.RequestAccepted || e.Type == timeline.TaskStartSent) {
			used = append(used, e)
		}
	}
	return used
}

// checkKeyTeam reports work under a key that was granted only to other teams.
func checkKeyTeam(idx *traceIndex, report *Report) {
	granted := make(map[keyRef]bool)
	anyGrant := make(map[string]timeline.Event)
	for _, e := range idx.byType[timeline.KeyGranted] {
		granted[keyRef{e.Team, e.KeyID}] = true
		anyGrant[e.KeyID] = e
	}
	for _, e := range idx.keyUses() {
		grant, known := anyGrant[e.KeyID]
		if !known {
			continue
		}
		report.countExamined(KeyTeam)
		if !granted[keyRef{e.Team, e.KeyID}] {
			report.add(Violation{
				Invariant: KeyTeam,
				Message:   fmt.Sprintf("task %s of team %s was accepted or started under a key of team %s", e.Task, e.Team, grant.Team),
				Events:    []timeline.Event{grant, e},
			})
		}
	}
}

// lastingWithdrawals returns the first withdrawal of each key that was not
// granted again afterwards.
func (idx *traceIndex) lastingWithdrawals() map[keyRef]timeline.Event {
	first := make(map[keyRef]timeline.Event)
	for _, e := range idx.byType[timeline.KeyWithdrawn] {
		ref := keyRef{e.Team, e.KeyID}
		if _, seen := first[ref]; !seen {
			first[ref] = e
		}
	}
	for _, e := range idx.byType[timeline.KeyGranted] {
		ref := keyRef{e.Team, e.KeyID}
		if withdrawal, ok := first[ref]; ok && e.Revision > withdrawal.Revision {
			delete(first, ref)
		}
	}
	return first
}

// checkWithdrawnKeys reports acceptances and starts under a withdrawn key after
// Bounds.KeyWithdrawal has passed since its withdrawal.
func checkWithdrawnKeys(idx *traceIndex, report *Report) {
	withdrawn := idx.lastingWithdrawals()
	bound := idx.Bounds.KeyWithdrawal + idx.Bounds.ClockSkew
	for _, e := range idx.keyUses() {
		withdrawal, ok := withdrawn[keyRef{e.Team, e.KeyID}]
		if !ok {
			continue
		}
		report.countExamined(WithdrawnKey)
		deadline := withdrawal.Clock.Wall.Add(bound)
		late := startedAfter(idx.runsOf[e.Task], deadline)
		if len(late) > 0 || e.Clock.Wall.After(deadline) {
			report.add(Violation{
				Invariant: WithdrawnKey,
				Message:   fmt.Sprintf("key %s of team %s was used for task %s after %s, later than allowed after its withdrawal", e.KeyID, e.Team, e.Task, formatTime(deadline)),
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

// checkLeavingWorkers reports starts on a leaving worker after Bounds.Leaving has
// passed since it began to leave, according to its ledger or to the first
// WorkerLeaving event.
func checkLeavingWorkers(idx *traceIndex, report *Report) {
	firstEvent := make(map[string]timeline.Event) // by worker
	for _, e := range idx.byType[timeline.WorkerLeaving] {
		if _, seen := firstEvent[e.Worker]; !seen {
			firstEvent[e.Worker] = e
		}
	}
	bound := idx.Bounds.Leaving + idx.Bounds.ClockSkew
	for _, w := range idx.Workers {
		for _, p := range leavingPeriods(w, firstEvent[w.Worker]) {
			report.countExamined(LeavingWorker)
			for _, r := range startedAfter(w.Runs, p.Start.Add(bound)) {
				if !p.End.IsZero() && r.Start.After(p.End) {
					continue
				}
				report.add(Violation{
					Invariant: LeavingWorker,
					Message:   fmt.Sprintf("worker %s started attempt %s although it has been leaving since %s", w.Worker, r.Attempt, formatTime(p.Start)),
					Events:    idx.eventsOf(r.Attempt.Task), Runs: []Run{r},
				})
			}
		}
	}
}

// leavingPeriods returns the periods of the ledger if there are any, because no
// event records that a worker is no longer leaving.
func leavingPeriods(w WorkerLedger, event timeline.Event) []Period {
	if len(w.Leaving) > 0 || event.Type == "" {
		return w.Leaving
	}
	return []Period{{Start: event.Clock.Wall}}
}

// checkConfig reports a process in which the configuration reverted to an earlier
// revision.
func checkConfig(idx *traceIndex, report *Report) {
	type documentKey struct {
		process  process
		team     task.Team
		document string
	}
	last := make(map[documentKey]timeline.Event)
	for _, e := range idx.byType[timeline.ConfigInForce] {
		report.countExamined(ConfigRevisions)
		key := documentKey{processOf(e), e.Team, e.Detail}
		if previous, seen := last[key]; seen && e.Revision < previous.Revision {
			report.add(Violation{
				Invariant: ConfigRevisions,
				Message: fmt.Sprintf("process %s/%s reverted from configuration revision %d to %d", e.Instance, e.Incarnation,
					previous.Revision, e.Revision),
				Events: []timeline.Event{previous, e},
			})
		}
		last[key] = e
	}
}
