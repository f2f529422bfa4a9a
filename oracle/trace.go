package oracle

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// Trace is what the checks read.
type Trace struct {
	Events  []timeline.Event // merged, see timeline.Merge
	Workers []WorkerLedger
	Answers []Answer // as the callers received them
	// InProgress has an entry for each task that its home knows of when asked
	// at the end: true while it has no outcome.
	InProgress map[task.ID]bool
	// Limits are in force during the whole trace, unless a LimitInForce event
	// changes them.
	Limits map[task.Team]task.Resources
	Bounds Bounds
}

// Answer is a result as its caller received it.
type Answer struct {
	Task          task.ID `json:"task"`
	Attempt       uint32  `json:"attempt,omitempty"` // 0 if the caller was not told
	PayloadDigest string  `json:"payload_digest"`    // of what the caller sent
	ResultDigest  string  `json:"result_digest"`
	ResultBytes   int64   `json:"result_bytes"`
}

// Bounds are the delays that the design page allows.
type Bounds struct {
	KeyWithdrawal time.Duration // from a withdrawal to the last start under the key
	Leaving       time.Duration // from leaving to the last start on the worker
	ClockSkew     time.Duration // between the wall clocks of any two processes
}

// DefaultBounds holds for processes on one machine.
var DefaultBounds = Bounds{
	KeyWithdrawal: 10 * time.Second,
	Leaving:       3 * time.Second,
	ClockSkew:     10 * time.Millisecond,
}

// Invariant names what was violated.
type Invariant string

// The invariants.
const (
	TraceComplete   Invariant = "trace complete"
	Capacity        Invariant = "no worker beyond its capacity"
	OnePlace        Invariant = "no task in two places at once"
	AtMostOnce      Invariant = "at most once"
	NeverLost       Invariant = "never lost"
	TrueNotRun      Invariant = "a statement of not run is true"
	TeamLimit       Invariant = "no team above its limit"
	KeyOfTeam       Invariant = "a key admits work of its team only"
	WithdrawnKey    Invariant = "no start under a withdrawn key"
	LeavingWorker   Invariant = "no start on a leaving worker"
	WholeAnswer     Invariant = "answers are whole and their own"
	ConfigRevisions Invariant = "configuration never goes back"
	OwnershipEpochs Invariant = "ownership without overlap"
)

// Invariants lists every invariant.
var Invariants = []Invariant{
	TraceComplete, Capacity, OnePlace, AtMostOnce, NeverLost, TrueNotRun, TeamLimit, KeyOfTeam, WithdrawnKey,
	LeavingWorker, WholeAnswer, ConfigRevisions, OwnershipEpochs,
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

// Report is the verdict on a trace.
type Report struct {
	Violations []Violation
	// Examined counts the facts that each check has judged. A check without any
	// says nothing about the trace.
	Examined map[Invariant]int
}

func (r *Report) examine(i Invariant) { r.Examined[i]++ }

func (r *Report) add(v Violation) { r.Violations = append(r.Violations, v) }

// Unexamined lists the invariants on which the trace has no evidence.
func (r *Report) Unexamined() []Invariant {
	var missing []Invariant
	for _, i := range Invariants {
		if r.Examined[i] == 0 {
			missing = append(missing, i)
		}
	}
	return missing
}

// checks lists every check.
var checks = []func(*index, *Report){
	checkComplete, checkCapacity, checkOnePlace, checkAtMostOnce, checkNeverLost, checkNotRun, checkLimits,
	checkKeyOfTeam, checkWithdrawnKeys, checkLeaving, checkAnswers, checkConfig, checkOwners, checkActs, checkWorkerEpochs,
}

// Examine makes every check.
func Examine(trace Trace) Report {
	ix := newIndex(trace)
	report := Report{Examined: make(map[Invariant]int)}
	for _, check := range checks {
		check(ix, &report)
	}
	return report
}

// Check returns every violation of every invariant.
func Check(trace Trace) []Violation { return Examine(trace).Violations }

// index arranges a trace for the checks.
type index struct {
	Trace
	runs     []Run // of all workers, by start
	runsOf   map[task.ID][]Run
	byType   map[timeline.Type][]timeline.Event
	accepted map[task.ID]timeline.Event // first acceptance
}

func newIndex(trace Trace) *index {
	ix := &index{
		Trace:    trace,
		runsOf:   make(map[task.ID][]Run),
		byType:   make(map[timeline.Type][]timeline.Event),
		accepted: make(map[task.ID]timeline.Event),
	}
	for _, w := range trace.Workers {
		ix.runs = append(ix.runs, w.Runs...)
	}
	slices.SortStableFunc(ix.runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
	for _, r := range ix.runs {
		ix.runsOf[r.Attempt.Task] = append(ix.runsOf[r.Attempt.Task], r)
	}
	for _, e := range trace.Events {
		ix.byType[e.Type] = append(ix.byType[e.Type], e)
		if _, seen := ix.accepted[e.Task]; e.Type == timeline.RequestAccepted && !seen {
			ix.accepted[e.Task] = e
		}
	}
	return ix
}

// process identifies one run of a process.
type process struct{ instance, incarnation string }

func processOf(e timeline.Event) process { return process{e.Instance, e.Incarnation} }

// checkComplete reports events that are missing from the time line, without
// which the other checks could pass over a violation.
func checkComplete(ix *index, report *Report) {
	last := make(map[process]timeline.Event)
	for _, e := range ix.Events {
		report.examine(TraceComplete)
		before := last[processOf(e)]
		if e.Sequence != before.Sequence+1 {
			report.add(Violation{
				Invariant: TraceComplete,
				Message: fmt.Sprintf("%s/%s: event %d follows event %d", e.Instance, e.Incarnation,
					e.Sequence, before.Sequence),
				Events: []timeline.Event{e},
			})
		}
		last[processOf(e)] = e
	}
}
