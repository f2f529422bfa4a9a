package instance

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// admissionTimeout bounds the query to the owner about a submission. A call to another region and back
	// takes 30 ms; an owner that takes longer is overloaded, and the allowance of the instance decides.
	admissionTimeout = 100 * time.Millisecond
	// maxAdmissionQueries bounds the concurrent queries of an instance; the allowance decides about further ones.
	maxAdmissionQueries = 64
	// recordedTimeout bounds the check whether a rejected submission is already recorded.
	recordedTimeout = 500 * time.Millisecond
	// recordLookupRate limits these checks, which are one or two reads of the store each: clients that are refused
	// may return at once, and the store's calls are limited for all instances together.
	recordLookupRate     = 100 // per second
	recordLookupBurst    = 10
	undecidedLogInterval = 100 * time.Millisecond
	// causeNoOwner is the cause of a rejection without an answer of the owner.
	causeNoOwner = "memory_without_owner"
	// retryAfterNoOwner is the retry hint for it. A takeover takes two to three seconds.
	retryAfterNoOwner = 2 * time.Second
)

// memoryCauses are the causes of rejections for want of memory.
var memoryCauses = []string{string(holding.CauseTotal), string(holding.CauseTeam), string(holding.CauseQueue), causeNoOwner}

func isMemoryCause(cause string) bool { return slices.Contains(memoryCauses, cause) }

// admit decides whether a submission may be recorded. The owner is asked if the queue and team are restricted, or
// if the allowance of this instance does not cover the memory of the job. Without an answer the submission is
// admitted if the allowance covers it. taken is the memory that is charged to the allowance, 0 if the owner has
// charged the job.
func (i *Instance) admit(ctx context.Context, j *job.Job) (taken int64, err error) {
	from, bytes := holding.Source{Queue: j.Queue, Team: j.Team}, schedule.MemoryOf(j)
	isRestricted := i.view.isRestricted(schedule.Pair{Queue: j.Queue, Team: j.Team}, time.Now())
	if !isRestricted && i.allowance.take(from, bytes, true) {
		return bytes, nil
	}
	decided, err := i.askOwner(ctx, j)
	switch {
	case err != nil || decided:
		return 0, err
	case i.allowance.take(from, bytes, false):
		return bytes, nil
	}
	return 0, i.refuse(ctx, j, schedule.Admission{Rejected: true, Cause: causeNoOwner, RetryAfter: retryAfterNoOwner})
}

// askOwner asks the owner whether a submission may be recorded, and returns its refusal. decided is false without
// an answer.
func (i *Instance) askOwner(ctx context.Context, j *job.Job) (decided bool, err error) {
	if i.admissionQueries.Add(1) > maxAdmissionQueries {
		i.admissionQueries.Add(-1)
		return false, nil
	}
	// A copy, since the control goroutine may still read it after a timeout. The decision does not depend on
	// the text of the spec.
	query := *j
	query.Spec = ""
	reply, err := i.callOwner(ctx, admissionTimeout, cell.AdmissionQuery{Job: &query, SpecBytes: len(j.Spec)})
	i.admissionQueries.Add(-1)
	if err != nil || reply.NotOwner {
		i.undecided.Do(func() {
			i.cfg.Journal.Event("owner did not decide", "job", string(j.ID), "queue", j.Queue, "team", j.Team, "not_owner", reply.NotOwner, "error", err)
		})
		return false, nil
	}
	if !reply.Admission.Rejected {
		i.metrics.recordAdmission(reply.Admission)
		return true, nil
	}
	return true, i.refuse(ctx, j, reply.Admission)
}

// refuse returns the refusal of a submission, or nil if the job is already recorded: its state is then reported
// to the caller as for any repeated submission.
func (i *Instance) refuse(ctx context.Context, j *job.Job, a schedule.Admission) error {
	if isMemoryCause(a.Cause) {
		return i.refuseForMemory(ctx, j, a)
	}
	if i.lookUpRecord(ctx, j.ID, false) != recordMissing {
		return nil
	}
	i.metrics.recordAdmission(a)
	i.cfg.Journal.Event("refused", "job", string(j.ID), "why", a.Cause, "queue", j.Queue, "team", j.Team, "retry_after_s", a.RetryAfter.Seconds())
	return errkind.New(errkind.QueueFull, "the queue %s is too long for job %s to end while it is of use", j.Queue, j.ID).WithRetryAfter(a.RetryAfter)
}

// refuseForMemory is refuse for want of memory. There may be thousands of such refusals a second: the lookups are
// limited, there is no log line for each, and without a lookup it remains open whether the job was accepted before.
func (i *Instance) refuseForMemory(ctx context.Context, j *job.Job, a schedule.Admission) error {
	state := recordUnknown
	if i.awaitLookup(ctx) {
		state = i.lookUpRecord(ctx, j.ID, a.KnowsEnded)
	}
	switch state {
	case recordExists:
		return nil
	case recordUnknown:
		return errkind.New(errkind.OutcomeUnknown, "job %s is not admitted (%s), and it is not known whether it was accepted before", j.ID, a.Cause)
	}
	i.metrics.recordAdmission(a)
	i.memoryRefusals.add(time.Now(), a.Cause)
	return errkind.New(errkind.Overloaded, "the memory for accepted jobs is exhausted (%s)", a.Cause).WithRetryAfter(a.RetryAfter)
}

// awaitLookup waits until the record of a refused submission may be looked up, at most for recordedTimeout. It
// returns false at once if that would take longer.
func (i *Instance) awaitLookup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recordedTimeout)
	defer cancel()
	return i.recordLookups.Wait(ctx) == nil
}

// recordState is what is known about the record of a job.
type recordState int

const (
	recordMissing recordState = iota
	recordExists
	recordUnknown // it could not be read
)

// lookUpRecord reports whether a job is recorded. The owner forgets jobs that ended a while ago and may not yet
// know one that was just recorded. Records of jobs that have ended are not read if the owner knows them.
func (i *Instance) lookUpRecord(ctx context.Context, id job.ID, knowsEnded bool) recordState {
	ctx, cancel := context.WithTimeout(ctx, recordedTimeout)
	defer cancel()
	keys := []string{jobKey(id), finalKey(id)} // a job that ends between the two reads is found by the second one
	if knowsEnded {
		keys = keys[:1]
	}
	for _, key := range keys {
		_, found, _, err := i.cfg.Store.Get(ctx, key)
		if err != nil {
			return recordUnknown
		}
		if found {
			return recordExists
		}
	}
	return recordMissing
}
