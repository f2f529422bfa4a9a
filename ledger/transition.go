package ledger

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Dispatch creates the next attempt of a task, at the given partition. If waits is true,
// as it is for durable work, the attempt must not be sent before step is released.
func (l *Ledger) Dispatch(shardName string, key JobKey, index int, partition string, step PostCommitStep) (attempt task.Attempt, waits, ok bool) {
	s, r, t := l.findTask(shardName, key, index)
	if t == nil || t.State != task.Accepted || r.Cancelled {
		return task.Attempt{}, false, false
	}
	t.Attempt++
	t.State = task.Dispatched
	t.Partition = partition
	t.Worker, t.BootID, t.Permitted = "", "", false
	return r.AttemptOf(index), l.registerChange(s, r, step), true
}

// Permit records the one worker on which an at-most-once attempt may start. It returns
// false if the attempt is not the latest, is not in state Dispatched, is already
// permitted on another worker or boot, or if the job was cancelled.
func (l *Ledger) Permit(shardName string, key JobKey, index int, attempt task.Attempt, worker, bootID string, step PostCommitStep) bool {
	s, r, t := l.findTask(shardName, key, index)
	if t == nil || r.Cancelled || t.State != task.Dispatched || r.AttemptOf(index) != attempt {
		return false
	}
	if t.Permitted && (t.Worker != worker || t.BootID != bootID) {
		return false
	}
	t.Worker, t.BootID, t.Permitted = worker, bootID, true
	return l.registerChange(s, r, step)
}

// MarkRunning records that an attempt runs on a worker. This change is not stored: a new
// home receives it again from the owner.
func (l *Ledger) MarkRunning(shardName string, key JobKey, index int, attempt task.Attempt, worker string) bool {
	_, r, t := l.findTask(shardName, key, index)
	if t == nil || r.AttemptOf(index) != attempt || t.State != task.Dispatched {
		return false
	}
	t.State = task.Running
	t.Worker = worker
	return true
}

// Verdict is the consequence of the end of an attempt.
type Verdict int

const (
	Dropped Verdict = iota // the report is late or matches no open attempt
	Final                  // the task has its final state
	Retry                  // the task is retried with another attempt
)

// Finish applies the end of an attempt. An outcome that matches no open attempt is
// dropped. A late result of an attempt that had ended as Unknown is still accepted,
// because it gives the caller more information.
func (l *Ledger) Finish(now time.Time, shardName string, key JobKey, index int, outcome task.Outcome, step PostCommitStep) (verdict Verdict, waits bool) {
	s, r, t := l.findTask(shardName, key, index)
	if t == nil || r.AttemptOf(index) != outcome.Attempt {
		return Dropped, false
	}
	if t.State.IsFinal() && !(t.State == task.Unknown && outcome.State == task.Finished) {
		return Dropped, false
	}
	if l.shouldRetry(r, t, outcome) {
		t.MayHaveRun = t.MayHaveRun || outcome.State != task.NotRun
		if isFailure(outcome) {
			t.Failures++
		}
		t.State = task.Accepted
		t.Worker, t.BootID, t.Permitted = "", "", false
		return Retry, l.registerChange(s, r, step)
	}
	recorded := outcome
	recorded.State = t.finalState(outcome.State)
	t.State = recorded.State
	t.Worker = outcome.Worker
	t.Outcome = &recorded
	if r.IsFinal() {
		r.FinishedAt = now
	}
	l.tasksChanged(now, r)
	return Final, l.registerChange(s, r, step)
}

// finalState returns the final state of a task whose last attempt ended in state s. If
// the last attempt was not run but an earlier one may have been, the state is Unknown.
func (t *TaskRecord) finalState(s task.State) task.State {
	if s == task.NotRun && t.MayHaveRun {
		return task.Unknown
	}
	return s
}

// shouldRetry reports whether another attempt follows the end of an attempt.
func (l *Ledger) shouldRetry(r *Record, t *TaskRecord, outcome task.Outcome) bool {
	if r.Cancelled || t.State.IsFinal() {
		return false
	}
	if r.Spec.Kind == task.LongLived {
		return true
	}
	switch outcome.State {
	case task.NotRun:
		return !isPermanent(outcome.Reason) && (r.Spec.Kind.IsDurable() || t.Attempt < maxAnswerAttempts)
	case task.Unknown:
		return r.Spec.Kind.IsDurable() && r.Spec.Kind.MayRetry()
	case task.Finished:
		mayRetry := r.Spec.Kind.IsDurable() && r.Spec.Kind.MayRetry()
		return mayRetry && (isStoppedForRetry(outcome.Reason) || isFailure(outcome) && t.Failures+1 < maxFailures)
	default:
		return false
	}
}

