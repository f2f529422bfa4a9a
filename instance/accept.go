package instance

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/tombstone"
)

const (
	// acceptQueueLength bounds the submissions that wait to be written.
	acceptQueueLength = 512
	// submissionWriters is the number of concurrent writers, so that one stalled
	// connection to the store does not block every submission.
	submissionWriters = 3
	// maxBatch bounds the jobs of one transaction: each takes two conditions and one
	// write of the 32 entries that a transaction may have.
	maxBatch = 10
	// acceptTimeout bounds one transaction; a slow store responds within 300 ms.
	acceptTimeout = 800 * time.Millisecond
	// acceptRetryDelay is the delay before a failed transaction is retried.
	acceptRetryDelay = 40 * time.Millisecond
	// After watchTimeout without data from the watches, or writeTimeout without a
	// response to a write, submissions are rejected immediately. A watch receives data
	// every second, which may itself be a second old; a slow store responds to a write
	// within 300 ms.
	watchTimeout = 2500 * time.Millisecond
	writeTimeout = 600 * time.Millisecond
	// probeInterval is the time between submissions that are let through to an
	// unresponsive store to detect its recovery.
	probeInterval = 250 * time.Millisecond
	// retryAfterStore is the retry hint for a submission that could not be recorded;
	// the caller may retry at any instance.
	retryAfterStore = time.Second
	// retryAfterOverLimit is the retry hint for a team that exceeds its share; bursts
	// last a few seconds.
	retryAfterOverLimit = 2 * time.Second
)

// pendingSubmission is a submission that waits to be recorded.
type pendingSubmission struct {
	ctx    context.Context
	job    *job.Job
	record []byte
	taken  int64 // see admit
	done   chan error
	// finalRevision is the expected revision of the final record of the ID: 0 unless there is a tombstone that
	// does not concern the submission.
	finalRevision int64
}

func (p *pendingSubmission) jobID() job.ID { return p.job.ID }

// Submit records a job and returns once it is durable, or if it already is. After an
// error with the fate "not run", nothing of the job is recorded and no write of it is
// in flight.
func (i *Instance) Submit(ctx context.Context, j *job.Job) error {
	began := time.Now()
	err := i.submit(ctx, j)
	i.metrics.recordSubmission(time.Since(began), err)
	return err
}

func (i *Instance) submit(ctx context.Context, j *job.Job) error {
	if err := j.Check(); err != nil {
		return errkind.New(errkind.InvalidRequest, "%v", err)
	}
	if unresponsive := i.storeUnresponsiveFor(clock.Now()); unresponsive > 0 && !i.allowProbe(clock.Now()) {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "store_silent", "silent_ms", unresponsive.Milliseconds())
		return errkind.New(errkind.StoreUnavailable, "the store does not answer").WithRetryAfter(retryAfterStore)
	}
	if !i.view.admit(j.Team, time.Now()) {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "team_rate", "team", j.Team)
		return errkind.New(errkind.OverLimit, "team %s exceeds its share of submissions while its jobs are waiting", j.Team).WithRetryAfter(retryAfterOverLimit)
	}
	taken, err := i.admit(ctx, j)
	if err != nil {
		return err
	}
	err = i.record(ctx, j, taken)
	switch {
	case err == nil:
	case errkind.From(err).Fate() == errkind.FateNotRun:
		i.allowance.giveBack(taken)
	default:
		i.allowance.linger(taken, time.Now())
	}
	return err
}

// record writes an admitted job and returns once it is durable, or if it already is.
func (i *Instance) record(ctx context.Context, j *job.Job, taken int64) error {
	j.AcceptedBy, j.Work = i.cfg.Name, j.WorkDigest()
	record, err := job.Encode(j)
	if err != nil {
		return err
	}
	if limit := i.cfg.MaxValueBytes; limit > 0 && len(record) > limit {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "record_too_large", "bytes", len(record), "limit", limit)
		return errkind.New(errkind.RequestTooLarge, "the record of job %s has %d bytes, the store accepts %d", j.ID, len(record), limit)
	}
	pending := &pendingSubmission{ctx: ctx, job: j, record: record, taken: taken, done: make(chan error, 1)}
	select {
	case i.submissions <- pending:
	default:
		return errkind.New(errkind.QueueFull, "%d submissions are already waiting to be recorded", acceptQueueLength).WithRetryAfter(retryAfterStore)
	}
	return <-pending.done
}

