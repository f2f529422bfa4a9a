package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// dispatchAll dispatches every task of a job that has no open attempt. The tasks of a gang all go
// to one partition.
func (h *home) dispatchAll(job ledger.JobKey, record *ledger.Record) {
	for i := range record.Tasks {
		if record.Tasks[i].State == task.Accepted {
			h.dispatch(job, record, i, nil, 0)
		}
	}
}

// dispatch selects a partition for a task and sends the task there once the intent is stored. If no
// partition is available, the task is postponed or refused, see postpone.
func (h *home) dispatch(job ledger.JobKey, record *ledger.Record, index int, avoid []string, retries int) {
	ref := taskRef{job, index}
	partition, ok := h.partitionFor(record, index, avoid)
	if !ok {
		h.postpone(ref, record, avoid, retries)
		return
	}
	shard := h.shardOf(job)
	a, awaitsCommit, ok := h.ledger.Dispatch(shard, job, index, partition, ledger.PostCommitStep{Kind: ledger.StepDispatch, Job: job, Index: index})
	if !ok {
		return
	}
	delete(h.undispatched, ref)
	h.openAttempts[a] = &openAttempt{ref: ref, partition: partition, lookupAt: h.now.Add(h.cfg.LookupInterval), deadline: answerDeadline(record, h.cfg.AnswerGrace)}
	if !awaitsCommit {
		h.batchPlacement(job, record, index)
	}
}

// partitionFor returns the partition for a task. The members of a gang go to the partition of the
// first one that was dispatched.
func (h *home) partitionFor(record *ledger.Record, index int, avoid []string) (string, bool) {
	if record.Spec.Kind == task.Gang {
		for i := range record.Tasks {
			if t := &record.Tasks[i]; i != index && t.State == task.Dispatched {
				return t.Partition, true
			}
		}
	}
	return h.selector.selectPartition(h.now, &record.Spec, avoid)
}

// answerDeadline returns the time by which the caller of an answer must have a reply, or zero if
// there is no deadline.
func answerDeadline(record *ledger.Record, grace time.Duration) time.Time {
	if record.Spec.Kind.IsDurable() || record.Spec.Deadline.IsZero() {
		return time.Time{}
	}
	return record.Spec.Deadline.Add(grace)
}

// postpone schedules a retry for a task for which no partition is available, with exponential
// backoff for durable work. An answer is also retried, unless its deadline would pass before the
// next retry: during a change of owner a partition has no owner for seconds, and any other instance
// would forward the request to this home again. maxUndispatchedForAnswers prevents a burst of
// requests from exhausting the memory in that time.
func (h *home) postpone(ref taskRef, record *ledger.Record, avoid []string, retries int) {
	const maxShift = 5 // the backoff is at most 32 retry intervals
	backoff := h.cfg.RetryInterval << min(retries, maxShift)
	if !record.Spec.Kind.IsDurable() {
		backoff = h.cfg.RetryInterval
		if len(h.undispatched) >= maxUndispatchedForAnswers || !h.now.Add(backoff).Before(record.Spec.Deadline) {
			h.refuse(ref, errkind.NoOwner)
			return
		}
	}
	h.undispatched[ref] = &undispatchedTask{retryAt: h.now.Add(backoff), retries: retries + 1, avoid: avoid}
}

// maxUndispatchedForAnswers is the number of undispatched tasks at which an answer without an
// available partition is refused at once.
const maxUndispatchedForAnswers = 1000

// refuse ends a task of a memory-only job as not run.
func (h *home) refuse(ref taskRef, kind errkind.Kind) {
	h.ledger.Refuse(h.now, ref.job, ref.index, kind)
	h.completeIfFinal(ref.job)
}

// batchPlacement adds the latest attempt of a task to the batch for its partition.
func (h *home) batchPlacement(job ledger.JobKey, record *ledger.Record, index int) {
	t := &record.Tasks[index]
	a := record.AttemptOf(index)
	o, ok := h.openAttempts[a]
	if !ok || o.phase != phaseCommitting {
		return
	}
	if record.Cancelled {
		h.finish(a, task.Outcome{Attempt: a, State: task.NotRun, Reason: string(errkind.Cancelled)}, 0)
		return
	}
	o.phase = phaseSending
	_, epoch, _ := h.routing.ownerOf(t.Partition)
	h.routing.deductPlacement(t.Partition, record.Spec.Size)
	gang := 1
	if record.Spec.Kind == task.Gang {
		gang = unstartedTasks(record)
	}
	h.batches[t.Partition] = append(h.batches[t.Partition], Placement{
		Attempt: a, Job: job, Index: index, Partition: t.Partition, Epoch: epoch,
		Age: h.now.Sub(record.Spec.SubmittedAt), GangSize: gang, Spec: record.Spec,
	})
	h.recordEvent(timeline.Event{Type: timeline.TaskPlaced, Team: job.Team, Task: a.Task, Attempt: a.Number, Partition: t.Partition, Epoch: epoch})
}

// unstartedTasks returns the number of tasks of a gang that have yet to start. Tasks that finished
// before another member was lost are not started again.
func unstartedTasks(record *ledger.Record) int {
	unstarted := 0
	for i := range record.Tasks {
		if s := record.Tasks[i].State; s == task.Accepted || s == task.Dispatched {
			unstarted++
		}
	}
	return unstarted
}

