package control

import (
	"cmp"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// setLimit takes over the upper limit of a team; nil is no limit.
func (w *owner) setLimit(team task.Team, limit *task.Resources, revision int64) {
	var amounts task.Resources
	if limit != nil {
		amounts = *limit
	}
	w.allow.SetLimit(w.now, team, amounts, revision)
}

// allowanceDone applies the fate of a transaction and tries the teams again that
// lacked allowance.
func (w *owner) allowanceDone(e AllowanceDone) {
	w.allow.WriteDone(w.now, e.Writes, e.Result)
	for _, write := range e.Writes {
		delete(w.blocked, write.Record.Team)
	}
	w.schedule()
}

// wantAllowance notes what the waiting tasks need, so that one transaction
// covers them.
func (w *owner) wantAllowance() {
	type need struct {
		team      task.Team
		partition string
	}
	needs := map[need]task.Resources{}
	for _, a := range w.attempts {
		if a.stage == stageQueued {
			n := need{a.team, a.partition}
			needs[n] = needs[n].Add(a.size)
		}
	}
	for n, total := range needs {
		w.allow.Want(w.now, n.team, n.partition, total)
	}
}

// shedExcess stops work of teams whose limit was lowered below what runs, so
// that the lower limit comes into force. Each partition sheds in proportion to
// what it holds; only work that may be repeated is stopped.
func (w *owner) shedExcess() {
	for _, team := range w.runningTeams() {
		record, ok := w.allow.Record(team)
		if !ok || !record.HasPending {
			continue
		}
		for name := range w.partitions {
			w.shed(team, name, excess(record, name, w.allow.InUse(w.now, team, name)))
		}
	}
}

// excess returns how much of what a partition uses is above its part of the
// pending limit.
func excess(r allowance.Record, partition string, used task.Resources) task.Resources {
	var total task.Resources
	for _, part := range r.Parts {
		total = total.Add(part)
	}
	part := r.Parts[partition]
	return task.Resources{
		CPUMilli:     above(used.CPUMilli, part.CPUMilli, total.CPUMilli, r.Pending.CPUMilli),
		MemoryMB:     above(used.MemoryMB, part.MemoryMB, total.MemoryMB, r.Pending.MemoryMB),
		Accelerators: above(used.Accelerators, part.Accelerators, total.Accelerators, r.Pending.Accelerators),
		Slots:        above(used.Slots, part.Slots, total.Slots, r.Pending.Slots),
		Connections:  above(used.Connections, part.Connections, total.Connections, r.Pending.Connections),
	}
}

// above returns by how much used exceeds the share of limit that belongs to part
// of total. A limit of zero does not limit.
func above(used, part, total, limit int64) int64 {
	if limit == 0 || total <= limit {
		return 0
	}
	return max(0, used-part*limit/total)
}

// shed stops the latest started attempts of a team at a partition until the
// excess is covered by those that are being stopped.
func (w *owner) shed(team task.Team, partition string, over task.Resources) {
	if over.IsZero() {
		return
	}
	var running []*attempt
	for _, a := range w.attempts {
		if a.team == team && a.partition == partition && a.stage == stageRunning && w.mayShed(a) {
			running = append(running, a)
		}
	}
	slices.SortFunc(running, func(a, b *attempt) int {
		return cmp.Or(b.startedAt.Compare(a.startedAt), cmp.Compare(a.id.Task, b.id.Task))
	})
	for _, a := range running {
		if !hasPositive(over) {
			return
		}
		if a.stopping == "" {
			w.stop(a, errkind.OverLimit)
		}
		over = over.Sub(a.size)
	}
}

// mayShed reports whether an attempt may be stopped and run again. Of an adopted
// attempt the kind is not known, so it is left to end by itself.
func (w *owner) mayShed(a *attempt) bool {
	kind := a.placement.Spec.Kind
	return kind != "" && kind.IsDurable() && kind.MayRepeat()
}

func hasPositive(r task.Resources) bool { return !r.Max(task.Resources{}).IsZero() }

// runningTeams lists the teams with attempts at this owner.
func (w *owner) runningTeams() []task.Team {
	var teams []task.Team
	for _, a := range w.attempts {
		if !slices.Contains(teams, a.team) {
			teams = append(teams, a.team)
		}
	}
	slices.Sort(teams)
	return teams
}
