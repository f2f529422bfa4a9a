package ownership

import "time"

// Attached reports a new lease under which the member key was written at the
// given store revision. sentAt was read before the grant was sent. The store
// term counts for units only when everything up to that revision has been
// observed: between two leases another process may have taken a unit over. The
// write of the key also counts as a read (see ReadDone).
//
// The member key must be written with a compare on its last revision. A delayed
// write of an earlier lease could otherwise replace the key and take it away
// when that lease ends, while this process renews the later one.
func (t *Table) Attached(now, sentAt time.Time, revision int64) {
	t.expire(now)
	t.attached, t.attachRevision, t.storeFailing = true, revision, false
	t.storeSent = t.termStart(now, sentAt)
	t.updateStoreEnd()
	t.ReadDone(now, sentAt, revision)
}

// KeepAliveDone reports a renewal of the lease that was sent at sentAt. An
// error leaves the term as it is, since the lease lives on until its TTL ends.
func (t *Table) KeepAliveDone(now, sentAt time.Time, err error) {
	t.expire(now)
	t.storeFailing = err != nil
	start := t.termStart(now, sentAt)
	if err != nil || !t.attached || !start.After(t.storeSent) {
		return
	}
	t.storeSent = start
	t.updateStoreEnd()
}

// StoreLost reports that the lease is gone, or that this process is about to
// revoke it. The store term ends at once; a promise term continues.
func (t *Table) StoreLost(now time.Time) {
	t.attached, t.storeFailing = false, true
	t.updateStoreEnd()
	t.expire(now)
}

// ReadDone reports a linearizable read of the store that was sent at sentAt and
// returned the given revision. Units that were lost before sentAt can be held
// again when everything up to that revision has been observed.
func (t *Table) ReadDone(now, sentAt time.Time, revision int64) {
	t.expire(now)
	for _, u := range t.units {
		if u.needsRead && !sentAt.Before(u.lostAt) {
			u.needsRead, u.needRevision = false, revision
		}
	}
}

// termStart counts terms from before the send, because the store or the
// successor may have counted from any moment between the send and the reply.
func (t *Table) termStart(now, sentAt time.Time) time.Time {
	if t.faults.termFromReply {
		return now
	}
	return sentAt
}

func (t *Table) termOf(d time.Duration) time.Duration {
	if t.faults.noDriftMargin {
		return d
	}
	return t.cfg.shorten(d)
}

func (t *Table) waitOf(d time.Duration) time.Duration {
	if t.faults.noDriftMargin {
		return d
	}
	return t.cfg.lengthen(d)
}

func (t *Table) updateStoreEnd() {
	t.storeEnd = time.Time{}
	observed := t.seen >= t.attachRevision || t.faults.trustOldRecord
	if t.attached && observed {
		t.storeEnd = t.storeSent.Add(t.termOf(t.cfg.LeaseTTL))
	}
}

// hasContact reports whether this process is within its store term, so that
// what it observed is recent and its writes have a chance.
func (t *Table) hasContact(now time.Time) bool {
	return !t.storeFailing && now.Before(t.storeEnd)
}

// expire loses every unit whose term has ended. Every call that could extend a
// term runs it first, so that a process that resumes from a pause reports the
// loss even if the extension arrives before the next Tick.
func (t *Table) expire(now time.Time) {
	for _, u := range t.units {
		if u.held && !now.Before(t.termEnd(u)) {
			t.lose(now, u, ReasonTermEnded)
		}
	}
}

func (t *Table) lose(now time.Time, u *unit, reason Reason) {
	u.held = false
	u.lostAt, u.needsRead = now, true
	t.queued = append(t.queued, Lost{Unit: u.name, Epoch: u.record.Epoch, Reason: reason})
}

// gain reports the unit as held if the record names this process, the store
// term runs, and the record was read after the last loss. A promise term alone
// extends what is held but gains nothing.
func (t *Table) gain(now time.Time, u *unit) {
	if u.held || !t.ownsRecord(u) || !now.Before(t.storeEnd) {
		return
	}
	isVerified := !u.needsRead && t.seen >= u.needRevision || t.faults.trustOldRecord
	if !isVerified || u.handingOver() {
		return
	}
	u.held, u.gainedAt = true, now
	t.queued = append(t.queued, Gained{Unit: u.name, Epoch: u.record.Epoch, Revision: u.record.Revision})
}
