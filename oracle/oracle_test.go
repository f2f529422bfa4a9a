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

// event returns an event of instance i at the given second; edit completes it.
func event(seconds float64, kind timeline.Type, edit func(*timeline.Event)) timeline.Event {
	e := timeline.Event{Instance: "i", Incarnation: "1", Type: kind, Clock: timeline.Clock{Wall: at(seconds)}}
	if edit != nil {
		edit(&e)
	}
	return e
}

func ofTask(id task.ID, attempt uint32, kind string) func(*timeline.Event) {
	return func(e *timeline.Event) { e.Task, e.Attempt, e.Kind, e.Team = id, attempt, kind, "a" }
}

func accepted(seconds float64, id task.ID, kind task.Kind) timeline.Event {
	return event(seconds, timeline.RequestAccepted, ofTask(id, 0, string(kind)))
}

func owned(seconds float64, instance string, kind timeline.Type, epoch uint64) timeline.Event {
	return event(seconds, kind, func(e *timeline.Event) { e.Instance, e.Partition, e.Epoch = instance, "w/r/1", epoch })
}

func limit(seconds float64, revision, slots int64) timeline.Event {
	return event(seconds, timeline.LimitInForce, func(e *timeline.Event) {
		e.Team, e.Revision, e.Size = "a", revision, &task.Resources{Slots: slots}
	})
}

func key(seconds float64, kind timeline.Type, team task.Team, id task.ID) timeline.Event {
	return event(seconds, kind, func(e *timeline.Event) { e.KeyID, e.Team, e.Task, e.Kind = "k", team, id, string(task.Answer) })
}

func config(incarnation string, revision int64) timeline.Event {
	return event(0, timeline.ConfigInForce, func(e *timeline.Event) { e.Incarnation, e.Revision = incarnation, revision })
}

// line numbers the events of each process.
func line(events ...timeline.Event) []timeline.Event {
	count := make(map[process]uint64)
	for i := range events {
		count[processOf(events[i])]++
		events[i].Sequence = count[processOf(events[i])]
	}
	return events
}

// run is one slot of team a from one second to another; to 0 means still running.
func run(id task.ID, attempt uint32, from, to float64) Run {
	r := Run{
		Worker: "w", Attempt: task.Attempt{Task: id, Number: attempt}, Team: "a", Size: task.Resources{Slots: 1},
		Epoch: 1, Start: at(from), State: "finished", PayloadDigest: "p", ResultDigest: "d-" + string(id), ResultBytes: 4,
	}
	if to != 0 {
		r.End = at(to)
	}
	return r
}

func (r Run) under(epoch uint64) Run { r.Epoch = epoch; return r }

func on(runs ...Run) []WorkerLedger {
	return []WorkerLedger{{Worker: "w", Capacity: task.Resources{Slots: 2}, Runs: runs}}
}

func (w WorkerLedger) leaving(periods ...Period) []WorkerLedger {
	w.Leaving = periods
	return []WorkerLedger{w}
}

