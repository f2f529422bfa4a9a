package control

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// startDone applies the result of a start order.
func (w *owner) startDone(e StartDone) {
	a, ok := w.attempts[e.Start.Attempt]
	if !ok || (a.stage != stageStarting && a.stage != stageRunning) {
		return
	}
	switch {
	case e.Result == StartNotRun:
		w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NoOwner)})
		w.schedule()
	case e.Result == StartUnclear:
		a.stage = stageUnclear
		a.lookupAt = w.now
		w.recordEvent(timeline.Event{Type: timeline.TaskStartUnclear, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Detail: e.Detail})
	default:
		w.applyTaskReport(a, TaskReport{Attempt: a.id, Outcome: e.Outcome, ResultBytes: e.ResultBytes})
	}
}

// attemptRunning marks an attempt as running and queues the report to its home.
func (w *owner) attemptRunning(a *attempt) {
	if a.stage == stageRunning || a.stage == stageFetchingResult || a.stage == stageEnded {
		return
	}
	a.stage = stageRunning
	w.recordEvent(timeline.Event{Type: timeline.TaskStarted, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Size: &a.size})
	w.reportsDue = true
	w.pendingReports[a.id] = &pendingReport{report: w.reportOf(a, nil), sendAt: w.now}
	if a.stopReason != "" {
		w.stop(a, a.stopReason)
	}
}

// attemptEnded applies the outcome of an attempt that ran. The worker retains the attempt until the
// home has recorded the outcome.
func (w *owner) attemptEnded(a *attempt, outcome task.Outcome) {
	if a.stopReason != "" && outcome.Reason != "" {
		outcome.Reason = string(a.stopReason)
	}
	if a.stopReason == "" {
		w.observeOutcome(a, outcome.Succeeded())
	}
	w.recordEvent(timeline.Event{Type: timeline.TaskFinished, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Kind: outcome.Reason})
	w.complete(a, outcome)
	w.schedule()
}

// tick makes the calls that are due, completes the attempts that have provably ended, starts queued
// tasks, preempts work above a limit and removes expired tombstones.
func (w *owner) tick() {
	w.dropExpiredPartitions()
	for _, worker := range w.workers {
		w.syncWhenDue(worker)
		w.endExpired(worker)
	}
	w.markReady()
	w.markCapacityKnown()
	for _, a := range w.attempts {
		w.retryWhenDue(a)
	}
	w.reviewWorkers()
	w.sendReports()
	w.schedule()
	w.requestAllowance()
	w.preemptOverLimit()
	for id, until := range w.tombstones {
		if w.now.After(until) {
			delete(w.tombstones, id)
		}
	}
}

// retryWhenDue repeats the lookup of an attempt whose start is unclear and the stop order of a
// running one, and completes an attempt that did not get its permit in time.
func (w *owner) retryWhenDue(a *attempt) {
	switch {
	case a.stage == stageUnclear && !a.lookingUp && !w.now.Before(a.lookupAt):
		if worker, ok := w.workers[a.worker]; ok {
			a.lookingUp = true
			w.emit(LookupTask{Worker: a.worker, Address: worker.listed.Address, Attempt: a.id})
		}
	case a.stage == stageAwaitingPermit && w.now.After(a.lookupAt):
		w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NoOwner)})
	case a.stopReason != "" && a.stage == stageRunning && w.now.After(a.stopRetryAt):
		w.stop(a, a.stopReason)
	}
}

// lookupDone applies a worker's reply about an attempt whose start is unclear. If the worker has no
// record of the attempt, the attempt counts as not run only after its start order has expired.
func (w *owner) lookupDone(e LookupDone) {
	a, ok := w.attempts[e.Lookup.Attempt]
	if !ok {
		return
	}
	a.lookingUp = false
	a.lookupAt = w.now.Add(w.cfg.RetryInterval)
	if e.Err != nil || a.stage != stageUnclear {
		return
	}
	switch {
	case e.Found:
		w.applyTaskReport(a, e.Report)
	case e.BootID != a.bootID:
		w.attemptLost(a)
	case e.Clock > a.startBy:
		w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.WorkerLost)})
	}
}

