package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// report applies what an owner says of attempts. The reply tells the owner what
// it need not report again, and comes after the commit of durable work.
func (h *home) report(token uint64, req ReportRequest) {
	h.nextID++
	id := h.nextID
	call := &reportCall{token: token, recorded: make([]bool, len(req.Reports))}
	h.reports[id] = call
	for i, r := range req.Reports {
		if _, isVolatile := ledger.HolderOf(r.Attempt.Task); !isVolatile && !h.ledger.IsActive(h.shardOf(r.Job)) {
			continue
		}
		call.recorded[i] = true
		if r.Outcome == nil {
			h.started(r)
			continue
		}
		if h.finish(r.Attempt, *r.Outcome, id) {
			call.waiting++
		} else if h.isPending(r) {
			call.recorded[i] = false
		}
	}
	h.replyWhenRecorded(id)
}

// isPending reports whether the end of a durable attempt may be known here but not
// in the store, as when an owner reports it again while the store is down. The
// owner must not have the worker forget the attempt before it is stored: the next
// home would find no trace of it and take it for not run.
func (h *home) isPending(r AttemptReport) bool {
	_, isVolatile := ledger.HolderOf(r.Attempt.Task)
	return !isVolatile && h.ledger.HasPending(h.shardOf(r.Job))
}

func (h *home) started(r AttemptReport) {
	if !h.ledger.Started(h.shardOf(r.Job), r.Job, r.Index, r.Attempt, r.Worker) {
		return
	}
	if o, ok := h.open[r.Attempt]; ok {
		o.phase = openPlaced
		o.placedAt = time.Time{}
		o.askAt = h.now.Add(h.cfg.LookupInterval)
	}
	h.event(timeline.Event{Type: timeline.TaskStarted, Team: r.Job.Team, Task: r.Attempt.Task, Attempt: r.Attempt.Number, Worker: r.Worker})
}

// recorded notes that one part of a report is in the store.
func (h *home) recorded(id uint64) {
	call, ok := h.reports[id]
	if !ok {
		return
	}
	call.waiting--
	h.replyWhenRecorded(id)
}

func (h *home) replyWhenRecorded(id uint64) {
	call := h.reports[id]
	if call.waiting > 0 {
		return
	}
	delete(h.reports, id)
	h.reply(call.token, ReportReply{Recorded: call.recorded})
}

// permit answers an owner that wants to start at-most-once work. The grant is
// sent after the worker is in the store.
func (h *home) permit(token uint64, req PermitRequest) {
	step := ledger.Step{Kind: ledger.StepPermitted, Job: req.Job, Index: req.Index, Token: token}
	if !h.ledger.Permit(h.shardOf(req.Job), req.Job, req.Index, req.Attempt, req.Worker, req.BootID, step) {
		h.reply(token, PermitReply{})
		return
	}
	if o, ok := h.open[req.Attempt]; ok {
		o.phase = openPlaced
		o.askAt = h.now.Add(h.cfg.LookupInterval)
	}
}

// tick makes the calls that are due.
func (h *home) tick() {
	h.dispatchIdle()
	h.rebalance()
	h.askOwners()
	h.endWaits()
	if h.now.Sub(h.expiredAt) >= expireInterval {
		h.expiredAt = h.now
		h.ledger.Expire(h.now)
	}
}

// expireInterval is between two looks at every record for those past their
// retention, which is minutes.
const expireInterval = 5 * time.Second

func (h *home) dispatchIdle() {
	for ref, t := range h.idle {
		if h.now.Before(t.tryAt) {
			continue
		}
		delete(h.idle, ref)
		if record, ok := h.ledger.Find(h.shardOf(ref.job), ref.job); ok && !record.Cancelled {
			h.dispatch(ref.job, record, ref.index, t.avoid, t.tries)
		}
	}
}

// askOwners looks up the attempts of which nothing was heard for too long, with
// one call for each partition.
func (h *home) askOwners() {
	items := map[string][]LookupItem{}
	for a, o := range h.open {
		if !o.deadline.IsZero() && h.now.After(o.deadline) {
			h.giveUp(a, o)
			continue
		}
		if o.asking || o.phase == openCommitting || h.now.Before(o.askAt) {
			continue
		}
		record, ok := h.ledger.Find(h.shardOf(o.ref.job), o.ref.job)
		if !ok {
			delete(h.open, a)
			continue
		}
		t := &record.Tasks[o.ref.index]
		item := LookupItem{Attempt: a, Job: o.ref.job, Index: o.ref.index, Once: !record.Spec.Kind.MayRepeat()}
		if t.Permitted {
			item.Worker, item.BootID = t.Worker, t.BootID
		}
		items[o.partition] = append(items[o.partition], item)
	}
	for partition, list := range items {
		h.ask(partition, list)
	}
}

func (h *home) ask(partition string, items []LookupItem) {
	owner, _, ok := h.routing.ownerOf(partition)
	for _, item := range items {
		h.open[item.Attempt].asking = ok
		h.open[item.Attempt].askAt = h.now.Add(h.cfg.RetryInterval)
	}
	if ok {
		h.send(owner, LookupRequest{Partition: partition, Attempts: items})
	}
}

