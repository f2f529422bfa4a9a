package storetest

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// Kinds of calls. Faults and counters refer to them by these names.
const (
	CallRange     = "range"
	CallTxn       = "txn"
	CallCompact   = "compact"
	CallGrant     = "grant"
	CallKeepAlive = "keepalive"
	CallRevoke    = "revoke"
	CallWatch     = fault.CallWatch
)

// Calls lists every kind of call.
var Calls = []string{CallRange, CallTxn, CallCompact, CallGrant, CallKeepAlive, CallRevoke, CallWatch}

// errStoreDown ends an open watch when a fault takes the store down.
var errStoreDown = errors.New("store went down")

// NewWatchCheck returns the WatchCheck for a watch of an instance. silent reports whether the watch was
// opened under a fault that makes it silent. The check ends the watch when the store is down, and
// blocks until ctx is done if the watch is silent or the store is unreachable. A silent stream stays
// silent after the fault is cleared, just as a lost connection does not recover.
func NewWatchCheck(ctx context.Context, faults *fault.Table, instance string, silent bool) WatchCheck {
	return func() (<-chan struct{}, error) {
		effect, changed := faults.EffectOnOpenCall(CallWatch, instance)
		switch {
		case effect.Down:
			return nil, errStoreDown
		case silent || effect.SilentWatch || effect.Unreachable:
			<-ctx.Done()
			return nil, fmt.Errorf("silent watch ended: %w", context.Cause(ctx))
		}
		return changed, nil
	}
}

// classifyWatch classifies the error of an ended watch as store.Client does.
func classifyWatch(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, store.ErrCompacted):
		return err
	case context.Cause(ctx) == store.ErrNoProgress:
		return store.ErrNoProgress
	default:
		return fmt.Errorf("%w: %w", store.ErrUnclear, err)
	}
}

// copyKeyValue and the other copy functions prevent callers from modifying the state of the machine.
func copyKeyValue(kv store.KeyValue) store.KeyValue {
	kv.Value = bytes.Clone(kv.Value)
	return kv
}

func copyKeyValues(kvs []store.KeyValue) []store.KeyValue {
	copies := make([]store.KeyValue, 0, len(kvs))
	for _, kv := range kvs {
		copies = append(copies, copyKeyValue(kv))
	}
	return copies
}

func copyBatch(batch store.WatchBatch) store.WatchBatch {
	changes := make([]store.Change, 0, len(batch.Changes))
	for _, change := range batch.Changes {
		change.KeyValue = copyKeyValue(change.KeyValue)
		changes = append(changes, change)
	}
	return store.WatchBatch{Revision: batch.Revision, Changes: changes}
}
