package ownership

import "time"

// pendingWrite is the one write of a unit that has no definite outcome yet.
type pendingWrite struct {
	record        Record   // content that may take effect
	expect        int64    // compared revision of the record
	guards        []string // instances whose member keys must be absent
	reason        Reason
	inFlight      bool   // an attempt was queued and WriteDone not yet called
	indeterminate bool   // some attempt may still take effect
	superseded    bool   // a newer revision was observed: no attempt can take effect any more
	fence         bool   // attempts rewrite the known record instead of writing this one
	lastAttempt   Record // content of the last attempt
}

// isUnresolved reports whether some write of this process may still take effect.
func (u *unit) isUnresolved() bool { return u.pending != nil && !u.pending.superseded }

// isHandingOver reports whether an unresolved write of this process names another
// owner.
func (u *unit) isHandingOver() bool {
	return u.isUnresolved() && u.pending.record.Owner != u.record.Owner
}

// supersedePending marks the pending write as superseded, because the record has
// passed the compared revision. A write in flight is kept until its WriteDone, so
// that its completion is not mistaken for that of a later write.
func (u *unit) supersedePending() {
	u.pending.superseded = true
	if !u.pending.inFlight {
		u.pending = nil
	}
}

// write starts a write of the unit's record.
func (t *Table) write(u *unit, r Record, guards []string, reason Reason) {
	r.Revision = 0
	u.pending = &pendingWrite{record: r, expect: u.record.Revision, guards: guards, reason: reason}
	t.send(u)
	t.updatePromiseTermEnd(u)
}

// send queues one attempt of the pending write.
func (t *Table) send(u *unit) {
	p := u.pending
	w := Write{Record: p.record, Expect: p.expect, AbsentMembers: p.guards, Reason: p.reason}
	if p.fence {
		w = Write{Record: u.record, Expect: p.expect, Reason: ReasonFence}
		w.Record.Revision = 0
	}
	p.inFlight, p.lastAttempt = true, w.Record
	t.queuedActions = append(t.queuedActions, w)
}

// retry repeats an indeterminate write until an attempt has a definite outcome or a
// newer revision is observed. The repeated write has the same content or that of the
// known record, so the record can have at most two contents at any time.
func (t *Table) retry(now time.Time, u *unit) {
	if u.pending.inFlight || now.Before(u.retryAt) || !t.hasStoreContact(now) {
		return
	}
	t.send(u)
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
	t.Observe(now, r)
}

// writeConflicted handles a failed compare. If the record is still at the compared
// revision, only the presence of a member key made it fail. An earlier indeterminate
// attempt could succeed once that key is gone, so it must be fenced.
func (t *Table) writeConflicted(now time.Time, u *unit, p *pendingWrite, current *Record) {
	if current != nil {
		t.Observe(now, *current)
	}
	t.handleNoEffect(u, p)
}

// handleNoEffect drops a write whose last attempt had no effect. If an earlier attempt
// is indeterminate, the write is kept; it is fenced if it has guards and the unit has a
// record.
func (t *Table) handleNoEffect(u *unit, p *pendingWrite) {
	if u.pending == nil {
		return
	}
	if !p.indeterminate {
		u.pending = nil
		return
	}
	p.fence = len(p.guards) > 0 && p.expect > 0
}
