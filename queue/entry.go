package queue

import (
	"cmp"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Entry is one task that waits, with the fields of its specification that
// decide the order.
type Entry struct {
	Attempt     task.Attempt
	Team        task.Team
	Service     task.Service
	Class       string
	Kind        task.Kind
	Urgency     task.Urgency
	Size        task.Resources
	Count       int // tasks of the gang that wait under this entry; 0 or 1 for a single task
	DeclaredRun time.Duration
	Deadline    time.Time // start by; zero for none
	ReviewBy    time.Time // finish by; zero for none
	KeyID       string
	Partition   string
	Home        string
	EnqueuedAt  time.Time // Push sets it to now if it is zero
}

// tier is one of the ordered parts of a team's queue.
type tier uint8

// The tiers, in the order in which they are served.
const (
	tierUrgent   tier = iota // urgent work and work whose latest start is near
	tierDeadline             // work with a deadline, the earliest first
	tierRest                 // normal and background work
	tierCount
)

// item is an Entry in its queue.
type item struct {
	Entry
	tier     tier
	at       time.Time // position in the tier
	reviewAt time.Time // when the entry moves to tierUrgent; zero for never
	sequence uint64    // order of arrival
}

// ordered is a list of items sorted by a time and then by arrival. Queues are
// bounded, so moving the tail of a slice on insertion costs less than a tree.
type ordered struct {
	items []*item
	time  func(*item) time.Time
}

func (o *ordered) insert(it *item) {
	i := o.search(it)
	o.items = append(o.items, nil)
	copy(o.items[i+1:], o.items[i:])
	o.items[i] = it
}

func (o *ordered) remove(it *item) {
	i := o.search(it)
	if i == len(o.items) || o.items[i] != it {
		return
	}
	copy(o.items[i:], o.items[i+1:])
	o.items[len(o.items)-1] = nil
	o.items = o.items[:len(o.items)-1]
}

// search returns the index of it, or the index at which it belongs.
func (o *ordered) search(it *item) int {
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

func (o *ordered) compare(a, b *item) int {
	if c := o.time(a).Compare(o.time(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (o *ordered) first() *item {
	if len(o.items) == 0 {
		return nil
	}
	return o.items[0]
}

// keep drops the items that a test refuses, in one pass.
func (o *ordered) keep(test func(*item) bool) {
	kept := o.items[:0]
	for _, it := range o.items {
		if test(it) {
			kept = append(kept, it)
		}
	}
	clear(o.items[len(kept):])
	o.items = kept
}

func byPosition(it *item) time.Time { return it.at }
func byDeadline(it *item) time.Time { return it.Deadline }
func byReview(it *item) time.Time   { return it.reviewAt }
