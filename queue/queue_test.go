package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id string, urgency task.Urgency) Entry {
	return Entry{Attempt: task.Attempt{Task: task.ID(id), Number: 1}, Team: "a", Service: "s", Class: "c", Urgency: urgency}
}

// listOrder returns the task IDs of the entries of team a in scheduling order.
func listOrder(q *Queues, now time.Time) []string {
	var ids []string
	for i := 0; ; i++ {
		e := q.EntryAt(now, "a", i)
		if e == nil {
			return ids
		}
		ids = append(ids, string(e.Attempt.Task))
	}
}

func mustPush(t *testing.T, q *Queues, now time.Time, e Entry) {
	t.Helper()
	if err := q.Push(now, e); err != nil {
		t.Fatalf("Push(%v): %v", e.Attempt, err)
	}
}

func checkOrder(t *testing.T, q *Queues, now time.Time, want ...string) {
	t.Helper()
	if got := listOrder(q, now); !slices.Equal(got, want) {
		t.Errorf("order = %v, want %v", got, want)
	}
}

// TestOrderWithinTeam guards against a wrong order within a team: urgent work first, then work with
// a deadline, earliest first, then normal work, then background work.
func TestOrderWithinTeam(t *testing.T) {
	q := New(Config{})
	late, soon := entry("late", task.Normal), entry("soon", task.Normal)
	late.Deadline, soon.Deadline = start.Add(time.Hour), start.Add(time.Minute)
	for _, e := range []Entry{
		entry("background", task.Background), entry("normal 1", task.Normal), late, soon,
		entry("urgent 1", task.Urgent), entry("normal 2", task.Normal), entry("urgent 2", task.Urgent),
	} {
		mustPush(t, q, start, e)
	}
	checkOrder(t, q, start, "urgent 1", "urgent 2", "soon", "late", "normal 1", "normal 2", "background")
}

// TestBackgroundWorkAges guards against starvation of background work by normal work.
func TestBackgroundWorkAges(t *testing.T) {
	q := New(Config{BackgroundDelay: time.Minute})
	mustPush(t, q, start, entry("background", task.Background))
	mustPush(t, q, start.Add(59*time.Second), entry("before", task.Normal))
	mustPush(t, q, start.Add(61*time.Second), entry("after", task.Normal))
	checkOrder(t, q, start.Add(61*time.Second), "before", "background", "after")
}

// TestAgedWorkGetsOneStartPerInterval guards against starvation of normal work by a stream of urgent
// work, and against a long backlog of aged work delaying every urgent request.
func TestAgedWorkGetsOneStartPerInterval(t *testing.T) {
	q := New(Config{AgingThreshold: time.Minute, StartsPerAgedStart: 4})
	mustPush(t, q, start, entry("old 1", task.Normal))
	mustPush(t, q, start, entry("old 2", task.Normal))
	now := start.Add(2 * time.Minute)
	for i := range 8 {
		mustPush(t, q, now, entry(fmt.Sprint("u", i), task.Urgent))
	}
	var started []string
	for range 8 {
		e := *q.Peek(now, "a")
		q.Remove(e.Attempt)
		q.ObserveStart(now, "a", now.Sub(e.EnqueuedAt))
		started = append(started, string(e.Attempt.Task))
	}
	want := []string{"u0", "u1", "u2", "old 1", "u3", "u4", "u5", "old 2"}
	if !slices.Equal(started, want) {
		t.Errorf("started %v, want %v", started, want)
	}
}

// TestWorkIsPromotedBeforeLatestStart guards against a long run that starts too late to finish by
// ReviewBy. The run time estimated from past runs counts, not the declared one.
func TestWorkIsPromotedBeforeLatestStart(t *testing.T) {
	q := New(Config{PromotionLead: time.Minute, SafetyFactor: 2})
	for range 10 {
		q.ObserveRun("a", "s", "c", time.Hour)
	}
	long := entry("long", task.Background)
	long.ReviewBy, long.DeclaredRun = start.Add(4*time.Hour), time.Minute
	mustPush(t, q, start, entry("urgent", task.Urgent))
	mustPush(t, q, start, long)
	latest := q.LatestStart(long)
	if run := long.ReviewBy.Sub(latest); run < 2*time.Hour || run > 3*time.Hour {
		t.Fatalf("latest start %v before ReviewBy, want twice the observed run time of 1 h", run)
	}
	checkOrder(t, q, latest.Add(-time.Minute-1), "urgent", "long")
	mustPush(t, q, latest, entry("urgent later", task.Urgent))
	checkOrder(t, q, latest, "urgent", "long", "urgent later")
}

// TestFullQueueRefuses guards against a burst of requests of one team using unbounded memory or the
// queue capacity of another team.
func TestFullQueueRefuses(t *testing.T) {
	q := New(Config{MaxEntriesPerTeam: 3, Rand: rand.New(rand.NewPCG(1, 2))})
	for i := range 3 {
		mustPush(t, q, start, entry(fmt.Sprint(i), task.Normal))
	}
	err := q.Push(start, entry("more", task.Urgent))
	if err == nil || err.Kind != errkind.QueueFull || err.Fate() != errkind.FateNotRun || err.RetryAfter <= 0 {
		t.Fatalf("err = %v, want %s with a retry-after hint", err, errkind.QueueFull)
	}
	mustPush(t, q, start, entry("0", task.Normal)) // already queued
	other := entry("other", task.Normal)
	other.Team = "b"
	mustPush(t, q, start, other)
	if got := q.Teams(); !slices.Equal(got, []task.Team{"a", "b"}) || q.Len("a") != 3 {
		t.Errorf("teams = %v, entries of a = %d; want [a b] and 3", got, q.Len("a"))
	}
}