// storeUnresponsiveFor returns how long the store has not responded, or 0 if it responds.
func (i *Instance) storeUnresponsiveFor(now time.Time) time.Duration {
	if sinceSync := now.Sub(i.loop.Snapshot().SyncedAt); sinceSync > watchTimeout {
		return sinceSync
	}
	if since := i.unansweredSince.Load(); since != 0 {
		if waited := now.Sub(time.Unix(0, since)); waited > writeTimeout {
			return waited
		}
	}
	return 0
}

// allowProbe reports whether a submission may probe an unresponsive store. It allows at most
// one probe per probeInterval.
func (i *Instance) allowProbe(now time.Time) bool {
	last := i.probedAt.Load()
	return now.Sub(time.Unix(0, last)) >= probeInterval && i.probedAt.CompareAndSwap(last, now.UnixNano())
}

// recordSubmissions records the waiting submissions in batches until ctx ends.
func (i *Instance) recordSubmissions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-i.submissions:
			for first != nil {
				var batch []*pendingSubmission
				batch, first = collectBatch(first, i.submissions)
				i.recordBatch(ctx, batch)
			}
		}
	}
}

// collectBatch returns the waiting writes for one transaction, which may contain each key only once. next is a
// write for a job that is already in the batch; it is the zero value if there is none.
func collectBatch[T interface{ jobID() job.ID }](first T, waiting <-chan T) (batch []T, next T) {
	batch = []T{first}
	var none T
	for len(batch) < maxBatch {
		select {
		case write := <-waiting:
			if slices.ContainsFunc(batch, func(w T) bool { return w.jobID() == write.jobID() }) {
				return batch, write
			}
			batch = append(batch, write)
		default:
			return batch, none
		}
	}
	return batch, none
}

// recordBatch writes a batch and retries until every submission has been replied to, at
// the latest after the deadline of its caller.
func (i *Instance) recordBatch(ctx context.Context, batch []*pendingSubmission) {
	for len(batch) > 0 {
		began := clock.Now()
		i.unansweredSince.CompareAndSwap(0, began.UnixNano())
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		result, err := store.CommitHedged(callCtx, i.cfg.Store, acceptTxn(batch), commitHedge)
		cancel()
		if !errors.Is(err, store.ErrUnclear) {
			i.unansweredSince.Store(0)
		}
		switch {
		case err == nil && result.Succeeded:
			i.writeFailures.Store(0)
			for _, submission := range batch {
				i.view.addAccepted(submission.job, time.Now())
				i.confirmAccepted(submission, result.Revision)
			}
			return
		case err == nil:
			batch = i.resolveRecorded(batch, result.Current)
			continue
		}
		i.logStoreFailure("record jobs", err)
		batch = i.handleWriteFailure(ctx, batch, err)
		sleep(ctx, acceptRetryDelay)
	}
}

func acceptTxn(batch []*pendingSubmission) store.Txn {
	txn := store.Txn{}
	for _, submission := range batch {
		key := jobKey(submission.job.ID)
		txn.Compares = append(txn.Compares, store.Compare{Key: key}, store.Compare{Key: finalKey(submission.job.ID), ModRevision: submission.finalRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: submission.record})
	}
	return txn
}

// confirmAccepted notifies the caller and the owner that a job is durable. An owner that
// cannot be reached reads the job from the store.
func (i *Instance) confirmAccepted(submission *pendingSubmission, revision int64) {
	submission.done <- nil
	i.cfg.Journal.Event("accepted", "job", string(submission.job.ID), "queue", submission.job.Queue, "team", submission.job.Team, "revision", revision)
	go func() {
		request := cell.Submit{Submission: cell.Submission{Job: submission.job, Revision: revision}}
		reply, err := i.callOwner(i.ctx, i.cfg.Timing.OwnerRequestTimeout, request)
		if err == nil && !reply.NotOwner {
			i.allowance.confirm(submission.taken)
			return
		}
		i.allowance.linger(submission.taken, time.Now())
		i.cfg.Journal.Event("owner was not notified of the job", "job", string(submission.job.ID), "not_owner", reply.NotOwner, "error", err)
	}()
}

