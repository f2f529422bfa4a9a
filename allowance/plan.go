package allowance

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// fallbackIntervals is the number of intervals for which a process delays a change that
// any process can write. Usually another process has written it by then, so that the
// processes do not all write it at once.
const fallbackIntervals = 2

// Plan returns the records to write in one transaction, or none if no write is due. After
// a non-empty result, the caller must call WriteDone exactly once.
func (t *Table) Plan(now time.Time) []Write {
	if t.inFlight || now.Before(t.nextPlan) || t.observedRevision == 0 {
		return nil
	}
	var writes []Write
	for i := range t.sortedTeams {
		index := (t.nextTeam + i) % len(t.sortedTeams)
		w, ok := t.planTeam(now, t.sortedTeams[index])
		if !ok {
			continue
		}
		writes = append(writes, w)
		if len(writes) == t.batchLimit {
			t.nextTeam = (index + 1) % len(t.sortedTeams)
			break
		}
	}
	if len(writes) > 0 {
		t.inFlight = true
		t.nextPlan = now.Add(t.cfg.MinWriteInterval)
	}
	return writes
}

// planTeam returns the write of one team, and false if none is due.
func (t *Table) planTeam(now time.Time, team *teamState) (Write, bool) {
	// If the last plan could not grant an owned partition what it needs, the other owned
	// partitions return idle allowance, as they do when another owner lacks allowance.
	team.idleRequested = team.idleRequested || team.starved
	team.starved = false
	p := planner{table: t, now: now, team: team, next: team.record, ownershipRevisions: make(map[string]int64)}
	p.next.Team = team.name
	p.applyLimit()
	if !team.loaded && !p.changed {
		return Write{}, false
	}
	p.returnIdle()
	p.applyPending()
	p.grant()
	team.idleRequested = false
	if !p.changed && !team.floorIndeterminate {
		return Write{}, false
	}
	p.next.Revision = 0
	w := Write{Record: p.next, ExpectedRevision: team.record.Revision, OwnershipRevisions: p.ownershipRevisions}
	team.lowerFloor(w)
	if t.seededFaults.skipOwnershipCompare {
		w.OwnershipRevisions = nil
	}
	return w, true
}

// lowerFloor lowers the floor to the amounts of a write, because from now on the write may
// replace the known record.
func (team *teamState) lowerFloor(w Write) {
	if team.floor == nil {
		team.floor = make(map[string]task.Resources, len(w.Record.Allowances))
		for name, amount := range w.Record.Allowances {
			team.floor[name] = amount
		}
	}
	for name, amount := range team.floor {
		team.floor[name] = amount.Min(w.Record.Allowances[name])
	}
	team.floorExpectedRevision = w.ExpectedRevision
}

// planner builds the next record of one team.
type planner struct {
	table              *Table
	now                time.Time
	team               *teamState
	next               Record
	allowancesCopied   bool // next.Allowances is a copy
	changed            bool
	ownershipRevisions map[string]int64
	total              task.Resources // sum of next.Allowances; valid if summed is set
	summed             bool
}

// sum returns the sum of the allowances in the next record. It is computed once and then
// updated by adjustAllowance, because one plan may grant to many partitions.
func (p *planner) sum() task.Resources {
	if !p.summed {
		p.total, p.summed = p.next.sum(), true
	}
	return p.total
}

// isOverdue reports whether a change that has been possible since the given time was left
// to other processes for long enough, see fallbackIntervals.
func (p *planner) isOverdue(at time.Time) bool {
	return p.now.Sub(at) >= fallbackIntervals*p.table.cfg.MinWriteInterval
}

// applyLimit applies the limit of the newest document. A missing record is created at
// once, because tasks of the team wait for it.
func (p *planner) applyLimit() {
	team := p.team
	if team.limitRevision <= team.record.LimitRevision {
		return
	}
	if team.record.Revision == 0 || p.isOverdue(team.limitSetAt) {
		p.next = WithLimit(p.next, team.limit, team.limitRevision)
		p.changed = true
	}
}

// applyPending puts a pending limit in force once enough allowance has been returned.
func (p *planner) applyPending() {
	if !p.next.HasPending || !p.changed && !p.isOverdue(p.team.observedAt) {
		return
	}
	if p.next.applyPending() {
		p.changed = true
	}
}

