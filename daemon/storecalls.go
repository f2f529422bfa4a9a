package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// txnOutcome is the outcome of a transaction. The packages ledger, ownership and allowance each have
// their own type for it.
type txnOutcome int

const (
	txnStored txnOutcome = iota
	txnConflict
	txnUnclear
	txnNoEffect
)

var (
	ledgerResults     = map[txnOutcome]ledger.CommitResult{txnStored: ledger.Stored, txnConflict: ledger.Conflict, txnUnclear: ledger.Unclear, txnNoEffect: ledger.NoEffect}
	ownershipOutcomes = map[txnOutcome]ownership.Outcome{txnStored: ownership.Succeeded, txnConflict: ownership.Conflict, txnUnclear: ownership.Unclear, txnNoEffect: ownership.NoEffect}
	allowanceOutcomes = map[txnOutcome]allowance.Outcome{txnStored: allowance.Succeeded, txnConflict: allowance.Conflict, txnUnclear: allowance.Unclear, txnNoEffect: allowance.NoEffect}
)

// commit executes a transaction and classifies its outcome.
func (d *engine) commit(ctx context.Context, txn store.Txn) (store.TxnResult, txnOutcome) {
	result, err := d.clients.Store.Commit(ctx, txn)
	switch {
	case err == nil && result.Succeeded:
		return result, txnStored
	case err == nil:
		return result, txnConflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRejected):
		d.log.Debug("commit had no effect", "err", err)
		return result, txnNoEffect
	default:
		d.log.Debug("outcome of commit is unclear", "err", err)
		return result, txnUnclear
	}
}

func currentValue(result store.TxnResult, key string) (store.KeyValue, bool) {
	for _, kv := range result.Current {
		if kv.Key == key {
			return kv, true
		}
	}
	return store.KeyValue{}, false
}

// grantLease obtains a lease and registers this instance under it.
func (d *engine) grantLease(ctx context.Context, e control.GrantLease) control.LeaseGranted {
	done := control.LeaseGranted{SentAt: time.Now()}
	defer func() { d.logStoreAvailability(done.Err) }()
	done.Lease, done.Err = d.clients.Store.Grant(ctx, d.cfg.Control.StoreLeaseTTL)
	if done.Err != nil {
		return done
	}
	result, err := d.putMember(ctx, e.Member, done.Lease)
	done.Revision, done.Err = result.Revision, err
	return done
}

// putMember writes the member record if its revision has not changed since it was read. Without
// this condition, a delayed write under an earlier lease could replace the record, and the record
// would be deleted when that lease expires.
func (d *engine) putMember(ctx context.Context, m membership.Member, lease int64) (store.TxnResult, error) {
	key := store.MemberKey(m.Instance)
	current, _, _, err := d.clients.Store.Get(ctx, key)
	if err != nil {
		return store.TxnResult{}, err
	}
	value, err := store.Encode(m)
	if err != nil {
		return store.TxnResult{}, err
	}
	result, err := d.clients.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, ModRevision: current.ModRevision}},
		Puts:     []store.Put{{Key: key, Value: value, Lease: lease}},
	})
	if err == nil && !result.Succeeded {
		err = errMemberConflict
	}
	return result, err
}

var errMemberConflict = eris.New("member record was changed by a concurrent write")

// logStoreAvailability logs the first of consecutive failures to reach the store, and the recovery.
func (d *engine) logStoreAvailability(err error) {
	switch wasDown := d.storeDown.Swap(err != nil); {
	case err != nil && !wasDown:
		d.log.Warn("the store does not answer", "err", err)
	case err == nil && wasDown:
		d.log.Info("the store answers again")
	}
}

func (d *engine) writeMember(ctx context.Context, e control.WriteMember) {
	if _, err := d.putMember(ctx, e.Member, e.Lease); err != nil {
		d.log.Warn("member record was not written", "err", err)
	}
}

// renewLease renews the lease and reads the revision of the latest change of the configuration.
// Both calls are made concurrently, so that a slow store delays the confirmation that the keys are
// fresh by one call only.
func (d *engine) renewLease(ctx context.Context, e control.RenewLease) control.KeepAliveDone {
	done := control.KeepAliveDone{SentAt: time.Now(), Lease: e.Lease}
	var group errgroup.Group
	group.Go(func() error {
		_, done.Err = d.clients.Store.KeepAlive(ctx, e.Lease)
		return nil
	})
	revision, err := d.clients.Store.LatestRevision(ctx, store.ConfigPrefix)
	_ = group.Wait()
	d.logStoreAvailability(done.Err)
	if err == nil {
		done.Revision = revision
	}
	done.Gone = errors.Is(done.Err, store.ErrLeaseGone)
	return done
}

