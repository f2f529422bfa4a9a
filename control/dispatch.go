package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// dispatchAll sends every task of a job that has no open attempt to a partition.
// The tasks of a gang go to one partition.
func (h *home) dispatchAll(job ledger.JobKey, record *ledger.Record) {
	for i := range record.Tasks {
		if record.Tasks[i].State == task.Accepted {
			h.dispatch(job, record, i, nil, 0)
		}
	}
}

// dispatch chooses a partition for a task and sends it there once the intent is
// stored. Without a partition the task waits, or is refused if its caller does.
func (h *home) dispatch(job ledger.JobKey, record *ledger.Record, index int, avoid []string, tries int) {
	ref := taskRef{job, index}
	partition, ok := h.partitionFor(record, index, avoid)
	if !ok {
		h.postpone(ref, record, avoid, tries)
		return
	}
	shard := h.shardOf(job)
	a, waits, ok := h.ledger.Dispatch(shard, job, index, partition, ledger.Step{Kind: ledger.StepDispatch, Job: job, Index: index})
	if !ok {
		return
	}
	delete(h.idle, ref)
	h.open[a] = &openAttempt{ref: ref, partition: partition, askAt: h.now.Add(h.cfg.LookupInterval), deadline: answerBy(record, h.cfg.AnswerGrace)}
	if !waits {
		h.place(job, record, index)
	}
}

// partitionFor returns where a task should go. The members of a gang follow the
// first one.
func (h *home) partitionFor(record *ledger.Record, index int, avoid []string) (string, bool) {
	if record.Spec.Kind == task.Gang {
		for i := range record.Tasks {
			if t := &record.Tasks[i]; i != index && t.State == task.Dispatched {
				return t.Partition, true
			}
		}
	}
	return h.chooser.choose(h.now, &record.Spec, avoid)
}

// answerBy returns when the caller of an answer has to be told at the latest.
func answerBy(record *ledger.Record, grace time.Duration) time.Time {
	if record.Spec.Kind.IsDurable() || record.Spec.Deadline.IsZero() {
		return time.Time{}
	}
	return record.Spec.Deadline.Add(grace)
}

// postpone keeps a task for which no partition is available. A caller that waits
// for an answer is told once its deadline would pass: a change of owner leaves a
// partition without one for seconds, and any other instance would ask this same
// home. The bound keeps a flood of requests from filling the memory meanwhile.
func (h *home) postpone(ref taskRef, record *ledger.Record, avoid []string, tries int) {
	const maxShift = 5 // the longest pause is 32 retry intervals
	pause := h.cfg.RetryInterval << min(tries, maxShift)
	if !record.Spec.Kind.IsDurable() {
		pause = h.cfg.RetryInterval
		if len(h.idle) >= maxIdleForAnswers || !h.now.Add(pause).Before(record.Spec.Deadline) {
			h.refuse(ref, errkind.NoOwner)
			return
		}
	}
	h.idle[ref] = &idleTask{tryAt: h.now.Add(pause), tries: tries + 1, avoid: avoid}
}

// maxIdleForAnswers is the number of tasks without a partition above which an
// answer is refused at once.
const maxIdleForAnswers = 1000

// refuse ends a task of a memory-only job as not run.
func (h *home) refuse(ref taskRef, kind errkind.Kind) {
	h.ledger.Refuse(h.now, ref.job, ref.index, kind)
	h.settle(ref.job)
}

// place adds the latest attempt of a task to the batch for its partition.
func (h *home) place(job ledger.JobKey, record *ledger.Record, index int) {
	t := &record.Tasks[index]
	a := record.AttemptOf(index)
	o, ok := h.open[a]
	if !ok || o.phase != openCommitting {
		return
	}
	if record.Cancelled {
		h.finish(a, task.Outcome{Attempt: a, State: task.NotRun, Reason: string(errkind.Cancelled)}, 0)
		return
	}
	o.phase = openSending
	_, epoch, _ := h.routing.ownerOf(t.Partition)
	h.routing.charge(t.Partition, record.Spec.Size)
	gang := 1
	if record.Spec.Kind == task.Gang {
		gang = waitingTasks(record)
	}
	h.batches[t.Partition] = append(h.batches[t.Partition], Placement{
		Attempt: a, Job: job, Index: index, Partition: t.Partition, Epoch: epoch,
		Age: h.now.Sub(record.Spec.SubmittedAt), Gang: gang, Spec: record.Spec,
	})
	h.event(timeline.Event{Type: timeline.TaskPlaced, Team: job.Team, Task: a.Task, Attempt: a.Number, Partition: t.Partition, Epoch: epoch})
}

