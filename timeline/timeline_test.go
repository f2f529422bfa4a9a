package timeline

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/task"
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestRingKeepsLatest guards against a ring that grows without bound, or that
// loses or reorders events when it wraps.
func TestRingKeepsLatest(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 9).Draw(t, "capacity")
		count := rapid.IntRange(0, 40).Draw(t, "count")
		r := NewRecorder("i", "1", capacity)
		var all []Event
		for range count {
			now := startTime.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "step")) * time.Second)
			all = append(all, r.Record(now, Event{Type: TaskQueued}))
		}
		want := all[max(0, count-capacity):]
		if got := r.Events(Filter{}); !slices.Equal(got, want) {
			t.Fatalf("events %v, want %v", got, want)
		}
		if got := r.Dropped(); got != uint64(count-len(want)) {
			t.Fatalf("dropped %d", got)
		}
		if !slices.IsSortedFunc(all, compareEvents) {
			t.Fatalf("a wall clock that goes back reorders events: %v", all)
		}
	})
}

// fixSeed makes rapid draw the same values in every run, unless a seed is set on the
// command line.
func fixSeed(t *testing.T) {
	t.Helper()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMergeOrdersReceiptAfterSending guards against a merged timeline in which an
// effect precedes its cause because of clock skew.
func TestMergeOrdersReceiptAfterSending(t *testing.T) {
	sender, receiver := NewRecorder("a", "1", 8), NewRecorder("b", "1", 8)
	sent := sender.Record(startTime, Event{Type: TaskPlaced})
	receiver.Receive(startTime.Add(-10*time.Second), sent.Clock)
	receiver.Record(startTime.Add(-10*time.Second), Event{Type: TaskQueued})
	receiver.Receive(startTime, Timestamp{Wall: startTime.Add(time.Hour)})
	receiver.Record(startTime, Event{Type: TaskStarted})
	merged := Merge(receiver.Events(Filter{}), sender.Events(Filter{}), sender.Events(Filter{}))
	var types []Type
	for _, e := range merged {
		types = append(types, e.Type)
	}
	if want := []Type{TaskPlaced, TaskQueued, TaskStarted}; !slices.Equal(types, want) {
		t.Errorf("merged %v, want %v", types, want)
	}
	if last := merged[len(merged)-1].Clock.Wall; last.After(startTime.Add(MaxClockAhead)) {
		t.Errorf("a timestamp that is one hour ahead advanced the clock: %v", last)
	}
}

// TestFilter guards against a filter that selects events that do not match, or omits
// events that do.
func TestFilter(t *testing.T) {
	r := NewRecorder("i", "1", 100)
	for i := range 4 {
		e := Event{Type: TaskStarted, Team: "a", Task: "t", Worker: "w", Partition: "p"}
		r.Record(startTime.Add(time.Duration(i)*time.Second), e)
	}
	r.Record(startTime.Add(4*time.Second), Event{Type: StoreDown, Team: "b", Task: "u", Worker: "x", Partition: "q"})
	for _, test := range []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 5}, {Filter{Team: "a"}, 4}, {Filter{Task: "u"}, 1}, {Filter{Worker: "w"}, 4},
		{Filter{Partition: "q"}, 1}, {Filter{Types: []Type{StoreUp, StoreDown}}, 1},
		{Filter{From: startTime.Add(time.Second), Until: startTime.Add(3 * time.Second)}, 2},
		{Filter{Limit: 2}, 2}, {Filter{Team: "a", Worker: "x"}, 0},
	} {
		if got := len(r.Events(test.filter)); got != test.want {
			t.Errorf("%+v selects %d events, want %d", test.filter, got, test.want)
		}
	}
}

// TestConcurrentRecord guards against a sequence number being assigned twice.
func TestConcurrentRecord(t *testing.T) {
	r := NewRecorder("i", "1", 1000)
	var writers sync.WaitGroup
	for range 10 {
		writers.Go(func() {
			for range 50 {
				r.Record(startTime, Event{Type: TaskQueued})
				r.Events(Filter{Limit: 1})
			}
		})
	}
	writers.Wait()
	if got := len(Merge(r.Events(Filter{}))); got != 500 {
		t.Errorf("%d distinct events, want 500", got)
	}
}

// TestRender guards against a field that is missing from the rendered line.
func TestRender(t *testing.T) {
	e := Event{
		Instance: "i", Incarnation: "7", Sequence: 9, Clock: Timestamp{Wall: startTime, Logical: 2}, Type: TaskStarted,
		Team: "a", Task: "t", Attempt: 3, Worker: "w", Partition: "p", Epoch: 4, Revision: 5, KeyID: "k",
		Kind: "durable", Size: &task.Resources{Slots: 1}, Detail: "text",
	}
	var text strings.Builder
	if err := Render(&text, []Event{e}); err != nil {
		t.Fatal(err)
	}
	want := "2026-01-02T03:04:05.000Z+2 i/7#9 task_started team=a task=t attempt=3 worker=w partition=p " +
		"epoch=4 revision=5 key=k kind=durable size=[cpu=0m mem=0MB acc=0 slots=1 conns=0] \"text\"\n"
	if text.String() != want {
		t.Errorf("got  %swant %s", text.String(), want)
	}
}
