package instance

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/store"
)

const (
	// finalRetention is how long the final state of an ended job is available to callers;
	// the platform requires two minutes.
	finalRetention = 10 * time.Minute
	// recordSweepInterval is the time between sweeps of expired records. It is long
	// because a sweep reads every final record.
	recordSweepInterval = 5 * time.Minute
	// sweepBatch is the number of records that one transaction removes.
	sweepBatch   = 30
	sweepTimeout = 30 * time.Second
)

// sweepPeriodically removes expired records while this instance is the owner.
func (i *Instance) sweepPeriodically(ctx context.Context, ownership int64) {
	for {
		sleep(ctx, recordSweepInterval)
		if ctx.Err() != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, sweepTimeout)
		removed, err := sweepRecords(callCtx, i.cfg.Store, ownership, time.Now())
		cancel()
		i.logStoreFailure("remove expired records", err)
		i.cfg.Journal.Event("expired records removed", "records", removed)
	}
}

// sweepRecords removes final records that are older than finalRetention, and
// cancellations whose job has ended. It returns how many it removed.
func sweepRecords(ctx context.Context, s store.Store, ownership int64, now time.Time) (int, error) {
	expired, err := expiredRecords(ctx, s, now)
	if err != nil {
		return 0, err
	}
	removed := 0
	for len(expired) > 0 {
		batch := expired[:min(len(expired), sweepBatch)]
		expired = expired[len(batch):]
		result, err := s.Commit(ctx, store.Txn{Compares: []store.Compare{{Key: keyOwner, ModRevision: ownership}}, Deletes: batch})
		if err != nil || !result.Succeeded {
			return removed, err
		}
		removed += len(batch)
	}
	return removed, nil
}

func expiredRecords(ctx context.Context, s store.Store, now time.Time) ([]string, error) {
	var expired []string
	_, err := store.Scan(ctx, s, finalPrefix, func(kv store.KeyValue) error {
		final, err := job.Decode[job.Final](kv.Value)
		if err != nil || now.Sub(final.FinishedAt) > finalRetention {
			expired = append(expired, kv.Key) // a record that cannot be decoded cannot be shown to callers
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	open := make(map[string]bool)
	var cancelled []string
	_, err = store.Scan(ctx, s, inboxPrefix, func(kv store.KeyValue) error {
		if id, ok := strings.CutPrefix(kv.Key, cancelPrefix); ok {
			cancelled = append(cancelled, id)
		} else {
			open[kv.Key] = true
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, id := range cancelled {
		if !open[jobPrefix+id] {
			expired = append(expired, cancelPrefix+id)
		}
	}
	return expired, nil
}
