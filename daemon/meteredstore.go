package daemon

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/store"
)

// meteredStore records the outcome and the duration of every call to the store.
type meteredStore struct {
	store  store.Store
	meters meters
}

var _ store.Store = meteredStore{}

// Get implements store.Store.
func (m meteredStore) Get(ctx context.Context, key string) (kv store.KeyValue, found bool, revision int64, err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("get", started, err) }(time.Now())
	return m.store.Get(ctx, key)
}

// List implements store.Store.
func (m meteredStore) List(ctx context.Context, prefix string) (kvs []store.KeyValue, revision int64, err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("list", started, err) }(time.Now())
	return m.store.List(ctx, prefix)
}

// LatestRevision implements store.Store.
func (m meteredStore) LatestRevision(ctx context.Context, prefix string) (revision int64, err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("latest", started, err) }(time.Now())
	return m.store.LatestRevision(ctx, prefix)
}

// Commit implements store.Store.
func (m meteredStore) Commit(ctx context.Context, txn store.Txn) (result store.TxnResult, err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("commit", started, err) }(time.Now())
	return m.store.Commit(ctx, txn)
}

// Grant implements store.Store.
func (m meteredStore) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("grant", started, err) }(time.Now())
	return m.store.Grant(ctx, ttl)
}

// KeepAlive implements store.Store.
func (m meteredStore) KeepAlive(ctx context.Context, lease int64) (ttl time.Duration, err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("keepalive", started, err) }(time.Now())
	return m.store.KeepAlive(ctx, lease)
}

// Revoke implements store.Store.
func (m meteredStore) Revoke(ctx context.Context, lease int64) (err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("revoke", started, err) }(time.Now())
	return m.store.Revoke(ctx, lease)
}

// Watch implements store.Store. The call is counted when the watch ends; its duration is the
// lifetime of the watch.
func (m meteredStore) Watch(ctx context.Context, prefix string, from int64, deliver func(store.WatchBatch)) (err error) {
	defer func(started time.Time) { m.meters.recordStoreCall("watch", started, err) }(time.Now())
	return m.store.Watch(ctx, prefix, from, deliver)
}
