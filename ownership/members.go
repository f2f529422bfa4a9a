package ownership

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// ObserveMembers applies a complete list of members. If fromStore is true, it is
// the list of member keys in the store. Otherwise it is the platform's instance
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
	t.membersObserved = true
}

func (t *Table) observeInstanceList(now time.Time, members []membership.Member) {
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Instance] = true
		delete(t.unlistedSince, m.Instance)
	}
	for instance := range t.listed {
		if !listed[instance] {
			t.markUnlisted(now, instance)
		}
	}
	for _, u := range t.units {
		t.markRecordUnlisted(now, u.record, listed)
	}
	t.listed, t.listReadAt = listed, now
}

// markRecordUnlisted marks the instances named in a record that are missing from the
// list. Some of them were in no list that this process has read, because they were gone
// before it started; their absence counts from now.
func (t *Table) markRecordUnlisted(now time.Time, r Record, listed map[string]bool) {
	if r.Revision == 0 {
		return
	}
	if !listed[r.OwnerInstance] {
		t.markUnlisted(now, r.OwnerInstance)
	}
	for _, s := range r.Successors {
		if !listed[s.Instance] {
			t.markUnlisted(now, s.Instance)
		}
	}
}

func (t *Table) markUnlisted(now time.Time, instance string) {
	if _, marked := t.unlistedSince[instance]; !marked {
		t.unlistedSince[instance] = now
	}
}

// isPresent reports whether the store has a member key of exactly this incarnation.
func (t *Table) isPresent(s Successor) bool {
	m, ok := t.members[s.Instance]
	return ok && m.Incarnation == s.Incarnation
}

// isAbsent reports whether the store has no member key of the instance.
func (t *Table) isAbsent(instance string) bool {
	_, present := t.members[instance]
	return t.membersObserved && !present
}

// absentDuration returns how long the store has had no member key of the instance. For
// an instance that was never observed, it returns the uptime of this process.
func (t *Table) absentDuration(now time.Time, instance string) time.Duration {
	if !t.isAbsent(instance) {
		return 0
	}
	if at, ok := t.absentSince[instance]; ok {
		return now.Sub(at)
	}
	return now.Sub(t.startedAt)
}

// isUnlistedFor reports whether the instance was missing from every instance list
// read during at least d up to the latest one.
func (t *Table) isUnlistedFor(instance string, d time.Duration) bool {
	since, gone := t.unlistedSince[instance]
	return gone && t.listReadAt.Sub(since) >= d
}
