package instance

import (
	"context"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// writes records the text of each write.
type writes []string

func (w *writes) Write(p []byte) (int, error) {
	*w = append(*w, string(p))
	return len(p), nil
}

// TestWholeLines guards against writes that end within a line: a collector that takes each write for
// whole lines would cut the line in two.
func TestWholeLines(t *testing.T) {
	var out writes
	j := NewJournal(&out, metrics.NewRegistry())
	for range journalQueueLength {
		j.Event("placed", "text", strings.Repeat("x", 50))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := j.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if len(out) < 2 {
		t.Fatalf("%d writes, want several to compare", len(out))
	}
	for i, text := range out {
		if !strings.HasSuffix(text, "\n") {
			t.Errorf("write %d of %d ends within a line: ...%q", i, len(out), text[max(0, len(text)-40):])
		}
	}
}
