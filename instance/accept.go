package instance

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/store"
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
	// acceptTimeout bounds one transaction; a slow store answers within 300 ms.
	acceptTimeout = 800 * time.Millisecond
	acceptRetry   = 40 * time.Millisecond
	// After watchTimeout without data from the watches, or writeTimeout without a
	// response to a write, submissions are rejected immediately. A watch receives
	// data every second, which may itself be a second old; a slow store answers a
	// write within 300 ms.
	watchTimeout = 2500 * time.Millisecond
	writeTimeout = 600 * time.Millisecond
	// probeInterval separates the submissions that are let through to an unresponsive
	// store to detect its recovery.
	probeInterval = 250 * time.Millisecond
	// retryAfterStore is the retry hint for a submission that could not be recorded;
	// the caller may retry at any instance.
	retryAfterStore = time.Second
	// retryAfterOverLimit is the retry hint for a team that exceeds its share: a burst
	// lasts some seconds.
	retryAfterOverLimit = 2 * time.Second
)

// pendingSubmission is a submission that waits to be recorded.
type pendingSubmission struct {
	ctx    context.Context
	job    *job.Job
	record []byte
	done   chan error
}

// Submit records a job and returns once it is durable, or if it already was. After an
// error with the fate "not run", nothing of the job is recorded and no write of it is
// in flight.
func (i *Instance) Submit(ctx context.Context, j *job.Job) error {
	began := time.Now()
	err := i.submit(ctx, j)
	i.meters.submitted(time.Since(began), err)
	return err
}

func (i *Instance) submit(ctx context.Context, j *job.Job) error {
	if err := j.Check(); err != nil {
		return errkind.New(errkind.InvalidRequest, "%v", err)
	}
	if unresponsive := i.storeUnresponsiveFor(time.Now()); unresponsive > 0 && !i.mayProbe(time.Now()) {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "store_silent", "silent_ms", unresponsive.Milliseconds())
		return errkind.New(errkind.StoreUnavailable, "the store does not answer").WithRetryAfter(retryAfterStore)
	}
	if !i.view.admit(j.Team, time.Now()) {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "team_rate", "team", j.Team)
		return errkind.New(errkind.OverLimit, "team %s exceeds its share of submissions while its jobs are waiting", j.Team).WithRetryAfter(retryAfterOverLimit)
	}
	record, err := job.Encode(j)
	if err != nil {
		return err
	}
	a := &pendingSubmission{ctx: ctx, job: j, record: record, done: make(chan error, 1)}
	select {
	case i.submissions <- a:
	default:
		return errkind.New(errkind.QueueFull, "%d submissions are already waiting to be recorded", acceptQueueLength).WithRetryAfter(retryAfterStore)
	}
	return <-a.done
}

// storeUnresponsiveFor returns how long the store has not responded, or 0 if it responds.
func (i *Instance) storeUnresponsiveFor(now time.Time) time.Duration {
	if sinceSync := now.Sub(i.loop.Snapshot().HeardAt); sinceSync > watchTimeout {
		return sinceSync
	}
	if since := i.unansweredSince.Load(); since != 0 {
		if waited := now.Sub(time.Unix(0, since)); waited > writeTimeout {
			return waited
		}
	}
	return 0
}

// mayProbe reports whether a submission is let through to an unresponsive store.
func (i *Instance) mayProbe(now time.Time) bool {
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
			i.recordBatch(ctx, i.collectBatch(first))
		}
	}
}

func (i *Instance) collectBatch(first *pendingSubmission) []*pendingSubmission {
	batch := []*pendingSubmission{first}
	for len(batch) < maxBatch {
		select {
		case a := <-i.submissions:
			if a.job.ID == first.job.ID {
				// A transaction may contain each key only once.
				i.submissions <- a
				return batch
			}
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// recordBatch writes a batch and retries until every submission is settled or its caller's
// deadline has passed.
func (i *Instance) recordBatch(ctx context.Context, batch []*pendingSubmission) {
	for len(batch) > 0 {
		began := time.Now()
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
			for _, a := range batch {
				i.confirmAccepted(a, result.Revision)
			}
			return
		case err == nil:
			batch = i.resolveKnown(batch, result.Current)
			continue
		}
		i.logStoreFailure("record jobs", err)
		batch = i.handleWriteFailure(ctx, batch, err)
		sleep(ctx, acceptRetry)
	}
}

func acceptTxn(batch []*pendingSubmission) store.Txn {
	txn := store.Txn{}
	for _, a := range batch {
		key := jobKey(a.job.ID)
		txn.Compares = append(txn.Compares, store.Compare{Key: key}, store.Compare{Key: finalKey(a.job.ID)})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: a.record})
	}
	return txn
}

