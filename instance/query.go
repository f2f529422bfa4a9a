package instance

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// State returns the state of a job of a queue. team is the team to which the API key
// belongs, or empty if the queue is open.
func (i *Instance) State(ctx context.Context, queue, team string, id job.ID) (job.State, error) {
	if status, found := i.view.status(id, time.Now()); found {
		return checkVisible(status.State, status.Queue, status.Team, queue, team, id)
	}
	epoch := i.view.currentEpoch()
	reply, err := i.callOwner(ctx, i.cfg.Timing.OwnerRequestTimeout, cell.JobStateQuery{Job: id, Instance: i.cfg.Name})
	if err != nil {
		i.cfg.Journal.Event("owner did not answer", "job", string(id), "error", err)
	}
	if err == nil && reply.Found {
		i.view.addQueried(schedule.Status{Job: id, State: reply.State, Queue: reply.Queue, Team: reply.Team}, epoch, time.Now())
		return checkVisible(reply.State, reply.Queue, reply.Team, queue, team, id)
	}
	records, err := i.readJob(ctx, id)
	record, final := records.job, records.final
	last, known := i.view.lastStatus(id)
	switch {
	case err != nil && known:
		return checkVisible(last.State, last.Queue, last.Team, queue, team, id)
	case err != nil:
		return "", errkind.New(errkind.StoreUnavailable, "the state of job %s could be read neither from the owner nor from the store", id).WithRetryAfter(retryAfterStore)
	case final != nil && final.IsTombstone():
		return "", unknownJob(id)
	case final != nil:
		i.view.addFinal(schedule.Status{Job: id, State: final.State, Queue: final.Queue, Team: final.Team}, time.Now())
		return checkVisible(final.State, final.Queue, final.Team, queue, team, id)
	case record == nil:
		return "", unknownJob(id)
	case known && last.State == job.Running:
		return checkVisible(job.Running, record.Job.Queue, record.Job.Team, queue, team, id)
	}
	state, err := i.recordedState(ctx, id)
	switch {
	case err != nil && known:
		state = last.State
	case err != nil:
		return "", errkind.New(errkind.StoreUnavailable, "the progress of job %s could not be read from the store", id).WithRetryAfter(retryAfterStore)
	}
	return checkVisible(state, record.Job.Queue, record.Job.Team, queue, team, id)
}

// recordedState returns the state of an unfinished job according to its record of progress.
func (i *Instance) recordedState(ctx context.Context, id job.ID) (job.State, error) {
	kv, found, _, err := i.cfg.Store.Get(ctx, progressKey(id))
	if err != nil || !found {
		return job.Pending, err
	}
	progress, err := job.Decode[job.Progress](kv.Value)
	if err != nil || !progress.Started {
		return job.Pending, err
	}
	return job.Running, nil
}

func unknownJob(id job.ID) error {
	return errkind.New(errkind.UnknownTask, "there is no job %s", id)
}

// checkVisible reports jobs of other queues and teams as unknown.
func checkVisible(state job.State, jobQueue, jobTeam, queue, team string, id job.ID) (job.State, error) {
	if from := (job.Origin{Queue: queue, Team: team}); !from.MayAccess(job.Origin{Queue: jobQueue, Team: jobTeam}) {
		return "", unknownJob(id)
	}
	return state, nil
}

// jobRecords are the records of a job: of the accepted job, of its end or a tombstone, or none.
type jobRecords struct {
	job           *cell.Submission
	final         *job.Final // of an ended job, or a tombstone; read only if job is nil
	finalRevision int64      // 0 if there is none
}

// readJob reads the records of a job. The record of the accepted job is read first: if
// the job ends between the two reads, the second one finds its final record.
func (i *Instance) readJob(ctx context.Context, id job.ID) (jobRecords, error) {
	kv, found, _, err := i.cfg.Store.Get(ctx, jobKey(id))
	if err != nil {
		return jobRecords{}, err
	}
	if found {
		record, err := job.DecodeJob(kv.Value)
		if err != nil {
			return jobRecords{}, err
		}
		return jobRecords{job: &cell.Submission{Job: record, Revision: kv.ModRevision}}, nil
	}
	kv, found, _, err = i.cfg.Store.Get(ctx, finalKey(id))
	if err != nil || !found {
		return jobRecords{}, err
	}
	final, err := job.Decode[job.Final](kv.Value)
	return jobRecords{final: final, finalRevision: kv.ModRevision}, err
}

// queueLengthLogInterval is the minimum time between log lines on answers about queue lengths.
const queueLengthLogInterval = 500 * time.Millisecond

// QueueLength returns how many accepted jobs of a queue have not started.
func (i *Instance) QueueLength(queue string) (int, error) {
	now := time.Now()
	n, current := i.view.queueLength(queue, now)
	if last := i.queueLengthLoggedAt.Load(); now.UnixNano()-last >= int64(queueLengthLogInterval) && i.queueLengthLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		epoch, sequence, age := i.view.origin(now)
		i.cfg.Journal.Event("queue_length", "queue", queue, "pending", n, "current", current, "fence", epoch, "sequence", sequence, "age_ms", age.Milliseconds())
	}
	if !current {
		return 0, errkind.New(errkind.NoOwner, "no queue lengths were received from the owner within %s", maxViewAge).WithRetryAfter(retryAfterStore)
	}
	return n, nil
}
