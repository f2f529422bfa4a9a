package standin

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

func startStore(t *testing.T, limits storetest.Limits) (*Store, *store.Client) {
	t.Helper()
	s := NewStore(limits)
	server := httptest.NewServer(s)
	client := store.NewClient(store.Config{Address: server.Listener.Addr().String(), Instance: "e1"})
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
		s.Close()
	})
	return s, client
}

// TestRoundTrip guards against differences between the client and the stand-in in the encoding of
// any call of the interface.
func TestRoundTrip(t *testing.T) {
	_, client := startStore(t, storetest.Limits{})
	ctx := t.Context()
	lease, err := client.Grant(ctx, 9*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if ttl, err := client.KeepAlive(ctx, lease); err != nil || ttl != 9*time.Second {
		t.Fatalf("KeepAlive = %v, %v", ttl, err)
	}
	result, err := client.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: "c/a"}},
		Puts:     []store.Put{{Key: "c/a", Value: []byte{0, 255}, Lease: lease}, {Key: "c/b", Value: []byte("b")}},
	})
	if err != nil || !result.Succeeded {
		t.Fatalf("Commit = %+v, %v", result, err)
	}
	kv, found, revision, err := client.Get(ctx, "c/a")
	if err != nil || !found || kv.Lease != lease || string(kv.Value) != "\x00\xff" || revision != result.Revision {
		t.Fatalf("Get = %+v, %v, %d, %v", kv, found, revision, err)
	}
	again, err := client.Commit(ctx, store.Txn{Compares: []store.Compare{{Key: "c/a"}}, Deletes: []string{"c/b"}})
	if err != nil || again.Succeeded || len(again.Current) != 1 || again.Current[0].ModRevision != kv.ModRevision {
		t.Fatalf("Commit with a failed compare = %+v, %v", again, err)
	}
	if err := client.Revoke(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if _, err := client.KeepAlive(ctx, lease); !errors.Is(err, store.ErrLeaseGone) {
		t.Fatalf("KeepAlive after Revoke: %v", err)
	}
	kvs, _, err := client.List(ctx, "c/")
	if err != nil || len(kvs) != 1 || kvs[0].Key != "c/b" {
		t.Fatalf("List = %+v, %v", kvs, err)
	}

	watchCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	var batches []store.WatchBatch
	err = client.Watch(watchCtx, "c/", 1, func(batch store.WatchBatch) {
		batches = append(batches, batch)
		if len(batch.Changes) == 0 {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) || len(batches) != 3 {
		t.Fatalf("Watch: %+v, %v", batches, err)
	}
	if len(batches[0].Changes) != 2 || !batches[1].Changes[0].Deleted || batches[2].Revision != batches[1].Revision {
		t.Errorf("Watch delivered %+v", batches)
	}
}
