package queue

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
	"pgregory.net/rapid"
)

// model is a reference implementation of Queues: an unsorted list that is sorted on every access.
type model struct {
	cfg             Config
	entries         []modelEntry
	startsSinceAged map[task.Team]int // starts since the last start of an aged entry
	pushed          int               // number of calls of Push
}

type modelEntry struct {
	Entry
	number      int       // arrival order
	latestStart time.Time // Queues.LatestStart when the entry was pushed
}

// tierAndSortTime returns the priority level of an entry, from 0 for the highest, and its sort key
// within that level.
func (m *model) tierAndSortTime(now time.Time, e modelEntry) (tier int, sortTime time.Time) {
	promoteAt := e.latestStart.Add(-m.cfg.PromotionLead)
	switch {
	case e.Urgency == task.Urgent:
		return 0, e.EnqueuedAt
	case !e.ReviewBy.IsZero() && !promoteAt.After(now):
		return 0, promoteAt
	case !e.Deadline.IsZero():
		return 1, e.Deadline
	case e.Urgency == task.Background:
		return 2, e.EnqueuedAt.Add(m.cfg.BackgroundDelay)
	}
	return 2, e.EnqueuedAt
}

// order returns the entries of a team in scheduling order.
func (m *model) order(now time.Time, team task.Team) []modelEntry {
	var list []modelEntry
	for _, e := range m.entries {
		if e.Team == team {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b modelEntry) int {
		tierA, atA := m.tierAndSortTime(now, a)
		tierB, atB := m.tierAndSortTime(now, b)
		return cmp.Or(cmp.Compare(tierA, tierB), atA.Compare(atB), cmp.Compare(a.number, b.number))
	})
	first := slices.IndexFunc(list, func(e modelEntry) bool {
		tier, _ := m.tierAndSortTime(now, e)
		return tier == 2
	})
	if first < 0 || m.startsSinceAged[team] < m.cfg.StartsPerAgedStart-1 || now.Sub(list[first].EnqueuedAt) < m.cfg.AgingThreshold {
		return list
	}
	aged := list[first]
	return slices.Insert(slices.Delete(list, first, first+1), 0, aged)
}

func (m *model) removeIf(match func(modelEntry) bool) []task.Attempt {
	var removed []task.Attempt
	m.entries = slices.DeleteFunc(m.entries, func(e modelEntry) bool {
		if match(e) {
			removed = append(removed, e.Attempt)
			return true
		}
		return false
	})
	return removed
}

// TestQueuesEqualModel guards against an entry being lost, returned twice or returned out of order
// after some sequence of calls.
func TestQueuesEqualModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxEntriesPerTeam: 12, BackgroundDelay: 40 * time.Second, AgingThreshold: time.Minute, StartsPerAgedStart: 3, PromotionLead: 10 * time.Second}
		q := New(cfg)
		m := &model{cfg: q.cfg, startsSinceAged: map[task.Team]int{}}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			applyRandomStep(t, q, m, now)
			compareWithModel(t, q, m, now)
		}
	})
}

func applyRandomStep(t *rapid.T, q *Queues, m *model, now time.Time) {
	team := rapid.SampledFrom([]task.Team{"a", "b"}).Draw(t, "team")
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	default:
		m.push(t, q, now, drawEntry(t, m, now, team))
	case 4:
		m.start(t, q, now, team)
	case 5:
		a := task.Attempt{Task: task.ID(fmt.Sprint(rapid.IntRange(0, m.pushed).Draw(t, "attempt"))), Number: 1}
		removed := m.removeIf(func(e modelEntry) bool { return e.Attempt == a })
		if e, ok := q.Remove(a); ok != (len(removed) == 1) || ok && e.Attempt != a {
			t.Fatalf("Remove(%v) = %v, %v", a, e.Attempt, ok)
		}
	case 6:
		key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
		want := m.removeIf(func(e modelEntry) bool { return e.Team == team && e.KeyID == key })
		checkSameAttempts(t, "RemoveKey", q.RemoveKey(team, key), want)
	case 7:
		want := m.removeIf(func(e modelEntry) bool { return !e.Deadline.IsZero() && e.Deadline.Before(now) })
		checkSameAttempts(t, "RemoveExpired", q.RemoveExpired(now), want)
	case 8:
		if rapid.IntRange(0, 4).Draw(t, "whole team") == 0 {
			want := m.removeIf(func(e modelEntry) bool { return e.Team == team })
			checkSameAttempts(t, "RemoveTeam", q.RemoveTeam(team), want)
		}
	}
}

