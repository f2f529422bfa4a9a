package ownership

import (
	"slices"
	"time"
)

// PromiseRequested handles an owner's request for a promise that the given incarnation
// will not take the unit over during one promise window. A process with an unresolved
// write gives no promise, because that write may take effect at any later time.
func (t *Table) PromiseRequested(now time.Time, name, owner string, epoch uint64, successor string) (granted bool) {
	u := t.byName[name]
	if u == nil || successor != t.self.Incarnation && !t.seededFaults.ignoreIncarnation {
		return false
	}
	if u.isUnresolved() && !t.seededFaults.promiseWhileUnresolved {
		return false
	}
	superseded := u.record.Epoch > epoch || u.record.Epoch == epoch && u.record.Owner != owner
	if superseded {
		return false
	}
	if t.shouldRefusePromise(now, u, owner) {
		return false
	}
	u.promised, u.promisedAt = true, now
	return true
}

// shouldRefusePromise reports whether this process is in contact with the store and the
// member key of the recorded owner has been absent from it for longer than
// absenceGracePeriod. The refusal allows this process, which can reach the store, to take
// over from an owner that cannot.
func (t *Table) shouldRefusePromise(now time.Time, u *unit, owner string) bool {
	return t.hasStoreContact(now) && u.record.Owner == owner &&
		t.absentDuration(now, u.record.OwnerInstance) > t.cfg.absenceGracePeriod()
}

// PromiseReplied handles the reply of a successor to a request that was sent at
// sentAt. A refusal has no effect: an earlier promise remains valid until it lapses.
func (t *Table) PromiseReplied(now, sentAt time.Time, name string, from Successor, granted bool) {
	t.expireTerms(now)
	u := t.byName[name]
	if u == nil || !granted {
		return
	}
	if t.seededFaults.ignoreIncarnation {
		from.Incarnation = ""
	}
	start := t.termStart(now, sentAt)
	if start.After(u.receivedPromises[from]) {
		u.receivedPromises[from] = start
		t.pruneLapsedPromises(now, u)
		t.updatePromiseTermEnd(u)
	}
}

// pruneLapsedPromises deletes lapsed promises. Otherwise those of former incarnations
// would accumulate.
func (t *Table) pruneLapsedPromises(now time.Time, u *unit) {
	for from, sentAt := range u.receivedPromises {
		if now.Sub(sentAt) > t.cfg.PromiseWindow {
			delete(u.receivedPromises, from)
		}
	}
}

// requiredPromises returns the successors whose promises a promise term requires: all
// processes that could take over according to the record in the store, which is the
// known record or that of an unresolved write. It returns none if the successor list of
// either record is empty: then any member may take over as soon as the lease has ended,
// and no promise prevents that.
func (t *Table) requiredPromises(u *unit) []Successor {
	required := u.record.Successors
	if !u.isUnresolved() || t.seededFaults.requireOnlyRecorded {
		return required
	}
	proposed := u.pending.record.Successors
	if len(required) == 0 || len(proposed) == 0 {
		return nil
	}
	required = slices.Clone(required)
	for _, s := range proposed {
		if !slices.Contains(required, s) {
			required = append(required, s)
		}
	}
	return required
}

// updatePromiseTermEnd computes the end of the promise term: the earliest end of all
// required promises, or the zero time if one is missing or none are required.
func (t *Table) updatePromiseTermEnd(u *unit) {
	u.promiseTermEnd = time.Time{}
	if !t.ownsRecord(u) {
		return
	}
	required := t.requiredPromises(u)
	if len(required) == 0 && t.seededFaults.emptyListCountsAsPromise {
		u.promiseTermEnd = t.startedAt.Add(1 << 62)
	}
	for i, s := range required {
		if t.seededFaults.ignoreIncarnation {
			s.Incarnation = ""
		}
		sentAt, ok := u.receivedPromises[s]
		if !ok {
			u.promiseTermEnd = time.Time{}
			return
		}
		end := sentAt.Add(t.holderTerm(t.cfg.PromiseWindow))
		if i == 0 || end.Before(u.promiseTermEnd) {
			u.promiseTermEnd = end
		}
	}
}

// requestPromises requests promises while the lease is lost or its last renewal failed or
// is stale. In normal operation the store term is sufficient and no message is sent.
func (t *Table) requestPromises(now time.Time, u *unit) {
	atRisk := !t.attached || t.keepAliveFailed || now.Sub(t.keepAliveSentAt) > t.cfg.keepAliveStaleAfter()
	if !u.held || !atRisk || now.Sub(u.promisesRequestedAt) < t.cfg.PromiseWindow/4 {
		return
	}
	required := t.requiredPromises(u)
	if len(required) == 0 {
		return
	}
	u.promisesRequestedAt = now
	t.queuedActions = append(t.queuedActions, RequestPromises{
		Unit: u.name, Owner: t.self.Incarnation, Epoch: u.record.Epoch, Successors: slices.Clone(required),
	})
}

// ownPromiseLapsed reports whether no owner can still rely on a promise that this
// process gave for the unit.
func (t *Table) ownPromiseLapsed(now time.Time, u *unit) bool {
	if !u.promised || t.seededFaults.skipPromiseWindowWait {
		return true
	}
	return now.Sub(u.promisedAt) >= t.takeoverWait(t.cfg.PromiseWindow)
}
