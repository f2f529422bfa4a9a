package oracle

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// Trace is the evidence that the checks evaluate.
type Trace struct {
	Events  []timeline.Event // merged, see timeline.Merge
	Workers []WorkerLedger
	Answers []Answer // as the callers received them
	// KnownTasks has an entry for each task that its home instance has a record of
	// at the end of the trace. The value is true if the task has no outcome yet.
	KnownTasks map[task.ID]bool
	// Limits are in force from the start of the trace until a LimitInForce event
	// changes them.
	Limits map[task.Team]task.Resources
	Bounds Bounds
}

// Answer is a result as received by its caller.
type Answer struct {
	Task          task.ID `json:"task"`
	Attempt       uint32  `json:"attempt,omitempty"` // 0 if it was not reported to the caller
	PayloadDigest string  `json:"payload_digest"`    // of the payload that the caller sent
	ResultDigest  string  `json:"result_digest"`
	ResultBytes   int64   `json:"result_bytes"`
}

// Bounds are the maximum delays that docs/design.md allows.
type Bounds struct {
	KeyWithdrawal time.Duration // from a withdrawal to the last start under the key
	Leaving       time.Duration // from the start of leaving to the last start on the worker
	ClockSkew     time.Duration // between the wall clocks of any two processes
}

// DefaultBounds are the bounds for processes on one machine.
var DefaultBounds = Bounds{
	KeyWithdrawal: 10 * time.Second,
	Leaving:       3 * time.Second,
	ClockSkew:     10 * time.Millisecond,
}

// Invariant identifies an invariant by its description.
type Invariant string

// The invariants.
const (
	TraceComplete     Invariant = "trace complete"
	Capacity          Invariant = "no worker beyond its capacity"
	NoOverlappingRuns Invariant = "no task in two places at once"
	AtMostOnce        Invariant = "at most once"
	NoLostWork        Invariant = "never lost"
	NotRunClaims      Invariant = "work reported as not run did not run"
	TeamLimit         Invariant = "no team above its limit"
	KeyTeam           Invariant = "a key admits work of its team only"
	WithdrawnKey      Invariant = "no start under a withdrawn key"
	LeavingWorker     Invariant = "no start on a leaving worker"
	AnswerIntegrity   Invariant = "answers are complete and match their request"
	ConfigRevisions   Invariant = "configuration never goes back"
	OwnershipEpochs   Invariant = "ownership without overlap"
)

// Invariants lists every invariant.
var Invariants = []Invariant{
	TraceComplete, Capacity, NoOverlappingRuns, AtMostOnce, NoLostWork, NotRunClaims, TeamLimit, KeyTeam, WithdrawnKey,
	LeavingWorker, AnswerIntegrity, ConfigRevisions, OwnershipEpochs,
}

// Violation is one violation with the evidence for it.
type Violation struct {
	Invariant Invariant
	Message   string
	Events    []timeline.Event
	Runs      []Run
}

// String returns the message and the evidence, one line each.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.Invariant, v.Message)
	for _, e := range v.Events {
		fmt.Fprintf(&b, "\n  event %s", e)
	}
	for _, r := range v.Runs {
		fmt.Fprintf(&b, "\n  run %s", r)
	}
	return b.String()
}

// Report is the result of all checks on a trace.
type Report struct {
	Violations []Violation
	// Examined counts the facts that were checked for each invariant. With a count
	// of 0, the trace has no evidence for or against the invariant.
	Examined map[Invariant]int
}

func (r *Report) countExamined(invariant Invariant) { r.Examined[invariant]++ }

func (r *Report) add(v Violation) { r.Violations = append(r.Violations, v) }

// Unexamined returns the invariants for which the trace has no evidence.
func (r *Report) Unexamined() []Invariant {
	var unexamined []Invariant
	for _, invariant := range Invariants {
		if r.Examined[invariant] == 0 {
			unexamined = append(unexamined, invariant)
		}
	}
	return unexamined
}

var checks = []func(*traceIndex, *Report){
	checkComplete, checkCapacity, checkOverlappingRuns, checkAtMostOnce, checkDurableOutcomes, checkNotRunClaims, checkLimits,
	checkKeyTeam, checkWithdrawnKeys, checkLeavingWorkers, checkAnswers, checkConfig, checkEpochOwners, checkOwnerDecisions, checkWorkerEpochs,
}

// Examine runs every check.
func Examine(trace Trace) Report {
	idx := newTraceIndex(trace)
	report := Report{Examined: make(map[Invariant]int)}
	for _, check := range checks {
		check(idx, &report)
	}
	return report
}

// Check runs every check and returns the violations.
func Check(trace Trace) []Violation { return Examine(trace).Violations }

// traceIndex is a trace with lookups for the checks.
type traceIndex struct {
	Trace
	runs     []Run // of all workers, by start time
	runsOf   map[task.ID][]Run
	byType   map[timeline.Type][]timeline.Event
	accepted map[task.ID]timeline.Event // first acceptance
}

func newTraceIndex(trace Trace) *traceIndex {
	idx := &traceIndex{
		Trace:    trace,
		runsOf:   make(map[task.ID][]Run),
		byType:   make(map[timeline.Type][]timeline.Event),
		accepted: make(map[task.ID]timeline.Event),
	}
	for _, w := range trace.Workers {
		idx.runs = append(idx.runs, w.Runs...)
	}
	slices.SortStableFunc(idx.runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
	for _, r := range idx.runs {
		idx.runsOf[r.Attempt.Task] = append(idx.runsOf[r.Attempt.Task], r)
	}
	for _, e := range trace.Events {
		idx.byType[e.Type] = append(idx.byType[e.Type], e)
		if _, seen := idx.accepted[e.Task]; e.Type == timeline.RequestAccepted && !seen {
			idx.accepted[e.Task] = e
		}
	}
	return idx
}

// process identifies one incarnation of an instance.
type process struct{ instance, incarnation string }

func processOf(e timeline.Event) process { return process{e.Instance, e.Incarnation} }

// checkComplete reports gaps in the sequence numbers of a process. Without the
// missing events, the other checks could miss a violation.
func checkComplete(idx *traceIndex, report *Report) {
	last := make(map[process]timeline.Event)
	for _, e := range idx.Events {
		report.countExamined(TraceComplete)
		previous := last[processOf(e)]
		if e.Sequence != previous.Sequence+1 {
			report.add(Violation{
				Invariant: TraceComplete,
				Message: fmt.Sprintf("%s/%s: event %d directly follows event %d", e.Instance, e.Incarnation,
					e.Sequence, previous.Sequence),
				Events: []timeline.Event{e},
			})
		}
		last[processOf(e)] = e
	}
}
