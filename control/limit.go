package control

import (
	"cmp"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// setLimit sets the resource limit of a team; nil means no limit.
func (w *owner) setLimit(team task.Team, limit *task.Resources, revision int64) {
	var amounts task.Resources
	if limit != nil {
		amounts = *limit
	}
	w.allowances.SetLimit(w.now, team, amounts, revision)
}

// allowanceDone applies the result of a transaction on allowance records and unblocks the teams of
// these records.
func (w *owner) allowanceDone(e AllowanceDone) {
	w.allowances.WriteDone(w.now, e.Writes, e.Result)
	for _, write := range e.Writes {
		delete(w.blocked, write.Record.Team)
	}
	w.schedule()
}

// requestAllowance registers the total demand of the queued tasks of each team and partition, so
// that one transaction covers it.
func (w *owner) requestAllowance() {
	type demandKey struct {
		team      task.Team
		partition string
	}
	demand := map[demandKey]task.Resources{}
	for _, a := range w.attempts {
		if a.stage == stageQueued {
			key := demandKey{a.team, a.partition}
			demand[key] = demand[key].Add(a.size)
		}
	}
	for key, total := range demand {
		w.allowances.SetDemand(w.now, key.team, key.partition, total)
	}
}

// preemptOverLimit preempts work of teams whose limit was lowered below their usage, so that the
// lower limit can come into force. Each partition preempts in proportion to the allowance that it
// holds. Only work that may be retried is preempted.
func (w *owner) preemptOverLimit() {
	for _, team := range w.activeTeams() {
		record, ok := w.allowances.Record(team)
		if !ok || !record.HasPending {
			continue
		}
		for name := range w.partitions {
			w.preempt(team, name, excessUsage(record, name, w.allowances.InUse(w.now, team, name)))
		}
	}
}

// excessUsage returns by how much the usage of a partition exceeds its proportional part of the
// pending limit.
func excessUsage(r allowance.Record, partition string, used task.Resources) task.Resources {
	var total task.Resources
	for _, part := range r.Allowances {
		total = total.Add(part)
	}
	part := r.Allowances[partition]
	return task.Resources{
		CPUMilli:     excessAmount(used.CPUMilli, part.CPUMilli, total.CPUMilli, r.Pending.CPUMilli),
		MemoryMB:     excessAmount(used.MemoryMB, part.MemoryMB, total.MemoryMB, r.Pending.MemoryMB),
		Accelerators: excessAmount(used.Accelerators, part.Accelerators, total.Accelerators, r.Pending.Accelerators),
		Slots:        excessAmount(used.Slots, part.Slots, total.Slots, r.Pending.Slots),
		Connections:  excessAmount(used.Connections, part.Connections, total.Connections, r.Pending.Connections),
	}
}

// excessAmount returns by how much used exceeds the fraction part/total of limit, or 0 if total is
// within limit. A limit of zero means no limit.
func excessAmount(used, part, total, limit int64) int64 {
	if limit == 0 || total <= limit {
		return 0
	}
	return max(0, used-part*limit/total)
}

// preempt stops the most recently started preemptible attempts of a team at a partition until the
// attempts that are being stopped cover the excess.
func (w *owner) preempt(team task.Team, partition string, excess task.Resources) {
	if excess.IsZero() {
		return
	}
	var running []*attempt
	for _, a := range w.attempts {
		if a.team == team && a.partition == partition && a.stage == stageRunning && w.isPreemptible(a) {
			running = append(running, a)
		}
	}
	slices.SortFunc(running, func(a, b *attempt) int {
		return cmp.Or(b.startedAt.Compare(a.startedAt), cmp.Compare(a.id.Task, b.id.Task))
	})
	for _, a := range running {
		if !hasPositiveAmount(excess) {
			return
		}
		if a.stopReason == "" {
			w.stop(a, errkind.OverLimit)
		}
		excess = excess.Sub(a.size)
	}
}

// isPreemptible reports whether an attempt may be stopped and run again. The kind of an adopted
// attempt is unknown, so it is not preempted.
func (w *owner) isPreemptible(a *attempt) bool {
	kind := a.placement.Spec.Kind
	return kind != "" && kind.IsDurable() && kind.MayRetry()
}

// hasPositiveAmount reports whether any amount is positive.
func hasPositiveAmount(r task.Resources) bool { return !r.Max(task.Resources{}).IsZero() }

// activeTeams returns the teams with attempts at this owner, sorted.
func (w *owner) activeTeams() []task.Team {
	var teams []task.Team
	for _, a := range w.attempts {
		if !slices.Contains(teams, a.team) {
			teams = append(teams, a.team)
		}
	}
	slices.Sort(teams)
	return teams
}
