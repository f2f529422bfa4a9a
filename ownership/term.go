package ownership

import "time"

// LeaseAttached reports a new lease, to which the member key was attached by a write at
// the given store revision. sentAt was read before the grant was sent. The store
// term starts to apply only when every change up to that revision has been observed,
// because another process may have taken a unit over between the two leases. The
// write of the key also counts as a read (see ReadDone).
//
// The member key must be written with a compare on its last revision. Otherwise a
// delayed write under an earlier lease could replace the key, and the key would be
// deleted when that lease ends, while this process renews the later one.
func (t *Table) LeaseAttached(now, sentAt time.Time, revision int64) {
	t.expireTerms(now)
	t.attached, t.attachRevision, t.keepAliveFailed = true, revision, false
	t.keepAliveSentAt = t.termStart(now, sentAt)
	t.updateStoreTermEnd()
	t.ReadDone(now, sentAt, revision)
}

// KeepAliveDone reports a lease renewal that was sent at sentAt. An error does not
// change the term, because the lease remains valid until its TTL ends.
func (t *Table) KeepAliveDone(now, sentAt time.Time, err error) {
	t.expireTerms(now)
	t.keepAliveFailed = err != nil
	start := t.termStart(now, sentAt)
	if err != nil || !t.attached || !start.After(t.keepAliveSentAt) {
		return
	}
	t.keepAliveSentAt = start
	t.updateStoreTermEnd()
}

// LeaseLost reports that the lease is gone, or that this process is about to
// revoke it. The store term ends at once; a promise term continues.
func (t *Table) LeaseLost(now time.Time) {
	t.attached, t.keepAliveFailed = false, true
	t.updateStoreTermEnd()
	t.expireTerms(now)
}

// ReadDone reports a linearizable read of the store that was sent at sentAt and
// returned the given revision. Units that were lost before sentAt can be held again
// once every change up to that revision has been observed.
func (t *Table) ReadDone(now, sentAt time.Time, revision int64) {
	t.expireTerms(now)
	for _, u := range t.units {
		if u.needsRead && !sentAt.Before(u.lostAt) {
			u.needsRead, u.readRevision = false, revision
		}
	}
}

// termStart returns the time from which a term counts: before the request was sent,
// because the store or the successor may have started its own count at any moment
// between the request and the reply.
func (t *Table) termStart(now, sentAt time.Time) time.Time {
	if t.seededFaults.termFromReply {
		return now
	}
	return sentAt
}

func (t *Table) holderTerm(d time.Duration) time.Duration {
	if t.seededFaults.ignoreClockError {
		return d
	}
	return t.cfg.minusClockError(d)
}

func (t *Table) takeoverWait(d time.Duration) time.Duration {
	if t.seededFaults.ignoreClockError {
		return d
	}
	return t.cfg.plusClockError(d)
}

func (t *Table) updateStoreTermEnd() {
	t.storeTermEnd = time.Time{}
	observed := t.observedRevision >= t.attachRevision || t.seededFaults.useStaleRecord
	if t.attached && observed {
		t.storeTermEnd = t.keepAliveSentAt.Add(t.holderTerm(t.cfg.LeaseTTL))
	}
}

// hasStoreContact reports whether this process is within its store term and its last
// keepalive succeeded. Only then are its observations recent and its writes likely
// to succeed.
func (t *Table) hasStoreContact(now time.Time) bool {
	return !t.keepAliveFailed && now.Before(t.storeTermEnd)
}

// expireTerms marks every held unit whose term has ended as lost. Every call that could
// extend a term runs it first, so that a process that resumes from a pause reports the
// loss even if the extension arrives before the next Tick.
func (t *Table) expireTerms(now time.Time) {
	for _, u := range t.units {
		if u.held && !now.Before(t.termEnd(u)) {
			t.markLost(now, u, ReasonTermEnded)
		}
	}
}

func (t *Table) markLost(now time.Time, u *unit, reason Reason) {
	u.held = false
	u.lostAt, u.needsRead = now, true
	t.queuedActions = append(t.queuedActions, Lost{Unit: u.name, Epoch: u.record.Epoch, Reason: reason})
}

// gainIfVerified marks the unit as held if the record names this process, the store term
// has not ended, the record was read after the last loss, and no handover is pending.
// Units are gained only within a store term; a promise term only extends the time for
// which a unit is held.
func (t *Table) gainIfVerified(now time.Time, u *unit) {
	if u.held || !t.ownsRecord(u) || !now.Before(t.storeTermEnd) {
		return
	}
	isVerified := !u.needsRead && t.observedRevision >= u.readRevision || t.seededFaults.useStaleRecord
	if !isVerified || u.isHandingOver() {
		return
	}
	u.held, u.gainedAt = true, now
	t.queuedActions = append(t.queuedActions, Gained{Unit: u.name, Epoch: u.record.Epoch, Revision: u.record.Revision})
}
