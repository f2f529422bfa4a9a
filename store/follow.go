package store

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/clock"
)

// followRetryDelay is the delay before Follow retries a failed call.
const followRetryDelay = 150 * time.Millisecond

// maxUnansweredWatches is the number of watches in succession without any message after which the keys
// are listed: a response with very many changes may take longer than the call may, each time.
const maxUnansweredWatches = 3

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

// PartFollower is a Follower that receives a list in parts, so that it need not hold all keys at a time.
type PartFollower interface {
	Follower
	// ListedPart receives some of the keys of a list. The call of Listed that follows has the rest.
	ListedPart(kvs []KeyValue)
}

// listPartBytes is the size of the values of one part of a list.
const listPartBytes = 1 << 20

// list passes the keys with a prefix to the follower and returns the revision of the list.
func list(ctx context.Context, s Store, prefix string, f Follower, asOf time.Time) (int64, error) {
	var part []KeyValue
	bytes := 0
	partial, takesParts := f.(PartFollower)
	revision, err := Scan(ctx, s, prefix, func(kv KeyValue) error {
		if takesParts && bytes >= listPartBytes {
			partial.ListedPart(part)
			part, bytes = nil, 0
		}
		part = append(part, kv)
		bytes += len(kv.Value)
		return nil
	})
	if err == nil {
		f.Listed(part, revision, asOf)
	}
	return revision, err
}

// Follow lists the keys with a prefix and then watches them until ctx is done, as FollowFrom does.
func Follow(ctx context.Context, s Store, prefix string, f Follower) error {
	return FollowFrom(ctx, s, prefix, 0, f)
}

// FollowFrom watches the keys with a prefix from a revision on until ctx is done, or lists them first if the
// revision is 0. It lists them again if the changes after the last delivered one are no longer in the store's
// history, or can't be read, or if several watches in succession have brought no message. A batch that does not
// say as of when it is current is as current as the last one that does.
func FollowFrom(ctx context.Context, s Store, prefix string, next int64, f Follower) error {
	var current time.Time
	listed := next - 1 // revision of the last list
	unanswered := 0    // watches without a message since the last one with
	for ctx.Err() == nil {
		if next == 0 {
			asOf := clock.Now()
			revision, err := list(ctx, s, prefix, f, asOf)
			if err != nil {
				f.Failed(err)
				sleep(ctx, followRetryDelay)
				continue
			}
			unanswered = 0
			current, listed, next = asOf, revision, revision+1
		}
		err := s.Watch(ctx, prefix, next, func(b WatchBatch) {
			next, unanswered = max(next, b.Revision+1), 0
			if b.AsOf.IsZero() {
				b.AsOf = current
			}
			current = b.AsOf
			f.Changed(b)
		})
		if ctx.Err() != nil {
			break
		}
		f.Failed(err)
		if errors.Is(err, ErrUnclear) {
			unanswered++
		}
		if unanswered >= maxUnansweredWatches {
			next = 0
		}
		if errors.Is(err, ErrCompacted) {
			madeProgress := next > listed+1
			next = 0
			if madeProgress {
				continue
			}
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
