package instance

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// admissionTimeout bounds the query to the owner about a submission. A call to another region and back
	// takes 30 ms; an owner that takes longer is overloaded, and the submission is accepted.
	admissionTimeout = 100 * time.Millisecond
	// maxAdmissionQueries bounds the concurrent queries of an instance; further submissions are accepted.
	maxAdmissionQueries = 64
	// recordedTimeout bounds the check whether a rejected submission is already recorded.
	recordedTimeout = 500 * time.Millisecond
)

// askOwner asks the owner whether a submission may be recorded if its queue and team are restricted. It
// returns the rejection, or nil. Without an answer the submission is accepted.
func (i *Instance) askOwner(ctx context.Context, j *job.Job) error {
	if !i.view.isRestricted(schedule.Pair{Queue: j.Queue, Team: j.Team}, time.Now()) {
		return nil
	}
	if i.admissionQueries.Add(1) > maxAdmissionQueries {
		i.admissionQueries.Add(-1)
		return nil
	}
	// A copy, since the control goroutine may still read it after a timeout. The decision does not depend on
	// the spec, which may be long.
	query := *j
	query.Spec = ""
	reply, err := i.callOwner(ctx, admissionTimeout, cell.AdmissionQuery{Job: &query})
	i.admissionQueries.Add(-1)
	if err != nil || reply.NotOwner {
		i.cfg.Journal.Event("admitted without the owner", "job", string(j.ID), "queue", j.Queue, "team", j.Team, "not_owner", reply.NotOwner, "error", err)
		return nil
	}
	if reply.Admission.Rejected && i.mayBeRecorded(ctx, j.ID) {
		return nil // its state is reported to the caller as for any repeated submission
	}
	i.metrics.recordAdmission(reply.Admission)
	if !reply.Admission.Rejected {
		return nil
	}
	i.cfg.Journal.Event("refused", "job", string(j.ID), "why", reply.Admission.Cause, "queue", j.Queue, "team", j.Team, "retry_after_s", reply.Admission.RetryAfter.Seconds())
	return errkind.New(errkind.QueueFull, "the queue %s is too long for job %s to end while it is of use", j.Queue, j.ID).WithRetryAfter(reply.Admission.RetryAfter)
}

// mayBeRecorded reports whether a job is recorded, or cannot be shown not to be. The owner forgets jobs
// that ended a while ago and may not yet know one that was just recorded.
func (i *Instance) mayBeRecorded(ctx context.Context, id job.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, recordedTimeout)
	defer cancel()
	record, final, err := i.readJob(ctx, id)
	return err != nil || record != nil || final != nil
}