var cases = []struct {
	name      string
	invariant Invariant
	violating Trace
	clean     Trace
}{
	{"event missing from the line", TraceComplete,
		Trace{Events: line(config("1", 1), config("1", 2))[1:]},
		Trace{Events: line(config("1", 1), config("1", 2))}},
	{"three at once on two slots", Capacity,
		Trace{Workers: on(run("t", 1, 0, 5), run("u", 1, 1, 0), run("v", 1, 4, 4))},
		Trace{Workers: on(run("t", 1, 0, 4), run("u", 1, 1, 0), run("v", 1, 4, 4), run("x", 1, 4, 6))}},
	{"start that did not fit", Capacity,
		Trace{Workers: []WorkerLedger{{Worker: "w", OverCapacity: []Refused{{Attempt: task.Attempt{Task: "t", Number: 1}}}}}},
		Trace{Workers: on()}},
	{"second attempt before the end of the first", OnePlace,
		Trace{Workers: append(on(run("t", 1, 0, 5)), on(run("t", 2, 4.9, 9))...)},
		Trace{Workers: append(on(run("t", 1, 0, 5)), on(run("t", 2, 5, 9))...)}},
	{"first attempt still running", OnePlace,
		Trace{Workers: append(on(run("t", 1, 0, 0)), on(run("t", 2, 40, 41))...)},
		Trace{Workers: append(on(run("t", 1, 0, 0)), on(run("u", 2, 40, 41))...)}},
	{"at-most-once work repeated", AtMostOnce,
		Trace{Events: line(accepted(0, "t", task.AtMostOnce), event(9, timeline.RequestAnswered, ofTask("t", 0, "unknown"))),
			Workers: on(run("t", 1, 1, 2), run("t", 2, 3, 4))},
		Trace{Events: line(accepted(0, "t", task.Batch), event(9, timeline.RequestAnswered, ofTask("t", 0, "finished"))),
			Workers: on(run("t", 1, 1, 2), run("t", 2, 3, 4))}},
	{"attempt number used twice", AtMostOnce,
		Trace{Workers: append(on(run("t", 1, 1, 2)), on(run("t", 1, 3, 4))...)},
		Trace{Workers: append(on(run("t", 1, 1, 2)), on(run("t", 2, 3, 4))...)}},
	{"durable work without an outcome", NeverLost,
		Trace{Events: line(accepted(0, "t", task.Durable))},
		Trace{Events: line(accepted(0, "t", task.Durable), accepted(0, "u", task.Answer)), InProgress: map[task.ID]bool{"t": true}}},
	{"end that only the owner knows", NeverLost,
		Trace{Events: line(accepted(0, "t", task.Batch), event(2, timeline.TaskFinished, ofTask("t", 1, "")))},
		Trace{Events: line(accepted(0, "t", task.Batch), event(2, timeline.RequestAnswered, ofTask("t", 0, "finished")))}},
	{"not run by the answer", TrueNotRun,
		Trace{Events: line(event(3, timeline.RequestAnswered, ofTask("t", 0, "not_run"))), Workers: on(run("t", 1, 5, 6))},
		Trace{Events: line(event(3, timeline.RequestAnswered, ofTask("t", 0, "unknown"))), Workers: on(run("t", 1, 5, 6))}},
	{"not run by the attempt", TrueNotRun,
		Trace{Events: line(event(3, timeline.TaskNotRun, ofTask("t", 1, ""))), Workers: on(run("t", 1, 1, 2))},
		Trace{Events: line(event(3, timeline.TaskNotRun, ofTask("t", 1, ""))), Workers: on(run("t", 2, 4, 5))}},
	{"not run by the refusal", TrueNotRun,
		Trace{Events: line(event(3, timeline.RequestRefused, ofTask("t", 0, "queue_full"))), Workers: on(run("t", 1, 5, 6))},
		Trace{Events: line(event(3, timeline.RequestRefused, ofTask("t", 0, "queue_full")), accepted(4, "t", task.Answer)),
			Workers: on(run("t", 1, 5, 6))}},
	{"start above the limit", TeamLimit,
		Trace{Events: line(limit(0, 1, 1)), Workers: append(on(run("t", 1, 1, 3)), on(run("u", 1, 2, 4))...)},
		Trace{Events: line(limit(0, 1, 1), limit(1.5, 2, 2)), Workers: append(on(run("t", 1, 1, 3)), on(run("u", 1, 2, 4))...)}},
	{"start above a limit given with the trace", TeamLimit,
		Trace{Limits: map[task.Team]task.Resources{"a": {Slots: 1}}, Workers: on(run("t", 1, 1, 3), run("u", 1, 2, 4))},
		Trace{Limits: map[task.Team]task.Resources{"a": {Slots: 1}}, Workers: on(run("t", 1, 1, 2), run("u", 1, 2, 4))}},
	{"limit lowered below what runs", TeamLimit,
		Trace{Events: line(limit(0, 1, 2), limit(2, 2, 1)), Workers: on(run("t", 1, 1, 3), run("u", 1, 1, 3))},
		Trace{Events: line(limit(0, 1, 2), limit(2, 2, 1)), Workers: on(run("t", 1, 1, 3), run("u", 1, 1, 2))}},
	{"key of another team", KeyOfTeam,
		Trace{Events: line(key(0, timeline.KeyGranted, "b", ""), key(1, timeline.RequestAccepted, "a", "t"))},
		Trace{Events: line(key(0, timeline.KeyGranted, "b", ""), key(0, timeline.KeyGranted, "a", ""), key(1, timeline.RequestAccepted, "a", "t"))}},
	{"accepted under a withdrawn key", WithdrawnKey,
		Trace{Events: line(key(0, timeline.KeyWithdrawn, "a", ""), key(10.1, timeline.RequestAccepted, "a", "t"))},
		Trace{Events: line(key(0, timeline.KeyWithdrawn, "a", ""), key(9.9, timeline.RequestAccepted, "a", "t"))}},
	{"start sent under a withdrawn key of the same name as another's", WithdrawnKey,
		Trace{Events: line(key(0, timeline.KeyWithdrawn, "a", ""), key(11, timeline.TaskStartSent, "a", "t"))},
		Trace{Events: line(key(0, timeline.KeyWithdrawn, "b", ""), key(11, timeline.TaskStartSent, "a", "t"))}},
	{"started under a withdrawn key", WithdrawnKey,
		Trace{Events: line(key(0, timeline.RequestAccepted, "a", "t"), key(1, timeline.KeyWithdrawn, "a", "")), Workers: on(run("t", 1, 11.1, 12))},
		Trace{Events: line(key(0, timeline.RequestAccepted, "a", "t"), key(1, timeline.KeyWithdrawn, "a", "")), Workers: on(run("t", 1, 10.9, 12))}},
	{"start on a leaving worker", LeavingWorker,
		Trace{Workers: on(run("t", 1, 3.1, 4))[0].leaving(Period{Start: at(0)})},
		Trace{Workers: on(run("t", 1, 2.9, 4), run("u", 1, 9, 10))[0].leaving(Period{Start: at(0), End: at(8)})}},
	{"start on a worker that the list shows as leaving", LeavingWorker,
		Trace{Events: line(event(0, timeline.WorkerLeaving, func(e *timeline.Event) { e.Worker = "w" })), Workers: on(run("t", 1, 3.1, 4))},
		Trace{Events: line(event(0, timeline.WorkerLeaving, func(e *timeline.Event) { e.Worker = "x" })), Workers: on(run("t", 1, 3.1, 4))}},
	{"crossed answer", WholeAnswer,
		Trace{Answers: []Answer{{Task: "t", PayloadDigest: "p", ResultDigest: "d-u", ResultBytes: 4}}, Workers: on(run("t", 1, 0, 1), run("u", 1, 0, 1))},
		Trace{Answers: []Answer{{Task: "t", PayloadDigest: "p", ResultDigest: "d-t", ResultBytes: 4}}, Workers: on(run("t", 1, 0, 1), run("u", 1, 0, 1))}},
	{"answer of another attempt", WholeAnswer,
		Trace{Events: line(event(3, timeline.RequestAnswered, func(e *timeline.Event) { e.Task, e.Attempt, e.Detail = "t", 2, "d-t" })), Workers: on(run("t", 1, 0, 1))},
		Trace{Events: line(event(3, timeline.RequestAnswered, func(e *timeline.Event) { e.Task, e.Attempt, e.Detail = "t", 1, "d-t" })), Workers: on(run("t", 1, 0, 1))}},
	{"configuration goes back", ConfigRevisions,
		Trace{Events: line(config("1", 5), config("1", 4))},
		Trace{Events: line(config("1", 5), config("2", 4), config("2", 4))}},
	{"epoch with two owners", OwnershipEpochs,
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 1), owned(5, "j", timeline.OwnershipTaken, 1))},
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 1), owned(5, "j", timeline.OwnershipTaken, 2))}},
	{"epoch taken after a higher one", OwnershipEpochs,
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 2), owned(5, "j", timeline.OwnershipTaken, 1))},
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 2), owned(0.001, "j", timeline.OwnershipTaken, 1))}},
	{"decision after a takeover", OwnershipEpochs,
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 1), owned(5, "j", timeline.OwnershipTaken, 2), owned(6, "i", timeline.TaskReserved, 1))},
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 1), owned(5, "j", timeline.OwnershipTaken, 2), owned(6, "j", timeline.TaskReserved, 2))}},
	{"decision under the epoch of another", OwnershipEpochs,
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 1), owned(1, "j", timeline.TaskStartSent, 1))},
		Trace{Events: line(owned(0, "i", timeline.OwnershipTaken, 1), owned(1, "i", timeline.TaskStartSent, 1))}},
	{"worker obeys an earlier owner", OwnershipEpochs,
		Trace{Workers: on(run("t", 1, 0, 1).under(2), run("u", 1, 2, 3).under(1))},
		Trace{Workers: on(run("t", 1, 0, 1).under(1), run("u", 1, 2, 3).under(2))}},
}

// TestChecks guards against a check that cannot fail, and against one that
// reports what is allowed: for each violating trace only its invariant is
// reported, with evidence, and for its near miss nothing.
func TestChecks(t *testing.T) {
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.violating.Bounds, test.clean.Bounds = DefaultBounds, DefaultBounds
			found := Check(test.violating)
			if len(found) == 0 {
				t.Error("violation not reported")
			}
			if examined := Examine(test.violating); slices.Contains(examined.Unexamined(), test.invariant) {
				t.Error("counted as not examined")
			}
			for _, v := range found {
				if v.Invariant != test.invariant {
					t.Errorf("reported as well: %s", v)
				}
				if len(v.Events)+len(v.Runs) == 0 && !strings.Contains(v.Message, "asked to start") {
					t.Errorf("without evidence: %s", v)
				}
			}
			for _, v := range Check(test.clean) {
				t.Errorf("clean trace: %s", v)
			}
		})
	}
}

// TestUnexamined guards against an empty trace being taken for a proof.
func TestUnexamined(t *testing.T) {
	report := Examine(Trace{})
	if got := report.Unexamined(); !slices.Equal(got, Invariants) {
		t.Errorf("unexamined on an empty trace: %v", got)
	}
}
