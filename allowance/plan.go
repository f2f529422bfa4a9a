package allowance

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// fallbackIntervals is how many intervals a process leaves to others to write a
// change that any process could write, so that they do not all write it at once.
const fallbackIntervals = 2

// Plan returns the records to write in one transaction, or nothing if none is
// due. The caller reports them with exactly one WriteDone.
func (t *Table) Plan(now time.Time) []Write {
	if t.inFlight || now.Before(t.nextPlan) || t.seen == 0 {
		return nil
	}
	var writes []Write
	for i := range t.order {
		at := (t.first + i) % len(t.order)
		w, ok := t.planTeam(now, t.order[at])
		if !ok {
			continue
		}
		writes = append(writes, w)
		if len(writes) == t.batchLimit {
			t.first = (at + 1) % len(t.order)
			break
		}
	}
	if len(writes) > 0 {
		t.inFlight = true
		t.nextPlan = now.Add(t.cfg.Interval)
	}
	return writes
}

func (t *Table) planTeam(now time.Time, tm *team) (Write, bool) {
	// A partition of this owner that found nothing free the last time needs what
	// the others do not use, as one of another owner does.
	tm.askedIdle = tm.askedIdle || tm.starving
	tm.starving = false
	p := planner{table: t, now: now, team: tm, next: tm.record, owners: make(map[string]int64)}
	p.next.Team = tm.name
	p.applyLimit()
	if !tm.loaded && !p.changed {
		return Write{}, false
	}
	p.returnIdle()
	p.settle()
	p.grant()
	tm.askedIdle = false
	if !p.changed && !tm.unclear {
		return Write{}, false
	}
	p.next.Revision = 0
	w := Write{Record: p.next, Expect: tm.record.Revision, Owners: p.owners}
	tm.lower(w)
	if t.faults.noOwnerGuard {
		w.Owners = nil
	}
	return w, true
}

// lower notes that the write may replace the known record, from now on.
func (tm *team) lower(w Write) {
	if tm.floor == nil {
		tm.floor = make(map[string]task.Resources, len(w.Record.Parts))
		for name, part := range w.Record.Parts {
			tm.floor[name] = part
		}
	}
	for name, part := range tm.floor {
		tm.floor[name] = part.Min(w.Record.Parts[name])
	}
	tm.floorExpect = w.Expect
}

// planner builds the next record of one team.
type planner struct {
	table   *Table
	now     time.Time
	team    *team
	next    Record
	owned   bool // next.Parts is a copy
	changed bool
	owners  map[string]int64
	total   task.Resources // sum of next.Parts, once summed
	summed  bool
}

// sum returns the sum of the parts, which is kept up to date by change, since
// one plan may grant to many partitions.
func (p *planner) sum() task.Resources {
	if !p.summed {
		p.total, p.summed = p.next.sum(), true
	}
	return p.total
}

func (p *planner) since(at time.Time) bool {
	return p.now.Sub(at) >= fallbackIntervals*p.table.cfg.Interval
}

// applyLimit writes the limit of the newest document. A missing record is
// created at once, since work of the team waits for it.
func (p *planner) applyLimit() {
	tm := p.team
	if tm.limitRevision <= tm.record.LimitRevision {
		return
	}
	if tm.record.Revision == 0 || p.since(tm.limitSetAt) {
		p.next = WithLimit(p.next, tm.limit, tm.limitRevision)
		p.changed = true
	}
}

// settle puts a pending limit in force when enough was returned.
func (p *planner) settle() {
	if !p.next.HasPending || !p.changed && !p.since(p.team.observedAt) {
		return
	}
	if p.next.settle() {
		p.changed = true
	}
}

// returnIdle returns what partitions do not use: at once while a lower limit is
// pending or another owner lacks allowance, and otherwise what has been idle
// for the idle time.
func (p *planner) returnIdle() {
	t, tm := p.table, p.team
	for _, name := range t.owned {
		part := t.partitions[name]
		if !t.isUsable(part) || !part.rebuilt && !t.faults.skipRebuild {
			continue
		}
		held := t.held(tm, name)
		if held.IsZero() {
			continue
		}
		idle := positive(held.Sub(p.keep(t.useOf(p.now, tm, name), part)))
		if !p.next.HasPending {
			idle = limited(idle, p.next.Limit)
		}
		if !idle.IsZero() {
			p.change(name, part, idle.Scale(-1))
		}
	}
}

// keep returns the amount that stays with the partition.
func (p *planner) keep(u *use, part *partition) task.Resources {
	t := p.table
	if p.next.HasPending {
		return t.used(part, u)
	}
	_, total := u.demand(p.now)
	wanted := t.used(part, u).Add(total)
	if p.team.askedIdle {
		return wanted
	}
	return wanted.Max(u.peak(p.now, t.cfg.Idle))
}

// grant takes blocks for the partitions that lack allowance.
func (p *planner) grant() {
	t, tm := p.table, p.team
	if p.next.HasPending {
		return
	}
	for _, name := range t.owned {
		part := t.partitions[name]
		if tm.use[name] == nil || !t.isUsable(part) {
			continue
		}
		u := t.useOf(p.now, tm, name)
		one, total := u.demand(p.now)
		short := t.used(part, u).Sub(p.next.Parts[name])
		need := positive(short.Add(total))
		if need.IsZero() {
			continue
		}
		p.grantBlock(name, part, positive(short.Add(one)), need)
	}
}

// grantBlock takes twice the need, at most a quarter of what is free, and at
// least what the largest waiting task needs. Resources without a limit double,
// so that a growing team seldom waits for them.
func (p *planner) grantBlock(name string, part *partition, one, need task.Resources) {
	limit := bound(p.next.Limit)
	free := positive(limit.Sub(p.sum()))
	if !one.Fits(free) {
		p.team.starving = true
		return
	}
	block := need.Scale(2).Min(quarter(free).Max(one))
	block = block.Max(unlimitedGrowth(p.next.Parts[name], need, p.next.Limit))
	if limited(block, p.next.Limit).IsZero() && !limited(need, p.next.Limit).IsZero() {
		p.team.starving = true
	}
	if !block.IsZero() {
		p.change(name, part, block)
	}
}

// change adds delta to the amount of an owned partition in the next record.
func (p *planner) change(name string, part *partition, delta task.Resources) {
	if !p.owned {
		p.next = p.next.clone()
		p.owned = true
	}
	if p.table.faults.untracked {
		delta = limited(delta, p.next.Limit)
	}
	amount := p.next.Parts[name].Add(delta)
	p.next.Parts[name] = amount
	if amount.IsZero() {
		delete(p.next.Parts, name)
	}
	p.total = p.total.Add(delta)
	p.owners[name] = part.guard
	p.changed = true
}

// WriteDone reports the end of the transaction that Plan returned. A conflict
// halves the number of teams in the next transaction, because one changed
// record fails all of them.
func (t *Table) WriteDone(now time.Time, writes []Write, result WriteResult) {
	t.inFlight = false
	for _, w := range writes {
		tm := t.team(w.Record.Team)
		switch result.Outcome {
		case Succeeded:
			w.Record.Revision = result.Revision
			t.Observe(now, w.Record)
		case Unclear:
			tm.unclear = tm.floor != nil
		default:
			if !tm.unclear {
				tm.floor = nil
			}
		}
	}
	switch result.Outcome {
	case Succeeded:
		t.batchLimit = min(maxBatch, 2*t.batchLimit)
	case Conflict:
		t.batchLimit = max(1, len(writes)/2)
	}
	for _, r := range result.Current {
		t.Observe(now, r)
	}
}
