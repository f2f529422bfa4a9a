package queue

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// take removes one item from every list that holds it.
func (q *Queues) take(it *item) {
	t := q.teams[it.Team]
	delete(q.items, it.Attempt)
	t.tiers[it.tier].remove(it)
	if !it.Deadline.IsZero() {
		t.deadlines.remove(it)
	}
	if !it.reviewAt.IsZero() {
		t.reviews.remove(it)
	}
	if t.len() == 0 {
		q.dropName(it.Team)
	}
}

// removeIf removes many items of a team in one pass over its lists, since
// withdrawn keys and cancelled teams take out thousands at once.
func (q *Queues) removeIf(team task.Team, test func(*item) bool) []Entry {
	t := q.teams[team]
	if t == nil || t.len() == 0 {
		return nil
	}
	var removed []Entry
	stays := func(it *item) bool { return !test(it) }
	for k := range t.tiers {
		for _, it := range t.tiers[k].items {
			if test(it) {
				removed = append(removed, it.Entry)
				delete(q.items, it.Attempt)
			}
		}
		t.tiers[k].keep(stays)
	}
	t.deadlines.keep(stays)
	t.reviews.keep(stays)
	if len(removed) > 0 && t.len() == 0 {
		q.dropName(team)
	}
	return removed
}

func (t *teamQueue) insert(it *item) {
	t.tiers[it.tier].insert(it)
	if !it.Deadline.IsZero() {
		t.deadlines.insert(it)
	}
	if !it.reviewAt.IsZero() {
		t.reviews.insert(it)
	}
}

func (t *teamQueue) len() int {
	n := 0
	for k := range t.tiers {
		n += len(t.tiers[k].items)
	}
	return n
}

func (q *Queues) addName(team task.Team) {
	i, found := slices.BinarySearch(q.names, team)
	if !found {
		q.names = slices.Insert(q.names, i, team)
	}
}

func (q *Queues) dropName(team task.Team) {
	if i, found := slices.BinarySearch(q.names, team); found {
		q.names = slices.Delete(q.names, i, i+1)
	}
}