// resolveRecorded replies to the submissions whose job is already recorded and returns
// the others.
func (i *Instance) resolveRecorded(batch []*pendingSubmission, current []store.KeyValue) []*pendingSubmission {
	recorded := make(map[string]store.KeyValue, len(current))
	for _, kv := range current {
		recorded[kv.Key] = kv
	}
	var rest []*pendingSubmission
	for _, submission := range batch {
		if kv, open := recorded[jobKey(submission.job.ID)]; open {
			i.resolveDuplicate(submission, kv)
			continue
		}
		kv, ended := recorded[finalKey(submission.job.ID)] // the zero value if there is none
		if !ended || !i.resolveEnded(submission, kv) {
			submission.finalRevision = kv.ModRevision
			rest = append(rest, submission)
		}
	}
	return rest
}

// resolveEnded replies to a submission whose job has ended or was cancelled before it was recorded. It returns
// false if the final record is a tombstone that does not concern the submission.
func (i *Instance) resolveEnded(submission *pendingSubmission, kv store.KeyValue) bool {
	id := submission.job.ID
	final, err := job.Decode[job.Final](kv.Value)
	switch {
	case err != nil:
		submission.done <- errkind.New(errkind.Internal, "the stored final record of job %s cannot be decoded", id)
	case tombstone.Covers(final, submission.job.Origin()):
		i.cfg.Journal.Event("refused", "job", string(id), "why", "cancelled_before")
		submission.done <- errkind.New(errkind.Cancelled, "job %s was cancelled before it was recorded", id)
	case final.IsTombstone():
		return false
	case !final.IsOf(submission.job):
		i.replyConflict(submission)
	default:
		i.allowance.giveBack(submission.taken)
		submission.done <- nil
	}
	return true
}

// resolveDuplicate replies to a submission whose job is already recorded. The record may
// come from an earlier attempt of the same submission whose response was lost.
func (i *Instance) resolveDuplicate(submission *pendingSubmission, kv store.KeyValue) {
	first, err := job.DecodeJob(kv.Value)
	if err != nil {
		submission.done <- errkind.New(errkind.Internal, "the stored record of job %s cannot be decoded", submission.job.ID)
		return
	}
	if !first.SameWork(submission.job) {
		i.replyConflict(submission)
		return
	}
	// The owner reports the changes of the job to the instance that accepted it first. Nothing is known of
	// its state here, since it may have begun.
	submission.job = first
	i.confirmAccepted(submission, kv.ModRevision)
}

// replyConflict refuses a submission whose ID belongs to other work.
func (i *Instance) replyConflict(submission *pendingSubmission) {
	i.cfg.Journal.Event("refused", "job", string(submission.job.ID), "why", "other_body")
	submission.done <- errkind.New(errkind.IdempotencyConflict, "a job with ID %s and a different body was accepted before", submission.job.ID)
}

// handleWriteFailure replies to submissions after a failed write and returns those that
// should be retried. If the write may still take effect, an unknown outcome is reported
// immediately: the caller should retry at another instance, which is safe because
// submissions are idempotent. A submission is reported as not accepted only if no write
// of it can take effect.
func (i *Instance) handleWriteFailure(ctx context.Context, batch []*pendingSubmission, err error) []*pendingSubmission {
	failures := i.writeFailures.Add(1)
	unclear := errors.Is(err, store.ErrUnclear)
	var rest []*pendingSubmission
	for _, submission := range batch {
		// After this many consecutive failed writes, the caller should retry at another
		// instance.
		const maxConsecutiveFailures = 3
		switch {
		case unclear:
			i.cfg.Journal.Event("unclear", "job", string(submission.job.ID), "why", "store_silent", "failures", failures)
			submission.done <- errkind.New(errkind.OutcomeUnknown, "the store did not confirm the write of job %s in time", submission.job.ID)
		case submission.ctx.Err() != nil || ctx.Err() != nil || failures >= maxConsecutiveFailures:
			i.cfg.Journal.Event("refused", "job", string(submission.job.ID), "why", "store_failed", "failures", failures, "error", err)
			submission.done <- errkind.New(errkind.StoreUnavailable, "the write of job %s to the store failed", submission.job.ID).WithRetryAfter(retryAfterStore)
		default:
			rest = append(rest, submission)
		}
	}
	return rest
}
