package control

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// startDone applies the end of a start.
func (w *owner) startDone(e StartDone) {
	a, ok := w.attempts[e.Start.Attempt]
	if !ok || (a.stage != stageStarting && a.stage != stageRunning) {
		return
	}
	switch {
	case e.Result == StartNotRun:
		w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NoOwner)})
		w.schedule()
	case e.Result == StartUnclear:
		a.stage = stageUnclear
		a.lookupAt = w.now
		w.event(timeline.Event{Type: timeline.TaskStartUnclear, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Detail: e.Detail})
	default:
		w.apply(a, TaskReport{Attempt: a.id, Outcome: e.Outcome, ResultBytes: e.ResultBytes})
	}
}

// running notes that an attempt runs and tells its home.
func (w *owner) running(a *attempt) {
	if a.stage == stageRunning || a.stage == stageFetching || a.stage == stageEnded {
		return
	}
	a.stage = stageRunning
	w.event(timeline.Event{Type: timeline.TaskStarted, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Size: &a.size})
	w.reportsDue = true
	w.outgoing[a.id] = &outgoingReport{report: w.reportOf(a, nil), sendAt: w.now}
	if a.stopping != "" {
		w.stop(a, a.stopping)
	}
}

// ended applies the end of an attempt that ran. The worker keeps it until the
// home has recorded it.
func (w *owner) ended(a *attempt, outcome task.Outcome) {
	if a.stopping != "" && outcome.Reason != "" {
		outcome.Reason = string(a.stopping)
	}
	if a.stopping == "" {
		w.judge(a, outcome.Succeeded())
	}
	w.event(timeline.Event{Type: timeline.TaskFinished, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Kind: outcome.Reason})
	w.end(a, outcome)
	w.schedule()
}

// tick makes the calls that are due and ends what has provably ended.
func (w *owner) tick() {
	w.dropUnheld()
	for _, ws := range w.workers {
		w.syncWhenDue(ws)
		w.endSilent(ws)
	}
	w.markReady()
	w.markSized()
	for _, a := range w.attempts {
		w.attemptWhenDue(a)
	}
	w.review()
	w.sendReports()
	w.schedule()
	w.wantAllowance()
	w.shedExcess()
	for id, until := range w.tombstones {
		if w.now.After(until) {
			delete(w.tombstones, id)
		}
	}
}

// attemptWhenDue repeats the calls about an attempt that has no news.
func (w *owner) attemptWhenDue(a *attempt) {
	switch {
	case a.stage == stageUnclear && !a.looking && !w.now.Before(a.lookupAt):
		if ws, ok := w.workers[a.worker]; ok {
			a.looking = true
			w.emit(LookupTask{Worker: a.worker, Address: ws.listed.Address, Attempt: a.id})
		}
	case a.stage == stagePermit && w.now.After(a.lookupAt):
		w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NoOwner)})
	case a.stopping != "" && a.stage == stageRunning && w.now.After(a.stopAt):
		w.stop(a, a.stopping)
	}
}

// lookupDone applies what a worker says of an attempt whose start was unclear.
// That the worker does not know it proves something only after the start can no
// longer be accepted.
func (w *owner) lookupDone(e LookupDone) {
	a, ok := w.attempts[e.Lookup.Attempt]
	if !ok {
		return
	}
	a.looking = false
	a.lookupAt = w.now.Add(w.cfg.RetryInterval)
	if e.Err != nil || a.stage != stageUnclear {
		return
	}
	switch {
	case e.Known:
		w.apply(a, e.Report)
	case e.BootID != a.bootID:
		w.lost(a)
	case e.Clock > a.startBy:
		w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.WorkerLost)})
	}
}

