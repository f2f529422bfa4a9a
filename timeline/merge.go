package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Merge returns the events of all timelines in one order, which preserves the order
// of each process and the causal order of sending and receiving a message. An event
// that is in several timelines appears once.
func Merge(timelines ...[]Event) []Event {
	merged := slices.Concat(timelines...)
	slices.SortFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Sequence == b.Sequence && a.Incarnation == b.Incarnation && a.Instance == b.Instance
	})
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		a.Clock.Wall.Compare(b.Clock.Wall),
		cmp.Compare(a.Clock.Logical, b.Clock.Logical),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// renderLayout formats wall time in UTC with milliseconds.
const renderLayout = "2006-01-02T15:04:05.000Z"

// Render writes each event as one line of text.
func Render(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e.String()); err != nil {
			return eris.Wrap(err, "write timeline")
		}
	}
	return nil
}

// String returns the event as one line of text without a newline.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %s/%s#%d %s", e.Clock.Wall.UTC().Format(renderLayout), e.Clock.Logical,
		e.Instance, e.Incarnation, e.Sequence, e.Type)
	writeField(&b, "team", e.Team, e.Team != "")
	writeField(&b, "task", e.Task, e.Task != "")
	writeField(&b, "attempt", e.Attempt, e.Attempt != 0)
	writeField(&b, "worker", e.Worker, e.Worker != "")
	writeField(&b, "partition", e.Partition, e.Partition != "")
	writeField(&b, "epoch", e.Epoch, e.Epoch != 0)
	writeField(&b, "revision", e.Revision, e.Revision != 0)
	writeField(&b, "key", e.KeyID, e.KeyID != "")
	writeField(&b, "kind", e.Kind, e.Kind != "")
	if e.Size != nil {
		fmt.Fprintf(&b, " size=[%s]", e.Size)
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	return b.String()
}

func writeField(b *strings.Builder, name string, value any, present bool) {
	if present {
		fmt.Fprintf(b, " %s=%v", name, value)
	}
}
