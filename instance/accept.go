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
	acceptors = 3
	// maxBatch bounds the jobs of one transaction: each takes two conditions and one
	// write of the 32 entries that a transaction may have.
	maxAccepted = 10
	// acceptTimeout bounds one transaction; a slow store answers within 300 ms.
	acceptTimeout = 800 * time.Millisecond
	acceptRetry   = 40 * time.Millisecond
	// After watchTimeout without data from the watches, or writeTimeout without a
	// response to a write, submissions are rejected immediately. A watch receives
	// data every second, which may itself be a second old; a slow store answers a
	// write within 300 ms.
	watchSilence = 2500 * time.Millisecond
	writeSilence = 600 * time.Millisecond
	// probeInterval separates the submissions that are let through to an unresponsive
	// store to detect its recovery.
	probeInterval = 250 * time.Millisecond
	// retryAfterStore is the retry hint for a submission that could not be recorded;
	// the caller may retry at any instance.
	retryAfterStore = time.Second
	// retryAfterSurplus is the retry hint for a team that exceeds its share: a burst
	// lasts some seconds.
	retryAfterSurplus = 2 * time.Second
)

// pendingSubmission is a submission that waits to be recorded.
type acceptance struct {
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
	if silent := i.storeSilentFor(time.Now()); silent > 0 && !i.mayProbe(time.Now()) {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "store_silent", "silent_ms", silent.Milliseconds())
		return errkind.New(errkind.StoreUnavailable, "the store does not answer").WithRetryAfter(retryAfterStore)
	}
	if !i.view.admit(j.Team, time.Now()) {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "team_rate", "team", j.Team)
		return errkind.New(errkind.OverLimit, "team %s exceeds its share of submissions while its jobs are waiting", j.Team).WithRetryAfter(retryAfterSurplus)
	}
	record, err := job.Encode(j)
	if err != nil {
		return err
	}
	a := &acceptance{ctx: ctx, job: j, record: record, done: make(chan error, 1)}
	select {
	case i.accepts <- a:
	default:
		return errkind.New(errkind.QueueFull, "%d submissions are already waiting to be recorded", acceptQueueLength).WithRetryAfter(retryAfterStore)
	}
	return <-a.done
}

// storeSilentFor returns how long the store has not responded, or 0 if it responds.
func (i *Instance) storeSilentFor(now time.Time) time.Duration {
	if heard := now.Sub(i.loop.Snapshot().HeardAt); heard > watchSilence {
		return heard
	}
	if since := i.unanswered.Load(); since != 0 {
		if waited := now.Sub(time.Unix(0, since)); waited > writeSilence {
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
func (i *Instance) acceptRegularly(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-i.accepts:
			i.record(ctx, i.collect(first))
		}
	}
}

func (i *Instance) collect(first *acceptance) []*acceptance {
	batch := []*acceptance{first}
	for len(batch) < maxAccepted {
		select {
		case a := <-i.accepts:
			if a.job.ID == first.job.ID {
				// A transaction may contain each key only once.
				i.accepts <- a
				return batch
			}
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// record writes a batch and retries until every submission is settled or its caller's
// deadline has passed.
func (i *Instance) record(ctx context.Context, batch []*acceptance) {
	for len(batch) > 0 {
		began := time.Now()
		i.unanswered.CompareAndSwap(0, began.UnixNano())
		call, cancel := context.WithTimeout(ctx, acceptTimeout)
		result, err := store.CommitHedged(call, i.cfg.Store, acceptTxn(batch), commitHedge)
		cancel()
		if !errors.Is(err, store.ErrUnclear) {
			i.unanswered.Store(0)
		}
		switch {
		case err == nil && result.Succeeded:
			i.storeFails.Store(0)
			for _, a := range batch {
				i.accepted(a, result.Revision)
			}
			return
		case err == nil:
			batch = i.settleKnown(batch, result.Current)
			continue
		}
		i.storeTrouble("record jobs", err)
		batch = i.afterFailure(ctx, batch, err)
		pause(ctx, acceptRetry)
	}
}

func acceptTxn(batch []*acceptance) store.Txn {
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
func (i *Instance) accepted(a *acceptance, revision int64) {
	i.view.accepted(a.job, time.Now())
	a.done <- nil
	i.cfg.Journal.Event("accepted", "job", string(a.job.ID), "queue", a.job.Queue, "team", a.job.Team, "revision", revision)
	go func() {
		question := cell.Submit{Submission: cell.Submission{Job: a.job, Revision: revision}}
		if reply, err := i.askOwner(i.ctx, i.cfg.Timing.PeerTimeout, question); err != nil || reply.NotOwner {
			i.cfg.Journal.Event("owner was not notified of the job", "job", string(a.job.ID), "not_owner", reply.NotOwner, "error", err)
		}
	}()
}

// resolveKnown replies to the submissions whose job is already recorded and returns
// the others.
func (i *Instance) settleKnown(batch []*acceptance, current []store.KeyValue) []*acceptance {
	known := make(map[string]store.KeyValue, len(current))
	for _, kv := range current {
		known[kv.Key] = kv
	}
	var rest []*acceptance
	for _, a := range batch {
		if kv, open := known[jobKey(a.job.ID)]; open {
			i.settleRepeat(a, kv)
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
func (i *Instance) settleRepeat(a *acceptance, kv store.KeyValue) {
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
	i.accepted(a, kv.ModRevision)
}

// handleWriteFailure replies to submissions after a failed write and returns those
// that should be retried. If the write may still take effect, the caller is told at
// once that the outcome is unknown: it should retry at another instance, where
// submissions are idempotent. A submission is reported as not accepted only if no
// write of it can take effect.
func (i *Instance) afterFailure(ctx context.Context, batch []*acceptance, err error) []*acceptance {
	fails := i.storeFails.Add(1)
	unclear := errors.Is(err, store.ErrUnclear)
	var rest []*acceptance
	for _, a := range batch {
		const maxConsecutiveFailures = 3 // failed writes in a row after which the caller should retry at another instance
		switch {
		case unclear:
			i.cfg.Journal.Event("unclear", "job", string(a.job.ID), "why", "store_silent", "failures", fails)
			a.done <- errkind.New(errkind.OutcomeUnknown, "the store did not confirm the write of job %s in time", a.job.ID)
		case a.ctx.Err() != nil || ctx.Err() != nil || fails >= maxConsecutiveFailures:
			i.cfg.Journal.Event("refused", "job", string(a.job.ID), "why", "store_failed", "failures", fails, "error", err)
			a.done <- errkind.New(errkind.StoreUnavailable, "the write of job %s to the store failed", a.job.ID).WithRetryAfter(retryAfterStore)
		default:
			rest = append(rest, a)
		}
	}
	return rest
}
