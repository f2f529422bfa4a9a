package processtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// maxViolations bounds what is printed of one test.
const maxViolations = 10

// Check checks the invariants over the time line, the workers' ledgers and what
// callers were told. It is called when all work has ended.
func (c *Cluster) Check(t *testing.T, told []*Told, more ...timeline.Event) oracle.Trace {
	t.Helper()
	trace := oracle.Trace{Events: timeline.Merge(c.Latest(), more), Workers: c.Ledgers(), Answers: answersOf(told),
		InProgress: endedTasks(told), Bounds: oracle.DefaultBounds}
	violations := oracle.Check(trace)
	for i, v := range violations {
		if i == maxViolations {
			t.Errorf("and %d more violations", len(violations)-i)
			break
		}
		t.Errorf("violation: %s", v)
	}
	checkTold(t, told, trace.Workers)
	return trace
}

// endedTasks returns the tasks whose outcome their callers were told. The event
// of the outcome is lost with a process that is killed before it was fetched.
func endedTasks(told []*Told) map[task.ID]bool {
	ended := map[task.ID]bool{}
	for _, r := range told {
		for _, got := range r.Job.Tasks {
			ended[got.ID] = r.Err == nil && got.State.IsFinal()
		}
	}
	return ended
}

// checkTold compares what callers were told with what workers ran: each request
// has a payload of its own.
func checkTold(t *testing.T, told []*Told, ledgers []oracle.WorkerLedger) {
	t.Helper()
	runs := map[string][]oracle.Run{}
	for _, ledger := range ledgers {
		for _, run := range ledger.Runs {
			runs[run.PayloadDigest] = append(runs[run.PayloadDigest], run)
		}
	}
	var faults []string
	for _, r := range told {
		if fault := r.contradiction(runs[r.Digest()]); fault != "" {
			faults = append(faults, fmt.Sprintf("%s %s: %s", r.Class, r.Key, fault))
		}
	}
	for i, fault := range faults {
		if i == maxViolations {
			t.Errorf("and %d more contradictions", len(faults)-i)
			break
		}
		t.Error(fault)
	}
}

// contradiction returns what is wrong with what the caller was told.
func (r *Told) contradiction(runs []oracle.Run) string {
	if r.Err != nil {
		if r.Fate() == errkind.FateNotRun && len(runs) > 0 {
			return fmt.Sprintf("told not run (%v), and it ran: %v", r.Err, runs)
		}
		return ""
	}
	if len(r.Job.Tasks) != r.Count {
		return fmt.Sprintf("has %d tasks, want %d", len(r.Job.Tasks), r.Count)
	}
	for _, got := range r.Job.Tasks {
		ran := slices.ContainsFunc(runs, func(run oracle.Run) bool { return run.Attempt.Task == got.ID })
		switch {
		case got.State == task.Finished && !ran:
			return fmt.Sprintf("task %s is finished and ran nowhere", got.ID)
		case got.State == task.NotRun && ran:
			return fmt.Sprintf("task %s is not run, and it ran: %v", got.ID, runs)
		case got.State == task.NotRun && r.Kind.IsDurable():
			return fmt.Sprintf("task %s was accepted, nobody cancelled it, and it is not run: %s", got.ID, got.Reason)
		case got.State == task.Unknown && r.Kind.MayRepeat() && r.Kind.IsDurable():
			return fmt.Sprintf("task %s may be repeated and ended as unknown: %v", got.ID, runs)
		case got.State == task.Finished && got.ExitCode == 0 && got.Reason == "" && !r.isWhole(got.ResultBytes, got.Result):
			return fmt.Sprintf("task %s has a result of %d bytes that is not its own", got.ID, got.ResultBytes)
		}
	}
	return ""
}

func (r *Told) isWhole(length int, result []byte) bool {
	if r.Bytes > 0 {
		return length == r.Bytes
	}
	return length == len(r.Key) && (len(result) == 0 || string(result) == r.Key)
}

// Summary counts what callers were told.
func Summary(told []*Told) string {
	counts := map[string]int{}
	for _, r := range told {
		label := "answered"
		switch {
		case r.Err != nil:
			label = fmt.Sprintf("%s (%s)", errkind.From(r.Err).Kind, r.Fate())
		case r.Kind != task.Answer:
			label = string(r.Kind) + " " + string(r.Job.State)
		}
		counts[label]++
	}
	var parts []string
	for label, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", label, n))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%d requests: %s", len(told), strings.Join(parts, ", "))
}

// DigestOf returns the SHA-256 digest of a payload in hex.
func DigestOf(payload string) string {
	sum := sha256.Sum256([]byte(payload))
	return hex.EncodeToString(sum[:])
}
