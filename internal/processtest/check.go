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

// maxViolations limits the number of violations, and that of contradictions, that
// are printed.
const maxViolations = 10

// Check checks the invariants against the timeline, the ledgers of the workers and
// the responses to callers. The extra events are merged into the timeline. Check
// must be called after all work has ended.
func (c *Cluster) Check(t *testing.T, records []*RequestRecord, extra ...timeline.Event) oracle.Trace {
	t.Helper()
	trace := oracle.Trace{Events: timeline.Merge(c.CollectAll(), extra), Workers: c.Ledgers(), Answers: receivedAnswers(records),
		KnownTasks: reportedTasks(records), Bounds: oracle.DefaultBounds}
	violations := oracle.Check(trace)
	for i, v := range violations {
		if i == maxViolations {
			t.Errorf("and %d more violations", len(violations)-i)
			break
		}
		t.Errorf("violation: %s", v)
	}
	checkOutcomes(t, records, trace.Workers)
	return trace
}

// reportedTasks returns the tasks that were reported to callers, with true for
// those that have ended. It replaces the events that record outcomes, because
// these are lost if a process is killed before they were fetched.
func reportedTasks(records []*RequestRecord) map[task.ID]bool {
	reported := map[task.ID]bool{}
	for _, r := range records {
		for _, got := range r.Job.Tasks {
			reported[got.ID] = r.Err == nil && got.State.IsFinal()
		}
	}
	return reported
}

// checkOutcomes compares the responses to callers with the runs of the workers.
// Each request has a unique payload, by which its runs are found.
func checkOutcomes(t *testing.T, records []*RequestRecord, ledgers []oracle.WorkerLedger) {
	t.Helper()
	runs := map[string][]oracle.Run{}
	for _, ledger := range ledgers {
		for _, run := range ledger.Runs {
			runs[run.PayloadDigest] = append(runs[run.PayloadDigest], run)
		}
	}
	var problems []string
	for _, r := range records {
		if problem := r.contradiction(runs[r.Digest()]); problem != "" {
			problems = append(problems, fmt.Sprintf("%s %s: %s", r.Class, r.Key, problem))
		}
	}
	for i, problem := range problems {
		if i == maxViolations {
			t.Errorf("and %d more contradictions", len(problems)-i)
			break
		}
		t.Error(problem)
	}
}

// contradiction describes how the response contradicts the runs, or returns "".
func (r *RequestRecord) contradiction(runs []oracle.Run) string {
	if r.Err != nil {
		if r.Fate() == errkind.FateNotRun && len(runs) > 0 {
			return fmt.Sprintf("reported as not run (%v), but it ran: %v", r.Err, runs)
		}
		return ""
	}
	if len(r.Job.Tasks) != r.Count {
		return fmt.Sprintf("job has %d tasks, want %d", len(r.Job.Tasks), r.Count)
	}
	for _, got := range r.Job.Tasks {
		ran := slices.ContainsFunc(runs, func(run oracle.Run) bool { return run.Attempt.Task == got.ID })
		switch {
		case got.State == task.Finished && !ran:
			return fmt.Sprintf("task %s is finished, but no worker ran it", got.ID)
		case got.State == task.NotRun && ran:
			return fmt.Sprintf("task %s is reported as not run, but it ran: %v", got.ID, runs)
		case got.State == task.NotRun && r.Kind.IsDurable():
			return fmt.Sprintf("task %s was accepted and not cancelled, but ended as not run with reason %q", got.ID, got.Reason)
		case got.State == task.Unknown && r.Kind.MayRetry() && r.Kind.IsDurable():
			return fmt.Sprintf("task %s may be retried, but ended as unknown: %v", got.ID, runs)
		case got.State == task.Finished && got.ExitCode == 0 && got.Reason == "" && !r.hasExpectedResult(got.ResultBytes, got.Result):
			return fmt.Sprintf("task %s has a result of %d bytes that does not match its request", got.ID, got.ResultBytes)
		}
	}
	return ""
}

func (r *RequestRecord) hasExpectedResult(length int, result []byte) bool {
	if r.ResultBytes > 0 {
		return length == r.ResultBytes
	}
	return length == len(r.Key) && (len(result) == 0 || string(result) == r.Key)
}

// Summary formats the number of requests by outcome.
func Summary(records []*RequestRecord) string {
	counts := map[string]int{}
	for _, r := range records {
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
	return fmt.Sprintf("%d requests: %s", len(records), strings.Join(parts, ", "))
}

// DigestOf returns the SHA-256 digest of a payload in hex.
func DigestOf(payload string) string {
	sum := sha256.Sum256([]byte(payload))
	return hex.EncodeToString(sum[:])
}