// applyTaskReport applies a worker's report about an attempt.
func (w *owner) applyTaskReport(a *attempt, r TaskReport) {
	w.attemptRunning(a)
	if r.Outcome == nil || a.stage != stageRunning {
		return
	}
	if r.ResultBytes == int64(len(r.Outcome.Result)) {
		w.attemptEnded(a, *r.Outcome)
		return
	}
	a.stage = stageFetchingResult
	worker := w.workers[a.worker]
	w.emit(FetchResult{Worker: a.worker, Address: worker.listed.Address, Attempt: a.id, Bytes: r.ResultBytes, Digest: r.Outcome.Digest})
	a.placement.Spec.Payload = nil
	a.outcome = *r.Outcome
}

// resultDone adds the fetched result to the outcome of an attempt. A result that could not be
// fetched is requested again after the next report of the worker.
func (w *owner) resultDone(e ResultDone) {
	a, ok := w.attempts[e.Fetch.Attempt]
	if !ok || a.stage != stageFetchingResult {
		return
	}
	if e.Err != nil {
		a.stage = stageRunning
		if worker, found := w.workers[a.worker]; found {
			worker.sequence = 0 // the next report is a full one and lists the attempt again
		}
		return
	}
	outcome := a.outcome
	outcome.Result = e.Data
	w.attemptEnded(a, outcome)
}

// attemptLost completes an attempt that no longer runs and whose outcome is unknown.
func (w *owner) attemptLost(a *attempt) {
	w.recordEvent(timeline.Event{Type: timeline.TaskUnknown, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker})
	w.complete(a, task.Outcome{State: task.Unknown, Reason: string(errkind.WorkerLost)})
}

// sendReports sends the reports that are due, with one call per home.
func (w *owner) sendReports() {
	w.reportsDue = false
	byHome := map[string][]AttemptReport{}
	for id, pending := range w.pendingReports {
		if pending.inFlight || w.now.Before(pending.sendAt) {
			continue
		}
		home, ok := w.homeOf(id, pending.report)
		if !ok {
			continue
		}
		pending.inFlight = true
		byHome[home.Incarnation] = append(byHome[home.Incarnation], w.pendingReports[id].report)
	}
	for incarnation, reports := range byHome {
		w.emit(Send{To: w.routing.members[incarnation], Request: ReportRequest{Reports: reports}, Timeout: w.cfg.CallTimeout, SentAt: w.now})
	}
}

// homeOf returns the process to which an attempt is reported: the home of its job, or for a
// memory-only job the process that holds it. If that process is no longer a member, the report has
// no recipient and is dropped.
func (w *owner) homeOf(id task.Attempt, r AttemptReport) (membership.Member, bool) {
	homeIncarnation, isMemoryOnly := ledger.HomeOf(id.Task)
	if !isMemoryOnly {
		home, _, ok := w.routing.ownerOf(shardOf(r.Job, w.cfg.RequestShards))
		return home, ok
	}
	home, ok := w.routing.members[homeIncarnation]
	if !ok {
		delete(w.pendingReports, id)
		if r.Outcome != nil {
			w.acknowledge(id)
		}
	}
	return home, ok
}

// reportDone removes the reports that a home has recorded, and acknowledges the ended attempts to
// their workers. The other reports are sent again.
func (w *owner) reportDone(req ReportRequest, reply PeerReply, err error) {
	for i, r := range req.Reports {
		pending, ok := w.pendingReports[r.Attempt]
		if !ok || pending.isFinal != (r.Outcome != nil) {
			continue
		}
		if err != nil || !reply.(ReportReply).Recorded[i] {
			pending.inFlight = false
			pending.sendAt = w.now.Add(w.cfg.RetryInterval)
			continue
		}
		delete(w.pendingReports, r.Attempt)
		if pending.isFinal {
			w.acknowledge(r.Attempt)
		}
	}
}

// acknowledge deletes an ended attempt here, and on its worker with the next sync.
func (w *owner) acknowledge(id task.Attempt) {
	a, ok := w.attempts[id]
	if !ok {
		return
	}
	w.forget(a)
	w.tombstones[id] = w.now.Add(tombstoneLifetime)
	if worker, found := w.workers[a.worker]; found && !slices.Contains(worker.pendingAcks, id) {
		worker.pendingAcks = append(worker.pendingAcks, id)
	}
}

// dropExpiredPartitions drops the partitions whose term has ended. Their attempts are not reported,
// because the next owner receives them in the reports of the workers.
func (w *owner) dropExpiredPartitions() {
	for name, p := range w.partitions {
		if epoch, ok := w.holds(name); !ok || epoch != p.epoch {
			w.dropPartition(name)
		}
	}
}
