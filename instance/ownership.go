package instance

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// ownerFollower posts the ownership record to the control goroutine.
type ownerFollower struct {
	ctx      context.Context
	instance *Instance
	last     cell.OwnerObserved
}

// Listed implements store.Follower.
func (f *ownerFollower) Listed(kvs []store.KeyValue, revision int64, _ time.Time) {
	f.last = cell.OwnerObserved{Revision: revision, MaxCores: f.last.MaxCores}
	for _, kv := range kvs {
		f.applyRecord(kv, false)
	}
	f.instance.loop.Post(f.ctx, f.last)
}

// Changed implements store.Follower. The last observation is also posted on progress
// notifications, since the control state discards its copy when it steps down.
func (f *ownerFollower) Changed(b store.WatchBatch) {
	for _, change := range b.Changes {
		f.applyRecord(change.KeyValue, change.Deleted)
	}
	f.instance.loop.Post(f.ctx, f.last)
}

func (f *ownerFollower) applyRecord(kv store.KeyValue, deleted bool) {
	switch {
	case kv.Key == keyCores && !deleted:
		f.applyCores(kv)
		return
	case kv.Key != keyOwner:
		return
	}
	f.last = cell.OwnerObserved{Revision: kv.ModRevision, MaxCores: f.last.MaxCores}
	if deleted {
		return
	}
	if err := json.Unmarshal(kv.Value, &f.last.Owner); err != nil {
		f.instance.cfg.Journal.Event("ownership record cannot be decoded", "error", err)
		return
	}
	f.last.Found = true
}

func (f *ownerFollower) applyCores(kv store.KeyValue) {
	var record coresRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		f.instance.cfg.Journal.Event("core count record cannot be decoded", "error", err)
		return
	}
	f.last.MaxCores = record.Cores
}

// Failed implements store.Follower.
func (f *ownerFollower) Failed(err error) { f.instance.logStoreFailure("watch ownership", err) }

func (i *Instance) followOwner(ctx context.Context) error {
	_ = store.Follow(ctx, i.cfg.Store, keyOwner, &ownerFollower{ctx: ctx, instance: i}) // returns only when ctx ends
	return nil
}

// recordCores writes the core count of this instance unless a count at least as high
// is recorded. A failed write is retried at the next reading of the ownership record.
func (i *Instance) recordCores(ctx context.Context, cores float64) {
	callCtx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	value, err := job.Encode(coresRecord{Cores: cores})
	if err != nil {
		i.cfg.Journal.Event("core count record cannot be encoded", "error", err)
		return
	}
	kv, found, _, err := i.cfg.Store.Get(callCtx, keyCores)
	if err != nil {
		i.logStoreFailure("read the core count record", err)
		return
	}
	recorded := coresRecord{}
	if found {
		if err := json.Unmarshal(kv.Value, &recorded); err != nil {
			i.cfg.Journal.Event("core count record cannot be decoded", "error", err)
		}
	}
	if recorded.Cores >= cores {
		return
	}
	_, err = i.cfg.Store.Commit(callCtx, store.Txn{
		Compares: []store.Compare{{Key: keyCores, ModRevision: kv.ModRevision}},
		Puts:     []store.Put{{Key: keyCores, Value: value}},
	})
	i.logStoreFailure("write the core count record", err)
}

// logStoreFailure logs a failed store call, at most once per storeFailureLogInterval for
// each kind of call. It ignores a nil error and store.ErrNoProgress.
func (i *Instance) logStoreFailure(call string, err error) {
	if err == nil || errors.Is(err, store.ErrNoProgress) {
		return
	}
	now := time.Now()
	i.failuresMu.Lock()
	current := i.failuresByCall[call]
	current.failures++
	logNow := now.Sub(current.loggedAt) >= storeFailureLogInterval
	failures := current.failures
	if logNow {
		current = storeFailures{loggedAt: now}
	}
	i.failuresByCall[call] = current
	i.failuresMu.Unlock()
	if logNow {
		i.cfg.Journal.Event("store call failed", "call", call, "failures", failures, "error", err)
	}
}

// storeFailureLogInterval is the minimum time between log lines on failures of the same
// call, which are frequent during an outage.
const storeFailureLogInterval = 2 * time.Second

// storeFailures counts the failures of one call since its last log line.
type storeFailures struct {
	failures int
	loggedAt time.Time
}

