package errkind

import (
	"errors"
	"fmt"
	"testing"
)

// TestFatesAreNeverOptimistic guards against an error outside the list, or one
// whose outcome is open, being answered as "not run".
func TestFatesAreNeverOptimistic(t *testing.T) {
	for _, k := range []Kind{"no_such_kind", Internal, OutcomeUnknown, WorkerLost, UnknownTask} {
		if got := AnswerFor(k).Fate; got == FateNotRun {
			t.Errorf("AnswerFor(%q).Fate = %q", k, got)
		}
	}
	if got := From(errors.New("connection reset")).Fate(); got != FateUnknown {
		t.Errorf("fate of an untyped error = %q, want %q", got, FateUnknown)
	}
}

// TestEveryRowIsComplete guards against a kind without a status or an exit code.
func TestEveryRowIsComplete(t *testing.T) {
	for _, k := range Kinds() {
		a := AnswerFor(k)
		if a.Status == 0 || a.ExitCode == 0 || a.Advice == "" || a.Fate == "" {
			t.Errorf("row of %q is incomplete: %+v", k, a)
		}
		if meanings[k] == "" {
			t.Errorf("kind %q has no meaning in the reference", k)
		}
	}
}

// TestFromFindsWrappedError guards against the kind being lost by wrapping.
func TestFromFindsWrappedError(t *testing.T) {
	err := fmt.Errorf("submit: %w", New(QueueFull, "queue of team a is full"))
	if got := From(err).Kind; got != QueueFull {
		t.Errorf("kind = %q, want %q", got, QueueFull)
	}
}
