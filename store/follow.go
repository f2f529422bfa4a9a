package store

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/clock"
)

// followRetryDelay is the delay before Follow retries a failed call.
const followRetryDelay = 150 * time.Millisecond

// Follower receives the results of Follow. All methods are called from one goroutine.
type Follower interface {
	// Listed receives all keys with the prefix as of a revision, which includes every change
	// acknowledged up to the given time. It is called first, and again after changes were missed.
	Listed(kvs []KeyValue, revision int64, asOf time.Time)
	// Changed receives the next changes, or a progress notice without changes.
	Changed(WatchBatch)
	// Failed receives an error after which Follow retries.
	Failed(error)
}

// Follow lists the keys with a prefix and then watches them until ctx is done. It lists them again if
// the changes after the last delivered one are no longer in the store's history.
func Follow(ctx context.Context, s Store, prefix string, f Follower) error {
	next := int64(0) // revision from which to watch; 0 to list first
	for ctx.Err() == nil {
		if next == 0 {
			asOf := clock.Now()
			kvs, revision, err := s.List(ctx, prefix)
			if err != nil {
				f.Failed(err)
				sleep(ctx, followRetryDelay)
				continue
			}
			f.Listed(kvs, revision, asOf)
			next = revision + 1
		}
		err := s.Watch(ctx, prefix, next, func(b WatchBatch) {
			next = max(next, b.Revision+1)
			f.Changed(b)
		})
		if ctx.Err() != nil {
			break
		}
		f.Failed(err)
		if errors.Is(err, ErrCompacted) {
			next = 0
			continue
		}
		sleep(ctx, followRetryDelay)
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