// waitingTasks returns how many tasks of a gang have not started. Those that
// have finished before another member was lost do not start again.
func waitingTasks(record *ledger.Record) int {
	waiting := 0
	for i := range record.Tasks {
		if s := record.Tasks[i].State; s == task.Accepted || s == task.Dispatched {
			waiting++
		}
	}
	return waiting
}

// flush sends the placements that were collected, one call for each partition.
func (h *home) flush() {
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

// refuseAll is the reply of a partition without owner: nothing was sent.
func refuseAll(placements []Placement) PlaceReply {
	reply := PlaceReply{Refusals: make([]*errkind.Error, len(placements))}
	for i := range placements {
		reply.Refusals[i] = errkind.New(errkind.NoOwner, "partition %s has no owner", placements[i].Partition)
	}
	return reply
}

// placeDone applies what an owner said of a batch. Without a reply, each
// attempt is looked up later.
func (h *home) placeDone(req PlaceRequest, reply PeerReply, err error) {
	for i, p := range req.Placements {
		o, ok := h.open[p.Attempt]
		if !ok || o.phase != openSending {
			continue
		}
		switch {
		case err != nil:
			o.phase = openUnclear
			o.askAt = h.now.Add(h.cfg.RetryInterval)
		case reply.(PlaceReply).Refusals[i] != nil:
			kind := reply.(PlaceReply).Refusals[i].Kind
			h.finish(p.Attempt, task.Outcome{Attempt: p.Attempt, State: task.NotRun, Reason: string(kind)}, 0)
		default:
			o.phase = openPlaced
			o.placedAt = h.now
			o.askAt = h.now.Add(h.cfg.LookupInterval)
		}
	}
}

// finish applies the end of an attempt and returns whether a report with the
// given id has to wait for its commit.
func (h *home) finish(a task.Attempt, outcome task.Outcome, reportID uint64) (waits bool) {
	job, index, ok := ledger.ParseID(a.Task)
	if !ok {
		return false
	}
	shard := h.shardOf(job)
	step := ledger.Step{Kind: ledger.StepFinished, Job: job, Index: index, Token: reportID}
	verdict, waits := h.ledger.Finish(h.now, shard, job, index, outcome, step)
	if verdict == ledger.Dropped {
		h.event(timeline.Event{Type: timeline.AnswerDropped, Team: job.Team, Task: a.Task, Attempt: a.Number, Worker: outcome.Worker})
		return false
	}
	o := h.open[a]
	delete(h.open, a)
	record, _ := h.ledger.Find(shard, job)
	h.event(timeline.Event{Type: endEvent(outcome.State), Team: job.Team, Task: a.Task, Attempt: a.Number, Worker: outcome.Worker, Kind: outcome.Reason})
	if verdict == ledger.Again {
		h.tryAgain(taskRef{job, index}, record, o, outcome)
		return waits
	}
	if record.Spec.Kind == task.Gang {
		h.resumeGang(job, record)
	}
	if !waits {
		h.settle(job)
	}
	return waits
}

func endEvent(s task.State) timeline.Type {
	switch s {
	case task.Finished:
		return timeline.TaskFinished
	case task.NotRun:
		return timeline.TaskNotRun
	default:
		return timeline.TaskUnknown
	}
}

// tryAgain dispatches the next attempt of a task, away from the partition that
// refused the last one. A gang is dispatched again as a whole.
func (h *home) tryAgain(ref taskRef, record *ledger.Record, last *openAttempt, outcome task.Outcome) {
	if record.Spec.Kind == task.Gang {
		h.withdrawGang(ref.job, record)
		return
	}
	var avoid []string
	if last != nil && outcome.State == task.NotRun {
		avoid = []string{last.partition}
		if outcome.Reason == string(errkind.Draining) {
			h.routing.closed(last.partition)
		}
	}
	if !record.Spec.Kind.IsDurable() {
		h.dispatch(ref.job, record, ref.index, avoid, 0)
		return
	}
	tries := int(record.Tasks[ref.index].Attempt)
	h.idle[ref] = &idleTask{tryAt: h.now.Add(h.cfg.RetryInterval << min(tries, 5)), tries: tries, avoid: avoid}
}

// withdrawGang takes the remaining members of a gang back after one of them
// ended without running, and dispatches the gang again once none is open.
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

// resumeGang dispatches the members of a gang that were withdrawn, once no member
// is open. The last open member may end for good: it can finish before its stop
// arrives.
func (h *home) resumeGang(job ledger.JobKey, record *ledger.Record) {
	if record.Cancelled || len(openMembers(record)) > 0 {
		return
	}
	for i := range record.Tasks {
		if record.Tasks[i].State == task.Accepted {
			h.idle[taskRef{job, i}] = &idleTask{tryAt: h.now.Add(h.cfg.RetryInterval << 2)}
		}
	}
}
