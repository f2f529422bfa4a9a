package queue

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// removeItem removes one item from every list that contains it.
func (q *Queues) removeItem(it *item) {
	t := q.teams[it.Team]
	delete(q.items, it.Attempt)
	t.tiers[it.tier].remove(it)
	if !it.Deadline.IsZero() {
		t.deadlines.remove(it)
	}
	if !it.promoteAt.IsZero() {
		t.promotions.remove(it)
	}
	if t.len() == 0 {
		q.removeActiveTeam(it.Team)
	}
}

// removeIf removes the matching items of a team in one pass over its lists, because the withdrawal
// of a key or the cancellation of a team can remove thousands of items at once.
func (q *Queues) removeIf(team task.Team, match func(*item) bool) []Entry {
	t := q.teams[team]
	if t == nil || t.len() == 0 {
		return nil
	}
	var removed []Entry
	unmatched := func(it *item) bool { return !match(it) }
	for k := range t.tiers {
		for _, it := range t.tiers[k].items {
			if match(it) {
				removed = append(removed, it.Entry)
				delete(q.items, it.Attempt)
			}
		}
		t.tiers[k].retain(unmatched)
	}
	t.deadlines.retain(unmatched)
	t.promotions.retain(unmatched)
	if len(removed) > 0 && t.len() == 0 {
		q.removeActiveTeam(team)
	}
	return removed
}

func (t *teamQueue) insert(it *item) {
	t.tiers[it.tier].insert(it)
	if !it.Deadline.IsZero() {
		t.deadlines.insert(it)
	}
	if !it.promoteAt.IsZero() {
		t.promotions.insert(it)
	}
}

func (t *teamQueue) len() int {
	n := 0
	for k := range t.tiers {
		n += len(t.tiers[k].items)
	}
	return n
}

func (q *Queues) addActiveTeam(team task.Team) {
	i, found := slices.BinarySearch(q.activeTeams, team)
	if !found {
		q.activeTeams = slices.Insert(q.activeTeams, i, team)
	}
}

func (q *Queues) removeActiveTeam(team task.Team) {
	if i, found := slices.BinarySearch(q.activeTeams, team); found {
		q.activeTeams = slices.Delete(q.activeTeams, i, i+1)
	}
}
