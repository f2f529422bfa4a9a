package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

const (
	// configRetryDelay is the delay before a failed read of the configuration is retried. All
	// instances read it after an outage of the store; a shorter delay would add to that load.
	configRetryDelay = 500 * time.Millisecond
	// peerFetchThreshold is the number of consecutive failed reads after which the configuration is
	// fetched from the other instances.
	peerFetchThreshold = 3
)

// requestResync makes followConfig return, so that watchConfig lists the configuration again.
func (d *engine) requestResync() {
	select {
	case d.resync <- struct{}{}:
	default:
	}
}

// watchConfig delivers the entries below the configuration prefix to the control loop: a complete
// list first, then the changes in order.
func (d *engine) watchConfig(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		revision, err := d.listConfig(ctx)
		if err == nil {
			failures = 0
			d.followConfig(ctx, revision)
			continue
		}
		failures++
		d.log.Debug("reading the configuration failed", "err", err)
		if failures == peerFetchThreshold {
			d.fetchFromPeers(ctx)
		}
		sleep(ctx, configRetryDelay)
	}
	return nil
}

func (d *engine) listConfig(ctx context.Context) (revision int64, err error) {
	kvs, revision, err := d.clients.Store.List(ctx, store.ConfigPrefix)
	if err != nil {
		return 0, err
	}
	changes := make([]control.ConfigChange, len(kvs))
	for i, kv := range kvs {
		changes[i] = store.DecodeConfig(control.ConfigEntry{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision})
	}
	d.post(ctx, control.ConfigChanged{Revision: revision, Complete: true, Changes: changes})
	return revision, nil
}

// followConfig delivers changes until the configuration has to be listed again. After any other
// failure of the watch it resumes after the last revision delivered.
func (d *engine) followConfig(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		waiterDone := make(chan struct{})
		go func() {
			defer close(waiterDone)
			select {
			case <-d.resync:
				cancel()
			case <-watchCtx.Done():
			}
		}()
		err := d.clients.Store.Watch(watchCtx, store.ConfigPrefix, revision+1, func(b store.WatchBatch) {
			revision = b.Revision
			d.deliverBatch(ctx, b)
		})
		cancel()
		<-waiterDone
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, context.Canceled) {
			return
		}
		d.log.Debug("configuration watch ended", "revision", revision, "err", err)
		sleep(ctx, configRetryDelay)
	}
}

func (d *engine) deliverBatch(ctx context.Context, b store.WatchBatch) {
	changes := make([]control.ConfigChange, len(b.Changes))
	for i, c := range b.Changes {
		changes[i] = store.DecodeConfig(control.ConfigEntry{Key: c.Key, Value: c.Value, Revision: c.ModRevision, Deleted: c.Deleted})
	}
	d.post(ctx, control.ConfigChanged{Revision: b.Revision, Changes: changes})
}

// fetchFromPeers requests the configuration from the other entry instances while the store is
// unavailable, for example when this instance has started during an outage.
func (d *engine) fetchFromPeers(ctx context.Context) {
	instances, err := d.clients.InstanceList.List(ctx)
	if err != nil {
		d.log.Warn("started without store and instance list", "err", err)
		return
	}
	for _, instance := range instances {
		if instance.Role != instancelist.RoleEntry || instance.Name == d.cfg.Self.Instance || instance.State == instancelist.StateGone {
			continue
		}
		to := membership.Member{Instance: instance.Name, Address: instance.Address, Region: instance.Region, FailureDomain: instance.FailureDomain}
		d.send(ctx, control.Send{To: to, Request: control.FetchConfigRequest{}, Timeout: d.cfg.Control.CallTimeout, SentAt: time.Now()})
	}
}

func toConfigChanged(r control.FetchConfigReply) control.ConfigChanged {
	changes := make([]control.ConfigChange, len(r.Entries))
	for i, e := range r.Entries {
		changes[i] = store.DecodeConfig(e)
	}
	return control.ConfigChanged{Revision: r.Revision, Complete: r.AfterRevision == 0, Changes: changes}
}

// pollInstances reads the platform's instance list at intervals and posts it to the control loop.
func (d *engine) pollInstances(ctx context.Context) error {
	var listedWorkers map[worker.Address]bool
	for ctx.Err() == nil {
		sentAt := time.Now()
		instances, err := d.clients.InstanceList.List(ctx)
		if err != nil {
			d.log.Debug("reading the instance list failed", "err", err)
		} else {
			d.post(ctx, toInstancesListed(sentAt, instances))
			listedWorkers = d.unregisterUnlistedWorkers(listedWorkers, instances)
		}
		sleep(ctx, d.cfg.InstanceListInterval)
	}
	return nil
}

// unregisterUnlistedWorkers unregisters the metrics of the workers that were listed at the previous
// poll but no longer are, and returns the listed workers.
func (d *engine) unregisterUnlistedWorkers(previous map[worker.Address]bool, instances []instancelist.Instance) map[worker.Address]bool {
	client, ok := d.clients.Workers.(interface{ UnregisterCounters(worker.Address) })
	if !ok {
		return nil
	}
	listed := map[worker.Address]bool{}
	for _, instance := range instances {
		if instance.Role == instancelist.RoleWorker && instance.State != instancelist.StateGone {
			listed[worker.Address(instance.Address)] = true
		}
	}
	for address := range previous {
		if !listed[address] {
			client.UnregisterCounters(address)
		}
	}
	return listed
}

func toInstancesListed(sentAt time.Time, instances []instancelist.Instance) control.InstancesListed {
	e := control.InstancesListed{SentAt: sentAt}
	for _, instance := range instances {
		isGone := instance.State == instancelist.StateGone
		switch {
		case instance.Role == instancelist.RoleWorker:
			e.Workers = append(e.Workers, control.ListedWorker{Name: instance.Name, Address: instance.Address, Region: instance.Region,
				FailureDomain: instance.FailureDomain, Rack: instance.Rack, Leaving: instance.State == instancelist.StateLeaving, Gone: isGone})
		case !isGone:
			e.Entries = append(e.Entries, membership.Member{Instance: instance.Name, Address: instance.Address, Region: instance.Region, FailureDomain: instance.FailureDomain})
		}
	}
	return e
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
