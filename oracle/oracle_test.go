package oracle

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

var origin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns the time that is the given number of seconds after the origin.
func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// event returns an event of instance "i" at the given second. edit sets further
// fields.
func event(seconds float64, kind timeline.Type, edit func(*timeline.Event)) timeline.Event {
	e := timeline.Event{Instance: "i", Incarnation: "1", Type: kind, Clock: timeline.Timestamp{Wall: at(seconds)}}
	if edit != nil {
		edit(&e)
	}
	return e
}

func forTask(id task.ID, attempt uint32, kind string) func(*timeline.Event) {
	return func(e *timeline.Event) { e.Task, e.Attempt, e.Kind, e.Team = id, attempt, kind, "a" }
}

func acceptedEvent(seconds float64, id task.ID, kind task.Kind) timeline.Event {
	return event(seconds, timeline.RequestAccepted, forTask(id, 0, string(kind)))
}

func ownershipEvent(seconds float64, instance string, kind timeline.Type, epoch uint64) timeline.Event {
	return event(seconds, kind, func(e *timeline.Event) { e.Instance, e.Partition, e.Epoch = instance, "w/r/1", epoch })
}

func limitEvent(seconds float64, revision, slots int64) timeline.Event {
	return event(seconds, timeline.LimitInForce, func(e *timeline.Event) {
		e.Team, e.Revision, e.Size = "a", revision, &task.Resources{Slots: slots}
	})
}

func keyEvent(seconds float64, kind timeline.Type, team task.Team, id task.ID) timeline.Event {
	return event(seconds, kind, func(e *timeline.Event) { e.KeyID, e.Team, e.Task, e.Kind = "k", team, id, string(task.Answer) })
}

func configEvent(incarnation string, revision int64) timeline.Event {
	return event(0, timeline.ConfigInForce, func(e *timeline.Event) { e.Incarnation, e.Revision = incarnation, revision })
}

// numbered sets the sequence numbers of the events of each process.
func numbered(events ...timeline.Event) []timeline.Event {
	count := make(map[process]uint64)
	for i := range events {
		count[processOf(events[i])]++
		events[i].Sequence = count[processOf(events[i])]
	}
	return events
}

// slotRun returns a run of team "a" that takes one slot. If to is 0, the run has
// not ended.
func slotRun(id task.ID, attempt uint32, from, to float64) Run {
	r := Run{
		Worker: "w", Attempt: task.Attempt{Task: id, Number: attempt}, Team: "a", Size: task.Resources{Slots: 1},
		Epoch: 1, Start: at(from), State: "finished", PayloadDigest: "p", ResultDigest: "d-" + string(id), ResultBytes: 4,
	}
	if to != 0 {
		r.End = at(to)
	}
	return r
}

func (r Run) withEpoch(epoch uint64) Run { r.Epoch = epoch; return r }

func ledgerOf(runs ...Run) []WorkerLedger {
	return []WorkerLedger{{Worker: "w", Capacity: task.Resources{Slots: 2}, Runs: runs}}
}

func (w WorkerLedger) withLeaving(periods ...Period) []WorkerLedger {
	w.Leaving = periods
	return []WorkerLedger{w}
}

