package store

import (
	"context"
	"errors"
	"time"
)

// Errors that callers of Store distinguish with errors.Is. Every error of a Store matches exactly
// one of them.
var (
	// ErrUnavailable means that the call certainly had no effect, since the store could not be reached
	// or did not accept it.
	ErrUnavailable = errors.New("store unavailable, call had no effect")
	// ErrUnclear means that the call may have taken effect.
	ErrUnclear = errors.New("outcome of store call unclear")
	// ErrRejected means that the store rejected the call as invalid: it had no effect, and the same
	// call would fail again.
	ErrRejected = errors.New("store rejected the call")
	// ErrCompacted means that the requested changes are no longer in the store's history: the caller
	// must list the keys again.
	ErrCompacted = errors.New("revision compacted")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errors.New("lease expired or revoked")
	// ErrNoProgress means that a watch received no message within its timeout. The caller resumes
	// from the revision after the last one delivered.
	ErrNoProgress = errors.New("watch made no progress")
)

// KeyValue is the state of one key at some revision.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64 // revision of the last change of the key
	Lease       int64 // lease to which the key is attached; 0 for none
}

// Compare is a condition of a transaction on the last change of a key.
type Compare struct {
	Key         string
	ModRevision int64 // expected revision of the last change; 0 if the key must be absent
}

// Put sets one key.
type Put struct {
	Key   string
	Value []byte
	Lease int64 // 0 for none
}

// Txn changes keys atomically if every compare holds. A key may occur only once among its puts and
// deletes.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// TxnResult is the definite outcome of a transaction.
type TxnResult struct {
	Succeeded bool
	Revision  int64      // of the store after the transaction
	Current   []KeyValue // if not succeeded, the current state of the compared keys that exist
}

// Change is one change of a key. A deleted key has no value.
type Change struct {
	KeyValue
	Deleted bool
}

// WatchBatch holds all changes of one revision. Every change up to Revision has been delivered. A
// batch without changes is a progress notice.
type WatchBatch struct {
	Revision int64
	Changes  []Change
	AsOf     time.Time // every change acknowledged up to then has been delivered; zero if unknown
}

// Scanner is implemented by stores that read the keys with a prefix one after another, so that the caller
// need not hold all of them.
type Scanner interface {
	// Scan passes the keys in ascending order to visit, until that returns an error. Every change up to the
	// returned revision is included; later ones may be.
	Scan(ctx context.Context, prefix string, visit func(KeyValue) error) (revision int64, err error)
}

// Scan passes the keys with a prefix in ascending order to visit, as Scanner does.
func Scan(ctx context.Context, s Store, prefix string, visit func(KeyValue) error) (revision int64, err error) {
	if scanner, ok := s.(Scanner); ok {
		return scanner.Scan(ctx, prefix, visit)
	}
	kvs, revision, err := s.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, kv := range kvs {
		if err := visit(kv); err != nil {
			return 0, err
		}
	}
	return revision, nil
}

// Store accesses the platform's key-value store. All methods are safe for concurrent use, and every
// call except Watch has a deadline.
type Store interface {
	// Get reads one key; the read is linearizable. revision is the current revision of the store.
	Get(ctx context.Context, key string) (kv KeyValue, found bool, revision int64, err error)
	// List reads the keys with a prefix in ascending order, all as of revision.
	List(ctx context.Context, prefix string) (kvs []KeyValue, revision int64, err error)
	// LatestRevision reads the highest ModRevision of the existing keys with a prefix, 0 if there is
	// none; the read is linearizable. Deleted keys do not count.
	LatestRevision(ctx context.Context, prefix string) (revision int64, err error)
	// Commit executes txn. Without an error, the outcome is definite.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease. The time to live is rounded up to a whole second.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, lease int64) (ttl time.Duration, err error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch delivers the changes of keys with a prefix from revision from, which is at least 1, in
	// order of revision and without gaps. It blocks until ctx is done or the watch fails, and always
	// returns an error. To resume, the caller watches again after a short delay, from the last
	// revision delivered plus one.
	Watch(ctx context.Context, prefix string, from int64, deliver func(WatchBatch)) error
}
