package instance

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/tombstone"
)

// Cancel cancels a job. It returns without an error once the cancellation, or another final state, is recorded, and
// with the kind errkind.UnknownTask once it is certain that no submission of the job by the same customer that was
// sent before can be recorded.
func (i *Instance) Cancel(ctx context.Context, queue, team string, id job.ID) error {
	reply, err := i.callOwner(ctx, i.cfg.Timing.CancelTimeout, cell.Cancel{Job: id, Queue: queue, Team: team})
	if err == nil && reply.Found {
		i.cfg.Journal.Event("cancelled", "job", string(id), "by", "owner")
		return nil
	}
	from := job.Origin{Queue: queue, Team: team}
	if retryAfter := i.cancelBudget.Take(time.Now(), from); retryAfter > 0 {
		i.metrics.count(limitedCancelsMetric)
		return errkind.New(errkind.OverLimit, "too many cancellations of jobs that the owner does not know").WithRetryAfter(retryAfter)
	}
	for ctx.Err() == nil {
		settled, err := i.recordCancel(ctx, from, id)
		if settled {
			return err
		}
		sleep(ctx, acceptRetryDelay)
	}
	return errkind.New(errkind.OutcomeUnknown, "the cancellation of job %s was not confirmed in time", id)
}

// recordCancel writes a cancellation that the owner, or its successor, reads from the store, or a tombstone if the
// job is not recorded. settled is false if the caller must retry.
func (i *Instance) recordCancel(ctx context.Context, from job.Origin, id job.ID) (settled bool, err error) {
	records, err := i.readJob(ctx, id)
	switch {
	case err != nil:
		return false, nil // Cancel retries until its deadline
	case records.job != nil && !from.MayAccess(records.job.Job.Origin()):
		// While the record of this job, or of its end, exists, no submission of the same ID is recorded.
		return true, unknownJob(id)
	case records.job != nil:
		return i.recordCancelOfJob(ctx, from, records.job), nil
	case records.final != nil && !records.final.IsTombstone():
		_, err := checkVisible(records.final.State, records.final.Queue, records.final.Team, from.Queue, from.Team, id)
		return true, err
	case tombstone.IsCurrent(records.final, from, time.Now()):
		return true, unknownJob(id)
	default:
		return i.requestTombstone(ctx, from, id, records)
	}
}

// recordCancelOfJob writes the cancellation of a recorded job and reports whether it is durable.
func (i *Instance) recordCancelOfJob(ctx context.Context, from job.Origin, recorded *cell.Submission) bool {
	id := recorded.Job.ID
	result, err := i.cfg.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: jobKey(id), ModRevision: recorded.Revision}},
		Puts:     []store.Put{{Key: cancelKey(id), Value: []byte("{}")}},
	})
	if err != nil || !result.Succeeded {
		if err != nil && !errors.Is(err, store.ErrUnavailable) {
			i.logStoreFailure("record a cancellation", err)
		}
		return false
	}
	i.cancelBudget.GiveBack(time.Now(), from)
	i.cfg.Journal.Event("cancelled", "job", string(id), "by", "record")
	return true
}

// requestTombstone writes a tombstone that prevents late submissions of a job, on the condition that the records of
// the job are still as they were read. settled is false if they are not, or if it could not be written.
func (i *Instance) requestTombstone(ctx context.Context, from job.Origin, id job.ID, records jobRecords) (settled bool, err error) {
	extended, ok := tombstone.Extend(records.final, from, time.Now())
	if !ok {
		return true, errkind.New(errkind.OverLimit, "job %s was cancelled by %d teams or queues before it was recorded", id, tombstone.MaxOrigins).WithRetryAfter(tombstoneTTL)
	}
	value, err := job.Encode(extended)
	if err != nil {
		return true, err
	}
	pending := &pendingTombstone{id: id, value: value, formerRevision: records.finalRevision, done: make(chan error, 1)}
	select {
	case i.tombstones <- pending:
	default:
		return true, errkind.New(errkind.QueueFull, "%d cancellations are already waiting to be recorded", tombstoneQueueLength).WithRetryAfter(retryAfterStore)
	}
	select {
	case err = <-pending.done:
	case <-ctx.Done():
		return false, nil
	}
	if err != nil {
		return false, nil // Cancel retries until its deadline
	}
	i.metrics.count(tombstonesMetric)
	i.cfg.Journal.Event("cancelled", "job", string(id), "by", "tombstone", "queue", from.Queue, "team", from.Team)
	return true, unknownJob(id)
}
