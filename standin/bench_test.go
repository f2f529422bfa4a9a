package standin

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

// BenchmarkCalls measures the calls per second of the client with the stand-in over loopback, and
// of the in-memory store, with as many callers as connections.
func BenchmarkCalls(b *testing.B) {
	s := NewStore(storetest.Limits{})
	server := httptest.NewServer(s)
	defer s.Close()
	defer server.Close()
	client := store.NewClient(store.Config{Address: server.Listener.Addr().String()})
	defer client.Close()
	memory := storetest.NewMemory(storetest.Config{})
	for name, target := range map[string]store.Store{"http": client, "memory": memory.Client("")} {
		for _, size := range []int{1 << 10, 64 << 10, 512 << 10} {
			b.Run(fmt.Sprintf("%s/commit/%dKB", name, size>>10), func(b *testing.B) {
				measure(b, func() error {
					put := store.Put{Key: "j/1", Value: make([]byte, size)}
					_, err := target.Commit(b.Context(), store.Txn{Puts: []store.Put{put}})
					return err
				})
			})
			b.Run(fmt.Sprintf("%s/get/%dKB", name, size>>10), func(b *testing.B) {
				put := store.Put{Key: "j/1", Value: make([]byte, size)}
				if _, err := target.Commit(b.Context(), store.Txn{Puts: []store.Put{put}}); err != nil {
					b.Fatal(err)
				}
				measure(b, func() error {
					_, _, _, err := target.Get(b.Context(), "j/1")
					return err
				})
			})
		}
	}
}

func measure(b *testing.B, call func() error) {
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := call(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
