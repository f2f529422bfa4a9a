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
	// storeSilence is how long the store may be silent before submissions are
	// refused at once: none could be recorded in time.
	storeSilence = 2500 * time.Millisecond
	// retryAfterStore is when a caller whose submission could not be recorded may
	// come back, to any instance.
	retryAfterStore = time.Second
	// retryAfterSurplus is when a team that sends more than its share may come
	// back: a burst lasts some seconds.
	retryAfterSurplus = 2 * time.Second
)

// acceptance is one submission that waits to be recorded.
type acceptance struct {
	ctx     context.Context
	job     *job.Job
	record  []byte
	unclear bool // a write of it may have taken effect, or may yet
	done    chan error
}

// Submit records a job and returns when it is durable, or was before. An error
// that says "not run" is true: nothing of the job is recorded, and no write of
// it is under way.
func (i *Instance) Submit(ctx context.Context, j *job.Job) error {
	if err := j.Check(); err != nil {
		return errkind.New(errkind.InvalidRequest, "%v", err)
	}
	if s := i.loop.Snapshot(); time.Since(s.HeardAt) > storeSilence {
		i.cfg.Journal.Event("refused", "job", string(j.ID), "why", "store_silent", "silent_ms", time.Since(s.HeardAt).Milliseconds())
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
		call, cancel := context.WithTimeout(ctx, acceptTimeout)
		result, err := store.CommitHedged(call, i.cfg.Store, acceptTxn(batch), commitHedge)
		cancel()
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

// afterFailure answers those whose time is up after a failed write. Only a
// submission of which no write can take effect any more was surely not accepted.
func (i *Instance) afterFailure(ctx context.Context, batch []*acceptance, err error) []*acceptance {
	fails := i.storeFails.Add(1)
	var rest []*acceptance
	for _, a := range batch {
		a.unclear = a.unclear || errors.Is(err, store.ErrUnclear)
		const patience = 3 // failed writes in a row after which a caller does better elsewhere
		switch {
		case a.unclear && (a.ctx.Err() != nil || ctx.Err() != nil):
			a.done <- errkind.New(errkind.OutcomeUnknown, "the store did not confirm the job in time")
		case !a.unclear && (a.ctx.Err() != nil || ctx.Err() != nil || fails >= patience):
			i.cfg.Journal.Event("refused", "job", string(a.job.ID), "why", "store_failed", "failures", fails, "error", err)
			a.done <- errkind.New(errkind.StoreUnavailable, "the store refuses writes").WithRetryAfter(retryAfterStore)
		default:
			rest = append(rest, a)
		}
	}
	return rest
}
