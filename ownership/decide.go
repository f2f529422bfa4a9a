package ownership

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// successorCount is how many successors an owner names.
const successorCount = 2

// Tick returns what is to be done and to be known at time now. It is called
// after every other call and at least every 100 ms; the caller must apply Lost
// before it sends anything else.
func (t *Table) Tick(now time.Time) []Action {
	t.expire(now)
	for _, u := range t.units {
		t.gain(now, u)
		t.askPromises(now, u)
		t.decide(now, u)
	}
	actions := t.queued
	t.queued = nil
	return actions
}

// decide starts at most one write for the unit.
func (t *Table) decide(now time.Time, u *unit) {
	if u.pending != nil {
		t.retry(now, u)
		return
	}
	if !t.hasContact(now) || !t.membersKnown || now.Before(u.retryAt) {
		return
	}
	if t.ownsRecord(u) {
		t.decideAsOwner(now, u)
		return
	}
	t.decideAsOther(now, u)
}

func (t *Table) decideAsOwner(now time.Time, u *unit) {
	if u.releasing {
		t.release(now, u)
		return
	}
	if t.decideMove(now, u) {
		return
	}
	successors := t.renewedSuccessors(now, u)
	if slices.Equal(successors, u.record.Successors) {
		return
	}
	r := u.record
	r.Successors = successors
	t.write(u, r, nil, ReasonSuccessors)
}

// ObserveContact notes whether an instance said last that it reaches the store.
// An instance that does not would get units by a handover and could not serve
// them, so it is given none. Instances of which nothing is known count as fit.
func (t *Table) ObserveContact(instance string, hasContact bool) {
	if hasContact {
		delete(t.noContact, instance)
	} else {
		t.noContact[instance] = true
	}
}

// Release asks for a handover to the first successor that is live, not draining
// and in contact with the store. Without any such member the unit is kept.
func (t *Table) Release(now time.Time, name string) {
	u := t.byName[name]
	if u == nil || !t.ownsRecord(u) {
		return
	}
	u.releasing = true
}

func (t *Table) release(now time.Time, u *unit) {
	for _, s := range u.record.Successors {
		if t.isPresent(s) && !t.members[s.Instance].Draining && !t.noContact[s.Instance] {
			t.handOver(now, u, t.members[s.Instance], ReasonRelease)
			return
		}
	}
	others := slices.DeleteFunc(slices.Clone(t.memberList), func(m membership.Member) bool {
		return m.Instance == t.self.Instance || t.noContact[m.Instance]
	})
	if m, ok := membership.Preferred(u.name, others); ok {
		t.handOver(now, u, m, ReasonRelease)
	}
}

// decideMove hands the unit over to its preferred member when that member has
// been live and the unit held for a while. Otherwise a member that restarts
// repeatedly, or an owner that has just taken over, would move units back and
// forth, and each move costs the next owner a rebuild.
func (t *Table) decideMove(now time.Time, u *unit) bool {
	if now.Sub(t.lastMove) < t.cfg.MoveInterval || !u.held || now.Sub(u.gainedAt) < t.cfg.MoveDelay {
		return false
	}
	m, ok := membership.Preferred(u.name, t.memberList)
	if !ok || m.Instance == t.self.Instance {
		return false
	}
	if t.noContact[m.Instance] || now.Sub(t.memberSince[m.Incarnation]) < t.cfg.MoveDelay {
		return false
	}
	t.lastMove = now
	t.handOver(now, u, m, ReasonMove)
	return true
}

// handOver writes another owner into the record. This process stops acting
// before the write is sent, since the write may take effect at any later time.
func (t *Table) handOver(now time.Time, u *unit, to membership.Member, reason Reason) {
	if u.held && !t.faults.holdWhileHandedOver {
		t.lose(now, u, reason)
	}
	r := t.recordFor(u, to)
	t.write(u, r, nil, reason)
}

// recordFor returns the record with which the member becomes the next owner.
func (t *Table) recordFor(u *unit, owner membership.Member) Record {
	r := Record{Unit: u.name, Owner: owner.Incarnation, OwnerInstance: owner.Instance, Epoch: u.record.Epoch + 1}
	for _, m := range membership.Successors(owner, u.name, t.memberList, successorCount) {
		r.Successors = append(r.Successors, successorOf(m))
	}
	return r
}

// renewedSuccessors keeps the successors that are still suitable, in their
// order, and fills the list up. A member key that is missing for a short time
// does not change the list: after an outage of the store all keys are missing
// until the processes have new leases.
func (t *Table) renewedSuccessors(now time.Time, u *unit) []Successor {
	var kept []Successor
	for _, s := range u.record.Successors {
		if t.isSuitable(now, s) {
			kept = append(kept, s)
		}
	}
	if len(kept) == successorCount {
		return kept
	}
	for _, m := range membership.Successors(t.self, u.name, t.memberList, successorCount+len(kept)) {
		if len(kept) == successorCount {
			break
		}
		if s := successorOf(m); !slices.Contains(kept, s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// isSuitable reports whether the successor stays in the list: it is live and
// not draining, or missing for no longer than a renewal takes, and it is in the
// owner's region unless the region offers too few members.
func (t *Table) isSuitable(now time.Time, s Successor) bool {
	m, ok := t.members[s.Instance]
	if !ok {
		return t.absentFor(now, s.Instance) <= t.cfg.absenceGrace()
	}
	if m.Incarnation != s.Incarnation || m.Draining || m.Instance == t.self.Instance {
		return false
	}
	return m.Region == t.self.Region || t.regionSize(t.self.Region) <= successorCount
}

// regionSize counts the members of the region that are not draining.
func (t *Table) regionSize(region string) int {
	n := 0
	for _, m := range t.memberList {
		if m.Region == region && !m.Draining {
			n++
		}
	}
	return n
}