var cases = []struct {
	name      string
	invariant Invariant
	violating Trace
	clean     Trace
}{
	{"event missing from the timeline", TraceComplete,
		Trace{Events: numbered(configEvent("1", 1), configEvent("1", 2))[1:]},
		Trace{Events: numbered(configEvent("1", 1), configEvent("1", 2))}},
	{"three concurrent runs on two slots", Capacity,
		Trace{Workers: ledgerOf(slotRun("t", 1, 0, 5), slotRun("u", 1, 1, 0), slotRun("v", 1, 4, 4))},
		Trace{Workers: ledgerOf(slotRun("t", 1, 0, 4), slotRun("u", 1, 1, 0), slotRun("v", 1, 4, 4), slotRun("x", 1, 4, 6))}},
	{"start that did not fit", Capacity,
		Trace{Workers: []WorkerLedger{{Worker: "w", RejectedStarts: []RejectedStart{{Attempt: task.Attempt{Task: "t", Number: 1}}}}}},
		Trace{Workers: ledgerOf()}},
	{"second attempt before the end of the first", NoOverlappingRuns,
		Trace{Workers: append(ledgerOf(slotRun("t", 1, 0, 5)), ledgerOf(slotRun("t", 2, 4.9, 9))...)},
		Trace{Workers: append(ledgerOf(slotRun("t", 1, 0, 5)), ledgerOf(slotRun("t", 2, 5, 9))...)}},
	{"first attempt still running", NoOverlappingRuns,
		Trace{Workers: append(ledgerOf(slotRun("t", 1, 0, 0)), ledgerOf(slotRun("t", 2, 40, 41))...)},
		Trace{Workers: append(ledgerOf(slotRun("t", 1, 0, 0)), ledgerOf(slotRun("u", 2, 40, 41))...)}},
	{"at-most-once work repeated", AtMostOnce,
		Trace{Events: numbered(acceptedEvent(0, "t", task.AtMostOnce), event(9, timeline.RequestAnswered, forTask("t", 0, "unknown"))),
			Workers: ledgerOf(slotRun("t", 1, 1, 2), slotRun("t", 2, 3, 4))},
		Trace{Events: numbered(acceptedEvent(0, "t", task.Batch), event(9, timeline.RequestAnswered, forTask("t", 0, "finished"))),
			Workers: ledgerOf(slotRun("t", 1, 1, 2), slotRun("t", 2, 3, 4))}},
	{"attempt number used twice", AtMostOnce,
		Trace{Workers: append(ledgerOf(slotRun("t", 1, 1, 2)), ledgerOf(slotRun("t", 1, 3, 4))...)},
		Trace{Workers: append(ledgerOf(slotRun("t", 1, 1, 2)), ledgerOf(slotRun("t", 2, 3, 4))...)}},
	{"durable work without an outcome", NoLostWork,
		Trace{Events: numbered(acceptedEvent(0, "t", task.Durable))},
		Trace{Events: numbered(acceptedEvent(0, "t", task.Durable), acceptedEvent(0, "u", task.Answer)), KnownTasks: map[task.ID]bool{"t": true}}},
	{"end recorded only by the owner", NoLostWork,
		Trace{Events: numbered(acceptedEvent(0, "t", task.Batch), event(2, timeline.TaskFinished, forTask("t", 1, "")))},
		Trace{Events: numbered(acceptedEvent(0, "t", task.Batch), event(2, timeline.RequestAnswered, forTask("t", 0, "finished")))}},
	{"task answered as not run", NotRunClaims,
		Trace{Events: numbered(event(3, timeline.RequestAnswered, forTask("t", 0, "not_run"))), Workers: ledgerOf(slotRun("t", 1, 5, 6))},
		Trace{Events: numbered(event(3, timeline.RequestAnswered, forTask("t", 0, "unknown"))), Workers: ledgerOf(slotRun("t", 1, 5, 6))}},
	{"attempt reported as not run", NotRunClaims,
		Trace{Events: numbered(event(3, timeline.TaskNotRun, forTask("t", 1, ""))), Workers: ledgerOf(slotRun("t", 1, 1, 2))},
		Trace{Events: numbered(event(3, timeline.TaskNotRun, forTask("t", 1, ""))), Workers: ledgerOf(slotRun("t", 2, 4, 5))}},
	{"refused task", NotRunClaims,
		Trace{Events: numbered(event(3, timeline.RequestRefused, forTask("t", 0, "queue_full"))), Workers: ledgerOf(slotRun("t", 1, 5, 6))},
		Trace{Events: numbered(event(3, timeline.RequestRefused, forTask("t", 0, "queue_full")), acceptedEvent(4, "t", task.Answer)),
			Workers: ledgerOf(slotRun("t", 1, 5, 6))}},
	{"start above the limit", TeamLimit,
		Trace{Events: numbered(limitEvent(0, 1, 1)), Workers: append(ledgerOf(slotRun("t", 1, 1, 3)), ledgerOf(slotRun("u", 1, 2, 4))...)},
		Trace{Events: numbered(limitEvent(0, 1, 1), limitEvent(1.5, 2, 2)), Workers: append(ledgerOf(slotRun("t", 1, 1, 3)), ledgerOf(slotRun("u", 1, 2, 4))...)}},
	{"start above a limit given with the trace", TeamLimit,
		Trace{Limits: map[task.Team]task.Resources{"a": {Slots: 1}}, Workers: ledgerOf(slotRun("t", 1, 1, 3), slotRun("u", 1, 2, 4))},
		Trace{Limits: map[task.Team]task.Resources{"a": {Slots: 1}}, Workers: ledgerOf(slotRun("t", 1, 1, 2), slotRun("u", 1, 2, 4))}},
	{"limit lowered below the running tasks", TeamLimit,
		Trace{Events: numbered(limitEvent(0, 1, 2), limitEvent(2, 2, 1)), Workers: ledgerOf(slotRun("t", 1, 1, 3), slotRun("u", 1, 1, 3))},
		Trace{Events: numbered(limitEvent(0, 1, 2), limitEvent(2, 2, 1)), Workers: ledgerOf(slotRun("t", 1, 1, 3), slotRun("u", 1, 1, 2))}},
	{"key of another team", KeyTeam,
		Trace{Events: numbered(keyEvent(0, timeline.KeyGranted, "b", ""), keyEvent(1, timeline.RequestAccepted, "a", "t"))},
		Trace{Events: numbered(keyEvent(0, timeline.KeyGranted, "b", ""), keyEvent(0, timeline.KeyGranted, "a", ""), keyEvent(1, timeline.RequestAccepted, "a", "t"))}},
	{"accepted under a withdrawn key", WithdrawnKey,
		Trace{Events: numbered(keyEvent(0, timeline.KeyWithdrawn, "a", ""), keyEvent(10.1, timeline.RequestAccepted, "a", "t"))},
		Trace{Events: numbered(keyEvent(0, timeline.KeyWithdrawn, "a", ""), keyEvent(9.9, timeline.RequestAccepted, "a", "t"))}},
	{"start sent under a withdrawn key whose ID another team also uses", WithdrawnKey,
		Trace{Events: numbered(keyEvent(0, timeline.KeyWithdrawn, "a", ""), keyEvent(11, timeline.TaskStartSent, "a", "t"))},
		Trace{Events: numbered(keyEvent(0, timeline.KeyWithdrawn, "b", ""), keyEvent(11, timeline.TaskStartSent, "a", "t"))}},
	{"started under a withdrawn key", WithdrawnKey,
		Trace{Events: numbered(keyEvent(0, timeline.RequestAccepted, "a", "t"), keyEvent(1, timeline.KeyWithdrawn, "a", "")), Workers: ledgerOf(slotRun("t", 1, 11.1, 12))},
		Trace{Events: numbered(keyEvent(0, timeline.RequestAccepted, "a", "t"), keyEvent(1, timeline.KeyWithdrawn, "a", "")), Workers: ledgerOf(slotRun("t", 1, 10.9, 12))}},
	{"start on a leaving worker", LeavingWorker,
		Trace{Workers: ledgerOf(slotRun("t", 1, 3.1, 4))[0].withLeaving(Period{Start: at(0)})},
		Trace{Workers: ledgerOf(slotRun("t", 1, 2.9, 4), slotRun("u", 1, 9, 10))[0].withLeaving(Period{Start: at(0), End: at(8)})}},
	{"start on a worker that the instance list shows as leaving", LeavingWorker,
		Trace{Events: numbered(event(0, timeline.WorkerLeaving, func(e *timeline.Event) { e.Worker = "w" })), Workers: ledgerOf(slotRun("t", 1, 3.1, 4))},
		Trace{Events: numbered(event(0, timeline.WorkerLeaving, func(e *timeline.Event) { e.Worker = "x" })), Workers: ledgerOf(slotRun("t", 1, 3.1, 4))}},
	{"answer with the result of another task", AnswerIntegrity,
		Trace{Answers: []Answer{{Task: "t", PayloadDigest: "p", ResultDigest: "d-u", ResultBytes: 4}}, Workers: ledgerOf(slotRun("t", 1, 0, 1), slotRun("u", 1, 0, 1))},
		Trace{Answers: []Answer{{Task: "t", PayloadDigest: "p", ResultDigest: "d-t", ResultBytes: 4}}, Workers: ledgerOf(slotRun("t", 1, 0, 1), slotRun("u", 1, 0, 1))}},
	{"answer of another attempt", AnswerIntegrity,
		Trace{Events: numbered(event(3, timeline.RequestAnswered, func(e *timeline.Event) { e.Task, e.Attempt, e.Detail = "t", 2, "d-t" })), Workers: ledgerOf(slotRun("t", 1, 0, 1))},
		Trace{Events: numbered(event(3, timeline.RequestAnswered, func(e *timeline.Event) { e.Task, e.Attempt, e.Detail = "t", 1, "d-t" })), Workers: ledgerOf(slotRun("t", 1, 0, 1))}},
	{"configuration reverted to an earlier revision", ConfigRevisions,
		Trace{Events: numbered(configEvent("1", 5), configEvent("1", 4))},
		Trace{Events: numbered(configEvent("1", 5), configEvent("2", 4), configEvent("2", 4))}},
	{"epoch with two owners", OwnershipEpochs,
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 1), ownershipEvent(5, "j", timeline.OwnershipTaken, 1))},
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 1), ownershipEvent(5, "j", timeline.OwnershipTaken, 2))}},
	{"epoch taken after a higher one", OwnershipEpochs,
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 2), ownershipEvent(5, "j", timeline.OwnershipTaken, 1))},
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 2), ownershipEvent(0.001, "j", timeline.OwnershipTaken, 1))}},
	{"decision after a takeover", OwnershipEpochs,
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 1), ownershipEvent(5, "j", timeline.OwnershipTaken, 2), ownershipEvent(6, "i", timeline.TaskReserved, 1))},
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 1), ownershipEvent(5, "j", timeline.OwnershipTaken, 2), ownershipEvent(6, "j", timeline.TaskReserved, 2))}},
	{"decision under the epoch of another owner", OwnershipEpochs,
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 1), ownershipEvent(1, "j", timeline.TaskStartSent, 1))},
		Trace{Events: numbered(ownershipEvent(0, "i", timeline.OwnershipTaken, 1), ownershipEvent(1, "i", timeline.TaskStartSent, 1))}},
	{"worker accepts a start from a former owner", OwnershipEpochs,
		Trace{Workers: ledgerOf(slotRun("t", 1, 0, 1).withEpoch(2), slotRun("u", 1, 2, 3).withEpoch(1))},
		Trace{Workers: ledgerOf(slotRun("t", 1, 0, 1).withEpoch(1), slotRun("u", 1, 2, 3).withEpoch(2))}},
}