// TestUnreachableDeadlineIsRefused guards against accepting work that is not expected to start by
// its deadline, and against refusing work that would start immediately.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	q := New(Config{})
	now := start
	for i := range 20 {
		mustPush(t, q, now, entry(fmt.Sprint(i), task.Urgent))
	}
	for i := range 10 {
		now = now.Add(10 * time.Second)
		q.Remove(task.Attempt{Task: task.ID(fmt.Sprint(i)), Number: 1})
		q.ObserveStart(now, "a", now.Sub(start))
	}
	unreachable := entry("unreachable", task.Normal)
	unreachable.Deadline = now.Add(100 * time.Second) // 10 urgent entries at 10 s are ahead
	err := q.Push(now, unreachable)
	if err == nil || err.Kind != errkind.DeadlineExceeded || err.Fate() != errkind.FateNotRun || err.RetryAfter <= 0 {
		t.Fatalf("err = %v, want %s with a retry-after hint", err, errkind.DeadlineExceeded)
	}
	reachable := unreachable
	reachable.Deadline = now.Add(111 * time.Second)
	mustPush(t, q, now, reachable)
	q.RemoveTeam("a")
	unreachable.Deadline = now.Add(time.Millisecond)
	mustPush(t, q, now, unreachable) // the queue is empty
	late := entry("late", task.Normal)
	late.Deadline = now
	if err := q.Push(now, late); err == nil || err.Kind != errkind.DeadlineExceeded {
		t.Errorf("err = %v for a deadline that is now, want DeadlineExceeded", err)
	}
}

// TestExpiredAreRemoved guards against work being started after its deadline.
func TestExpiredAreRemoved(t *testing.T) {
	q := New(Config{})
	for i := range 4 {
		e := entry(fmt.Sprint(i), task.Urgencies[i%2])
		e.Deadline = start.Add(time.Duration(i+1) * time.Second)
		mustPush(t, q, start, e)
	}
	got := q.RemoveExpired(start.Add(2*time.Second + 1))
	if len(got) != 2 || got[0].Attempt.Task != "0" || got[1].Attempt.Task != "1" {
		t.Errorf("expired = %v, want tasks 0 and 1", got)
	}
	checkOrder(t, q, start, "2", "3")
}

// TestExpectedRunFollowsObservedRuns guards against estimates that are not derived from observed
// runs, against old runs dominating the estimate, and against unbounded growth with the number of
// class names.
func TestExpectedRunFollowsObservedRuns(t *testing.T) {
	q := New(Config{RunQuantile: 0.9, MaxProfiles: 2})
	if _, ok := q.ExpectedRun("a", "s", "c"); ok {
		t.Error("ExpectedRun returned an estimate without any observed run")
	}
	for i := range 1000 {
		d := time.Second
		if i%5 == 0 {
			d = time.Minute
		}
		q.ObserveRun("a", "s", "c", d)
	}
	if d, _ := q.ExpectedRun("a", "s", "c"); d < time.Minute || d > 90*time.Second {
		t.Errorf("expected run = %v, want the upper bound of the bucket of 1 min", d)
	}
	for range 500 {
		q.ObserveRun("a", "s", "c", time.Second)
	}
	if d, _ := q.ExpectedRun("a", "s", "c"); d > 2*time.Second {
		t.Errorf("expected run = %v after 500 runs of 1 s, want at most 2 s", d)
	}
	q.ObserveRun("a", "s", "d", time.Second)
	q.ObserveRun("a", "s", "e", time.Second)
	if n := len(q.profiles.byKey); n != 2 {
		t.Errorf("%d profiles kept, limit 2", n)
	}
}

// TestExpectedWaitCountsDuePromotions guards against ExpectedWait and Push returning different
// results when an entry is due for promotion and so precedes new urgent work.
func TestExpectedWaitCountsDuePromotions(t *testing.T) {
	q := New(Config{PromotionLead: 10 * time.Second})
	due := entry("due", task.Normal)
	due.ReviewBy = start.Add(11 * time.Second)
	mustPush(t, q, start, due)
	mustPush(t, q, start, entry("first", task.Urgent))
	now := start.Add(2 * time.Second)
	q.Remove(task.Attempt{Task: "first", Number: 1})
	q.ObserveStart(now, "a", time.Second)
	urgent := entry("urgent", task.Urgent)
	urgent.Deadline = now.Add(3 * time.Second)
	if wait := q.ExpectedWait(now, urgent); wait != 4*time.Second {
		t.Errorf("expected wait = %v, want two intervals of 2 s", wait)
	}
	if err := q.Push(now, urgent); err == nil || err.Kind != errkind.DeadlineExceeded {
		t.Errorf("err = %v, want the same expected wait to exceed the deadline", err)
	}
}

// TestRetryAfterHintsAreJittered guards against refused callers all retrying at the same time, and
// against unbounded retry-after hints.
func TestRetryAfterHintsAreJittered(t *testing.T) {
	q := New(Config{MaxEntriesPerTeam: 1, Rand: rand.New(rand.NewPCG(1, 2))})
	mustPush(t, q, start, entry("waits", task.Normal))
	now := start.Add(time.Hour) // the queue has stalled for an hour
	hints := map[time.Duration]bool{}
	for range 20 {
		err := q.Push(now, entry("refused", task.Normal))
		if err == nil || err.RetryAfter < maxRetryAfter/2 || err.RetryAfter > maxRetryAfter*3/2 {
			t.Fatalf("err = %v, want a hint of %v, plus or minus a half", err, maxRetryAfter)
		}
		hints[err.RetryAfter] = true
	}
	if len(hints) < 20 {
		t.Errorf("%d different hints in 20 refusals", len(hints))
	}
}
