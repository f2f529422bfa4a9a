package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// entryFake is an EntryClient that calls the control loops of the other processes directly.
type entryFake struct{ *node }

// Call passes a request to the control loop of the other process.
func (f *entryFake) Call(ctx context.Context, to membership.Member, request control.PeerRequest) (control.PeerReply, error) {
	target := f.deployment.nodeAt(to.Address)
	if target == nil {
		return nil, eris.Wrap(entry.ErrNotSent, "connection refused")
	}
	c := call{step: fmt.Sprintf("peer.%T", request)[len("peer.control."):], from: f.node, to: target}
	c.step = "peer." + c.step
	if err := f.deployment.applyFault(ctx, c); err != nil {
		return nil, err
	}
	if target.isDead() {
		return nil, eris.Wrap(entry.ErrNotSent, "connection refused")
	}
	target.waitWhileFrozen()
	reply, err := target.loop.Call(ctx, f.cfg.Self.Instance, request)
	c.executed = true
	if faultErr := f.deployment.applyFault(ctx, c); faultErr != nil {
		return nil, faultErr
	}
	return reply, err
}

// Timeline fails; these tests do not use it.
func (f *entryFake) Timeline(context.Context, membership.Member, string, string, time.Time) ([]byte, error) {
	return nil, errDropped
}

// Close implements EntryClient.
func (f *entryFake) Close() {}

// nodeAt returns the process that listens on an address.
func (d *deployment) nodeAt(address string) *node {
	for _, n := range d.live() {
		if n.cfg.Self.Address == address {
			return n
		}
	}
	return nil
}

// workerFake forwards calls to the stand-in workers.
type workerFake struct {
	worker.API
	node *node
}

// callWorkerWithFaults executes a call to a worker. A fault may drop the call before or after its
// effect.
func callWorkerWithFaults[T any](ctx context.Context, n *node, step string, to worker.Address, f func() (T, error)) (T, error) {
	var zero T
	c := call{step: step, from: n, worker: string(to)}
	if err := n.deployment.applyFault(ctx, c); err != nil {
		return zero, fmt.Errorf("%w: %w", worker.ErrUnclear, err)
	}
	reply, err := f()
	c.executed = true
	if faultErr := n.deployment.applyFault(ctx, c); faultErr != nil {
		return zero, fmt.Errorf("%w: %w", worker.ErrUnclear, faultErr)
	}
	return reply, err
}

const workerFakeTimeout = 2 * time.Second

// Start starts a task. A fault at worker.StartChecked acts after the check of the ownership term, as
// if the process were paused while sending.
func (f *workerFake) Start(ctx context.Context, to worker.Address, req worker.StartRequest, check func() error) (worker.StartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.OutcomeWait+workerFakeTimeout)
	defer cancel()
	return callWorkerWithFaults(ctx, f.node, "worker.Start", to, func() (worker.StartReply, error) {
		return f.API.Start(context.WithoutCancel(ctx), to, req, func() error {
			if err := check(); err != nil {
				return err
			}
			return f.node.deployment.applyFault(ctx, call{step: "worker.StartChecked", from: f.node, worker: string(to)})
		})
	})
}

// Sync renews task leases and returns a report.
func (f *workerFake) Sync(ctx context.Context, to worker.Address, req worker.SyncRequest) (worker.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, workerFakeTimeout)
	defer cancel()
	return callWorkerWithFaults(ctx, f.node, "worker.Sync", to, func() (worker.SyncReply, error) { return f.API.Sync(ctx, to, req) })
}

// Lookup returns the state of an attempt.
func (f *workerFake) Lookup(ctx context.Context, to worker.Address, a task.Attempt) (worker.LookupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, workerFakeTimeout)
	defer cancel()
	return callWorkerWithFaults(ctx, f.node, "worker.Lookup", to, func() (worker.LookupReply, error) { return f.API.Lookup(ctx, to, a) })
}

