package ownership

import "time"

// pending is the one write of a unit that has no definite end yet.
type pending struct {
	record   Record // content that may take effect
	expect   int64
	guards   []string
	reason   Reason
	inFlight bool   // WriteDone has not come
	unclear  bool   // some try may still take effect
	settled  bool   // a newer revision was observed: no try can take effect any more
	fence    bool   // tries rewrite the known record instead
	sent     Record // content of the last try
}

// isUnresolved reports whether some write of this process may still take effect.
func (u *unit) isUnresolved() bool { return u.pending != nil && !u.pending.settled }

// handingOver reports whether an unresolved write of this process names another
// owner.
func (u *unit) handingOver() bool {
	return u.isUnresolved() && u.pending.record.Owner != u.record.Owner
}

// settlePending notes that the record has passed the compared revision. The
// write stays known until its WriteDone, so that the completion is not taken
// for that of a later write.
func (u *unit) settlePending() {
	u.pending.settled = true
	if !u.pending.inFlight {
		u.pending = nil
	}
}

// write starts a write of the unit's record.
func (t *Table) write(u *unit, r Record, guards []string, reason Reason) {
	r.Revision = 0
	u.pending = &pending{record: r, expect: u.record.Revision, guards: guards, reason: reason}
	t.send(u)
	t.updatePromiseEnd(u)
}

// send queues one try of the pending write.
func (t *Table) send(u *unit) {
	p := u.pending
	w := Write{Record: p.record, Expect: p.expect, AbsentMembers: p.guards, Reason: p.reason}
	if p.fence {
		w = Write{Record: u.record, Expect: p.expect, Reason: ReasonFence}
		w.Record.Revision = 0
	}
	p.inFlight, p.sent = true, w.Record
	t.queued = append(t.queued, w)
}

// retry repeats an unclear write until a try or an observed revision settles
// it. The repeated write has the same content or that of the known record, so
// at most two contents are possible at any time.
func (t *Table) retry(now time.Time, u *unit) {
	if u.pending.inFlight || now.Before(u.retryAt) || !t.hasContact(now) {
		return
	}
	t.send(u)
}

// WriteDone reports the end of the one write of the unit that is in flight.
func (t *Table) WriteDone(now time.Time, name string, result WriteResult) {
	t.expire(now)
	u := t.byName[name]
	if u == nil || u.pending == nil || !u.pending.inFlight {
		return
	}
	p := u.pending
	p.inFlight = false
	u.retryAt = now.Add(t.cfg.RetryInterval)
	if p.settled {
		u.pending = nil
	}
	switch result.Outcome {
	case Succeeded:
		t.writeSucceeded(now, u, p, result.Revision)
	case Conflict:
		t.writeConflicted(now, u, p, result.Current)
	case Unclear:
		p.unclear = true
	case NoEffect:
		t.dropTry(u, p)
	}
	t.updatePromiseEnd(u)
}

func (t *Table) writeSucceeded(now time.Time, u *unit, p *pending, revision int64) {
	r := p.sent
	r.Revision = revision
	u.retryAt = time.Time{}
	u.pending = nil
	t.Observe(now, r)
}

// writeConflicted handles a failed compare. If the record is still at the
// compared revision, only a member key was in the way: an earlier unclear try
// could succeed once that key is gone, so it is fenced.
func (t *Table) writeConflicted(now time.Time, u *unit, p *pending, current *Record) {
	if current != nil {
		t.Observe(now, *current)
	}
	t.dropTry(u, p)
}

// dropTry forgets a write whose last try had no effect, unless an earlier try
// was unclear.
func (t *Table) dropTry(u *unit, p *pending) {
	if u.pending == nil {
		return
	}
	if !p.unclear {
		u.pending = nil
		return
	}
	p.fence = len(p.guards) > 0 && p.expect > 0
}
