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

// follower rebuilds the keys from a watch, like a process that keeps its configuration up to date.
type follower struct {
	keys         map[string]string
	lastRevision atomic.Int64
	problems     []string
}

func (f *follower) deliver(batch store.WatchBatch) {
	last := f.lastRevision.Load()
	if batch.Revision < last || batch.Revision == last && len(batch.Changes) > 0 {
		f.problems = append(f.problems, fmt.Sprintf("revision %d after %d", batch.Revision, last))
	}
	for _, change := range batch.Changes {
		if change.Deleted {
			delete(f.keys, change.Key)
		} else {
			f.keys[change.Key] = string(change.Value)
		}
	}
	f.lastRevision.Store(batch.Revision)
}

// run watches until the marker key arrives, and sends the error of each ended watch to watchErrors.
func (f *follower) run(ctx context.Context, s store.Store, watchErrors chan<- error) {
	defer close(watchErrors)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for ctx.Err() == nil {
		err := s.Watch(ctx, "c/", f.lastRevision.Load()+1, func(batch store.WatchBatch) {
			f.deliver(batch)
			if _, found := f.keys[markerKey]; found {
				cancel()
			}
		})
		if errors.Is(err, store.ErrCompacted) {
			f.problems = append(f.problems, err.Error())
			return
		}
		watchErrors <- err
		time.Sleep(10 * time.Millisecond)
	}
}

// TestWatchUnderFaults guards against skipped, repeated or reordered changes when a watch breaks,
// is refused or becomes silent and is resumed after the last revision, while keys change
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
	f := follower{keys: map[string]string{}}
	watchErrors := make(chan error, 10_000) // more than the number of watches that can end in a minute
	go f.run(ctx, reader, watchErrors)

	random := rand.New(rand.NewPCG(1, 2))
	written := map[string]string{}
	phases := []struct {
		kind fault.Kind
		want error
	}{
		{fault.Down, store.ErrUnavailable},
		{fault.ReplyLost, store.ErrUnclear}, // directly after Down: it affects only a watch that is being opened
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
			catchUp(ctx, t, &f, commitRandom(t, writer, random, written), watchErrors)
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
	for range watchErrors { // until the marker has arrived or the minute is over
	}
	if len(f.problems) > 0 {
		t.Errorf("watch: %v", f.problems)
	}
	if !maps.Equal(f.keys, written) {
		t.Errorf("keys from the watch: %v, want those written: %v", f.keys, written)
	}
}

// catchUp waits until f has received revision, and discards the errors of watches that ended
// before.
func catchUp(ctx context.Context, t *testing.T, f *follower, revision int64, watchErrors <-chan error) {
	t.Helper()
	for f.lastRevision.Load() < revision {
		if ctx.Err() != nil {
			t.Fatalf("the watch is at revision %d, want %d", f.lastRevision.Load(), revision)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for len(watchErrors) > 0 {
		<-watchErrors
	}
}

// commitUntil keeps changing keys until a watch ends with want.
func commitUntil(t *testing.T, writer store.Store, random *rand.Rand, written map[string]string, watchErrors <-chan error, want error) {
	t.Helper()
	for {
		select {
		case err, running := <-watchErrors:
			if !running {
				t.Fatalf("the watch stopped before it ended with %v", want)
			}
			if errors.Is(err, want) {
				return
			}
		default:
			commitRandom(t, writer, random, written)
			time.Sleep(time.Millisecond) // keeps within the history: at full speed, 10,000 revisions pass while a watch is silent
		}
	}
}

// commitRandom puts two random keys and deletes another one in one transaction.
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
