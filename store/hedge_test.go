package store

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedStore executes the next function of its script for each Commit.
type scriptedStore struct {
	Store
	attempts atomic.Int32
	script   []func(ctx context.Context) (TxnResult, error)
}

func (s *scriptedStore) Commit(ctx context.Context, _ Txn) (TxnResult, error) {
	return s.script[s.attempts.Add(1)-1](ctx)
}

func lostReply(ctx context.Context) (TxnResult, error) {
	<-ctx.Done()
	return TxnResult{}, ErrUnclear
}

func delayedReply(delay time.Duration, r TxnResult, err error) func(context.Context) (TxnResult, error) {
	return func(ctx context.Context) (TxnResult, error) {
		select {
		case <-time.After(delay):
			return r, err
		case <-ctx.Done():
			return TxnResult{}, ErrUnclear
		}
	}
}

// TestCommitHedged guards against waiting for a lost reply, against abandoning the late reply of a
// slow store, and against reporting an unclear outcome as having no effect.
func TestCommitHedged(t *testing.T) {
	type attempt = func(context.Context) (TxnResult, error)
	done := TxnResult{Succeeded: true, Revision: 7}
	for _, c := range []struct {
		name     string
		script   []attempt
		want     error
		within   time.Duration
		attempts int32
	}{
		{"immediate reply", []attempt{delayedReply(10*time.Millisecond, done, nil)}, nil, 10 * time.Millisecond, 1},
		{"first reply lost", []attempt{lostReply, delayedReply(10*time.Millisecond, done, nil)}, nil, 210 * time.Millisecond, 2},
		{"slow store", []attempt{delayedReply(300*time.Millisecond, done, nil), lostReply}, nil, 300 * time.Millisecond, 2},
		{"unavailable", []attempt{delayedReply(10*time.Millisecond, TxnResult{}, ErrUnavailable)}, ErrUnavailable, 10 * time.Millisecond, 1},
		{"unclear, then unavailable", []attempt{delayedReply(250*time.Millisecond, TxnResult{}, ErrUnclear), delayedReply(100*time.Millisecond, TxnResult{}, ErrUnavailable)}, ErrUnclear, 300 * time.Millisecond, 2},
		{"no reply", []attempt{lostReply, lostReply, lostReply}, ErrUnclear, time.Second, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				s := &scriptedStore{script: c.script}
				start := time.Now()
				r, err := CommitHedged(ctx, s, Txn{}, Hedge{Delay: 200 * time.Millisecond, MaxAttempts: 3})
				if !errors.Is(err, c.want) || (c.want == nil && r.Revision != done.Revision) {
					t.Errorf("CommitHedged = %+v, %v; want error %v", r, err, c.want)
				}
				if elapsed := time.Since(start); elapsed != c.within || s.attempts.Load() != c.attempts {
					t.Errorf("took %s and %d attempts, want %s and %d", elapsed, s.attempts.Load(), c.within, c.attempts)
				}
				synctest.Wait()
			})
		})
	}
}