// flushPlacements sends the collected placements, with one call per partition.
func (h *home) flushPlacements() {
	partitions := make([]string, 0, len(h.batches))
	for p := range h.batches {
		partitions = append(partitions, p)
	}
	slices.Sort(partitions)
	for _, p := range partitions {
		placements := h.batches[p]
		delete(h.batches, p)
		owner, _, ok := h.routing.ownerOf(p)
		if !ok {
			h.placeDone(PlaceRequest{Placements: placements}, refuseAll(placements), nil)
			continue
		}
		h.send(owner, PlaceRequest{Placements: placements})
	}
}

// refuseAll returns the reply for placements that were not sent because their partition has no
// owner.
func refuseAll(placements []Placement) PlaceReply {
	reply := PlaceReply{Refusals: make([]*errkind.Error, len(placements))}
	for i := range placements {
		reply.Refusals[i] = errkind.New(errkind.NoOwner, "partition %s has no owner", placements[i].Partition)
	}
	return reply
}

// placeDone applies the reply of an owner to a batch of placements. If there is no reply, each
// attempt is looked up later.
func (h *home) placeDone(req PlaceRequest, reply PeerReply, err error) {
	for i, p := range req.Placements {
		o, ok := h.openAttempts[p.Attempt]
		if !ok || o.phase != phaseSending {
			continue
		}
		switch {
		case err != nil:
			o.phase = phaseUnclear
			o.lookupAt = h.now.Add(h.cfg.RetryInterval)
		case reply.(PlaceReply).Refusals[i] != nil:
			kind := reply.(PlaceReply).Refusals[i].Kind
			h.finish(p.Attempt, task.Outcome{Attempt: p.Attempt, State: task.NotRun, Reason: string(kind)}, 0)
		default:
			o.phase = phasePlaced
			o.placedAt = h.now
			o.lookupAt = h.now.Add(h.cfg.LookupInterval)
		}
	}
}

// finish applies the outcome of an attempt. It returns whether the reply to the report request with
// the given ID has to wait for the commit of the outcome.
func (h *home) finish(a task.Attempt, outcome task.Outcome, reportID uint64) (awaitsCommit bool) {
	job, index, ok := ledger.ParseTaskID(a.Task)
	if !ok {
		return false
	}
	shard := h.shardOf(job)
	step := ledger.PostCommitStep{Kind: ledger.StepFinished, Job: job, Index: index, Token: reportID}
	verdict, awaitsCommit := h.ledger.Finish(h.now, shard, job, index, outcome, step)
	if verdict == ledger.Dropped {
		h.recordEvent(timeline.Event{Type: timeline.ReplyDropped, Team: job.Team, Task: a.Task, Attempt: a.Number, Worker: outcome.Worker})
		return false
	}
	o := h.openAttempts[a]
	delete(h.openAttempts, a)
	record, _ := h.ledger.Find(shard, job)
	h.recordEvent(timeline.Event{Type: outcomeEventType(outcome.State), Team: job.Team, Task: a.Task, Attempt: a.Number, Worker: outcome.Worker, Kind: outcome.Reason})
	if verdict == ledger.Retry {
		h.retry(taskRef{job, index}, record, o, outcome)
		return awaitsCommit
	}
	if record.Spec.Kind == task.Gang {
		h.resumeGang(job, record)
	}
	if !awaitsCommit {
		h.completeIfFinal(job)
	}
	return awaitsCommit
}

func outcomeEventType(s task.State) timeline.Type {
	switch s {
	case task.Finished:
		return timeline.TaskFinished
	case task.NotRun:
		return timeline.TaskNotRun
	default:
		return timeline.TaskUnknown
	}
}

// retry dispatches the next attempt of a task, or schedules its dispatch, and avoids the partition
// at which the last one was not run. A gang is dispatched again once none of its members is open.
func (h *home) retry(ref taskRef, record *ledger.Record, last *openAttempt, outcome task.Outcome) {
	if record.Spec.Kind == task.Gang {
		h.withdrawGang(ref.job, record)
		return
	}
	var avoid []string
	if last != nil && outcome.State == task.NotRun {
		avoid = []string{last.partition}
		if outcome.Reason == string(errkind.Draining) {
			h.routing.markNotReady(last.partition)
		}
	}
	if !record.Spec.Kind.IsDurable() {
		h.dispatch(ref.job, record, ref.index, avoid, 0)
		return
	}
	retries := int(record.Tasks[ref.index].Attempt)
	h.undispatched[ref] = &undispatchedTask{retryAt: h.now.Add(h.cfg.RetryInterval << min(retries, 5)), retries: retries, avoid: avoid}
}

// withdrawGang withdraws the remaining members of a gang after one of them ended and has to be
// retried. The gang is dispatched again once no member is open.
func (h *home) withdrawGang(job ledger.JobKey, record *ledger.Record) {
	if open := openMembers(record); len(open) > 0 {
		h.withdraw(job, record, open, errkind.WorkerLost)
		return
	}
	h.resumeGang(job, record)
}

// openMembers returns the tasks of a gang that have an open attempt.
func openMembers(record *ledger.Record) []int {
	var open []int
	for i := range record.Tasks {
		if s := record.Tasks[i].State; s == task.Dispatched || s == task.Running {
			open = append(open, i)
		}
	}
	return open
}

// resumeGang schedules the dispatch of the withdrawn members of a gang if no member is open. It is
// also called after a final outcome, because the last open member can finish before its stop order
// arrives.
func (h *home) resumeGang(job ledger.JobKey, record *ledger.Record) {
	if record.Cancelled || len(openMembers(record)) > 0 {
		return
	}
	for i := range record.Tasks {
		if record.Tasks[i].State == task.Accepted {
			h.undispatched[taskRef{job, i}] = &undispatchedTask{retryAt: h.now.Add(h.cfg.RetryInterval << 2)}
		}
	}
}