func drawEntry(t *rapid.T, m *model, now time.Time, team task.Team) Entry {
	e := Entry{
		Attempt:     task.Attempt{Task: task.ID(fmt.Sprint(m.pushed)), Number: 1},
		Team:        team,
		Urgency:     rapid.SampledFrom(task.Urgencies).Draw(t, "urgency"),
		KeyID:       rapid.SampledFrom([]string{"k", "l", ""}).Draw(t, "key"),
		DeclaredRun: time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Second,
		EnqueuedAt:  now,
	}
	if rapid.Bool().Draw(t, "has deadline") {
		e.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 100).Draw(t, "deadline")) * time.Second)
	}
	if rapid.Bool().Draw(t, "has ReviewBy") {
		e.ReviewBy = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ReviewBy")) * time.Second)
	}
	return e
}

// push pushes an entry and checks whether it is refused for the expected reason.
func (m *model) push(t *rapid.T, q *Queues, now time.Time, e Entry) {
	m.pushed++
	full := len(m.order(now, e.Team)) >= m.cfg.MaxEntriesPerTeam
	wait := q.ExpectedWait(now, e)
	unreachable := !e.Deadline.IsZero() && (!e.Deadline.After(now) || wait > e.Deadline.Sub(now))
	err := q.Push(now, e)
	switch {
	case full && (err == nil || err.Kind != errkind.QueueFull),
		!full && unreachable && (err == nil || err.Kind != errkind.DeadlineExceeded),
		!full && !unreachable && err != nil:
		t.Fatalf("Push = %v; queue full %v, deadline unreachable %v", err, full, unreachable)
	}
	if err == nil {
		m.entries = append(m.entries, modelEntry{e, m.pushed, q.LatestStart(e)})
	}
}

// start starts the first entry of a team.
func (m *model) start(t *rapid.T, q *Queues, now time.Time, team task.Team) {
	e := q.Peek(now, team)
	if e == nil {
		return
	}
	waited, a := now.Sub(e.EnqueuedAt), e.Attempt
	if _, ok := q.Remove(a); !ok {
		t.Fatalf("Remove(%v) did not find the entry that Peek returned", a)
	}
	q.ObserveStart(now, team, waited)
	m.removeIf(func(e modelEntry) bool { return e.Attempt == a })
	m.startsSinceAged[team]++
	if waited >= m.cfg.AgingThreshold {
		m.startsSinceAged[team] = 0
	}
}

func compareWithModel(t *rapid.T, q *Queues, m *model, now time.Time) {
	for _, team := range []task.Team{"a", "b"} {
		want := m.order(now, team)
		if q.Len(team) != len(want) || slices.Contains(q.Teams(), team) != (len(want) > 0) {
			t.Fatalf("Len(%s) = %d, Teams = %v; want %d entries", team, q.Len(team), q.Teams(), len(want))
		}
		for i := range len(want) + 1 {
			got := q.EntryAt(now, team, i)
			if i == len(want) && got != nil || i < len(want) && (got == nil || *got != want[i].Entry) {
				t.Fatalf("EntryAt(%s, %d) = %+v, want %+v", team, i, got, want)
			}
		}
	}
}

func checkSameAttempts(t *rapid.T, name string, got []Entry, want []task.Attempt) {
	counts := map[task.Attempt]int{}
	for _, e := range got {
		counts[e.Attempt]++
	}
	for _, a := range want {
		counts[a]--
	}
	for a, n := range counts {
		if n != 0 {
			t.Fatalf("%s returned %v, want %v (%v)", name, got, want, a)
		}
	}
}
