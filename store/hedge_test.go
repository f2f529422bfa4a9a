package store

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedStore answers each Commit with the next function of its script.
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

func delayedReply(after time.Duration, r TxnResult, err error) func(context.Context) (TxnResult, error) {
	return func(ctx context.Context) (TxnResult, error) {
		select {
		case <-time.After(after):
			return r, err
		case <-ctx.Done():
			return TxnResult{}, ErrUnclear
		}
	}
}

// TestCommitHedged guards against waiting for a lost reply, against abandoning the late reply of a
// slow store, and against reporting an unclear outcome as having no effect.
func TestCommitHedged(t *testing.T) {
	type try = func(context.Context) (TxnResult, error)
	done := TxnResult{Succeeded: true, Revision: 7}
	for _, c := range []struct {
		name   string
		script []try
		want   error
		within time.Duration
		tries  int32
	}{
		{"answered at once", []try{delayedReply(10*time.Millisecond, done, nil)}, nil, 10 * time.Millisecond, 1},
		{"first answer lost", []try{lostReply, delayedReply(10*time.Millisecond, done, nil)}, nil, 210 * time.Millisecond, 2},
		{"slow store", []try{delayedReply(300*time.Millisecond, done, nil), lostReply}, nil, 300 * time.Millisecond, 2},
		{"refused", []try{delayedReply(10*time.Millisecond, TxnResult{}, ErrUnavailable)}, ErrUnavailable, 10 * time.Millisecond, 1},
		{"lost, then refused", []try{delayedReply(250*time.Millisecond, TxnResult{}, ErrUnclear), delayedReply(100*time.Millisecond, TxnResult{}, ErrUnavailable)}, ErrUnclear, 300 * time.Millisecond, 2},
		{"silent", []try{lostReply, lostReply, lostReply}, ErrUnclear, time.Second, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				s := &scriptedStore{script: c.script}
				began := time.Now()
				r, err := CommitHedged(ctx, s, Txn{}, Hedge{After: 200 * time.Millisecond, Most: 3})
				if !errors.Is(err, c.want) || (c.want == nil && r.Revision != done.Revision) {
					t.Errorf("got %+v, %v", r, err)
				}
				if took := time.Since(began); took != c.within || s.attempts.Load() != c.tries {
					t.Errorf("took %s and %d tries, want %s and %d", took, s.attempts.Load(), c.within, c.tries)
				}
				synctest.Wait()
			})
		})
	}
}
