package storetest

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/store"
)

// referenceStore is a reference model of the store: a complete copy of the keys for each revision.
// A watch delivers the difference between two consecutive copies.
type referenceStore struct {
	copies   []map[string]store.KeyValue // index: revision
	expiries map[int64]time.Time
	ttls     map[int64]time.Duration
	leases   int64
}

func newReferenceStore() *referenceStore {
	return &referenceStore{copies: []map[string]store.KeyValue{nil, {}}, expiries: map[int64]time.Time{}, ttls: map[int64]time.Duration{}}
}

func (n *referenceStore) revision() int64                   { return int64(len(n.copies) - 1) }
func (n *referenceStore) latest() map[string]store.KeyValue { return n.copies[n.revision()] }

// change adds the next copy, unless puts and deletes change nothing.
func (n *referenceStore) change(puts []store.Put, deletes []string) {
	next := map[string]store.KeyValue{}
	for key, kv := range n.latest() {
		if !slices.Contains(deletes, key) {
			next[key] = kv
		}
	}
	if len(puts) == 0 && len(next) == len(n.latest()) {
		return
	}
	for _, put := range puts {
		next[put.Key] = store.KeyValue{Key: put.Key, Value: put.Value, ModRevision: n.revision() + 1, Lease: put.Lease}
	}
	n.copies = append(n.copies, next)
}

// commit executes txn and returns whether it succeeded, and the class of the error.
func (n *referenceStore) commit(txn store.Txn) (bool, error) {
	written := slices.Clone(txn.Deletes)
	for _, put := range txn.Puts {
		written = append(written, put.Key)
	}
	slices.Sort(written)
	if len(slices.Compact(slices.Clone(written))) != len(written) {
		return false, store.ErrRejected
	}
	for _, compare := range txn.Compares {
		if n.latest()[compare.Key].ModRevision != compare.ModRevision {
			return false, nil
		}
	}
	for _, put := range txn.Puts {
		if _, found := n.expiries[put.Lease]; put.Lease != 0 && !found {
			return false, store.ErrLeaseGone
		}
	}
	n.change(txn.Puts, txn.Deletes)
	return true, nil
}

func (n *referenceStore) revoke(id int64) {
	var keys []string
	for key, kv := range n.latest() {
		if kv.Lease == id {
			keys = append(keys, key)
		}
	}
	delete(n.expiries, id)
	n.change(nil, keys)
}

// expire revokes the expired leases one by one, in order of expiry.
func (n *referenceStore) expire(now time.Time) {
	for {
		first := int64(0)
		for id, end := range n.expiries {
			if !end.After(now) && (first == 0 || end.Before(n.expiries[first]) || end.Equal(n.expiries[first]) && id < first) {
				first = id
			}
		}
		if first == 0 {
			return
		}
		n.revoke(first)
	}
}

// since describes the changes of each revision in the range.
func (n *referenceStore) since(start, end string, from int64) []string {
	var lines []string
	for revision := max(from, 2); revision <= n.revision(); revision++ {
		var changed []string
		before, after := n.copies[revision-1], n.copies[revision]
		for key, kv := range after {
			if kv.ModRevision == revision && key >= start && key < end {
				changed = append(changed, fmt.Sprintf("%s=%s lease %d", key, kv.Value, kv.Lease))
			}
		}
		for key := range before {
			if _, found := after[key]; !found && key >= start && key < end {
				changed = append(changed, key+" deleted")
			}
		}
		if len(changed) > 0 {
			slices.Sort(changed)
			lines = append(lines, fmt.Sprint(revision, changed))
		}
	}
	return lines
}

func describe(batches []store.WatchBatch) []string {
	var lines []string
	for _, batch := range batches {
		var changed []string
		for _, change := range batch.Changes {
			if change.Deleted {
				changed = append(changed, change.Key+" deleted")
			} else {
				changed = append(changed, fmt.Sprintf("%s=%s lease %d", change.Key, change.Value, change.Lease))
			}
		}
		slices.Sort(changed)
		lines = append(lines, fmt.Sprint(batch.Revision, changed))
	}
	return lines
}

