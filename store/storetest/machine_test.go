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

// referenceStore is a reference model of the store: a complete snapshot of the keys for each revision.
// A watch delivers the difference between two consecutive snapshots.
type referenceStore struct {
	snapshots []map[string]store.KeyValue // index: revision
	expiries  map[int64]time.Time
	ttls      map[int64]time.Duration
	lastLease int64
}

func newReferenceStore() *referenceStore {
	return &referenceStore{snapshots: []map[string]store.KeyValue{nil, {}}, expiries: map[int64]time.Time{}, ttls: map[int64]time.Duration{}}
}

func (r *referenceStore) revision() int64                   { return int64(len(r.snapshots) - 1) }
func (r *referenceStore) latest() map[string]store.KeyValue { return r.snapshots[r.revision()] }

// change appends the next snapshot, unless the puts and deletes change nothing.
func (r *referenceStore) change(puts []store.Put, deletes []string) {
	next := map[string]store.KeyValue{}
	for key, kv := range r.latest() {
		if !slices.Contains(deletes, key) {
			next[key] = kv
		}
	}
	if len(puts) == 0 && len(next) == len(r.latest()) {
		return
	}
	for _, put := range puts {
		next[put.Key] = store.KeyValue{Key: put.Key, Value: put.Value, ModRevision: r.revision() + 1, Lease: put.Lease}
	}
	r.snapshots = append(r.snapshots, next)
}

// commit executes txn. It returns whether txn succeeded, or the sentinel error of a rejection.
func (r *referenceStore) commit(txn store.Txn) (bool, error) {
	written := slices.Clone(txn.Deletes)
	for _, put := range txn.Puts {
		written = append(written, put.Key)
	}
	slices.Sort(written)
	if len(slices.Compact(slices.Clone(written))) != len(written) {
		return false, store.ErrRejected
	}
	for _, compare := range txn.Compares {
		if r.latest()[compare.Key].ModRevision != compare.ModRevision {
			return false, nil
		}
	}
	for _, put := range txn.Puts {
		if _, found := r.expiries[put.Lease]; put.Lease != 0 && !found {
			return false, store.ErrLeaseGone
		}
	}
	r.change(txn.Puts, txn.Deletes)
	return true, nil
}

func (r *referenceStore) revoke(id int64) {
	var keys []string
	for key, kv := range r.latest() {
		if kv.Lease == id {
			keys = append(keys, key)
		}
	}
	delete(r.expiries, id)
	r.change(nil, keys)
}

// expire revokes the expired leases one by one, in order of expiry.
func (r *referenceStore) expire(now time.Time) {
	for {
		first := int64(0)
		for id, end := range r.expiries {
			if !end.After(now) && (first == 0 || end.Before(r.expiries[first]) || end.Equal(r.expiries[first]) && id < first) {
				first = id
			}
		}
		if first == 0 {
			return
		}
		r.revoke(first)
	}
}

// changesSince describes the changes in the range, one line for each revision.
func (r *referenceStore) changesSince(start, end string, from int64) []string {
	var lines []string
	for revision := max(from, 2); revision <= r.revision(); revision++ {
		var changed []string
		before, after := r.snapshots[revision-1], r.snapshots[revision]
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

// TestMachineAgainstReference guards against a state machine, on which many other tests rely, that
// differs from the reference model in revisions, compares, leases or history.
func TestMachineAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, reference := NewMachine(Limits{}), newReferenceStore()
		now := time.Unix(0, 0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if m.Revision() != reference.revision() {
					t.Fatalf("revision %d, want %d", m.Revision(), reference.revision())
				}
				for _, kv := range m.Range("\x00", "\x00") {
					if want := reference.latest()[kv.Key]; !reflect.DeepEqual(kv, want) {
						t.Fatalf("%+v, want %+v", kv, want)
					}
				}
				if got := len(m.Range("\x00", "\x00")); got != len(reference.latest()) {
					t.Fatalf("%d keys, want %d", got, len(reference.latest()))
				}
			},
			"commit": func(t *rapid.T) {
				txn := anyTxn.Draw(t, "txn")
				result, err := m.Commit(txn)
				want, wantErr := reference.commit(txn)
				if !errors.Is(err, wantErr) || result.Succeeded != want {
					t.Fatalf("Commit = %+v, %v; want %v, %v", result, err, want, wantErr)
				}
			},
			"grant": func(t *rapid.T) {
				ttl := time.Duration(rapid.IntRange(1, 3).Draw(t, "ttl")) * time.Second
				reference.lastLease++
				reference.expiries[reference.lastLease], reference.ttls[reference.lastLease] = now.Add(ttl), ttl
				if id := m.Grant(now, ttl); id != reference.lastLease {
					t.Fatalf("lease %d, want %d", id, reference.lastLease)
				}
			},
			"keepalive": func(t *rapid.T) {
				id := anyLease.Draw(t, "lease")
				_, want := reference.expiries[id]
				if want {
					reference.expiries[id] = now.Add(reference.ttls[id])
				}
				if ttl, found := m.KeepAlive(now, id); found != want || want && ttl != reference.ttls[id] {
					t.Fatalf("KeepAlive(%d) = %s, %v; want %v", id, ttl, found, want)
				}
			},
			"revoke": func(t *rapid.T) {
				id := anyLease.Draw(t, "lease")
				_, want := reference.expiries[id]
				if want {
					reference.revoke(id)
				}
				if found := m.Revoke(id); found != want {
					t.Fatalf("Revoke(%d) = %v, want %v", id, found, want)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				m.Expire(now)
				reference.expire(now)
			},
			"watch": func(t *rapid.T) {
				from := rapid.Int64Range(1, m.Revision()+2).Draw(t, "from")
				checkChangesSince(t, m, reference, from)
			},
		})
	})
}

// checkChangesSince reads the history from revision from in calls of at most two batches.
func checkChangesSince(t *rapid.T, m *Machine, reference *referenceStore, from int64) {
	want := reference.changesSince("b/", "b0", from)
	var got []string
	for {
		batches, next, err := m.ChangesSince("b/", "b0", from, 2)
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
		t.Fatalf("ChangesSince = %v, want %v", got, want)
	}
}
