package storetest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
)

func put(t *testing.T, s store.Store, key string, lease int64) int64 {
	t.Helper()
	result, err := s.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Lease: lease}}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// boundedContext returns a context that ends after an hour of virtual time, so that a blocked watch
// fails the test.
func boundedContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	t.Cleanup(cancel)
	return ctx
}

// TestLeaseExpiresOnTime guards against the keys of a lease being deleted too late, or before the time
// to live has passed since the last keepalive, and against an idle watch that is not notified of the
// expiry until the next call.
func TestLeaseExpiresOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(Config{})
		s := memory.Client("e1")
		lease, err := s.Grant(t.Context(), 9*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		revision := put(t, s, "c/member/e1", lease)
		time.Sleep(8 * time.Second)
		if _, err := s.KeepAlive(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		renewed := time.Now()
		time.Sleep(300 * time.Millisecond) // so that no progress notice of the watch coincides with the expiry
		ctx, cancel := context.WithCancel(boundedContext(t))
		var ended time.Duration
		notices := 0
		_ = s.Watch(ctx, "c/", revision+1, func(batch store.WatchBatch) {
			if len(batch.Changes) == 0 {
				notices++
				return
			}
			ended = time.Since(renewed)
			cancel()
		})
		if ended != 9*time.Second || notices != 8 {
			t.Errorf("key deleted after %s and %d notices, want 9s and 8", ended, notices)
		}
		if _, err := s.KeepAlive(t.Context(), lease); !errors.Is(err, store.ErrLeaseGone) {
			t.Errorf("KeepAlive: %v, want ErrLeaseGone", err)
		}
	})
}

// TestOpenWatchUnderFaults guards against an open watch that does not end when the store goes down, and
// against one that blocks forever when the store becomes silent.
func TestOpenWatchUnderFaults(t *testing.T) {
	tests := []struct {
		fault fault.Fault
		want  error
		after time.Duration
	}{
		{fault.Fault{Kind: fault.Down}, store.ErrUnclear, 2500 * time.Millisecond},
		{fault.Fault{Kind: fault.SilentWatch}, store.ErrNoProgress, 5 * time.Second},
		{fault.Fault{Kind: fault.Unreachable, Instance: "e1"}, store.ErrNoProgress, 5 * time.Second},
		{fault.Fault{Kind: fault.SilentWatch, Instance: "e2"}, context.Canceled, time.Minute},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := NewMemory(Config{})
				time.AfterFunc(2500*time.Millisecond, func() { _ = memory.Faults().Set(test.fault) })
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(time.Minute, cancel)
				started := time.Now()
				err := memory.Client("e1").Watch(ctx, "c/", 1, func(store.WatchBatch) {})
				if elapsed := time.Since(started); !errors.Is(err, test.want) || elapsed != test.after {
					t.Errorf("ended after %s with %v; want %s, %v", elapsed, err, test.after, test.want)
				}
			})
		})
	}
}

// TestCompactedHistory guards against a watch from a compacted revision that skips changes instead of
// returning an error.
func TestCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(Config{Limits: Limits{HistoryRevisions: 3}})
		s := memory.Client("e1")
		for i := range 6 {
			put(t, s, fmt.Sprint("c/", i), 0)
		}
		err := s.Watch(boundedContext(t), "c/", 4, func(store.WatchBatch) { t.Error("delivered a batch") })
		if !errors.Is(err, store.ErrCompacted) {
			t.Errorf("Watch from a compacted revision: %v, want ErrCompacted", err)
		}
		ctx, cancel := context.WithCancel(boundedContext(t))
		var got []int64
		_ = s.Watch(ctx, "c/", 5, func(batch store.WatchBatch) {
			if got = append(got, batch.Revision); len(got) == 3 {
				cancel()
			}
		})
		if !slices.Equal(got, []int64{5, 6, 7}) {
			t.Errorf("delivered %v, want 5, 6, 7", got)
		}
		if err := memory.Compact(7); err != nil {
			t.Fatal(err)
		}
		err = s.Watch(boundedContext(t), "c/", 7, func(store.WatchBatch) { t.Error("delivered a batch") })
		if !errors.Is(err, store.ErrCompacted) {
			t.Errorf("Watch after Compact: %v, want ErrCompacted", err)
		}
	})
}

// TestLimits guards against a state machine that accepts transactions that the platform's store
// rejects.
func TestLimits(t *testing.T) {
	m := NewMachine(Limits{})
	value := func(n int) []byte { return make([]byte, n) }
	tests := []struct {
		name string
		txn  store.Txn
		want error
	}{
		{"value at the limit", store.Txn{Puts: []store.Put{{Key: "a", Value: value(1 << 20)}}}, nil},
		{"value above the limit", store.Txn{Puts: []store.Put{{Key: "a", Value: value(1<<20 + 1)}}}, store.ErrRejected},
		{"values together above the limit", store.Txn{Puts: []store.Put{{Key: "a", Value: value(1 << 20)}, {Key: "b", Value: value(1 << 19)}}}, store.ErrRejected},
		{"no key", store.Txn{Puts: []store.Put{{}}}, store.ErrRejected},
		{"key twice", store.Txn{Puts: []store.Put{{Key: "a"}}, Deletes: []string{"a"}}, store.ErrRejected},
		{"no such lease", store.Txn{Puts: []store.Put{{Key: "a", Lease: 9}}}, store.ErrLeaseGone},
	}
	for _, test := range tests {
		before := m.Revision()
		_, err := m.Commit(test.txn)
		if !errors.Is(err, test.want) || err != nil && m.Revision() != before {
			t.Errorf("%s: %v, revision %d after %d; want %v", test.name, err, m.Revision(), before, test.want)
		}
	}
}
