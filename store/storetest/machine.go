// Package storetest provides the state machine of the stand-in for the platform's store, and
// Memory, an in-memory implementation of store.Store for tests. The HTTP stand-in in package
// standin uses the same state machine.
package storetest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// Limits bounds the size of requests and of the history. Zero fields take the defaults.
type Limits struct {
	ValueBytes       int // size of one value
	TxnBytes         int // size of all keys and values of one transaction
	HistoryRevisions int // number of revisions kept for watches
	HistoryBytes     int // size of the keys and values kept for watches
}

// Defaults of Limits. The platform's store accepts values up to 1 MB. DefaultTxnBytes is the published
// default limit on the size of a request to etcd.
const (
	DefaultValueBytes       = 1 << 20
	DefaultTxnBytes         = 3 << 19
	DefaultHistoryRevisions = 10_000
	DefaultHistoryBytes     = 64 << 20
)

// Machine is the state machine of the store: keys with revisions, leases and the history of
// changes. It does not read the clock and is not safe for concurrent use.
type Machine struct {
	limits       Limits
	revision     int64
	keys         map[string]store.KeyValue
	leases       map[int64]*lease
	lastLease    int64
	history      []store.WatchBatch // ascending by revision
	historyBytes int
	compacted    int64 // highest revision that is no longer in history
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// NewMachine returns an empty store. Its revision is 1, as in the real store.
func NewMachine(limits Limits) *Machine {
	limits.ValueBytes = cmp.Or(limits.ValueBytes, DefaultValueBytes)
	limits.TxnBytes = cmp.Or(limits.TxnBytes, DefaultTxnBytes)
	limits.HistoryRevisions = cmp.Or(limits.HistoryRevisions, DefaultHistoryRevisions)
	limits.HistoryBytes = cmp.Or(limits.HistoryBytes, DefaultHistoryBytes)
	return &Machine{
		limits:   limits,
		revision: 1,
		keys:     map[string]store.KeyValue{},
		leases:   map[int64]*lease{},
	}
}

// Revision returns the revision of the last change.
func (m *Machine) Revision() int64 { return m.revision }

// Get returns one key.
func (m *Machine) Get(key string) (store.KeyValue, bool) {
	kv, found := m.keys[key]
	return kv, found
}

// Range returns the keys from start up to but not including end, in ascending order. If end is a
// single zero byte, it returns all keys from start on.
func (m *Machine) Range(start, end string) []store.KeyValue {
	var kvs []store.KeyValue
	for key, kv := range m.keys {
		if inRange(key, start, end) {
			kvs = append(kvs, kv)
		}
	}
	slices.SortFunc(kvs, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return kvs
}

// Latest returns the most recently changed key from start up to but not including end.
func (m *Machine) Latest(start, end string) (latest store.KeyValue, found bool) {
	for key, kv := range m.keys {
		if inRange(key, start, end) && kv.ModRevision > latest.ModRevision {
			latest, found = kv, true
		}
	}
	return latest, found
}

func inRange(key, start, end string) bool {
	return key >= start && (end == "\x00" || key < end)
}

// Commit executes txn. All its changes have the same revision. A transaction that changes nothing does
// not increase the revision.
func (m *Machine) Commit(txn store.Txn) (store.TxnResult, error) {
	if err := m.validate(txn); err != nil {
		return store.TxnResult{}, err
	}
	if !m.comparesHold(txn.Compares) {
		return store.TxnResult{Revision: m.revision, Current: m.currentValues(txn.Compares)}, nil
	}
	for _, put := range txn.Puts {
		if _, found := m.leases[put.Lease]; put.Lease != 0 && !found {
			return store.TxnResult{}, fmt.Errorf("%w: lease %d", store.ErrLeaseGone, put.Lease)
		}
	}
	var changes []store.Change
	for _, put := range txn.Puts {
		changes = append(changes, m.put(put))
	}
	changes = append(changes, m.deleteAll(txn.Deletes)...)
	m.record(changes)
	return store.TxnResult{Succeeded: true, Revision: m.revision}, nil
}

// validate rejects the transactions that the real store rejects before it reads any key.
func (m *Machine) validate(txn store.Txn) error {
	total := 0
	seen := map[string]struct{}{}
	for _, compare := range txn.Compares {
		total += len(compare.Key)
	}
	for _, put := range txn.Puts {
		if len(put.Value) > m.limits.ValueBytes {
			return fmt.Errorf("%w: %s: value of %q has %d bytes", store.ErrRejected, wire.MessageTooLarge, put.Key, len(put.Value))
		}
		total += len(put.Key) + len(put.Value)
		if err := addWrittenKey(seen, put.Key); err != nil {
			return err
		}
	}
	for _, key := range txn.Deletes {
		total += len(key)
		if err := addWrittenKey(seen, key); err != nil {
			return err
		}
	}
	if total > m.limits.TxnBytes {
		return fmt.Errorf("%w: %s: transaction has %d bytes", store.ErrRejected, wire.MessageTooLarge, total)
	}
	return nil
}

func addWrittenKey(seen map[string]struct{}, key string) error {
	if key == "" {
		return fmt.Errorf("%w: %s", store.ErrRejected, wire.MessageEmptyKey)
	}
	if _, found := seen[key]; found {
		return fmt.Errorf("%w: %s: %q", store.ErrRejected, wire.MessageDuplicateKey, key)
	}
	seen[key] = struct{}{}
	return nil
}

func (m *Machine) comparesHold(compares []store.Compare) bool {
	for _, compare := range compares {
		if m.keys[compare.Key].ModRevision != compare.ModRevision {
			return false
		}
	}
	return true
}

func (m *Machine) currentValues(compares []store.Compare) []store.KeyValue {
	var kvs []store.KeyValue
	for _, compare := range compares {
		if kv, found := m.keys[compare.Key]; found {
			kvs = append(kvs, kv)
		}
	}
	return kvs
}

// put sets one key. Its revision is the next one, to which record then advances the store.
func (m *Machine) put(put store.Put) store.Change {
	m.detachFromLease(put.Key)
	kv := store.KeyValue{
		Key:         put.Key,
		Value:       slices.Clone(put.Value),
		ModRevision: m.revision + 1,
		Lease:       put.Lease,
	}
	m.keys[put.Key] = kv
	if put.Lease != 0 {
		m.leases[put.Lease].keys[put.Key] = struct{}{}
	}
	return store.Change{KeyValue: kv}
}

func (m *Machine) deleteAll(keys []string) []store.Change {
	var changes []store.Change
	for _, key := range keys {
		if _, found := m.keys[key]; !found {
			continue
		}
		m.detachFromLease(key)
		delete(m.keys, key)
		changes = append(changes, store.Change{
			KeyValue: store.KeyValue{Key: key, ModRevision: m.revision + 1},
			Deleted:  true,
		})
	}
	return changes
}

func (m *Machine) detachFromLease(key string) {
	if l, found := m.leases[m.keys[key].Lease]; found {
		delete(l.keys, key)
	}
}

// Grant creates a lease that expires ttl after now.
func (m *Machine) Grant(now time.Time, ttl time.Duration) int64 {
	m.lastLease++
	m.leases[m.lastLease] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	return m.lastLease
}

// KeepAlive renews a lease at time now and returns its time to live, and whether the lease exists.
func (m *Machine) KeepAlive(now time.Time, id int64) (time.Duration, bool) {
	l, found := m.leases[id]
	if !found {
		return 0, false
	}
	l.expires = now.Add(l.ttl)
	return l.ttl, true
}

// Revoke ends a lease and deletes its keys in one revision. It reports whether the lease existed.
func (m *Machine) Revoke(id int64) bool {
	l, found := m.leases[id]
	if !found {
		return false
	}
	keys := slices.Sorted(maps.Keys(l.keys))
	m.record(m.deleteAll(keys))
	delete(m.leases, id)
	return true
}

// Expire revokes the leases that have expired by now, in order of expiry.
func (m *Machine) Expire(now time.Time) {
	var expired []int64
	for id, l := range m.leases {
		if !l.expires.After(now) {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, func(a, b int64) int {
		return cmp.Or(m.leases[a].expires.Compare(m.leases[b].expires), cmp.Compare(a, b))
	})
	for _, id := range expired {
		m.Revoke(id)
	}
}

// NextExpiry returns the time at which the next lease expires, if there is one.
func (m *Machine) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, l := range m.leases {
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next, !next.IsZero()
}
