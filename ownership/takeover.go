package ownership

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// ForceTakeover records an operator's declaration that the owner and the successors of the
// unit are gone, and returns when this process will take over. It is rejected while
// the store has a member key of one of them, and it becomes void as soon as such a key
// reappears. The wait is the same as for instances that are missing from the instance list.
func (t *Table) ForceTakeover(now time.Time, name string) (at time.Time, ok bool) {
	u := t.byName[name]
	if u == nil || u.record.Revision == 0 || !t.allAbsent(u.record) {
		return time.Time{}, false
	}
	if !u.forced {
		u.forced, u.forcedAt = true, now
	}
	return u.forcedAt.Add(t.allGoneWait()), true
}

// allGoneWait returns the time after which the term of an owner that is gone and the
// promises of successors that are gone have ended.
func (t *Table) allGoneWait() time.Duration {
	return t.takeoverWait(t.cfg.ListLag + t.cfg.PromiseWindow + t.cfg.LeaseTTL)
}

// namedInstances returns the instances of the owner and the successors.
func (r Record) namedInstances() []string {
	instances := []string{r.OwnerInstance}
	for _, s := range r.Successors {
		instances = append(instances, s.Instance)
	}
	return instances
}

// allAbsent reports whether the store has no member key of the owner or a successor.
func (t *Table) allAbsent(r Record) bool {
	return !slices.ContainsFunc(r.namedInstances(), func(i string) bool { return !t.isAbsent(i) })
}

// decideAsNonOwner claims a unit without a record, or takes a unit over.
func (t *Table) decideAsNonOwner(now time.Time, u *unit) {
	reason, absentMembers := t.takeoverReason(now, u)
	if reason == "" {
		return
	}
	if t.seededFaults.skipMemberCompare {
		absentMembers = nil
	}
	t.startWrite(u, t.recordFor(u, t.self), absentMembers, reason)
}

// takeoverReason returns why this process may take the unit over now, or "", and the
// instances whose member keys must be absent when the write takes effect. The
// transaction compares these keys because the lag of the watch on which this decision
// is based is not bounded: without the compare, the owner could still be in its store
// term.
func (t *Table) takeoverReason(now time.Time, u *unit) (Reason, []string) {
	r := u.record
	if r.Revision == 0 {
		return t.claimReason(now, u), nil
	}
	if !t.ownPromiseLapsed(now, u) {
		return "", nil
	}
	if r.OwnerInstance == t.self.Instance {
		return t.reasonAfterUptime(now, t.cfg.LeaseTTL, ReasonRestart), nil
	}
	if !t.isAbsent(r.OwnerInstance) {
		return "", nil
	}
	if len(r.Successors) == 0 && t.isPreferred(u) {
		return ReasonTakeover, []string{r.OwnerInstance}
	}
	if reason := t.successorTakeoverReason(now, r); reason != "" {
		return reason, []string{r.OwnerInstance}
	}
	return t.allGoneTakeoverReason(now, u)
}

func (t *Table) claimReason(now time.Time, u *unit) Reason {
	if t.observedRevision == 0 || !t.isPreferred(u) {
		return ""
	}
	return t.reasonAfterUptime(now, t.cfg.ClaimDelay, ReasonClaim)
}

// successorTakeoverReason covers a takeover by a recorded successor or by a new
// incarnation on its instance. The new incarnation waits until every promise of the
// former one has lapsed.
func (t *Table) successorTakeoverReason(now time.Time, r Record) Reason {
	for i, s := range r.Successors {
		if s.Instance != t.self.Instance {
			continue
		}
		if t.absentDuration(now, r.OwnerInstance) < time.Duration(i)*t.cfg.Stagger {
			return ""
		}
		if s.Incarnation == t.self.Incarnation {
			return ReasonTakeover
		}
		return t.reasonAfterUptime(now, t.cfg.PromiseWindow+t.cfg.LeaseTTL, ReasonRestart)
	}
	return ""
}

// reasonAfterUptime returns the reason once this process has been up for d, plus the
// clock drift and margin, and "" before.
func (t *Table) reasonAfterUptime(now time.Time, d time.Duration, reason Reason) Reason {
	if now.Sub(t.startedAt) < t.takeoverWait(d) {
		return ""
	}
	return reason
}

// allGoneTakeoverReason covers a takeover when the owner and all successors are gone.
func (t *Table) allGoneTakeoverReason(now time.Time, u *unit) (Reason, []string) {
	if !t.allAbsent(u.record) {
		u.forced = false
		return "", nil
	}
	wait, instances := t.allGoneWait(), u.record.namedInstances()
	if u.forced && now.Sub(u.forcedAt) >= wait {
		return ReasonForced, instances
	}
	isListed := func(i string) bool { return !t.isUnlistedFor(i, wait) }
	if t.isPreferred(u) && !slices.ContainsFunc(instances, isListed) {
		return ReasonAllGone, instances
	}
	return "", nil
}

func (t *Table) isPreferred(u *unit) bool {
	m, ok := membership.Preferred(u.name, t.memberList)
	return ok && m.Instance == t.self.Instance
}