// apply takes over what a worker reports of an attempt.
func (w *owner) apply(a *attempt, r TaskReport) {
	w.running(a)
	if r.Outcome == nil || a.stage != stageRunning {
		return
	}
	if r.ResultBytes == int64(len(r.Outcome.Result)) {
		w.ended(a, *r.Outcome)
		return
	}
	a.stage = stageFetching
	ws := w.workers[a.worker]
	w.emit(FetchResult{Worker: a.worker, Address: ws.listed.Address, Attempt: a.id, Bytes: r.ResultBytes, Digest: r.Outcome.Digest})
	a.placement.Spec.Payload = nil
	a.outcome = *r.Outcome
}

// resultDone completes an outcome with its result. A result that cannot be read
// whole is asked for again with the next report of the worker.
func (w *owner) resultDone(e ResultDone) {
	a, ok := w.attempts[e.Fetch.Attempt]
	if !ok || a.stage != stageFetching {
		return
	}
	if e.Err != nil {
		a.stage = stageRunning
		if ws, found := w.workers[a.worker]; found {
			ws.sequence = 0 // the next report is full and lists the attempt again
		}
		return
	}
	outcome := a.outcome
	outcome.Result = e.Data
	w.ended(a, outcome)
}

// lost ends an attempt that does not run any more and whose fate is not known.
func (w *owner) lost(a *attempt) {
	w.event(timeline.Event{Type: timeline.TaskUnknown, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker})
	w.end(a, task.Outcome{State: task.Unknown, Reason: string(errkind.WorkerLost)})
}

// sendReports sends what homes have not confirmed, one call for each home.
func (w *owner) sendReports() {
	w.reportsDue = false
	byHome := map[string][]AttemptReport{}
	for id, o := range w.outgoing {
		if o.sent || w.now.Before(o.sendAt) {
			continue
		}
		home, ok := w.homeOf(id, o.report)
		if !ok {
			continue
		}
		o.sent = true
		byHome[home.Incarnation] = append(byHome[home.Incarnation], w.outgoing[id].report)
	}
	for incarnation, reports := range byHome {
		w.emit(Send{To: w.routing.members[incarnation], Request: ReportRequest{Reports: reports}, Timeout: w.cfg.CallTimeout, SentAt: w.now})
	}
}

// homeOf returns the process to which an attempt is reported: the home of its
// job, or for a memory-only job the process that keeps it. If that has died,
// nobody waits for the report.
func (w *owner) homeOf(id task.Attempt, r AttemptReport) (membership.Member, bool) {
	holder, isVolatile := ledger.HolderOf(id.Task)
	if !isVolatile {
		home, _, ok := w.routing.ownerOf(ShardOf(r.Job, w.cfg.RequestShards))
		return home, ok
	}
	home, ok := w.routing.members[holder]
	if !ok {
		delete(w.outgoing, id)
		if r.Outcome != nil {
			w.acknowledge(id)
		}
	}
	return home, ok
}

// reportDone drops what a home has recorded, and acknowledges ends to workers.
func (w *owner) reportDone(req ReportRequest, reply PeerReply, err error) {
	for i, r := range req.Reports {
		o, ok := w.outgoing[r.Attempt]
		if !ok || o.isEnd != (r.Outcome != nil) {
			continue
		}
		if err != nil || !reply.(ReportReply).Recorded[i] {
			o.sent = false
			o.sendAt = w.now.Add(w.cfg.RetryInterval)
			continue
		}
		delete(w.outgoing, r.Attempt)
		if o.isEnd {
			w.acknowledge(r.Attempt)
		}
	}
}

func (w *owner) acknowledge(id task.Attempt) {
	a, ok := w.attempts[id]
	if !ok {
		return
	}
	delete(w.attempts, id)
	w.tombstones[id] = w.now.Add(tombstoneLifetime)
	if ws, found := w.workers[a.worker]; found && !slices.Contains(ws.acks, id) {
		ws.acks = append(ws.acks, id)
	}
}

// dropUnheld forgets the partitions whose term has ended. Nothing is reported
// of their attempts: the next owner learns of them from the workers.
func (w *owner) dropUnheld() {
	for name, p := range w.partitions {
		if epoch, ok := w.holds(name); !ok || epoch != p.epoch {
			w.lose(name)
		}
	}
}