// Timeouts and retry delays of the store calls of an owner.
const (
	campaignTimeout   = 1500 * time.Millisecond // a slow store responds within 300 ms
	recoverTimeout    = 6 * time.Second
	recoverRetryDelay = 60 * time.Millisecond
	commitTimeout     = 1200 * time.Millisecond
	commitRetryDelay  = 60 * time.Millisecond
)

// campaign tries to create the ownership record under a new lease.
func (i *Instance) campaign(ctx context.Context) {
	result := cell.CampaignDone{}
	defer func() { i.loop.Post(ctx, result) }()
	callCtx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	grantedAt := clock.Now()
	lease, err := i.cfg.Store.Grant(callCtx, i.cfg.Timing.OwnershipTTL)
	if err != nil {
		i.logStoreFailure("grant a lease", err)
		return
	}
	self, err := job.Encode(cell.Owner{Instance: i.cfg.Name, Incarnation: i.cfg.Incarnation, Address: i.cfg.Listen})
	if err != nil {
		i.cfg.Journal.Event("ownership record cannot be encoded", "error", err)
		return
	}
	done, err := i.cfg.Store.Commit(callCtx, store.Txn{
		Compares: []store.Compare{{Key: keyOwner}},
		Puts:     []store.Put{{Key: keyOwner, Value: self, Lease: lease}},
	})
	switch {
	case err == nil && done.Succeeded:
		result = cell.CampaignDone{Won: true, Revision: done.Revision, Lease: lease, GrantedAt: grantedAt}
	case errors.Is(err, store.ErrUnclear):
		if kv, found, _, err := i.cfg.Store.Get(callCtx, keyOwner); err == nil && found && kv.Lease == lease {
			result = cell.CampaignDone{Won: true, Revision: kv.ModRevision, Lease: lease, GrantedAt: grantedAt}
			return
		}
		// The write may still take effect; the record is removed with its lease.
		i.revoke(ctx, lease)
	default:
		i.logStoreFailure("campaign", err)
		i.revoke(ctx, lease)
	}
}

func (i *Instance) revoke(ctx context.Context, lease int64) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), i.cfg.Timing.ResignTimeout)
	defer cancel()
	if err := i.cfg.Store.Revoke(callCtx, lease); err != nil && !errors.Is(err, store.ErrLeaseGone) {
		i.logStoreFailure("revoke a lease", err)
	}
}

// recover reads the stored state and retries until it succeeds or the ownership ends.
func (i *Instance) recover(ctx context.Context, ownership int64) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
		recovery, err := i.readRecovery(callCtx)
		cancel()
		if err == nil {
			i.loop.PostAndWait(ctx, cell.Recovered{Revision: ownership, State: recovery})
			go i.followInbox(ctx, ownership, recovery.ReadRevision+1)
			go i.readDirectory(ctx)
			go i.sweepPeriodically(ctx, ownership)
			return
		}
		i.cfg.Journal.Event("recovery failed", "fence", ownership, "error", err)
		sleep(ctx, recoverRetryDelay)
	}
}

// renew renews the ownership lease. Renewals may overlap, so that a lost one does not
// delay the next.
func (i *Instance) renew(ctx context.Context, lease int64) {
	callCtx, cancel := context.WithTimeout(ctx, i.cfg.Timing.OwnershipTTL)
	defer cancel()
	sentAt := clock.Now()
	_, err := i.cfg.Store.KeepAlive(callCtx, lease)
	switch {
	case err == nil:
		i.loop.RecordRenewal(sentAt)
	case errors.Is(err, store.ErrLeaseGone):
		i.loop.Post(ctx, cell.RenewDone{Lease: lease, Gone: true})
	case ctx.Err() == nil:
		i.logStoreFailure("renew the ownership lease", err)
	}
}

// resign removes the ownership record by revoking its lease, so that a successor does
// not have to wait until the lease expires.
func (i *Instance) resign(e cell.Resign) {
	i.revoke(i.ctx, e.Lease)
	i.resignOnce.Do(func() {
		if i.loop.Snapshot().Stopping {
			close(i.resigned)
		}
	})
}

