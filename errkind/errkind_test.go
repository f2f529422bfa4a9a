package errkind

import (
	"errors"
	"fmt"
	"testing"
)

// TestUnknownOutcomesAreNotReportedAsNotRun guards against an unknown kind, or a kind with
// an unknown outcome, being reported as "not run".
func TestUnknownOutcomesAreNotReportedAsNotRun(t *testing.T) {
	for _, k := range []Kind{"no_such_kind", Internal, OutcomeUnknown, WorkerLost, UnknownTask} {
		if got := ResponseFor(k).Fate; got == FateNotRun {
			t.Errorf("ResponseFor(%q).Fate = %q, want another fate", k, got)
		}
	}
	if got := From(errors.New("connection reset")).Fate(); got != FateUnknown {
		t.Errorf("fate of an untyped error = %q, want %q", got, FateUnknown)
	}
}

// TestEveryKindIsComplete guards against a kind without a status, exit code, advice, fate
// or description.
func TestEveryKindIsComplete(t *testing.T) {
	for _, k := range Kinds() {
		response := ResponseFor(k)
		if response.Status == 0 || response.ExitCode == 0 || response.Advice == "" || response.Fate == "" {
			t.Errorf("response of kind %q is incomplete: %+v", k, response)
		}
		if descriptions[k] == "" {
			t.Errorf("kind %q has no description in the reference", k)
		}
	}
}

// TestFromFindsWrappedError guards against the loss of the kind of a wrapped error.
func TestFromFindsWrappedError(t *testing.T) {
	err := fmt.Errorf("submit: %w", New(QueueFull, "queue of team a is full"))
	if got := From(err).Kind; got != QueueFull {
		t.Errorf("kind = %q, want %q", got, QueueFull)
	}
}