// giveUp tells the caller of an answer that its deadline has passed without
// news. The attempt is taken back; a late result still reaches the record.
func (h *home) giveUp(a task.Attempt, o *openAttempt) {
	record, ok := h.ledger.Find(h.shardOf(o.ref.job), o.ref.job)
	if !ok {
		delete(h.open, a)
		return
	}
	h.withdraw(o.ref.job, record, []int{o.ref.index}, errkind.DeadlineExceeded)
	h.finish(a, task.Outcome{Attempt: a, State: task.Unknown, Reason: string(errkind.OutcomeUnknown)}, 0)
}

// lookupDone applies what an owner knows of attempts.
func (h *home) lookupDone(req LookupRequest, reply PeerReply, err error) {
	for i, item := range req.Attempts {
		o, ok := h.open[item.Attempt]
		if !ok {
			continue
		}
		o.asking = false
		if err != nil {
			o.askAt = h.now.Add(h.cfg.RetryInterval)
			continue
		}
		h.apply(item, o, reply.(LookupReply).States[i])
	}
}

func (h *home) apply(item LookupItem, o *openAttempt, state LookupState) {
	outcome := task.Outcome{Attempt: item.Attempt, Reason: string(errkind.WorkerLost), Worker: item.Worker}
	switch state {
	case LookupKnown:
		o.phase = openPlaced
		o.askAt = h.now.Add(h.cfg.LookupInterval)
		h.withdrawIfCancelled(item)
	case LookupNotRun:
		outcome.State = task.NotRun
		h.finish(item.Attempt, outcome, 0)
	case LookupEnded:
		outcome.State = task.Unknown
		h.finish(item.Attempt, outcome, 0)
	default:
		o.askAt = h.now.Add(h.cfg.RetryInterval)
	}
}

// withdrawIfCancelled repeats a cancellation whose first message may have been lost.
func (h *home) withdrawIfCancelled(item LookupItem) {
	record, ok := h.ledger.Find(h.shardOf(item.Job), item.Job)
	if ok && record.Cancelled {
		h.withdraw(item.Job, record, []int{item.Index}, errkind.Cancelled)
	}
}

// endWaits replies to callers whose wait is over though the job is not final.
func (h *home) endWaits() {
	for job, tokens := range h.waiters {
		kept := tokens[:0]
		for _, token := range tokens {
			call, ok := h.calls[token]
			if !ok {
				continue
			}
			if h.now.Before(call.until) {
				kept = append(kept, token)
				continue
			}
			if view, found := h.ledger.View(h.shardOf(job), job); found {
				h.answer(token, view)
			} else {
				delete(h.calls, token)
			}
		}
		if len(kept) == 0 {
			delete(h.waiters, job)
		} else {
			h.waiters[job] = kept
		}
	}
}

// opened resumes the jobs of a shard that became active. Every attempt that a
// former home sent is looked up, never guessed.
func (h *home) opened(shard string) {
	for _, record := range h.ledger.Records(shard) {
		job := record.JobKey()
		for i := range record.Tasks {
			h.resume(taskRef{job, i}, record)
		}
	}
}

func (h *home) resume(ref taskRef, record *ledger.Record) {
	t := &record.Tasks[ref.index]
	switch {
	case t.State.IsFinal():
	case t.State == task.Accepted:
		h.idle[ref] = &idleTask{tryAt: h.now}
	default:
		t.State = task.Dispatched
		a := record.AttemptOf(ref.index)
		if _, known := h.open[a]; !known {
			h.open[a] = &openAttempt{ref: ref, partition: t.Partition, phase: openUnclear, askAt: h.now}
		}
	}
}

// closed drops the durable jobs of a shard that this instance is no longer the
// home of. Callers are told that the outcome is unknown here; the next home knows.
func (h *home) closed(steps []ledger.Step, records []*ledger.Record) {
	lost := errkind.New(errkind.NoOwner, "the home of the request has moved; ask again").
		WithRetryAfter(time.Second).WithFate(errkind.FateUnknown)
	for _, s := range steps {
		h.drop(s, lost)
	}
	for _, record := range records {
		job := record.JobKey()
		for _, token := range h.waiters[job] {
			if _, ok := h.calls[token]; ok {
				delete(h.calls, token)
				h.reply(token, JobReply{Err: lost})
			}
		}
		delete(h.waiters, job)
		for i := range record.Tasks {
			delete(h.open, record.AttemptOf(i))
			delete(h.idle, taskRef{job, i})
		}
	}
}

func (h *home) drop(s ledger.Step, lost *errkind.Error) {
	switch s.Kind {
	case ledger.StepAccepted, ledger.StepAnswer:
		if _, ok := h.calls[s.Token]; ok {
			delete(h.calls, s.Token)
			h.reply(s.Token, JobReply{Err: lost})
		}
	case ledger.StepPermitted:
		h.reply(s.Token, PermitReply{})
	case ledger.StepFinished:
		if call, ok := h.reports[s.Token]; ok {
			clear(call.recorded)
			h.recorded(s.Token)
		}
	}
}
