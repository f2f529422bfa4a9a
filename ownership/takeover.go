package ownership

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// Force records an operator's statement that the owner and the successors of
// the unit are gone, and returns when this process will take over. It refuses
// while the store shows one of them, and it is void as soon as one comes back.
// The wait is the same as for instances that the instance list shows as gone.
func (t *Table) Force(now time.Time, name string) (at time.Time, ok bool) {
	u := t.byName[name]
	if u == nil || u.record.Revision == 0 || !t.allAbsent(u.record) {
		return time.Time{}, false
	}
	if !u.forced {
		u.forced, u.forcedAt = true, now
	}
	return u.forcedAt.Add(t.allGoneWait()), true
}

// allGoneWait is the time after which an owner that is gone, and a successor
// that is gone, can have neither a term nor a promise left.
func (t *Table) allGoneWait() time.Duration {
	return t.waitOf(t.cfg.ListLag + t.cfg.PromiseWindow + t.cfg.LeaseTTL)
}

// named returns the instances of the owner and the successors.
func (r Record) named() []string {
	instances := []string{r.OwnerInstance}
	for _, s := range r.Successors {
		instances = append(instances, s.Instance)
	}
	return instances
}

// allAbsent reports whether the store shows neither the owner nor a successor.
func (t *Table) allAbsent(r Record) bool {
	return !slices.ContainsFunc(r.named(), func(i string) bool { return !t.isAbsent(i) })
}

// decideAsOther claims a unit without a record or takes one over.
func (t *Table) decideAsOther(now time.Time, u *unit) {
	reason, guards := t.takeoverReason(now, u)
	if reason == "" {
		return
	}
	if t.faults.noMemberGuard {
		guards = nil
	}
	t.write(u, t.recordFor(u, t.self), guards, reason)
}

// takeoverReason returns why this process may take the unit over now, or "",
// and the instances whose member keys must be absent when the write takes
// effect. The compare of these keys is what makes the owner's store term safe:
// the watch on which this decision rests may be behind by any time.
func (t *Table) takeoverReason(now time.Time, u *unit) (Reason, []string) {
	r := u.record
	if r.Revision == 0 {
		return t.claimReason(now, u), nil
	}
	if !t.promiseLapsed(now, u) {
		return "", nil
	}
	if r.OwnerInstance == t.self.Instance {
		return t.afterStart(now, t.cfg.LeaseTTL, ReasonRestart), nil
	}
	if !t.isAbsent(r.OwnerInstance) {
		return "", nil
	}
	if len(r.Successors) == 0 && t.isPreferred(u) {
		return ReasonTakeover, []string{r.OwnerInstance}
	}
	if reason := t.successorReason(now, r); reason != "" {
		return reason, []string{r.OwnerInstance}
	}
	return t.allGoneReason(now, u)
}

func (t *Table) claimReason(now time.Time, u *unit) Reason {
	if t.seen == 0 || !t.isPreferred(u) {
		return ""
	}
	return t.afterStart(now, t.cfg.ClaimDelay, ReasonClaim)
}

// successorReason covers a named successor and a new incarnation on its
// instance. The latter waits until every promise of the former has lapsed.
func (t *Table) successorReason(now time.Time, r Record) Reason {
	for i, s := range r.Successors {
		if s.Instance != t.self.Instance {
			continue
		}
		if t.absentFor(now, r.OwnerInstance) < time.Duration(i)*t.cfg.Stagger {
			return ""
		}
		if s.Incarnation == t.self.Incarnation {
			return ReasonTakeover
		}
		return t.afterStart(now, t.cfg.PromiseWindow+t.cfg.LeaseTTL, ReasonRestart)
	}
	return ""
}

// afterStart returns the reason once this process has been up for d.
func (t *Table) afterStart(now time.Time, d time.Duration, reason Reason) Reason {
	if now.Sub(t.startedAt) < t.waitOf(d) {
		return ""
	}
	return reason
}

// allGoneReason covers a record whose owner and successors are all gone.
func (t *Table) allGoneReason(now time.Time, u *unit) (Reason, []string) {
	if !t.allAbsent(u.record) {
		u.forced = false
		return "", nil
	}
	wait, instances := t.allGoneWait(), u.record.named()
	if u.forced && now.Sub(u.forcedAt) >= wait {
		return ReasonForced, instances
	}
	alive := func(i string) bool { return !t.goneFromList(i, wait) }
	if t.isPreferred(u) && !slices.ContainsFunc(instances, alive) {
		return ReasonAllGone, instances
	}
	return "", nil
}

func (t *Table) isPreferred(u *unit) bool {
	m, ok := membership.Preferred(u.name, t.memberList)
	return ok && m.Instance == t.self.Instance
}