// Stop stops an attempt.
func (f *workerFake) Stop(ctx context.Context, to worker.Address, req worker.StopRequest) (worker.LookupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, workerFakeTimeout)
	defer cancel()
	return callWorkerWithFaults(ctx, f.node, "worker.Stop", to, func() (worker.LookupReply, error) { return f.API.Stop(ctx, to, req) })
}

// listFake is a fake of the instance list. It lists the workers of the deployment and the processes
// that were not killed.
type listFake struct{ *node }

// List returns the instances. Every process is listed as live.
func (f *listFake) List(ctx context.Context) ([]instancelist.Instance, error) {
	if err := f.deployment.applyFault(ctx, call{step: "list.List", from: f.node}); err != nil {
		return nil, err
	}
	f.deployment.mu.Lock()
	defer f.deployment.mu.Unlock()
	list := append([]instancelist.Instance(nil), f.deployment.listedWorkers...)
	for _, n := range f.deployment.nodes {
		if !n.dead {
			list = append(list, instancelist.Instance{Name: n.cfg.Self.Instance, Address: n.cfg.Self.Address, Role: instancelist.RoleEntry,
				Region: n.cfg.Self.Region, FailureDomain: n.cfg.Self.FailureDomain, State: instancelist.StateLive})
		}
	}
	return list, nil
}

// storeFake forwards calls to the in-memory store.
type storeFake struct {
	store.Store
	node *node
}

// callStoreWithFaults executes a call to the store. A fault may drop the call before or after its
// effect.
func callStoreWithFaults[T any](ctx context.Context, n *node, step string, f func() (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, store.DefaultCallTimeout)
	defer cancel()
	if err := n.deployment.applyFault(ctx, call{step: step, from: n}); err != nil {
		return zero, fmt.Errorf("%w: %w", store.ErrUnclear, err)
	}
	result, err := f()
	if faultErr := n.deployment.applyFault(ctx, call{step: step, from: n, executed: true}); faultErr != nil {
		return zero, fmt.Errorf("%w: %w", store.ErrUnclear, faultErr)
	}
	return result, err
}

// Commit executes a transaction.
func (f *storeFake) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	return callStoreWithFaults(ctx, f.node, "store."+txnKind(txn), func() (store.TxnResult, error) { return f.Store.Commit(context.WithoutCancel(ctx), txn) })
}

// txnKind returns the step name of a transaction, which depends on the key of its first put.
func txnKind(txn store.Txn) string {
	if len(txn.Puts) == 0 {
		return "Delete"
	}
	kinds := map[byte]string{'o': "CommitOwnership", 'a': "CommitAllowance", 'm': "CommitMember"}
	key := txn.Puts[0].Key
	if key[0] == 'j' {
		return "CommitRecords"
	}
	return kinds[key[len(store.ConfigPrefix)]]
}

// KeepAlive renews the lease.
func (f *storeFake) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	return callStoreWithFaults(ctx, f.node, "store.KeepAlive", func() (time.Duration, error) { return f.Store.KeepAlive(ctx, lease) })
}

// Get reads a key.
func (f *storeFake) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	type getResult struct {
		kv       store.KeyValue
		found    bool
		revision int64
	}
	g, err := callStoreWithFaults(ctx, f.node, "store.Get", func() (getResult, error) {
		kv, found, revision, err := f.Store.Get(ctx, key)
		return getResult{kv, found, revision}, err
	})
	return g.kv, g.found, g.revision, err
}

// LatestRevision reads the revision of the latest change.
func (f *storeFake) LatestRevision(ctx context.Context, prefix string) (int64, error) {
	return callStoreWithFaults(ctx, f.node, "store.LatestRevision", func() (int64, error) { return f.Store.LatestRevision(ctx, prefix) })
}

// Watch delivers changes, except while the process is frozen.
func (f *storeFake) Watch(ctx context.Context, prefix string, from int64, deliver func(store.WatchBatch)) error {
	return f.Store.Watch(ctx, prefix, from, func(b store.WatchBatch) {
		f.node.waitWhileFrozen()
		deliver(b)
	})
}
