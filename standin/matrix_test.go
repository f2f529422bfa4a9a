package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

// Timeouts and delays of the matrix of faults and calls. Their margins are wide enough that, even
// on a loaded machine, calls that should succeed do not time out, and calls that should time out
// do.
const (
	matrixCallTimeout     = 1500 * time.Millisecond
	matrixProgressTimeout = 2500 * time.Millisecond
	matrixShortDelayMS    = 30
	matrixLongDelayMS     = 3000
)

// matrixStore is a store under test, over HTTP or in memory.
type matrixStore struct {
	client store.Store
	faults *fault.Table
	lease  int64
}

// prepare grants a lease and attaches a key to it.
func (m *matrixStore) prepare(t *testing.T) {
	t.Helper()
	lease, err := m.client.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	m.lease = lease
	_, err = m.client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "k/leased", Lease: lease}}})
	if err != nil {
		t.Fatal(err)
	}
}

// matrixCall is one kind of call. For calls that change the store, effect reports whether the
// change has been applied.
type matrixCall struct {
	name, kind string
	do         func(context.Context, *matrixStore) error
	effect     func(context.Context, *matrixStore) (bool, error)
}

var matrixCalls = []matrixCall{
	{"get", storetest.CallRange, func(ctx context.Context, m *matrixStore) error {
		_, _, _, err := m.client.Get(ctx, "k/leased")
		return err
	}, nil},
	{"list", storetest.CallRange, func(ctx context.Context, m *matrixStore) error {
		_, _, err := m.client.List(ctx, "k/")
		return err
	}, nil},
	{"commit", storetest.CallTxn, func(ctx context.Context, m *matrixStore) error {
		_, err := m.client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "k/new"}}})
		return err
	}, func(ctx context.Context, m *matrixStore) (bool, error) {
		_, found, _, err := m.client.Get(ctx, "k/new")
		return found, err
	}},
	{"grant", storetest.CallGrant, func(ctx context.Context, m *matrixStore) error {
		_, err := m.client.Grant(ctx, time.Minute)
		return err
	}, func(ctx context.Context, m *matrixStore) (bool, error) {
		next, err := m.client.Grant(ctx, time.Minute) // the stand-in numbers leases consecutively
		return next == m.lease+2, err
	}},
	{"keepalive", storetest.CallKeepAlive, func(ctx context.Context, m *matrixStore) error {
		_, err := m.client.KeepAlive(ctx, m.lease)
		return err
	}, nil},
	{"revoke", storetest.CallRevoke, func(ctx context.Context, m *matrixStore) error {
		return m.client.Revoke(ctx, m.lease)
	}, func(ctx context.Context, m *matrixStore) (bool, error) {
		_, found, _, err := m.client.Get(ctx, "k/leased")
		return !found, err
	}},
	{"watch", storetest.CallWatch, watchOnce, nil},
}

// watchOnce watches until the first batch that contains a change.
func watchOnce(ctx context.Context, m *matrixStore) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	delivered := false
	err := m.client.Watch(ctx, "k/", 1, func(batch store.WatchBatch) {
		delivered = delivered || len(batch.Changes) > 0
		cancel()
	})
	if delivered && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// matrixFault is one kind of fault, and the expected result of a call and of a watch under it.
type matrixFault struct {
	name                      string
	fault                     fault.Fault
	wantCallErr, wantWatchErr error // nil: the call succeeds
	executed                  bool
	executedAfterTimeout      bool
}

var matrixFaults = []matrixFault{
	{name: "none", executed: true},
	{name: "down", fault: fault.Fault{Kind: fault.Down}, wantCallErr: store.ErrUnavailable, wantWatchErr: store.ErrUnavailable},
	{name: "unreachable", fault: fault.Fault{Kind: fault.Unreachable}, wantCallErr: store.ErrUnclear, wantWatchErr: store.ErrNoProgress},
	{name: "slow", fault: fault.Fault{Kind: fault.Slow, DelayMS: matrixShortDelayMS}, executed: true},
	{
		name: "slower than the deadline", fault: fault.Fault{Kind: fault.Slow, DelayMS: matrixLongDelayMS},
		wantCallErr: store.ErrUnclear, wantWatchErr: store.ErrNoProgress, executedAfterTimeout: true,
	},
	{name: "reply lost", fault: fault.Fault{Kind: fault.ReplyLost}, wantCallErr: store.ErrUnclear, wantWatchErr: store.ErrUnclear, executed: true},
	{name: "silent watch", fault: fault.Fault{Kind: fault.SilentWatch}, wantWatchErr: store.ErrNoProgress, executed: true},
}