// maxAnswerAttempts limits the attempts of a task of kind Answer that is repeatedly not
// run. If the last attempt is not run either, the caller is notified.
const maxAnswerAttempts = 3

// maxFailures is the number of failures after which a durable task is final. A worker
// that fails every task it starts is quarantined in the meantime, so a task that fails
// this often is itself the cause.
const maxFailures = 3

func isFailure(outcome task.Outcome) bool {
	return outcome.State == task.Finished && outcome.Reason == string(errkind.TaskFailed)
}

// isStoppedForRetry reports whether the scheduler stopped the task and it should run
// again: another member of its gang was lost, or its team was above its limit.
func isStoppedForRetry(reason string) bool {
	return reason == string(errkind.WorkerLost) || reason == string(errkind.OverLimit)
}

// isPermanent reports whether a task that was not run for this reason would not be run
// by another attempt either. Cancelled is not permanent: an owner reports it for any
// attempt that was withdrawn or looked up before it arrived, and a job that its caller
// cancelled is marked in its record.
func isPermanent(reason string) bool {
	switch errkind.Kind(reason) {
	case errkind.DeadlineExceeded, errkind.KeyWithdrawn, errkind.NeverFits:
		return true
	default:
		return false
	}
}

// Cancel marks a job as cancelled. Tasks without an open attempt become final at once:
// NotRun, or Unknown if an earlier attempt may have run. The indexes of the tasks with
// an open attempt are returned, so that the caller can notify their owners.
func (l *Ledger) Cancel(now time.Time, shardName string, key JobKey, reason errkind.Kind, step PostCommitStep) (open []int, waits, ok bool) {
	s, r, _ := l.findTask(shardName, key, 0)
	if r == nil {
		return nil, false, false
	}
	if r.IsFinal() {
		return nil, false, true
	}
	r.Cancelled = true
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch {
		case t.State == task.Accepted:
			t.State = t.finalState(task.NotRun)
			t.Outcome = &task.Outcome{Attempt: r.AttemptOf(i), State: t.State, Reason: string(reason)}
		case !t.State.IsFinal():
			open = append(open, i)
		}
	}
	if r.IsFinal() {
		r.FinishedAt = now
	}
	l.tasksChanged(now, r)
	return open, l.registerChange(s, r, step), true
}

// Refuse makes a task of a memory-only job final without a further attempt. It has no
// effect on a task with an open attempt.
func (l *Ledger) Refuse(now time.Time, key JobKey, index int, reason errkind.Kind) {
	r, ok := l.memoryOnly.records[key]
	if !ok || r.Tasks[index].State != task.Accepted {
		return
	}
	t := &r.Tasks[index]
	t.State = t.finalState(task.NotRun)
	t.Outcome = &task.Outcome{Attempt: r.AttemptOf(index), State: t.State, Reason: string(reason)}
	if r.IsFinal() {
		r.FinishedAt = now
	}
	l.tasksChanged(now, r)
}

// tasksChanged updates the memory of a job that is not stored.
func (l *Ledger) tasksChanged(now time.Time, r *Record) {
	if !r.Spec.Kind.IsDurable() {
		l.memoryOnly.changed(now, r)
	}
}

// QueueAfterCommit queues step until every change made so far is in the store.
func (l *Ledger) QueueAfterCommit(shardName string, step PostCommitStep) {
	if s, ok := l.shards[shardName]; ok {
		s.releaseAfterLatest(step)
	}
}

// DeleteMemoryOnly deletes the record of a memory-only job that was not run, so that a
// repeated submission is handled as a new job.
func (l *Ledger) DeleteMemoryOnly(now time.Time, key JobKey) { l.memoryOnly.delete(now, key) }

// findTask returns a task with its job and shard. It returns nil values if there is no
// such task or the shard of a durable job is not active. The shard of a memory-only job is
// nil if this process no longer holds it.
func (l *Ledger) findTask(shardName string, key JobKey, index int) (*shard, *Record, *TaskRecord) {
	s, r := l.shards[shardName], l.memoryOnly.records[key]
	if r == nil {
		if s == nil || s.phase != active {
			return nil, nil, nil
		}
		r = s.records[key]
	}
	if r == nil || index < 0 || index >= len(r.Tasks) {
		return nil, nil, nil
	}
	return s, r, &r.Tasks[index]
}
