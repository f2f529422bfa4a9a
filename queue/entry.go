package queue

import (
	"cmp"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Entry is one pending task, or one gang, with the fields of its specification that scheduling needs.
type Entry struct {
	Attempt     task.Attempt
	Team        task.Team
	Service     task.Service
	Class       string
	Kind        task.Kind
	Urgency     task.Urgency
	Size        task.Resources
	Count       int // number of gang members in this entry; 0 or 1 for a single task
	DeclaredRun time.Duration
	Deadline    time.Time // latest start; zero for none
	ReviewBy    time.Time // latest finish; zero for none
	KeyID       string    // ID of the key with which the job was submitted
	Partition   string
	Home        string
	EnqueuedAt  time.Time // set by Push to the current time if zero
}

// tier is a priority level within a team's queue.
type tier uint8

// Tiers in descending order of priority.
const (
	tierUrgent   tier = iota // urgent work, and work promoted shortly before its latest start
	tierDeadline             // work with a deadline, earliest deadline first
	tierNormal               // normal and background work without a deadline
	tierCount
)

// item is a queued Entry.
type item struct {
	Entry
	tier      tier
	sortTime  time.Time // sort key within the tier
	promoteAt time.Time // time of the promotion to tierUrgent; zero for none
	sequence  uint64    // arrival order; used as a tie-breaker
}

// sortedItems is a slice of items sorted by a time and then by arrival. Because queues are bounded,
// shifting the tail of the slice on insertion costs less than maintaining a tree.
type sortedItems struct {
	items []*item
	key   func(*item) time.Time // sort key
}

func (o *sortedItems) insert(it *item) {
	i := o.search(it)
	o.items = append(o.items, nil)
	copy(o.items[i+1:], o.items[i:])
	o.items[i] = it
}

func (o *sortedItems) remove(it *item) {
	i := o.search(it)
	if i == len(o.items) || o.items[i] != it {
		return
	}
	copy(o.items[i:], o.items[i+1:])
	o.items[len(o.items)-1] = nil
	o.items = o.items[:len(o.items)-1]
}

// search returns the index of it, or the index at which to insert it.
func (o *sortedItems) search(it *item) int {
	low, high := 0, len(o.items)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if o.compare(o.items[middle], it) < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (o *sortedItems) compare(a, b *item) int {
	if c := o.key(a).Compare(o.key(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (o *sortedItems) first() *item {
	if len(o.items) == 0 {
		return nil
	}
	return o.items[0]
}

// retain removes the items for which keep returns false, in one pass.
func (o *sortedItems) retain(keep func(*item) bool) {
	kept := o.items[:0]
	for _, it := range o.items {
		if keep(it) {
			kept = append(kept, it)
		}
	}
	clear(o.items[len(kept):])
	o.items = kept
}

func bySortTime(it *item) time.Time  { return it.sortTime }
func byDeadline(it *item) time.Time  { return it.Deadline }
func byPromotion(it *item) time.Time { return it.promoteAt }
