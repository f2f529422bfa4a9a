package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// report applies an owner's attempt reports. The reply lists the reports that the owner need not
// send again. It is sent once the outcomes of durable work are committed.
func (h *home) report(token uint64, req ReportRequest) {
	h.nextReportID++
	id := h.nextReportID
	call := &reportCall{token: token, recorded: make([]bool, len(req.Reports))}
	h.reportCalls[id] = call
	for i, r := range req.Reports {
		if _, isMemoryOnly := ledger.HomeOf(r.Attempt.Task); !isMemoryOnly && !h.ledger.IsActive(h.shardOf(r.Job)) {
			continue
		}
		call.recorded[i] = true
		if r.Outcome == nil {
			h.attemptStarted(r)
			continue
		}
		if h.finish(r.Attempt, *r.Outcome, id) {
			call.uncommitted++
		} else if h.mayBeUncommitted(r) {
			call.recorded[i] = false
		}
	}
	h.replyWhenRecorded(id)
}

// mayBeUncommitted reports whether the outcome of a durable attempt may be applied but not stored
// yet, for example when an owner reports it again during a store outage. The owner must not
// acknowledge the attempt to its worker before the outcome is stored: the next home would find no
// record of the attempt and treat it as not run.
func (h *home) mayBeUncommitted(r AttemptReport) bool {
	_, isMemoryOnly := ledger.HomeOf(r.Attempt.Task)
	return !isMemoryOnly && h.ledger.HasPending(h.shardOf(r.Job))
}

func (h *home) attemptStarted(r AttemptReport) {
	if !h.ledger.MarkRunning(h.shardOf(r.Job), r.Job, r.Index, r.Attempt, r.Worker) {
		return
	}
	if o, ok := h.openAttempts[r.Attempt]; ok {
		o.phase = phasePlaced
		o.placedAt = time.Time{}
		o.lookupAt = h.now.Add(h.cfg.LookupInterval)
	}
	h.recordEvent(timeline.Event{Type: timeline.TaskStarted, Team: r.Job.Team, Task: r.Attempt.Task, Attempt: r.Attempt.Number, Worker: r.Worker})
}

// attemptReportRecorded counts one attempt report of a report request as stored.
func (h *home) attemptReportRecorded(id uint64) {
	call, ok := h.reportCalls[id]
	if !ok {
		return
	}
	call.uncommitted--
	h.replyWhenRecorded(id)
}

func (h *home) replyWhenRecorded(id uint64) {
	call := h.reportCalls[id]
	if call.uncommitted > 0 {
		return
	}
	delete(h.reportCalls, id)
	h.reply(call.token, ReportReply{Recorded: call.recorded})
}

// permit handles an owner's request to start at-most-once work. The permit is granted only after
// the selected worker is recorded in the store.
func (h *home) permit(token uint64, req PermitRequest) {
	step := ledger.PostCommitStep{Kind: ledger.StepPermitted, Job: req.Job, Index: req.Index, Token: token}
	if !h.ledger.Permit(h.shardOf(req.Job), req.Job, req.Index, req.Attempt, req.Worker, req.BootID, step) {
		h.reply(token, PermitReply{})
		return
	}
	if o, ok := h.openAttempts[req.Attempt]; ok {
		o.phase = phasePlaced
		o.lookupAt = h.now.Add(h.cfg.LookupInterval)
	}
}

// tick makes the calls that are due, replies to expired waits and removes expired records.
func (h *home) tick() {
	h.dispatchPostponed()
	h.rebalance()
	h.lookUpOverdue()
	h.expireWaits()
	if h.now.Sub(h.lastExpiryAt) >= expireInterval {
		h.lastExpiryAt = h.now
		h.ledger.Expire(h.now)
		h.cancelled.expire(h.now)
	}
}

// expireInterval is the interval between scans of all records for those past their retention. It is
// short compared with the retention, which is minutes.
const expireInterval = 5 * time.Second

// dispatchPostponed dispatches the tasks whose retry is due.
func (h *home) dispatchPostponed() {
	for ref, t := range h.undispatched {
		if h.now.Before(t.retryAt) {
			continue
		}
		delete(h.undispatched, ref)
		if record, ok := h.ledger.Find(h.shardOf(ref.job), ref.job); ok && !record.Cancelled {
			h.dispatch(ref.job, record, ref.index, t.avoid, t.retries)
		}
	}
}

// lookUpOverdue looks up the attempts without a recent status update, with one call per partition,
// and ends the answers whose deadline has passed.
func (h *home) lookUpOverdue() {
	items := map[string][]LookupItem{}
	for a, o := range h.openAttempts {
		if !o.deadline.IsZero() && h.now.After(o.deadline) {
			h.expireAnswer(a, o)
			continue
		}
		if o.lookingUp || o.phase == phaseCommitting || h.now.Before(o.lookupAt) {
			continue
		}
		record, ok := h.ledger.Find(h.shardOf(o.ref.job), o.ref.job)
		if !ok {
			delete(h.openAttempts, a)
			continue
		}
		t := &record.Tasks[o.ref.index]
		item := LookupItem{Attempt: a, Job: o.ref.job, Index: o.ref.index, AtMostOnce: !record.Spec.Kind.MayRetry()}
		if t.Permitted {
			item.Worker, item.BootID = t.Worker, t.BootID
		}
		items[o.partition] = append(items[o.partition], item)
	}
	for partition, list := range items {
		h.sendLookup(partition, list)
	}
}

func (h *home) sendLookup(partition string, items []LookupItem) {
	owner, _, ok := h.routing.ownerOf(partition)
	for _, item := range items {
		h.openAttempts[item.Attempt].lookingUp = ok
		h.openAttempts[item.Attempt].lookupAt = h.now.Add(h.cfg.RetryInterval)
	}
	if ok {
		h.send(owner, LookupRequest{Partition: partition, Attempts: items})
	}
}

