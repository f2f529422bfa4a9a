package ownership

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// ObserveMembers takes the complete list of members. With fromStore it is the
// list of member keys in the store; otherwise it is the platform's instance
// list, of which only the instance names are used.
func (t *Table) ObserveMembers(now time.Time, members []membership.Member, fromStore bool) {
	if fromStore {
		t.observeStoreMembers(now, members)
		return
	}
	t.observeInstanceList(now, members)
}

func (t *Table) observeStoreMembers(now time.Time, members []membership.Member) {
	previous := t.members
	t.members = make(map[string]membership.Member, len(members))
	since := make(map[string]time.Time, len(members))
	for _, m := range members {
		t.members[m.Instance] = m
		since[m.Incarnation] = now
		if at, ok := t.memberSince[m.Incarnation]; ok {
			since[m.Incarnation] = at
		}
		delete(t.absentSince, m.Instance)
	}
	for instance := range previous {
		if _, present := t.members[instance]; !present {
			t.absentSince[instance] = now
		}
	}
	t.memberSince = since
	t.memberList = slices.Clone(members)
	t.membersKnown = true
}

func (t *Table) observeInstanceList(now time.Time, members []membership.Member) {
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Instance] = true
		delete(t.listGone, m.Instance)
	}
	for instance := range t.listed {
		if !listed[instance] {
			t.markListGone(now, instance)
		}
	}
	for _, u := range t.units {
		t.markRecordGone(now, u.record, listed)
	}
	t.listed, t.listAt = listed, now
}

// markRecordGone starts the absence of instances that the list has never shown
// to this process, because they were gone before it started.
func (t *Table) markRecordGone(now time.Time, r Record, listed map[string]bool) {
	if r.Revision == 0 {
		return
	}
	if !listed[r.OwnerInstance] {
		t.markListGone(now, r.OwnerInstance)
	}
	for _, s := range r.Successors {
		if !listed[s.Instance] {
			t.markListGone(now, s.Instance)
		}
	}
}

func (t *Table) markListGone(now time.Time, instance string) {
	if _, known := t.listGone[instance]; !known {
		t.listGone[instance] = now
	}
}

// isPresent reports whether the store shows exactly this incarnation.
func (t *Table) isPresent(s Successor) bool {
	m, ok := t.members[s.Instance]
	return ok && m.Incarnation == s.Incarnation
}

// isAbsent reports whether the store shows no incarnation of the instance.
func (t *Table) isAbsent(instance string) bool {
	_, present := t.members[instance]
	return t.membersKnown && !present
}

// absentFor returns for how long the store has shown no member key of the
// instance. An instance that was never observed counts from the start of this
// process.
func (t *Table) absentFor(now time.Time, instance string) time.Duration {
	if !t.isAbsent(instance) {
		return 0
	}
	if at, ok := t.absentSince[instance]; ok {
		return now.Sub(at)
	}
	return now.Sub(t.startedAt)
}

// goneFromList reports whether the instance list has shown the instance as gone
// for at least d, at every reading in that time.
func (t *Table) goneFromList(instance string, d time.Duration) bool {
	since, gone := t.listGone[instance]
	return gone && t.listAt.Sub(since) >= d
}