// TestChecks guards against a check that cannot fail, and against one that
// reports allowed behavior: each violating trace is reported for its invariant
// only, with evidence, and the similar clean trace is not reported.
func TestChecks(t *testing.T) {
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.violating.Bounds, test.clean.Bounds = DefaultBounds, DefaultBounds
			found := Check(test.violating)
			if len(found) == 0 {
				t.Error("violation not reported")
			}
			if examined := Examine(test.violating); slices.Contains(examined.Unexamined(), test.invariant) {
				t.Error("the invariant is counted as unexamined")
			}
			for _, v := range found {
				if v.Invariant != test.invariant {
					t.Errorf("violation of another invariant: %s", v)
				}
				if len(v.Events)+len(v.Runs) == 0 && !strings.Contains(v.Message, "received a start of") {
					t.Errorf("violation without evidence: %s", v)
				}
			}
			for _, v := range Check(test.clean) {
				t.Errorf("violation in the clean trace: %s", v)
			}
		})
	}
}

// TestUnexamined guards against an empty trace that counts as evidence for an
// invariant.
func TestUnexamined(t *testing.T) {
	report := Examine(Trace{})
	if got := report.Unexamined(); !slices.Equal(got, Invariants) {
		t.Errorf("unexamined on an empty trace: %v", got)
	}
}