// expireAnswer ends an answer without an outcome after its deadline. The outcome is set to unknown,
// so that the caller gets a reply. The attempt is withdrawn; a late result is still recorded.
func (h *home) expireAnswer(a task.Attempt, o *openAttempt) {
	record, ok := h.ledger.Find(h.shardOf(o.ref.job), o.ref.job)
	if !ok {
		delete(h.openAttempts, a)
		return
	}
	h.withdraw(o.ref.job, record, []int{o.ref.index}, errkind.DeadlineExceeded)
	h.finish(a, task.Outcome{Attempt: a, State: task.Unknown, Reason: string(errkind.OutcomeUnknown)}, 0)
}

// lookupDone applies an owner's reply to a lookup of attempts.
func (h *home) lookupDone(req LookupRequest, reply PeerReply, err error) {
	for i, item := range req.Attempts {
		o, ok := h.openAttempts[item.Attempt]
		if !ok {
			continue
		}
		o.lookingUp = false
		if err != nil {
			o.lookupAt = h.now.Add(h.cfg.RetryInterval)
			continue
		}
		h.applyLookup(item, o, reply.(LookupReply).States[i])
	}
}

func (h *home) applyLookup(item LookupItem, o *openAttempt, state LookupState) {
	outcome := task.Outcome{Attempt: item.Attempt, Reason: string(errkind.WorkerLost), Worker: item.Worker}
	switch state {
	case LookupKnown:
		o.phase = phasePlaced
		o.lookupAt = h.now.Add(h.cfg.LookupInterval)
		h.withdrawIfCancelled(item)
	case LookupNotRun:
		outcome.State = task.NotRun
		h.finish(item.Attempt, outcome, 0)
	case LookupEnded:
		outcome.State = task.Unknown
		h.finish(item.Attempt, outcome, 0)
	default:
		o.lookupAt = h.now.Add(h.cfg.RetryInterval)
	}
}

// withdrawIfCancelled repeats the withdrawal of a cancelled job's attempt, because the first
// request may have been lost.
func (h *home) withdrawIfCancelled(item LookupItem) {
	record, ok := h.ledger.Find(h.shardOf(item.Job), item.Job)
	if ok && record.Cancelled {
		h.withdraw(item.Job, record, []int{item.Index}, errkind.Cancelled)
	}
}

// expireWaits replies to the calls whose wait has expired before the job is final.
func (h *home) expireWaits() {
	for job, tokens := range h.waiters {
		kept := tokens[:0]
		for _, token := range tokens {
			call, ok := h.waitingCalls[token]
			if !ok {
				continue
			}
			if h.now.Before(call.until) {
				kept = append(kept, token)
				continue
			}
			if view, found := h.ledger.View(h.shardOf(job), job); found {
				h.replyRecord(token, view)
			} else {
				delete(h.waitingCalls, token)
			}
		}
		if len(kept) == 0 {
			delete(h.waiters, job)
		} else {
			h.waiters[job] = kept
		}
	}
}

// shardOpened resumes the jobs of a shard that became active. No assumption is made about attempts
// that a previous home dispatched: each one is looked up.
func (h *home) shardOpened(shard string) {
	for _, record := range h.ledger.Records(shard) {
		job := record.JobKey()
		for i := range record.Tasks {
			h.resumeTask(taskRef{job, i}, record)
		}
	}
}

func (h *home) resumeTask(ref taskRef, record *ledger.Record) {
	t := &record.Tasks[ref.index]
	switch {
	case t.State.IsFinal():
	case t.State == task.Accepted:
		h.undispatched[ref] = &undispatchedTask{retryAt: h.now}
	default:
		t.State = task.Dispatched
		a := record.AttemptOf(ref.index)
		if _, known := h.openAttempts[a]; !known {
			h.openAttempts[a] = &openAttempt{ref: ref, partition: t.Partition, phase: phaseUnclear, lookupAt: h.now}
		}
	}
}

// shardClosed drops the durable jobs of a shard of which this instance is no longer the home. Their
// waiting calls get an error with an unknown outcome; the next home reads the jobs from the store.
func (h *home) shardClosed(steps []ledger.PostCommitStep, records []*ledger.Record) {
	movedErr := errkind.New(errkind.NoOwner, "the home of the job has moved to another instance; retry the request").
		WithRetryAfter(time.Second).WithFate(errkind.FateUnknown)
	for _, s := range steps {
		h.failStep(s, movedErr)
	}
	for _, record := range records {
		job := record.JobKey()
		for _, token := range h.waiters[job] {
			if _, ok := h.waitingCalls[token]; ok {
				delete(h.waitingCalls, token)
				h.reply(token, JobReply{Err: movedErr})
			}
		}
		delete(h.waiters, job)
		for i := range record.Tasks {
			delete(h.openAttempts, record.AttemptOf(i))
			delete(h.undispatched, taskRef{job, i})
		}
	}
}

// failStep ends work that waited for a commit, in a shard that was closed before the commit.
func (h *home) failStep(s ledger.PostCommitStep, movedErr *errkind.Error) {
	switch s.Kind {
	case ledger.StepAccepted, ledger.StepAnswer:
		if _, ok := h.waitingCalls[s.Token]; ok {
			delete(h.waitingCalls, s.Token)
			h.reply(s.Token, JobReply{Err: movedErr})
		}
	case ledger.StepPermitted:
		h.reply(s.Token, PermitReply{})
	case ledger.StepFinished:
		if call, ok := h.reportCalls[s.Token]; ok {
			clear(call.recorded)
			h.attemptReportRecorded(s.Token)
		}
	}
}
