package ledger

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Dispatch gives a task its next attempt at a partition. For durable work the
// attempt must not be sent before step is released; waits says so.
func (l *Ledger) Dispatch(shardName string, key JobKey, index int, partition string, step Step) (a task.Attempt, waits, ok bool) {
	s, r, t := l.task(shardName, key, index)
	if t == nil || t.State != task.Accepted || r.Cancelled {
		return task.Attempt{}, false, false
	}
	t.Attempt++
	t.State = task.Dispatched
	t.Partition = partition
	t.Worker, t.BootID, t.Permitted = "", "", false
	return r.AttemptOf(index), l.change(s, r, step), true
}

// Permit records the one worker on which an at-most-once attempt may start.
// It is refused if the attempt is not the latest, is already permitted
// elsewhere, or was cancelled.
func (l *Ledger) Permit(shardName string, key JobKey, index int, a task.Attempt, worker, bootID string, step Step) bool {
	s, r, t := l.task(shardName, key, index)
	if t == nil || r.Cancelled || t.State != task.Dispatched || r.AttemptOf(index) != a {
		return false
	}
	if t.Permitted && (t.Worker != worker || t.BootID != bootID) {
		return false
	}
	t.Worker, t.BootID, t.Permitted = worker, bootID, true
	return l.change(s, r, step)
}

// Started notes that an attempt runs on a worker. It is not stored: a new home
// learns it again from the owner.
func (l *Ledger) Started(shardName string, key JobKey, index int, a task.Attempt, worker string) bool {
	_, r, t := l.task(shardName, key, index)
	if t == nil || r.AttemptOf(index) != a || t.State != task.Dispatched {
		return false
	}
	t.State = task.Running
	t.Worker = worker
	return true
}

// Verdict is what follows from the end of an attempt.
type Verdict int

// The verdicts.
const (
	Dropped Verdict = iota // matches no open attempt: late or crossed
	Final                  // the task has its final state
	Again                  // the task waits for another attempt
)

// Finish applies the end of an attempt. An outcome that matches no open attempt
// is dropped. A late result of an attempt that was given up as unknown is still
// accepted, since it tells the caller more than before.
func (l *Ledger) Finish(now time.Time, shardName string, key JobKey, index int, o task.Outcome, step Step) (v Verdict, waits bool) {
	s, r, t := l.task(shardName, key, index)
	if t == nil || r.AttemptOf(index) != o.Attempt {
		return Dropped, false
	}
	if t.State.IsFinal() && !(t.State == task.Unknown && o.State == task.Finished) {
		return Dropped, false
	}
	if l.mayTryAgain(r, t, o) {
		t.MayHaveRun = t.MayHaveRun || o.State != task.NotRun
		if isFailure(o) {
			t.Failures++
		}
		t.State = task.Accepted
		t.Worker, t.BootID, t.Permitted = "", "", false
		return Again, l.change(s, r, step)
	}
	kept := o
	kept.State = t.endState(o.State)
	t.State = kept.State
	t.Worker = o.Worker
	t.Outcome = &kept
	if r.IsFinal() {
		r.FinishedAt = now
	}
	return Final, l.change(s, r, step)
}

// endState returns the final state of a task whose last attempt ended in state s.
// That the last attempt was not run says nothing about the earlier ones.
func (t *TaskRecord) endState(s task.State) task.State {
	if s == task.NotRun && t.MayHaveRun {
		return task.Unknown
	}
	return s
}

// mayTryAgain reports whether the end of an attempt leads to another one.
func (l *Ledger) mayTryAgain(r *Record, t *TaskRecord, o task.Outcome) bool {
	if r.Cancelled || t.State.IsFinal() {
		return false
	}
	if r.Spec.Kind == task.LongLived {
		return true
	}
	switch o.State {
	case task.NotRun:
		return !isDefinite(o.Reason) && (r.Spec.Kind.IsDurable() || t.Attempt < maxAnswerAttempts)
	case task.Unknown:
		return r.Spec.Kind.IsDurable() && r.Spec.Kind.MayRepeat()
	case task.Finished:
		mayRepeat := r.Spec.Kind.IsDurable() && r.Spec.Kind.MayRepeat()
		return mayRepeat && (isStoppedForLater(o.Reason) || isFailure(o) && t.Failures+1 < maxFailures)
	default:
		return false
	}
}

// maxAnswerAttempts bounds how often an answer that was not run is sent to
// another partition before its caller is told.
const maxAnswerAttempts = 3

// maxFailures is after how many failures a durable task is given its last outcome.
// A worker that fails everything it starts is found out and avoided meanwhile, so
// that a task fails this often only if it is at fault itself.
const maxFailures = 3

func isFailure(o task.Outcome) bool {
	return o.State == task.Finished && o.Reason == string(errkind.TaskFailed)
}

// isStoppedForLater reports whether we stopped a task that should run again:
// another member of its gang was lost, or its team was above its limit.
func isStoppedForLater(reason string) bool {
	return reason == string(errkind.WorkerLost) || reason == string(errkind.OverLimit)
}

// isDefinite reports whether a task that was not run for this reason would not
// be run by another attempt either. Cancelled is not among them: an owner says so
// of any attempt that was withdrawn or looked up before it arrived, and a job whose
// caller cancelled it is marked in its record.
func isDefinite(reason string) bool {
	switch errkind.Kind(reason) {
	case errkind.DeadlineExceeded, errkind.KeyWithdrawn, errkind.NeverFits:
		return true
	default:
		return false
	}
}

// Cancel marks a job as cancelled. Tasks without an open attempt become NotRun
// at once; the indexes of the others are returned, so that their owners are told.
func (l *Ledger) Cancel(now time.Time, shardName string, key JobKey, reason errkind.Kind, step Step) (open []int, waits, ok bool) {
	s, r, _ := l.task(shardName, key, 0)
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
			t.State = t.endState(task.NotRun)
			t.Outcome = &task.Outcome{Attempt: r.AttemptOf(i), State: t.State, Reason: string(reason)}
		case !t.State.IsFinal():
			open = append(open, i)
		}
	}
	if r.IsFinal() {
		r.FinishedAt = now
	}
	return open, l.change(s, r, step), true
}

// Refuse ends a task of a memory-only job that has no open attempt, without
// another one.
func (l *Ledger) Refuse(now time.Time, key JobKey, index int, reason errkind.Kind) {
	r, ok := l.volatile[key]
	if !ok || r.Tasks[index].State != task.Accepted {
		return
	}
	t := &r.Tasks[index]
	t.State = t.endState(task.NotRun)
	t.Outcome = &task.Outcome{Attempt: r.AttemptOf(index), State: t.State, Reason: string(reason)}
	if r.IsFinal() {
		r.FinishedAt = now
	}
}

// After has step released once every change made so far is in the store.
func (l *Ledger) After(shardName string, step Step) {
	if s, ok := l.shards[shardName]; ok {
		s.after(step)
	}
}

// Forget removes the record of a memory-only job that was not run, so that a
// repeat is tried afresh.
func (l *Ledger) Forget(key JobKey) { delete(l.volatile, key) }

func (l *Ledger) task(shardName string, key JobKey, index int) (*shard, *Record, *TaskRecord) {
	s, r := l.shards[shardName], l.volatile[key]
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
