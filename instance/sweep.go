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
	// recordSweepInterval is the time between sweeps for expired records. A sweep reads
	// every final record, a few pages of the store.
	retentionInterval = 5 * time.Minute
	// sweepBatch is the number of records that one transaction removes.
	sweepBatch  = 30
	sweepBudget = 30 * time.Second
)

// sweepPeriodically removes expired records while this instance is the owner.
func (i *Instance) sweepRegularly(ctx context.Context, ownership int64) {
	for {
		pause(ctx, retentionInterval)
		if ctx.Err() != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, sweepBudget)
		removed, err := sweepRecords(call, i.cfg.Store, ownership, time.Now())
		cancel()
		i.storeTrouble("remove expired records", err)
		i.cfg.Journal.Event("expired records removed", "records", removed)
	}
}

// sweepRecords removes final records that are older than finalRetention, and
// cancellations whose job has ended. It returns how many it removed.
func sweepRecords(ctx context.Context, s store.Store, ownership int64, now time.Time) (int, error) {
	old, err := oldRecords(ctx, s, now)
	if err != nil {
		return 0, err
	}
	removed := 0
	for len(old) > 0 {
		batch := old[:min(len(old), sweepBatch)]
		old = old[len(batch):]
		result, err := s.Commit(ctx, store.Txn{Compares: []store.Compare{{Key: keyOwner, ModRevision: ownership}}, Deletes: batch})
		if err != nil || !result.Succeeded {
			return removed, err
		}
		removed += len(batch)
	}
	return removed, nil
}

func oldRecords(ctx context.Context, s store.Store, now time.Time) ([]string, error) {
	var old []string
	finals, _, err := s.List(ctx, finalPrefix)
	if err != nil {
		return nil, err
	}
	for _, kv := range finals {
		final, err := job.Decode[job.Final](kv.Value)
		if err != nil || now.Sub(final.FinishedAt) > finalRetention {
			old = append(old, kv.Key) // a record that cannot be decoded is of no use
		}
	}
	inbox, _, err := s.List(ctx, inboxPrefix)
	if err != nil {
		return nil, err
	}
	open := make(map[string]bool, len(inbox))
	for _, kv := range inbox {
		open[kv.Key] = true
	}
	for _, kv := range inbox {
		if id, ok := strings.CutPrefix(kv.Key, cancelPrefix); ok && !open[jobPrefix+id] {
			old = append(old, kv.Key)
		}
	}
	return old, nil
}
