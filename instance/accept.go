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
	// acceptQueueLength bounds the submissions that wait for a write.
	acceptQueueLength = 512
	// acceptors write at the same time, so that one silent connection to the
	// store does not hold up every submission.
	acceptors = 3
	// maxAccepted jobs share a transaction: each needs two conditions and one
	// write of the 32 entries.
	maxAccepted = 10
	// acceptTimeout bounds one transaction; a slow store answers in 300 ms.
	acceptTimeout = 800 * time.Millisecond
	acceptRetry   = 40 * time.Millisecond
	// watchSilence and writeSilence are how long nothing may be heard by the
	// watches, and how long a write may be unanswered, before submissions are
	// refused at once. A watch hears something every second, and what it hears may
	// be a second old; a slow store answers a write in 300 ms.
	watchSilence = 2500 * time.Millisecond
	writeSilence = 600 * time.Millisecond
	// probeInterval lets one submission through, which shows when the store is back.
	probeInterval = 250 * time.Millisecond
	// retryAfterStore is when a caller whose submission could not be recorded may
	// come back, to any instance.
	retryAfterStore = time.Second
	// retryAfterSurplus is when a team that sends more than its share may come
	// back: a burst lasts some seconds.
	retryAfterSurplus = 2 * time.Second
)

// acceptance is one submission that waits to be recorded.
type acceptance struct {
	ctx    context.Context
	job    *job.Job
	record []byte
	done   chan error
}

// Submit records a job and returns when it is durable, or was before. An error
// that says "not run" is true: nothing of the job is recorded, and no write of
// it is under way.
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
		return errkind.New(errkind.OverLimit, "team %s sends more jobs than its share while its jobs wait", j.Team).WithRetryAfter(retryAfterSurplus)
	}
	record, err := job.Encode(j)
	if err != nil {
		return err
	}
	a := &acceptance{ctx: ctx, job: j, record: record, done: make(chan error, 1)}
	select {
	case i.accepts <- a:
	default:
		return errkind.New(errkind.QueueFull, "too many submissions wait to be recorded").WithRetryAfter(retryAfterStore)
	}
	return <-a.done
}

// storeSilentFor returns how long the store has been silent, or 0 if it answers.
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

// mayProbe reports whether a submission is let through to a silent store.
func (i *Instance) mayProbe(now time.Time) bool {
	last := i.probedAt.Load()
	return now.Sub(time.Unix(0, last)) >= probeInterval && i.probedAt.CompareAndSwap(last, now.UnixNano())
}

// acceptRegularly records submissions, as many as there are in one transaction.
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
				// The same key may occur only once in a transaction.
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

// record writes a batch until the fate of every submission is known or its
// caller's time is up.
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

// accepted tells the caller and the owner that a job is durable. An owner that
// cannot be told finds the job in the store.
func (i *Instance) accepted(a *acceptance, revision int64) {
	i.view.accepted(a.job, time.Now())
	a.done <- nil
	i.cfg.Journal.Event("accepted", "job", string(a.job.ID), "queue", a.job.Queue, "team", a.job.Team, "revision", revision)
	go func() {
		question := cell.Submit{Submission: cell.Submission{Job: a.job, Revision: revision}}
		if reply, err := i.askOwner(i.ctx, i.cfg.Timing.PeerTimeout, question); err != nil || reply.NotOwner {
			i.cfg.Journal.Event("owner not told", "job", string(a.job.ID), "not_owner", reply.NotOwner, "error", err)
		}
	}()
}

// settleKnown answers the submissions whose job is known and returns the others.
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

// settleRepeat answers a submission whose job is recorded. The record may come
// from an earlier try of this very submission whose answer was lost.
func (i *Instance) settleRepeat(a *acceptance, kv store.KeyValue) {
	first, err := job.Decode[job.Job](kv.Value)
	if err != nil {
		a.done <- errkind.New(errkind.Internal, "the record of the job cannot be read")
		return
	}
	if !first.Same(a.job) {
		i.cfg.Journal.Event("refused", "job", string(a.job.ID), "why", "other_body")
		a.done <- errkind.New(errkind.IdempotencyConflict, "a job with this ID and another body was accepted before")
		return
	}
	i.accepted(a, kv.ModRevision)
}

// afterFailure answers after a failed write, and returns those for whom another
// try is worth it. A submission of which a write may still take effect is told
// so at once: its caller does better at another instance, where a repeat is
// recognised. Only one of which no write can take effect was surely not accepted.
func (i *Instance) afterFailure(ctx context.Context, batch []*acceptance, err error) []*acceptance {
	fails := i.storeFails.Add(1)
	unclear := errors.Is(err, store.ErrUnclear)
	var rest []*acceptance
	for _, a := range batch {
		const patience = 3 // refused writes in a row after which a caller does better elsewhere
		switch {
		case unclear:
			i.cfg.Journal.Event("unclear", "job", string(a.job.ID), "why", "store_silent", "failures", fails)
			a.done <- errkind.New(errkind.OutcomeUnknown, "the store did not confirm the job in time")
		case a.ctx.Err() != nil || ctx.Err() != nil || fails >= patience:
			i.cfg.Journal.Event("refused", "job", string(a.job.ID), "why", "store_failed", "failures", fails, "error", err)
			a.done <- errkind.New(errkind.StoreUnavailable, "the store refuses writes").WithRetryAfter(retryAfterStore)
		default:
			rest = append(rest, a)
		}
	}
	return rest
}
