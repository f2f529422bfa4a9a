package storetest

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// Kinds of calls, as named in faults and counters.
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

// errStoreDown ends an open watch when the store goes down.
var errStoreDown = errors.New("store went down")

// InterruptFor returns the Interrupt of a watch by an instance. silent tells that the watch was
// opened under a fault that silences it. The Interrupt ends the watch when the store goes down, and
// blocks while the watch must be silent or the store is unreachable. A silent stream stays silent
// when the fault is cleared, as a lost connection does not recover either.
func InterruptFor(ctx context.Context, faults *fault.Table, instance string, silent bool) Interrupt {
	return func() (<-chan struct{}, error) {
		standing, changed := faults.Standing(CallWatch, instance)
		switch {
		case standing.Down:
			return nil, errStoreDown
		case silent || standing.Silent || standing.Unreachable:
			<-ctx.Done()
			return nil, fmt.Errorf("silent watch ended: %w", context.Cause(ctx))
		}
		return changed, nil
	}
}

// classifyWatch returns the error of an ended watch, classified as by store.Client.
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

// The copies prevent callers from modifying the state of the machine.

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