// commit writes a commit and retries until its outcome is definite or the ownership
// ends. The conditions of the transaction ensure that at most one attempt takes effect.
func (i *Instance) commit(ctx context.Context, e cell.CommitRecords) {
	value, err := job.Encode(sequenceRecord{Incarnation: i.cfg.Incarnation, PreviousRevision: e.Sequence})
	if err != nil {
		i.cfg.Journal.Event("sequence record cannot be encoded", "error", err)
		return
	}
	txn, err := encodeCommit(e, value)
	if err != nil {
		i.cfg.Journal.Event("commit cannot be encoded", "error", err)
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		result, err := store.CommitHedged(callCtx, i.cfg.Store, txn, commitHedge)
		cancel()
		switch {
		case err == nil && result.Succeeded:
			i.loop.Post(ctx, cell.Committed{Commit: e.Commit, OwnerRevision: e.OwnerRevision, Sequence: result.Revision})
			return
		case err == nil:
			i.loop.Post(ctx, i.classifyRefusedCommit(e, result.Current, value))
			return
		}
		i.logStoreFailure("commit", err)
		sleep(ctx, commitRetryDelay)
	}
}

// classifyRefusedCommit distinguishes a commit that an earlier attempt has already
// written from one that was refused because there is a newer owner.
func (i *Instance) classifyRefusedCommit(e cell.CommitRecords, current []store.KeyValue, value []byte) cell.Committed {
	done := cell.Committed{Commit: e.Commit, OwnerRevision: e.OwnerRevision, Lost: true}
	owned := false
	for _, kv := range current {
		switch kv.Key {
		case keyOwner:
			owned = kv.ModRevision == e.OwnerRevision
		case sequenceKey(e.Commit.Stream):
			if string(kv.Value) == string(value) {
				done.Sequence = kv.ModRevision
			}
		}
	}
	done.Lost = !owned || done.Sequence == 0
	return done
}

// inboxFollower posts new jobs and cancellations to the control goroutine.
type inboxFollower struct {
	ctx       context.Context
	instance  *Instance
	ownership int64 // revision of the ownership record
}

// Listed implements store.Follower.
func (f *inboxFollower) Listed(kvs []store.KeyValue, revision int64, asOf time.Time) {
	f.post(kvs, revision, asOf)
}

// ListedPart implements store.PartFollower.
func (f *inboxFollower) ListedPart(kvs []store.KeyValue) { f.post(kvs, 0, time.Time{}) }

// Changed implements store.Follower.
func (f *inboxFollower) Changed(b store.WatchBatch) {
	kvs := make([]store.KeyValue, 0, len(b.Changes))
	for _, change := range b.Changes {
		if !change.Deleted {
			kvs = append(kvs, change.KeyValue)
		}
	}
	f.post(kvs, b.Revision, b.AsOf)
}

// post posts an observation also if it is empty, since it shows that the knowledge is current. It returns when
// the control goroutine has processed it, so that no further records are decoded in the meantime.
func (f *inboxFollower) post(kvs []store.KeyValue, revision int64, asOf time.Time) {
	jobs, cancelled := f.instance.decodeInbox(kvs)
	f.instance.loop.PostAndWait(f.ctx, cell.JobsObserved{OwnerRevision: f.ownership, Jobs: jobs, Cancelled: cancelled, Revision: revision, AsOf: asOf})
}

// Failed implements store.Follower.
func (f *inboxFollower) Failed(err error) { f.instance.logStoreFailure("watch jobs", err) }

// followInbox watches for jobs and cancellations that other instances recorded but could
// not send to the owner, from a revision of the store on.
func (i *Instance) followInbox(ctx context.Context, ownership, from int64) {
	_ = store.FollowFrom(ctx, i.cfg.Store, inboxPrefix, from, &inboxFollower{ctx: ctx, instance: i, ownership: ownership}) // returns only when ctx ends
}

// readDirectory polls the directory of workers until ctx ends.
func (i *Instance) readDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, i.cfg.Timing.DirectoryInterval)
		sentAt := clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
		workers, err := i.cfg.Directory.Workers(callCtx)
		cancel()
		if err == nil {
			i.loop.Post(ctx, cell.DirectoryRead{Workers: workers, AsOf: sentAt})
			continue
		}
		i.logStoreFailure("read the directory of workers", err)
		if clock.Since(sentAt) < directoryTimeout {
			i.loop.Post(ctx, cell.StoreUnavailable{})
		}
	}
}

// directoryTimeout bounds a read of the directory of workers. It is longer than that of a single call
// to the store: a failure that takes longer is attributed to this instance, which is short of
// processor time.
const directoryTimeout = time.Second

// commitHedge resends a write that has received no response. The delay is several times
// the 30 ms round trip to a store in another region, and longer than a slow store usually
// takes.
var commitHedge = store.Hedge{Delay: 220 * time.Millisecond, MaxAttempts: 4}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
