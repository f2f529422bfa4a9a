package ownership

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// successorCount is the number of successors in a record.
const successorCount = 2

// Tick returns the actions that are due at time now. The caller must call it after every
// other call and at least every 100 ms, and must apply Lost before it sends anything
// else.
func (t *Table) Tick(now time.Time) []Action {
	t.expireTerms(now)
	for _, u := range t.units {
		t.gainIfVerified(now, u)
		t.requestPromises(now, u)
		t.decide(now, u)
	}
	actions := t.queuedActions
	t.queuedActions = nil
	return actions
}

// decide starts at most one write for the unit.
func (t *Table) decide(now time.Time, u *unit) {
	if u.pending != nil {
		t.retry(now, u)
		return
	}
	if !t.hasStoreContact(now) || !t.membersObserved || now.Before(u.retryAt) {
		return
	}
	if t.ownsRecord(u) {
		t.decideAsOwner(now, u)
		return
	}
	t.decideAsNonOwner(now, u)
}

func (t *Table) decideAsOwner(now time.Time, u *unit) {
	if u.releasing {
		t.continueRelease(now, u)
		return
	}
	if t.moveToPreferred(now, u) {
		return
	}
	successors := t.updatedSuccessors(now, u)
	if slices.Equal(successors, u.record.Successors) {
		return
	}
	r := u.record
	r.Successors = successors
	t.startWrite(u, r, nil, ReasonSuccessors)
}

// SetHandoverEligible records whether the instance last reported contact with the
// store. An instance without contact is not a handover destination, because it
// could not serve the units. Instances without a report count as having contact.
func (t *Table) SetHandoverEligible(instance string, hasContact bool) {
	if hasContact {
		delete(t.noStoreContact, instance)
	} else {
		t.noStoreContact[instance] = true
	}
}

// Release requests a handover to the first successor that is live, not draining
// and in contact with the store, or else to the preferred other member in contact
// with the store. Without such a member this process keeps the unit.
func (t *Table) Release(now time.Time, name string) {
	u := t.byName[name]
	if u == nil || !t.ownsRecord(u) {
		return
	}
	u.releasing = true
}

// continueRelease starts the handover that Release requested, once a destination exists.
func (t *Table) continueRelease(now time.Time, u *unit) {
	for _, s := range u.record.Successors {
		if t.isPresent(s) && !t.members[s.Instance].Draining && !t.noStoreContact[s.Instance] {
			t.handOver(now, u, t.members[s.Instance], ReasonRelease)
			return
		}
	}
	others := slices.DeleteFunc(slices.Clone(t.memberList), func(m membership.Member) bool {
		return m.Instance == t.self.Instance || t.noStoreContact[m.Instance]
	})
	if m, ok := membership.Preferred(u.name, others); ok {
		t.handOver(now, u, m, ReasonRelease)
	}
}

// moveToPreferred hands the unit over to its preferred member once that member has been
// live, and the unit held, for MoveDelay. Without the delay a member that restarts
// repeatedly, or an owner that has just taken over, would cause units to move back
// and forth, and after each move the next owner must rebuild its state.
func (t *Table) moveToPreferred(now time.Time, u *unit) bool {
	if now.Sub(t.lastMoveAt) < t.cfg.MoveInterval || !u.held || now.Sub(u.gainedAt) < t.cfg.MoveDelay {
		return false
	}
	m, ok := membership.Preferred(u.name, t.memberList)
	if !ok || m.Instance == t.self.Instance {
		return false
	}
	if t.noStoreContact[m.Instance] || now.Sub(t.memberSince[m.Incarnation]) < t.cfg.MoveDelay {
		return false
	}
	t.lastMoveAt = now
	t.handOver(now, u, m, ReasonMove)
	return true
}

// handOver writes another owner into the record. This process stops acting for the
// unit before the write is sent, because the write may take effect at any later time.
func (t *Table) handOver(now time.Time, u *unit, to membership.Member, reason Reason) {
	if u.held && !t.seededFaults.holdDuringHandover {
		t.markLost(now, u, reason)
	}
	r := t.recordFor(u, to)
	t.startWrite(u, r, nil, reason)
}

// recordFor returns the record that makes the member the next owner.
func (t *Table) recordFor(u *unit, owner membership.Member) Record {
	r := Record{Unit: u.name, Owner: owner.Incarnation, OwnerInstance: owner.Instance, Epoch: u.record.Epoch + 1}
	for _, m := range membership.Successors(owner, u.name, t.memberList, successorCount) {
		r.Successors = append(r.Successors, successorOf(m))
	}
	return r
}

// updatedSuccessors returns the recorded successors that are still suitable, in their
// order, followed by others up to successorCount. A member key that is missing for a
// short time does not change the list: after an outage of the store all keys are missing
// until the processes have new leases.
func (t *Table) updatedSuccessors(now time.Time, u *unit) []Successor {
	var kept []Successor
	for _, s := range u.record.Successors {
		if t.isSuitableSuccessor(now, s) {
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

// isSuitableSuccessor reports whether the successor stays in the list. It stays if its
// member key has been absent for no longer than absenceGracePeriod, or if its instance
// is not the owner's, is live under the recorded incarnation, is not draining, and is in
// the owner's region unless that region has too few members.
func (t *Table) isSuitableSuccessor(now time.Time, s Successor) bool {
	m, ok := t.members[s.Instance]
	if !ok {
		return t.absentDuration(now, s.Instance) <= t.cfg.absenceGracePeriod()
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
