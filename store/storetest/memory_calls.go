package storetest

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

var _ store.Store = (*client)(nil)

// Get implements store.Store.
func (c *client) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	r, err := c.readRange(ctx, key, "")
	if err != nil {
		return store.KeyValue{}, false, 0, eris.Wrapf(err, "get %q", key)
	}
	if len(r.kvs) == 0 {
		return store.KeyValue{}, false, r.revision, nil
	}
	return copyKeyValue(r.kvs[0]), true, r.revision, nil
}

// LatestRevision implements store.Store.
func (c *client) LatestRevision(ctx context.Context, prefix string) (int64, error) {
	result := make(chan int64, 1)
	err := c.call(ctx, CallRange, func(_ time.Time, m *Machine) error {
		kv, _ := m.Latest(string(wire.PrefixStart(prefix)), string(wire.PrefixEnd(prefix)))
		result <- kv.ModRevision
		return nil
	})
	if err != nil {
		return 0, eris.Wrapf(err, "latest revision of %q", prefix)
	}
	return <-result, nil
}

// List implements store.Store.
func (c *client) List(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	r, err := c.readRange(ctx, string(wire.PrefixStart(prefix)), string(wire.PrefixEnd(prefix)))
	if err != nil {
		return nil, 0, eris.Wrapf(err, "list %q", prefix)
	}
	return copyKeyValues(r.kvs), r.revision, nil
}

// Commit implements store.Store.
func (c *client) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	result := make(chan store.TxnResult, 1)
	err := c.call(ctx, CallTxn, func(_ time.Time, m *Machine) error {
		r, err := m.Commit(txn)
		result <- r
		return err
	})
	if err != nil {
		return store.TxnResult{}, eris.Wrap(err, "commit")
	}
	r := <-result
	r.Current = copyKeyValues(r.Current)
	return r, nil
}

// Grant implements store.Store.
func (c *client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	id := make(chan int64, 1)
	ttl = time.Duration(store.WholeSeconds(ttl)) * time.Second
	err := c.call(ctx, CallGrant, func(now time.Time, m *Machine) error {
		id <- m.Grant(now, ttl)
		return nil
	})
	if err != nil {
		return 0, eris.Wrap(err, "grant lease")
	}
	return <-id, nil
}

// KeepAlive implements store.Store.
func (c *client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	ttl := make(chan time.Duration, 1)
	err := c.call(ctx, CallKeepAlive, func(now time.Time, m *Machine) error {
		remaining, found := m.KeepAlive(now, lease)
		ttl <- remaining
		return leaseError(found)
	})
	if err != nil {
		return 0, eris.Wrapf(err, "keep lease %d alive", lease)
	}
	return <-ttl, nil
}

// Revoke implements store.Store.
func (c *client) Revoke(ctx context.Context, lease int64) error {
	err := c.call(ctx, CallRevoke, func(_ time.Time, m *Machine) error {
		return leaseError(m.Revoke(lease))
	})
	return eris.Wrapf(err, "revoke lease %d", lease)
}

func leaseError(found bool) error {
	if found {
		return nil
	}
	return store.ErrLeaseGone
}

// Watch implements store.Store.
func (c *client) Watch(ctx context.Context, prefix string, from int64, deliver func(store.WatchBatch)) error {
	operation := fmt.Sprintf("watch %q from %d", prefix, from)
	if from < 1 {
		return eris.Wrap(fmt.Errorf("%w: the first revision is 1", store.ErrRejected), operation)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progressTimer := time.AfterFunc(c.memory.cfg.ProgressTimeout, func() { cancel(store.ErrNoProgress) })
	defer progressTimer.Stop()
	err := c.watch(ctx, prefix, from, func(message WatchMessage) error {
		progressTimer.Stop()
		deliverAll(message, deliver)
		progressTimer.Reset(c.memory.cfg.ProgressTimeout)
		return nil
	})
	return eris.Wrap(err, operation)
}

func deliverAll(message WatchMessage, deliver func(store.WatchBatch)) {
	for _, batch := range message.Batches {
		deliver(copyBatch(batch))
	}
	if len(message.Batches) == 0 {
		deliver(store.WatchBatch{Revision: message.Revision})
	}
}

// watch opens a stream under the active faults. Opening a stream has no reply of its own, so a
// ReplyLost fault closes the stream immediately.
func (c *client) watch(ctx context.Context, prefix string, from int64, send func(WatchMessage) error) error {
	effect := c.memory.faults.Apply(CallWatch, c.instance)
	switch {
	case effect.Down:
		return fmt.Errorf("%w: watch refused", store.ErrUnavailable)
	case effect.Unreachable:
		<-ctx.Done()
	case effect.Delay > 0:
		sleep(ctx, effect.Delay)
	}
	if ctx.Err() != nil {
		return classifyWatch(ctx, context.Cause(ctx))
	}
	c.memory.faults.CountExecuted(CallWatch)
	if effect.ReplyLost {
		return fmt.Errorf("%w: connection closed without a reply", store.ErrUnclear)
	}
	check := NewWatchCheck(ctx, c.memory.faults, c.instance, effect.SilentWatch)
	start, end := string(wire.PrefixStart(prefix)), string(wire.PrefixEnd(prefix))
	err := c.memory.engine.Watch(ctx, start, end, from, check, send)
	return classifyWatch(ctx, err)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
