package ownership

import "time"

// pendingWrite is a write that has no definite outcome yet. A unit has at most one.
type pendingWrite struct {
	record           Record   // content that may take effect
	expectedRevision int64    // revision of the record that the transaction compares
	absentMembers    []string // instances whose member keys must be absent
	reason           Reason
	inFlight         bool   // an attempt was queued and WriteDone not yet called
	indeterminate    bool   // the outcome of an attempt is not known, so it may still take effect
	superseded       bool   // a newer revision was observed: no attempt can take effect any more
	fence            bool   // attempts rewrite the known record instead of writing this one
	lastAttempt      Record // content of the last attempt
}

// isUnresolved reports whether a write of this process may still take effect.
func (u *unit) isUnresolved() bool { return u.pending != nil && !u.pending.superseded }

// isHandingOver reports whether an unresolved write of this process names another
// owner.
func (u *unit) isHandingOver() bool {
	return u.isUnresolved() && u.pending.record.Owner != u.record.Owner
}

// supersedePending marks the pending write as superseded, because the record has a newer
// revision than the expected one. A write in flight is kept until its WriteDone, so that
// its completion is not mistaken for that of a later write.
func (u *unit) supersedePending() {
	u.pending.superseded = true
	if !u.pending.inFlight {
		u.pending = nil
	}
}

// startWrite starts a write of the unit's record.
func (t *Table) startWrite(u *unit, r Record, absentMembers []string, reason Reason) {
	r.Revision = 0
	u.pending = &pendingWrite{record: r, expectedRevision: u.record.Revision, absentMembers: absentMembers, reason: reason}
	t.queueAttempt(u)
	t.updatePromiseTermEnd(u)
}

// queueAttempt queues one attempt of the pending write.
func (t *Table) queueAttempt(u *unit) {
	p := u.pending
	w := Write{Record: p.record, ExpectedRevision: p.expectedRevision, AbsentMembers: p.absentMembers, Reason: p.reason}
	if p.fence {
		w = Write{Record: u.record, ExpectedRevision: p.expectedRevision, Reason: ReasonFence}
		w.Record.Revision = 0
	}
	p.inFlight, p.lastAttempt = true, w.Record
	t.queuedActions = append(t.queuedActions, w)
}

// retry repeats an indeterminate write until an attempt has a definite outcome or a
// newer revision is observed. The repeated write has the same content or that of the
// known record, so at any time the stored record has one of at most two contents.
func (t *Table) retry(now time.Time, u *unit) {
	if u.pending.inFlight || now.Before(u.retryAt) || !t.hasStoreContact(now) {
		return
	}
	t.queueAttempt(u)
}

// WriteDone reports the outcome of the unit's write in flight.
func (t *Table) WriteDone(now time.Time, name string, result WriteResult) {
	t.expireTerms(now)
	u := t.byName[name]
	if u == nil || u.pending == nil || !u.pending.inFlight {
		return
	}
	p := u.pending
	p.inFlight = false
	u.retryAt = now.Add(t.cfg.RetryInterval)
	if p.superseded {
		u.pending = nil
	}
	switch result.Outcome {
	case Succeeded:
		t.writeSucceeded(now, u, p, result.Revision)
	case Conflict:
		t.writeConflicted(now, u, p, result.Current)
	case Unclear:
		p.indeterminate = true
	case NoEffect:
		t.handleNoEffect(u, p)
	}
	t.updatePromiseTermEnd(u)
}

func (t *Table) writeSucceeded(now time.Time, u *unit, p *pendingWrite, revision int64) {
	r := p.lastAttempt
	r.Revision = revision
	u.retryAt = time.Time{}
	u.pending = nil
	t.ObserveRecord(now, r)
}

// writeConflicted handles a failed compare. If the record is still at the expected
// revision, the compare failed only because a member key was present. An earlier
// indeterminate attempt could succeed once that key is deleted, so it must be fenced.
func (t *Table) writeConflicted(now time.Time, u *unit, p *pendingWrite, current *Record) {
	if current != nil {
		t.ObserveRecord(now, *current)
	}
	t.handleNoEffect(u, p)
}

// handleNoEffect drops a write whose last attempt had no effect. If an earlier attempt
// is indeterminate, the write is kept; it is fenced if it compares member keys and the
// unit has a record.
func (t *Table) handleNoEffect(u *unit, p *pendingWrite) {
	if u.pending == nil {
		return
	}
	if !p.indeterminate {
		u.pending = nil
		return
	}
	p.fence = len(p.absentMembers) > 0 && p.expectedRevision > 0
}
