package ownership

import (
	"slices"
	"time"
)

// PromiseRequested answers an owner that asks the named incarnation not to take
// the unit over for one window. A process with an unresolved write never
// promises, because that write may take effect at any later time.
func (t *Table) PromiseRequested(now time.Time, name, owner string, epoch uint64, successor string) (granted bool) {
	u := t.byName[name]
	if u == nil || successor != t.self.Incarnation && !t.faults.anyIncarnation {
		return false
	}
	if u.isUnresolved() && !t.faults.promiseUnresolved {
		return false
	}
	superseded := u.record.Epoch > epoch || u.record.Epoch == epoch && u.record.Owner != owner
	if superseded {
		return false
	}
	if t.mayRefuse(now, u, owner) {
		return false
	}
	u.promised, u.promisedAt = true, now
	return true
}

// mayRefuse reports whether the store has shown the owner's member key as gone
// for longer than a renewal takes. Refusing then lets this process, which can
// reach the store, take over from an owner that cannot.
func (t *Table) mayRefuse(now time.Time, u *unit, owner string) bool {
	return t.hasContact(now) && u.record.Owner == owner &&
		t.absentFor(now, u.record.OwnerInstance) > t.cfg.absenceGrace()
}

// PromiseReplied takes the reply of a successor to a request that was sent at
// sentAt. A refusal changes nothing: an earlier promise still binds.
func (t *Table) PromiseReplied(now, sentAt time.Time, name string, from Successor, granted bool) {
	t.expire(now)
	u := t.byName[name]
	if u == nil || !granted {
		return
	}
	if t.faults.anyIncarnation {
		from.Incarnation = ""
	}
	start := t.termStart(now, sentAt)
	if start.After(u.promises[from]) {
		u.promises[from] = start
		t.forgetLapsed(now, u)
		t.updatePromiseEnd(u)
	}
}

// forgetLapsed keeps the promises of former incarnations from piling up.
func (t *Table) forgetLapsed(now time.Time, u *unit) {
	for from, sentAt := range u.promises {
		if now.Sub(sentAt) > t.cfg.PromiseWindow {
			delete(u.promises, from)
		}
	}
}

// neededPromises returns all processes that could take over according to the
// record in the store, which is the known one or one of an unresolved write.
// It returns nothing if one of these lists is empty: then any member may take
// over as soon as the lease has ended, and no promise excludes that.
func (t *Table) neededPromises(u *unit) []Successor {
	needed := u.record.Successors
	if !u.isUnresolved() || t.faults.recordedOnly {
		return needed
	}
	proposed := u.pending.record.Successors
	if len(needed) == 0 || len(proposed) == 0 {
		return nil
	}
	needed = slices.Clone(needed)
	for _, s := range proposed {
		if !slices.Contains(needed, s) {
			needed = append(needed, s)
		}
	}
	return needed
}

// updatePromiseEnd computes the end of the promise term: the earliest end of
// the promises of all processes that could take over.
func (t *Table) updatePromiseEnd(u *unit) {
	u.promiseEnd = time.Time{}
	if !t.ownsRecord(u) {
		return
	}
	needed := t.neededPromises(u)
	if len(needed) == 0 && t.faults.emptyListPromises {
		u.promiseEnd = t.startedAt.Add(1 << 62)
	}
	for i, s := range needed {
		if t.faults.anyIncarnation {
			s.Incarnation = ""
		}
		sentAt, ok := u.promises[s]
		if !ok {
			u.promiseEnd = time.Time{}
			return
		}
		end := sentAt.Add(t.termOf(t.cfg.PromiseWindow))
		if i == 0 || end.Before(u.promiseEnd) {
			u.promiseEnd = end
		}
	}
}

// askPromises requests promises while the store term is at risk. In ordinary
// operation the store term alone is enough and no message is sent.
func (t *Table) askPromises(now time.Time, u *unit) {
	atRisk := !t.attached || t.storeFailing || now.Sub(t.storeSent) > t.cfg.askAfter()
	if !u.held || !atRisk || now.Sub(u.askedAt) < t.cfg.PromiseWindow/4 {
		return
	}
	needed := t.neededPromises(u)
	if len(needed) == 0 {
		return
	}
	u.askedAt = now
	t.queued = append(t.queued, AskPromise{
		Unit: u.name, Owner: t.self.Incarnation, Epoch: u.record.Epoch, Successors: slices.Clone(needed),
	})
}

// promiseLapsed reports whether no owner can still rely on a promise of this
// process.
func (t *Table) promiseLapsed(now time.Time, u *unit) bool {
	if !u.promised || t.faults.skipWindowWait {
		return true
	}
	return now.Sub(u.promisedAt) >= t.waitOf(t.cfg.PromiseWindow)
}