// returnIdle returns the allowance that owned partitions do not use: at once while a
// lower limit is pending or another partition lacks allowance, and otherwise after it
// has been idle for Config.IdleTimeout.
func (p *planner) returnIdle() {
	t, team := p.table, p.team
	for _, name := range t.owned {
		part := t.partitions[name]
		if !t.isUsable(part) || !part.rebuilt && !t.seededFaults.skipRebuild {
			continue
		}
		held := t.held(team, name)
		if held.IsZero() {
			continue
		}
		idle := nonNegative(held.Sub(p.amountToKeep(t.getOrCreateUsage(p.now, team, name), part)))
		if !p.next.HasPending {
			idle = onlyLimited(idle, p.next.Limit)
		}
		if !idle.IsZero() {
			p.adjustAllowance(name, part, idle.Scale(-1))
		}
	}
}

// amountToKeep returns the allowance that the partition keeps: the amount in use, plus the
// demand unless a lower limit is pending. While no partition lacks allowance, it is at least
// the recent peak.
func (p *planner) amountToKeep(u *usage, part *partition) task.Resources {
	t := p.table
	if p.next.HasPending {
		return t.used(part, u)
	}
	_, total := u.demand(p.now)
	wanted := t.used(part, u).Add(total)
	if p.team.idleRequested {
		return wanted
	}
	return wanted.Max(u.peak(p.now, t.cfg.IdleTimeout))
}

// grant grants allowance to the owned partitions that need more.
func (p *planner) grant() {
	t, team := p.table, p.team
	if p.next.HasPending {
		return
	}
	for _, name := range t.owned {
		part := t.partitions[name]
		if team.usageByPartition[name] == nil || !t.isUsable(part) {
			continue
		}
		u := t.getOrCreateUsage(p.now, team, name)
		largest, total := u.demand(p.now)
		shortfall := t.used(part, u).Sub(p.next.Allowances[name])
		need := nonNegative(shortfall.Add(total))
		if need.IsZero() {
			continue
		}
		p.grantBlock(name, part, nonNegative(shortfall.Add(largest)), need)
	}
}

// grantBlock grants twice the need, but at most a quarter of the free amount, and at
// least what the largest refused task needs. The allowance of needed resources without a
// limit is at least doubled, so that a growing team rarely waits for them.
func (p *planner) grantBlock(name string, part *partition, largest, need task.Resources) {
	limit := withUnlimited(p.next.Limit)
	free := nonNegative(limit.Sub(p.sum()))
	if !largest.Fits(free) {
		p.team.starved = true
		return
	}
	block := need.Scale(2).Min(quarter(free).Max(largest))
	block = block.Max(unlimitedGrowth(p.next.Allowances[name], need, p.next.Limit))
	if onlyLimited(block, p.next.Limit).IsZero() && !onlyLimited(need, p.next.Limit).IsZero() {
		p.team.starved = true
	}
	if !block.IsZero() {
		p.adjustAllowance(name, part, block)
	}
}

// adjustAllowance adds delta to the allowance of an owned partition in the next record.
func (p *planner) adjustAllowance(name string, part *partition, delta task.Resources) {
	if !p.allowancesCopied {
		p.next = p.next.clone()
		p.allowancesCopied = true
	}
	if p.table.seededFaults.ignoreUnlimited {
		delta = onlyLimited(delta, p.next.Limit)
	}
	amount := p.next.Allowances[name].Add(delta)
	p.next.Allowances[name] = amount
	if amount.IsZero() {
		delete(p.next.Allowances, name)
	}
	p.total = p.total.Add(delta)
	p.ownershipRevisions[name] = part.ownershipRevision
	p.changed = true
}

// WriteDone applies the outcome of the transaction that Plan returned. A conflict halves
// the number of teams in the next transaction, because one changed record makes the whole
// transaction fail.
func (t *Table) WriteDone(now time.Time, writes []Write, result WriteResult) {
	t.inFlight = false
	for _, w := range writes {
		team := t.getOrCreateTeam(w.Record.Team)
		switch result.Outcome {
		case Succeeded:
			w.Record.Revision = result.Revision
			t.Observe(now, w.Record)
		case Unclear:
			team.floorIndeterminate = team.floor != nil
		default:
			if !team.floorIndeterminate {
				team.floor = nil
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