// confirmAccepted notifies the caller and the owner that a job is durable. An owner
// that cannot be reached finds the job in the store.
func (i *Instance) confirmAccepted(a *pendingSubmission, revision int64) {
	i.view.addAccepted(a.job, time.Now())
	a.done <- nil
	i.cfg.Journal.Event("accepted", "job", string(a.job.ID), "queue", a.job.Queue, "team", a.job.Team, "revision", revision)
	go func() {
		request := cell.Submit{Submission: cell.Submission{Job: a.job, Revision: revision}}
		if reply, err := i.askOwner(i.ctx, i.cfg.Timing.PeerTimeout, request); err != nil || reply.NotOwner {
			i.cfg.Journal.Event("owner was not notified of the job", "job", string(a.job.ID), "not_owner", reply.NotOwner, "error", err)
		}
	}()
}

// resolveKnown replies to the submissions whose job is already recorded and returns
// the others.
func (i *Instance) resolveKnown(batch []*pendingSubmission, current []store.KeyValue) []*pendingSubmission {
	known := make(map[string]store.KeyValue, len(current))
	for _, kv := range current {
		known[kv.Key] = kv
	}
	var rest []*pendingSubmission
	for _, a := range batch {
		if kv, open := known[jobKey(a.job.ID)]; open {
			i.resolveRepeat(a, kv)
		} else if _, ended := known[finalKey(a.job.ID)]; ended {
			a.done <- nil
		} else {
			rest = append(rest, a)
		}
	}
	return rest
}

// resolveRepeat replies to a submission whose job is already recorded. The record may
// come from an earlier attempt of the same submission whose response was lost.
func (i *Instance) resolveRepeat(a *pendingSubmission, kv store.KeyValue) {
	first, err := job.Decode[job.Job](kv.Value)
	if err != nil {
		a.done <- errkind.New(errkind.Internal, "the stored record of job %s cannot be decoded", a.job.ID)
		return
	}
	if !first.Same(a.job) {
		i.cfg.Journal.Event("refused", "job", string(a.job.ID), "why", "other_body")
		a.done <- errkind.New(errkind.IdempotencyConflict, "a job with ID %s and a different body was accepted before", a.job.ID)
		return
	}
	i.confirmAccepted(a, kv.ModRevision)
}

// handleWriteFailure replies to submissions after a failed write and returns those
// that should be retried. If the write may still take effect, the caller is told at
// once that the outcome is unknown: it should retry at another instance, where
// submissions are idempotent. A submission is reported as not accepted only if no
// write of it can take effect.
func (i *Instance) handleWriteFailure(ctx context.Context, batch []*pendingSubmission, err error) []*pendingSubmission {
	failures := i.writeFailures.Add(1)
	unclear := errors.Is(err, store.ErrUnclear)
	var rest []*pendingSubmission
	for _, a := range batch {
		// After this many failed writes in a row the caller should retry at another instance.
		const maxConsecutiveFailures = 3
		switch {
		case unclear:
			i.cfg.Journal.Event("unclear", "job", string(a.job.ID), "why", "store_silent", "failures", failures)
			a.done <- errkind.New(errkind.OutcomeUnknown, "the store did not confirm the write of job %s in time", a.job.ID)
		case a.ctx.Err() != nil || ctx.Err() != nil || failures >= maxConsecutiveFailures:
			i.cfg.Journal.Event("refused", "job", string(a.job.ID), "why", "store_failed", "failures", failures, "error", err)
			a.done <- errkind.New(errkind.StoreUnavailable, "the write of job %s to the store failed", a.job.ID).WithRetryAfter(retryAfterStore)
		default:
			rest = append(rest, a)
		}
	}
	return rest
}
