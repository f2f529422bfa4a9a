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

// fate is the outcome of a transaction. Each decision package has its own type for it.
type fate int

const (
	stored fate = iota
	conflict
	unclear
	noEffect
)

var (
	ledgerResults     = map[fate]ledger.Result{stored: ledger.Stored, conflict: ledger.Conflict, unclear: ledger.Unclear, noEffect: ledger.NoEffect}
	ownershipOutcomes = map[fate]ownership.Outcome{stored: ownership.Succeeded, conflict: ownership.Conflict, unclear: ownership.Unclear, noEffect: ownership.NoEffect}
	allowanceOutcomes = map[fate]allowance.Outcome{stored: allowance.Succeeded, conflict: allowance.Conflict, unclear: allowance.Unclear, noEffect: allowance.NoEffect}
)

// commit executes a transaction and classifies its outcome.
func (d *engine) commit(ctx context.Context, txn store.Txn) (store.TxnResult, fate) {
	result, err := d.clients.Store.Commit(ctx, txn)
	switch {
	case err == nil && result.Succeeded:
		return result, stored
	case err == nil:
		return result, conflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRejected):
		d.log.Debug("commit had no effect", "err", err)
		return result, noEffect
	default:
		d.log.Debug("outcome of commit is unclear", "err", err)
		return result, unclear
	}
}

func currentOf(result store.TxnResult, key string) (store.KeyValue, bool) {
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
	defer func() { d.logContact(done.Err) }()
	done.Lease, done.Err = d.clients.Store.Grant(ctx, d.cfg.Control.StoreLeaseTTL)
	if done.Err != nil {
		return done
	}
	result, err := d.putMember(ctx, e.Member, done.Lease)
	done.Revision, done.Err = result.Revision, err
	return done
}

// putMember writes the member record, with a compare on its last revision. Without the compare, a
// delayed write under an earlier lease could replace the record, and the record would be deleted when
// that lease expires.
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
		err = errMemberChanged
	}
	return result, err
}

var errMemberChanged = eris.New("member record was changed by a concurrent write")

// logContact logs the first of consecutive failures to reach the store, and the recovery.
func (d *engine) logContact(err error) {
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

// renewLease renews the lease and reads the revision of the latest change of the configuration. Both
// calls are made concurrently, so that a slow store delays the confirmation that the keys are fresh by
// one call only.
func (d *engine) renewLease(ctx context.Context, e control.RenewLease) control.KeepAliveDone {
	done := control.KeepAliveDone{SentAt: time.Now(), Lease: e.Lease}
	var group errgroup.Group
	group.Go(func() error {
		_, done.Err = d.clients.Store.KeepAlive(ctx, e.Lease)
		return nil
	})
	revision, err := d.clients.Store.LatestRevision(ctx, store.ConfigPrefix)
	_ = group.Wait()
	d.logContact(done.Err)
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
	return shardRead(e.Shard, kv)
}

func shardRead(shard string, kv store.KeyValue) control.ShardRead {
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
	result, f := d.commit(ctx, txn)
	done.Result, done.Revision = ledgerResults[f], result.Revision
	if f != conflict {
		return done
	}
	for _, w := range e.Writes {
		read := control.ShardRead{Shard: w.Shard}
		if kv, ok := currentOf(result, store.RecordsKey(w.Shard)); ok {
			read = shardRead(w.Shard, kv)
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
	txn := store.Txn{Compares: []store.Compare{{Key: key, ModRevision: w.Expect}}, Puts: []store.Put{{Key: key, Value: value}}}
	for _, instance := range w.AbsentMembers {
		txn.Compares = append(txn.Compares, store.Compare{Key: store.MemberKey(instance)})
	}
	result, f := d.commit(ctx, txn)
	done.Result = ownership.WriteResult{Outcome: ownershipOutcomes[f], Revision: result.Revision}
	if kv, ok := currentOf(result, key); ok && f == conflict {
		if current, err := store.DecodeOwnership(kv.Value, kv.ModRevision); err == nil {
			done.Result.Current = current
		}
	}
	return done
}

func (d *engine) writeAllowances(ctx context.Context, e control.WriteAllowances) control.AllowanceDone {
	done := control.AllowanceDone{Writes: e.Writes, Result: allowance.WriteResult{Outcome: allowance.NoEffect}}
	var txn store.Txn
	owners := map[string]int64{}
	for _, w := range e.Writes {
		value, err := store.Encode(w.Record)
		if err != nil {
			d.log.Error("allowance record cannot be encoded", "team", w.Record.Team, "err", err)
			return done
		}
		key := store.AllowanceKey(string(w.Record.Team))
		txn.Compares = append(txn.Compares, store.Compare{Key: key, ModRevision: w.Expect})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
		for partition, revision := range w.Owners {
			owners[partition] = revision
		}
	}
	for partition, revision := range owners {
		txn.Compares = append(txn.Compares, store.Compare{Key: store.OwnershipKey(partition), ModRevision: revision})
	}
	result, f := d.commit(ctx, txn)
	done.Result = allowance.WriteResult{Outcome: allowanceOutcomes[f], Revision: result.Revision}
	if f == conflict {
		done.Result.Current = currentAllowances(result, e.Writes)
	}
	return done
}

func currentAllowances(result store.TxnResult, writes []allowance.Write) []allowance.Record {
	var current []allowance.Record
	for _, w := range writes {
		kv, ok := currentOf(result, store.AllowanceKey(string(w.Record.Team)))
		if !ok {
			continue
		}
		if record, err := store.DecodeAllowance(kv.Value, kv.ModRevision); err == nil {
			current = append(current, *record)
		}
	}
	return current
}