var (
	anyKey      = rapid.SampledFrom([]string{"a", "b/1", "b/2", "b/3", "c"})
	anyLease    = rapid.Int64Range(0, 4)
	anyRevision = rapid.Int64Range(0, 12)
)

var anyTxn = rapid.Custom(func(t *rapid.T) store.Txn {
	return store.Txn{
		Compares: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) store.Compare {
			return store.Compare{Key: anyKey.Draw(t, "key"), ModRevision: anyRevision.Draw(t, "revision")}
		}), 0, 1).Draw(t, "compares"),
		Puts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) store.Put {
			value := rapid.StringMatching("[x-z]{1,2}").Draw(t, "value")
			return store.Put{Key: anyKey.Draw(t, "key"), Value: []byte(value), Lease: anyLease.Draw(t, "lease")}
		}), 0, 3).Draw(t, "puts"),
		Deletes: rapid.SliceOfN(anyKey, 0, 2).Draw(t, "deletes"),
	}
})

// TestMachineAgainstReference guards against a stand-in that differs from a store in revisions,
// compares, leases or history, on which all other tests rely.
func TestMachineAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, n := NewMachine(Limits{}), newReferenceStore()
		now := time.Unix(0, 0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if m.Revision() != n.revision() {
					t.Fatalf("revision %d, want %d", m.Revision(), n.revision())
				}
				for _, kv := range m.Range("\x00", "\x00") {
					if want := n.latest()[kv.Key]; !reflect.DeepEqual(kv, want) {
						t.Fatalf("%+v, want %+v", kv, want)
					}
				}
				if got := len(m.Range("\x00", "\x00")); got != len(n.latest()) {
					t.Fatalf("%d keys, want %d", got, len(n.latest()))
				}
			},
			"commit": func(t *rapid.T) {
				txn := anyTxn.Draw(t, "txn")
				result, err := m.Commit(txn)
				want, wantErr := n.commit(txn)
				if !errors.Is(err, wantErr) || result.Succeeded != want {
					t.Fatalf("Commit = %+v, %v; want %v, %v", result, err, want, wantErr)
				}
			},
			"grant": func(t *rapid.T) {
				ttl := time.Duration(rapid.IntRange(1, 3).Draw(t, "ttl")) * time.Second
				n.leases++
				n.expiries[n.leases], n.ttls[n.leases] = now.Add(ttl), ttl
				if id := m.Grant(now, ttl); id != n.leases {
					t.Fatalf("lease %d, want %d", id, n.leases)
				}
			},
			"keepalive": func(t *rapid.T) {
				id := anyLease.Draw(t, "lease")
				_, want := n.expiries[id]
				if want {
					n.expiries[id] = now.Add(n.ttls[id])
				}
				if ttl, found := m.KeepAlive(now, id); found != want || want && ttl != n.ttls[id] {
					t.Fatalf("KeepAlive(%d) = %s, %v; want %v", id, ttl, found, want)
				}
			},
			"revoke": func(t *rapid.T) {
				id := anyLease.Draw(t, "lease")
				_, want := n.expiries[id]
				if want {
					n.revoke(id)
				}
				if found := m.Revoke(id); found != want {
					t.Fatalf("Revoke(%d) = %v, want %v", id, found, want)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				m.Expire(now)
				n.expire(now)
			},
			"watch": func(t *rapid.T) {
				from := rapid.Int64Range(1, m.Revision()+2).Draw(t, "from")
				checkSince(t, m, n, from)
			},
		})
	})
}

// checkSince reads the history from revision from in calls of at most two batches.
func checkSince(t *rapid.T, m *Machine, n *referenceStore, from int64) {
	want := n.since("b/", "b0", from)
	var got []string
	for {
		batches, next, err := m.Since("b/", "b0", from, 2)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, describe(batches)...)
		if next < from || next == from && len(batches) > 0 {
			t.Fatalf("next revision is %d after %d", next, from)
		}
		if len(batches) < 2 {
			break
		}
		from = next
	}
	if !slices.Equal(got, want) {
		t.Fatalf("Since = %v, want %v", got, want)
	}
}
