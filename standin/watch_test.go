package standin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

const markerKey = "c/marker"

// keyReplica is a copy of the keys that is updated from a watch, as an instance updates its copy of
// the configuration.
type keyReplica struct {
	keys         map[string]string
	lastRevision atomic.Int64
	problems     []string
}

func (r *keyReplica) deliver(batch store.WatchBatch) {
	last := r.lastRevision.Load()
	if batch.Revision < last || batch.Revision == last && len(batch.Changes) > 0 {
		r.problems = append(r.problems, fmt.Sprintf("revision %d after %d", batch.Revision, last))
	}
	for _, change := range batch.Changes {
		if change.Deleted {
			delete(r.keys, change.Key)
		} else {
			r.keys[change.Key] = string(change.Value)
		}
	}
	r.lastRevision.Store(batch.Revision)
}

// run watches until the marker key is received, and sends the error of each ended watch to
// watchErrors.
func (r *keyReplica) run(ctx context.Context, s store.Store, watchErrors chan<- error) {
	defer close(watchErrors)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for ctx.Err() == nil {
		err := s.Watch(ctx, "c/", r.lastRevision.Load()+1, func(batch store.WatchBatch) {
			r.deliver(batch)
			if _, found := r.keys[markerKey]; found {
				cancel()
			}
		})
		if errors.Is(err, store.ErrCompacted) {
			r.problems = append(r.problems, err.Error())
			return
		}
		watchErrors <- err
		time.Sleep(10 * time.Millisecond)
	}
}

// TestWatchUnderFaults guards against skipped, repeated or reordered changes when a watch fails, is
// refused or becomes silent and is resumed after the last received revision, while keys change
// continuously.
func TestWatchUnderFaults(t *testing.T) {
	t.Parallel()
	s := NewStore(storetest.Limits{})
	server := httptest.NewServer(s)
	address := server.Listener.Addr().String()
	writer := store.NewClient(store.Config{Address: address, Instance: "writer"})
	reader := store.NewClient(store.Config{Address: address, Instance: "reader", ProgressTimeout: 1500 * time.Millisecond})
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		s.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	replica := keyReplica{keys: map[string]string{}}
	watchErrors := make(chan error, 10_000) // more than the number of watches that can end in a minute
	go replica.run(ctx, reader, watchErrors)

	random := rand.New(rand.NewPCG(1, 2))
	written := map[string]string{}
	phases := []struct {
		kind fault.Kind
		want error
	}{
		{fault.Down, store.ErrUnavailable},
		{fault.ReplyLost, store.ErrUnclear}, // directly after Down, because it affects only a watch that is being opened
		{"", nil},
		{fault.SilentWatch, store.ErrNoProgress},
		{"", nil},
		{fault.Unreachable, store.ErrNoProgress},
		{"", nil},
	}
	for _, phase := range phases {
		if phase.kind == "" {
			if err := s.Faults().Set(); err != nil {
				t.Fatal(err)
			}
			awaitRevision(ctx, t, &replica, commitRandom(t, writer, random, written), watchErrors)
			continue
		}
		if err := s.Faults().Set(fault.Fault{Kind: phase.kind, Instance: "reader"}); err != nil {
			t.Fatal(err)
		}
		commitUntil(t, writer, random, written, watchErrors, phase.want)
	}
	written[markerKey] = "end"
	if _, err := writer.Commit(ctx, store.Txn{Puts: []store.Put{{Key: markerKey, Value: []byte("end")}}}); err != nil {
		t.Fatal(err)
	}
	for range watchErrors { // closed when the marker has been received or ctx has timed out
	}
	if len(replica.problems) > 0 {
		t.Errorf("watch: %v", replica.problems)
	}
	if !maps.Equal(replica.keys, written) {
		t.Errorf("keys from the watch: %v, want those written: %v", replica.keys, written)
	}
}

// awaitRevision waits until replica has received revision, and discards the errors of watches that
// ended before that.
func awaitRevision(ctx context.Context, t *testing.T, replica *keyReplica, revision int64, watchErrors <-chan error) {
	t.Helper()
	for replica.lastRevision.Load() < revision {
		if ctx.Err() != nil {
			t.Fatalf("timed out at revision %d of the watch, want %d", replica.lastRevision.Load(), revision)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for len(watchErrors) > 0 {
		<-watchErrors
	}
}

// commitUntil commits changes until a watch ends with the error want.
func commitUntil(t *testing.T, writer store.Store, random *rand.Rand, written map[string]string, watchErrors <-chan error, want error) {
	t.Helper()
	for {
		select {
		case err, running := <-watchErrors:
			if !running {
				t.Fatalf("no more watches are started, want one that ends with %v", want)
			}
			if errors.Is(err, want) {
				return
			}
		default:
			commitRandom(t, writer, random, written)
			time.Sleep(time.Millisecond) // without a pause, the 10,000 revisions of the history are exceeded while a watch is silent
		}
	}
}

// commitRandom puts two random keys and deletes another one in one transaction. It applies the same
// changes to written and returns the revision.
func commitRandom(t *testing.T, writer store.Store, random *rand.Rand, written map[string]string) int64 {
	t.Helper()
	var txn store.Txn
	for i, n := range random.Perm(20)[:3] {
		key, value := fmt.Sprint("c/", n), fmt.Sprint(random.Int())
		if i == 0 {
			txn.Deletes = append(txn.Deletes, key)
			delete(written, key)
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: []byte(value)})
		written[key] = value
	}
	result, err := writer.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}
