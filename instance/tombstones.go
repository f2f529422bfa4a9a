package instance

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/tombstone"
)

const (
	// tombstoneQueueLength bounds the tombstones that wait to be written; the budget admits fewer at a time.
	tombstoneQueueLength = 256
	// tombstoneInterval is the minimum time between two writes of tombstones by an instance. The writes of the
	// store are limited for all instances together.
	tombstoneInterval = 200 * time.Millisecond
	// tombstoneLeaseUse is how long a lease is used for new tombstones, and tombstoneTTL is the lifetime of the
	// lease, which removes them.
	tombstoneLeaseUse = time.Minute
	tombstoneTTL      = tombstone.MinLifetime + tombstoneLeaseUse
)

// pendingTombstone is a tombstone that waits to be written.
type pendingTombstone struct {
	id             job.ID
	value          []byte
	formerRevision int64 // of the tombstone that it replaces; 0 if there is none
	done           chan error
}

func (p *pendingTombstone) jobID() job.ID { return p.id }

// errRecordChanged means that a job was recorded, or its tombstone replaced, before a tombstone could be written.
var errRecordChanged = errors.New("the records of the job have changed")

// tombstoneLease is the lease of the tombstones that are written. Only the goroutine that writes them uses it.
type tombstoneLease struct {
	id        int64
	grantedAt time.Time
}

// recordTombstones writes the waiting tombstones in batches until ctx ends.
func (i *Instance) recordTombstones(ctx context.Context) error {
	lease := &tombstoneLease{}
	var next *pendingTombstone
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return nil
			case next = <-i.tombstones:
			}
		}
		var batch []*pendingTombstone
		batch, next = collectBatch(next, i.tombstones)
		i.recordTombstoneBatch(ctx, lease, batch)
		sleep(ctx, tombstoneInterval)
	}
}

// recordTombstoneBatch writes a batch and replies to all of its tombstones. Those of jobs whose records have changed
// are left out.
func (i *Instance) recordTombstoneBatch(ctx context.Context, lease *tombstoneLease, batch []*pendingTombstone) {
	err := i.renewTombstoneLease(ctx, lease)
	for err == nil && len(batch) > 0 {
		var result store.TxnResult
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		result, err = store.CommitHedged(callCtx, i.cfg.Store, tombstoneTxn(batch, lease.id), commitHedge)
		cancel()
		switch {
		case errors.Is(err, store.ErrLeaseGone):
			lease.id = 0
		case err == nil && result.Succeeded:
			for _, p := range batch {
				p.done <- nil
			}
			return
		case err == nil:
			rest := dropChanged(batch, result.Current)
			if len(rest) == len(batch) {
				err = errRecordChanged // of a job that was changed back since
			}
			batch = rest
		}
	}
	i.logStoreFailure("record tombstones", err)
	for _, p := range batch {
		p.done <- err
	}
}

// renewTombstoneLease replaces the lease once it is too old for new tombstones. A lease is never prolonged: a
// prolongation that is held up would keep its tombstones for longer.
func (i *Instance) renewTombstoneLease(ctx context.Context, lease *tombstoneLease) error {
	if now := time.Now(); lease.id == 0 || now.Sub(lease.grantedAt) >= tombstoneLeaseUse {
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		defer cancel()
		id, err := i.cfg.Store.Grant(callCtx, tombstoneTTL)
		if err != nil {
			return err
		}
		*lease = tombstoneLease{id: id, grantedAt: now}
	}
	return nil
}

func tombstoneTxn(batch []*pendingTombstone, lease int64) store.Txn {
	txn := store.Txn{}
	for _, p := range batch {
		txn.Compares = append(txn.Compares, store.Compare{Key: jobKey(p.id)}, store.Compare{Key: finalKey(p.id), ModRevision: p.formerRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: finalKey(p.id), Value: p.value, Lease: lease})
	}
	return txn
}

// dropChanged replies to the tombstones of a refused batch whose jobs' records have changed, and returns the others.
func dropChanged(batch []*pendingTombstone, current []store.KeyValue) []*pendingTombstone {
	revisions := make(map[string]int64, len(current))
	for _, kv := range current {
		revisions[kv.Key] = kv.ModRevision
	}
	var rest []*pendingTombstone
	for _, p := range batch {
		if revisions[jobKey(p.id)] != 0 || revisions[finalKey(p.id)] != p.formerRevision {
			p.done <- errRecordChanged
			continue
		}
		rest = append(rest, p)
	}
	return rest
}