// TestMatrixHTTP applies every fault to every kind of call over HTTP. It guards against an error
// that reports no effect for a call that took effect, against a call without a deadline, and
// against calls that continue to fail after the fault has been cleared.
func TestMatrixHTTP(t *testing.T) {
	runMatrix(t, func(t *testing.T, run func(*testing.T, *matrixStore)) {
		t.Parallel()
		s := NewStore(storetest.Limits{})
		server := httptest.NewServer(s)
		client := store.NewClient(store.Config{
			Address:         server.Listener.Addr().String(),
			Instance:        "e1",
			CallTimeout:     matrixCallTimeout,
			ProgressTimeout: matrixProgressTimeout,
		})
		defer s.Close()
		defer server.Close()
		defer server.CloseClientConnections()
		defer client.Close()
		run(t, &matrixStore{client: client, faults: s.Faults()})
	})
}

// TestMatrixMemory guards against an in-memory store that differs from the real client in its
// response to a fault, which would invalidate the tests that use it.
func TestMatrixMemory(t *testing.T) {
	runMatrix(t, func(t *testing.T, run func(*testing.T, *matrixStore)) {
		synctest.Test(t, func(t *testing.T) {
			memory := storetest.NewMemory(storetest.Config{
				CallTimeout:     matrixCallTimeout,
				ProgressTimeout: matrixProgressTimeout,
			})
			defer memory.Close()
			run(t, &matrixStore{client: memory.Client("e1"), faults: memory.Faults()})
		})
	})
}

func runMatrix(t *testing.T, withStore func(*testing.T, func(*testing.T, *matrixStore))) {
	for _, f := range matrixFaults {
		for _, call := range matrixCalls {
			t.Run(fmt.Sprintf("%s/%s", f.name, call.name), func(t *testing.T) {
				withStore(t, func(t *testing.T, m *matrixStore) { checkMatrixCase(t, m, f, call) })
			})
		}
	}
}

func checkMatrixCase(t *testing.T, m *matrixStore, f matrixFault, call matrixCall) {
	m.prepare(t)
	setFault(t, m.faults, f, call.kind)
	before := m.faults.Counters()
	started := time.Now()

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // ends a call without a deadline
	defer cancel()
	err := call.do(ctx, m)
	took := time.Since(started)
	want := f.wantCallErr
	if call.kind == storetest.CallWatch {
		want = f.wantWatchErr
	}
	if !matchesOnly(err, want) {
		t.Errorf("error = %v, want only %v", err, want)
	}
	if limit := matrixProgressTimeout + time.Second; took > limit {
		t.Errorf("took %s, more than %s", took, limit)
	}
	executed := m.faults.Counters().Executed[call.kind] - before.Executed[call.kind]
	if want := boolToInt(f.executed); executed != want {
		t.Errorf("executed %d calls, want %d", executed, want)
	}
	if received := m.faults.Counters().Received[call.kind] - before.Received[call.kind]; received != 1 {
		t.Errorf("received %d calls, want 1", received)
	}
	if err := m.faults.Set(); err != nil {
		t.Fatal(err)
	}
	if f.executedAfterTimeout {
		time.Sleep(matrixLongDelayMS * time.Millisecond)
	}
	checkEffect(t, m, call, f.executed || f.executedAfterTimeout)
}

// checkEffect checks whether the call has changed the store. The calls that it makes also check
// that the store works again after the fault.
func checkEffect(t *testing.T, m *matrixStore, call matrixCall, want bool) {
	if call.effect == nil {
		if err := call.do(t.Context(), m); err != nil {
			t.Errorf("call after the fault: %v", err)
		}
		return
	}
	changed, err := call.effect(t.Context(), m)
	if err != nil || changed != want {
		t.Errorf("effect = %v, %v, want %v", changed, err, want)
	}
}

func setFault(t *testing.T, table *fault.Table, f matrixFault, call string) {
	t.Helper()
	if f.fault.Kind == "" {
		return
	}
	if f.fault.Kind != fault.SilentWatch {
		f.fault.Call = call
	}
	if err := table.Set(f.fault); err != nil {
		t.Fatal(err)
	}
}

// matchesOnly reports whether err matches want and none of the other errors of the store.
func matchesOnly(err, want error) bool {
	if want == nil {
		return err == nil
	}
	classes := []error{
		store.ErrUnavailable, store.ErrUnclear, store.ErrRejected,
		store.ErrCompacted, store.ErrLeaseGone, store.ErrNoProgress,
	}
	for _, class := range classes {
		if errors.Is(err, class) != (class == want) {
			return false
		}
	}
	return true
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
