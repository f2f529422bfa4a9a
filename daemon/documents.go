package daemon

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// maxApplyAttempts bounds the attempts to write a document. A write is repeated when the
// allowance record of the team was changed concurrently or the outcome of the write is unclear.
const maxApplyAttempts = 5

// Apply replaces a document if its revision is the expected one.
func (b *operatorBackend) Apply(ctx context.Context, change operator.DocumentChange) (operator.StoredDocument, error) {
	key := store.DocumentKey(string(change.Ref.Team), string(change.Ref.Service))
	record := document.Record{Source: change.Source, PreviousRevision: change.ExpectedRevision, ChangedBy: change.Operator, ChangedAt: time.Now().UTC(), WriteID: rand.Text()}
	if err := b.checkTeam(ctx, change.Ref); err != nil {
		return operator.StoredDocument{}, err
	}
	for range maxApplyAttempts {
		current, revision, err := b.readDocument(ctx, key)
		if err != nil {
			return operator.StoredDocument{}, err
		}
		if current.WriteID == record.WriteID {
			return b.awaitApplied(ctx, change, record, revision) // an earlier attempt whose reply was lost
		}
		if revision != change.ExpectedRevision {
			return operator.StoredDocument{}, &operator.Conflict{Expected: change.ExpectedRevision, Current: operator.StoredDocument{Ref: change.Ref, Record: current, Revision: revision}}
		}
		record.Previous = current.Source
		result, outcome, err := b.writeDocument(ctx, key, change, record)
		switch {
		case err != nil:
			return operator.StoredDocument{}, err
		case outcome == txnStored:
			return b.awaitApplied(ctx, change, record, result.Revision)
		}
	}
	return operator.StoredDocument{}, errkind.New(errkind.OutcomeUnknown, "the store did not confirm the document; compare the document with the one in force")
}

// checkTeam rejects the document of a service whose team has no document: owners start no work of a
// team without a known limit, so the work would be accepted and queued forever. No call removes a
// document, so a document that was read still exists when the service's document is written.
func (b *operatorBackend) checkTeam(ctx context.Context, ref operator.DocumentRef) error {
	if ref.Service == "" {
		return nil
	}
	_, revision, err := b.readDocument(ctx, store.DocumentKey(string(ref.Team), ""))
	if err == nil && revision == 0 {
		return errkind.New(errkind.UnknownTeam, "team %s has no document", ref.Team).WithField("team", "a team whose document was applied before those of its services")
	}
	return err
}

// awaitApplied waits until a stored document is in force, for at most change.Wait, and returns the
// document.
func (b *operatorBackend) awaitApplied(ctx context.Context, change operator.DocumentChange, record document.Record, revision int64) (operator.StoredDocument, error) {
	stored := operator.StoredDocument{Ref: change.Ref, Record: record, Revision: revision}
	stored.InForce = b.awaitInForce(ctx, revision, change.Wait)
	return stored, nil
}

// writeDocument writes a document. A team's document and its allowance record, which divides the
// team's limit among the worker partitions, are written in the same transaction.
func (b *operatorBackend) writeDocument(ctx context.Context, key string, change operator.DocumentChange, record document.Record) (store.TxnResult, txnOutcome, error) {
	value, err := store.Encode(record)
	if err != nil {
		return store.TxnResult{}, txnNoEffect, err
	}
	txn := store.Txn{Compares: []store.Compare{{Key: key, ModRevision: change.ExpectedRevision}}, Puts: []store.Put{{Key: key, Value: value}}}
	if parsed, _ := document.Parse([]byte(change.Source)); parsed.IsTeam() && parsed.Limit != nil {
		if err := b.addLimit(ctx, &txn, parsed); err != nil {
			return store.TxnResult{}, txnNoEffect, err
		}
	}
	return b.commitConfig(ctx, txn)
}

// addLimit adds the new limit of a team to a transaction. The revision of the new document is not
// known before the commit, so the allowance record holds a lower bound: the store's revision at the
// time the record was read.
func (b *operatorBackend) addLimit(ctx context.Context, txn *store.Txn, d document.Document) error {
	key := store.AllowanceKey(string(d.Team))
	kv, found, revision, err := b.clients.Store.Get(ctx, key)
	if err != nil {
		return storeError(err)
	}
	current := allowance.Record{Team: d.Team}
	if found {
		decoded, err := store.DecodeAllowance(kv.Value, kv.ModRevision)
		if err != nil {
			return err
		}
		current = *decoded
	}
	value, err := store.Encode(allowance.WithLimit(current, *d.Limit, revision))
	if err != nil {
		return err
	}
	txn.Compares = append(txn.Compares, store.Compare{Key: key, ModRevision: current.Revision})
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	return nil
}

func storeError(err error) error {
	return errkind.New(errkind.StoreUnavailable, "the store does not answer: %v", err).WithRetryAfter(time.Second)
}

func (b *operatorBackend) readDocument(ctx context.Context, key string) (document.Record, int64, error) {
	kv, found, _, err := b.clients.Store.Get(ctx, key)
	if err != nil {
		return document.Record{}, 0, storeError(err)
	}
	if !found {
		return document.Record{}, 0, nil
	}
	record, err := store.DecodeDocument(kv.Value)
	if err != nil {
		return document.Record{}, 0, err
	}
	return *record, kv.ModRevision, nil
}

// Get returns a document from the store.
func (b *operatorBackend) Get(ctx context.Context, ref operator.DocumentRef) (operator.StoredDocument, error) {
	record, revision, err := b.readDocument(ctx, store.DocumentKey(string(ref.Team), string(ref.Service)))
	if err != nil {
		return operator.StoredDocument{}, err
	}
	if revision == 0 {
		return operator.StoredDocument{}, b.notFoundError(ref)
	}
	return operator.StoredDocument{Ref: ref, Record: record, Revision: revision, InForce: isInForce(b.loop.Snapshot(), revision)}, nil
}

func (b *operatorBackend) notFoundError(ref operator.DocumentRef) error {
	for key := range b.loop.Snapshot().Documents {
		if key.Team == ref.Team {
			return errkind.New(errkind.UnknownService, "team %s has no document for service %q", ref.Team, ref.Service)
		}
	}
	return errkind.New(errkind.UnknownTeam, "there is no document of team %s", ref.Team)
}

// List returns every document from the store.
func (b *operatorBackend) List(ctx context.Context) ([]operator.StoredDocument, error) {
	kvs, _, err := b.clients.Store.List(ctx, store.DocumentsPrefix())
	if err != nil {
		return nil, storeError(err)
	}
	snapshot := b.loop.Snapshot()
	var list []operator.StoredDocument
	for _, kv := range kvs {
		record, err := store.DecodeDocument(kv.Value)
		if err != nil {
			continue
		}
		team, service, _ := strings.Cut(strings.TrimPrefix(kv.Key, store.DocumentsPrefix()), "/")
		list = append(list, operator.StoredDocument{Ref: operator.DocumentRef{Team: task.Team(team), Service: task.Service(service)}, Record: *record,
			Revision: kv.ModRevision, InForce: isInForce(snapshot, kv.ModRevision)})
	}
	return list, nil
}