func (d *engine) readShard(ctx context.Context, e control.ReadShard) control.ShardRead {
	kv, found, _, err := d.clients.Store.Get(ctx, store.RecordsKey(e.Shard))
	if err != nil || !found {
		return control.ShardRead{Shard: e.Shard, Err: err}
	}
	return decodeShard(e.Shard, kv)
}

func decodeShard(shard string, kv store.KeyValue) control.ShardRead {
	value, err := store.DecodeRecords(kv.Value)
	return control.ShardRead{Shard: shard, Err: err, Value: value, Revision: kv.ModRevision}
}

func (d *engine) commitLedger(ctx context.Context, e control.CommitLedger) control.LedgerDone {
	done := control.LedgerDone{Writes: e.Writes, Result: ledger.NoEffect}
	var txn store.Txn
	for _, w := range e.Writes {
		value, err := store.Encode(w.Value)
		if err != nil {
			d.log.Error("request records cannot be encoded", "shard", w.Shard, "err", err)
			return done
		}
		key := store.RecordsKey(w.Shard)
		txn.Compares = append(txn.Compares, store.Compare{Key: key, ModRevision: w.Revision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	}
	result, outcome := d.commit(ctx, txn)
	done.Result, done.Revision = ledgerResults[outcome], result.Revision
	if outcome != txnConflict {
		return done
	}
	for _, w := range e.Writes {
		read := control.ShardRead{Shard: w.Shard}
		if kv, ok := currentValue(result, store.RecordsKey(w.Shard)); ok {
			read = decodeShard(w.Shard, kv)
		}
		done.Current = append(done.Current, read)
	}
	return done
}

func (d *engine) writeOwnership(ctx context.Context, e control.WriteOwnership) control.OwnershipDone {
	w := e.Write
	done := control.OwnershipDone{Unit: w.Record.Unit, Result: ownership.WriteResult{Outcome: ownership.NoEffect}}
	value, err := store.Encode(w.Record)
	if err != nil {
		d.log.Error("ownership record cannot be encoded", "unit", w.Record.Unit, "err", err)
		return done
	}
	key := store.OwnershipKey(w.Record.Unit)
	txn := store.Txn{Compares: []store.Compare{{Key: key, ModRevision: w.ExpectedRevision}}, Puts: []store.Put{{Key: key, Value: value}}}
	for _, instance := range w.AbsentMembers {
		txn.Compares = append(txn.Compares, store.Compare{Key: store.MemberKey(instance)})
	}
	result, outcome := d.commit(ctx, txn)
	done.Result = ownership.WriteResult{Outcome: ownershipOutcomes[outcome], Revision: result.Revision}
	if kv, ok := currentValue(result, key); ok && outcome == txnConflict {
		if current, err := store.DecodeOwnership(kv.Value, kv.ModRevision); err == nil {
			done.Result.Current = current
		}
	}
	return done
}

func (d *engine) writeAllowances(ctx context.Context, e control.WriteAllowances) control.AllowanceDone {
	done := control.AllowanceDone{Writes: e.Writes, Result: allowance.WriteResult{Outcome: allowance.NoEffect}}
	var txn store.Txn
	ownershipRevisions := map[string]int64{}
	for _, w := range e.Writes {
		value, err := store.Encode(w.Record)
		if err != nil {
			d.log.Error("allowance record cannot be encoded", "team", w.Record.Team, "err", err)
			return done
		}
		key := store.AllowanceKey(string(w.Record.Team))
		txn.Compares = append(txn.Compares, store.Compare{Key: key, ModRevision: w.ExpectedRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
		for partition, revision := range w.OwnershipRevisions {
			ownershipRevisions[partition] = revision
		}
	}
	for partition, revision := range ownershipRevisions {
		txn.Compares = append(txn.Compares, store.Compare{Key: store.OwnershipKey(partition), ModRevision: revision})
	}
	result, outcome := d.commit(ctx, txn)
	done.Result = allowance.WriteResult{Outcome: allowanceOutcomes[outcome], Revision: result.Revision}
	if outcome == txnConflict {
		done.Result.Current = currentAllowances(result, e.Writes)
	}
	return done
}

func currentAllowances(result store.TxnResult, writes []allowance.Write) []allowance.Record {
	var current []allowance.Record
	for _, w := range writes {
		kv, ok := currentValue(result, store.AllowanceKey(string(w.Record.Team)))
		if !ok {
			continue
		}
		if record, err := store.DecodeAllowance(kv.Value, kv.ModRevision); err == nil {
			current = append(current, *record)
		}
	}
	return current
}
