package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// newNearlyFullQueues returns the queues of the given number of teams, each one entry below its
// limit, and their entries.
func newNearlyFullQueues(teams int) (*Queues, []Entry) {
	q := New(Config{})
	var entries []Entry
	for i := range teams * (DefaultMaxEntriesPerTeam - 1) {
		e := Entry{
			Attempt:    task.Attempt{Task: task.ID(fmt.Sprint("task-", i)), Number: 1},
			Team:       task.Team(fmt.Sprintf("team-%02d", i%teams)),
			Service:    "service",
			Class:      "class",
			Urgency:    task.Urgencies[i/teams%3],
			KeyID:      fmt.Sprint("key-", i/teams%4),
			EnqueuedAt: start.Add(time.Duration(i) * time.Millisecond),
		}
		if i%2 == 0 {
			e.Deadline = start.Add(time.Hour + time.Duration(i)*time.Millisecond)
		}
		q.Push(start, e)
		entries = append(entries, e)
	}
	return q, entries
}

// forEachTeamCount runs a benchmark for each number of teams.
func forEachTeamCount(b *testing.B, run func(b *testing.B, q *Queues, entries []Entry)) {
	for _, teams := range []int{6, 30, 97} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q, entries := newNearlyFullQueues(teams)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, q, entries)
		})
	}
}

// BenchmarkPeek measures Peek on a nearly full queue.
func BenchmarkPeek(b *testing.B) {
	forEachTeamCount(b, func(b *testing.B, q *Queues, entries []Entry) {
		for i := range b.N {
			q.Peek(start, entries[i%len(entries)].Team)
		}
	})
}

// BenchmarkRemovePush measures removing one entry of a nearly full queue and pushing it again.
func BenchmarkRemovePush(b *testing.B) {
	forEachTeamCount(b, func(b *testing.B, q *Queues, entries []Entry) {
		for i := range b.N {
			e := entries[i%len(entries)]
			q.Remove(e.Attempt)
			q.Push(start, e)
		}
	})
}

// BenchmarkRemoveKey measures the removal of a quarter of a nearly full queue by key, as after the
// withdrawal of the key. The entries are pushed again outside the measured time.
func BenchmarkRemoveKey(b *testing.B) {
	forEachTeamCount(b, func(b *testing.B, q *Queues, _ []Entry) {
		for range b.N {
			removed := q.RemoveKey("team-00", "key-1")
			b.StopTimer()
			for _, e := range removed {
				q.Push(start, e)
			}
			b.StartTimer()
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(DefaultMaxEntriesPerTeam/4), "ns/entry")
	})
}
