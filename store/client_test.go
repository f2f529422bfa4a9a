package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := NewClient(Config{Address: server.Listener.Addr().String(), Instance: "e1"})
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// TestRefusedConnectionHasNoEffect guards against reporting a refused connection as an unclear
// outcome, which would delay takeovers.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	client := NewClient(Config{Address: address})
	_, err = client.Commit(t.Context(), Txn{Puts: []Put{{Key: "a"}}})
	if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnclear) {
		t.Errorf("Commit: %v, want ErrUnavailable", err)
	}
	err = client.Watch(t.Context(), "a", 1, func(WatchBatch) {})
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("Watch: %v, want ErrUnavailable", err)
	}
}

// TestReplyClassification guards against classifying a call with an unclear outcome as having no
// effect, and against classifying a definite rejection as unclear.
func TestReplyClassification(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   error
	}{
		{503, `{"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"}`, ErrUnavailable},
		{503, `{"code":14,"message":"etcdserver: request timed out"}`, ErrUnclear},
		{503, `{"code":14,"message":"etcdserver: leader changed"}`, ErrUnclear},
		{503, `upstream is gone`, ErrUnclear},
		{503, ``, ErrUnclear},
		{429, `{"code":8,"message":"etcdserver: too many requests"}`, ErrUnavailable},
		{429, `{"code":8,"message":"grpc: received message larger than max"}`, ErrUnclear},
		{400, `{"code":3,"message":"etcdserver: request is too large"}`, ErrRejected},
		{400, `{"code":11,"message":"etcdserver: mvcc: required revision has been compacted"}`, ErrCompacted},
		{404, `{"code":5,"message":"etcdserver: requested lease not found"}`, ErrLeaseGone},
		{404, `404 page not found`, ErrUnclear},
		{500, `{"code":13,"message":"internal"}`, ErrUnclear},
		{502, `bad gateway`, ErrUnclear},
		{504, ``, ErrUnclear},
		{302, ``, ErrUnclear},
		{200, ``, ErrUnclear},
		{200, `{}`, ErrUnclear},
		{200, `{"header":{"revision":"2"},"succ`, ErrUnclear},
		{200, `{"header":{"revision":"2"},"succeeded":true}`, nil},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d %s", test.status, test.body), func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			})
			_, err := client.Commit(t.Context(), Txn{Puts: []Put{{Key: "a"}}})
			if !errors.Is(err, test.want) {
				t.Errorf("Commit: %v, want %v", err, test.want)
			}
		})
	}
}

// TestNoRetryAfterLostReply guards against automatic retries by the transport when a connection that
// is in use breaks: a repeated transaction would find its own write and report a conflict.
func TestNoRetryAfterLostReply(t *testing.T) {
	var calls atomic.Int64
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, `{"header":{"revision":"2"}}`) // leaves an idle connection
			return
		}
		panic(http.ErrAbortHandler)
	})
	for _, want := range []error{nil, ErrUnclear} {
		if _, _, _, err := client.Get(t.Context(), "a"); !errors.Is(err, want) {
			t.Fatalf("Get: %v, want %v", err, want)
		}
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("the store received %d calls, want 2", n)
	}
}

// TestRequestEncoding guards against a change of the encoding that the stand-in for the store accepts
// but the platform's store does not.
func TestRequestEncoding(t *testing.T) {
	sent := make(chan string, 7)
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sent <- r.URL.Path + " " + string(body)
		panic(http.ErrAbortHandler)
	})
	ctx := t.Context()
	_, _, _, _ = client.Get(ctx, "a")
	_, _, _ = client.List(ctx, "c/")
	_, _ = client.Commit(ctx, Txn{
		Compares: []Compare{{Key: "a"}, {Key: "b", ModRevision: 7}},
		Puts:     []Put{{Key: "a", Value: []byte{0xff}, Lease: 5}},
		Deletes:  []string{"b"},
	})
	_, _ = client.Grant(ctx, 8500*time.Millisecond)
	_, _ = client.KeepAlive(ctx, 5)
	_ = client.Revoke(ctx, 5)
	_ = client.Watch(ctx, "c/", 3, func(WatchBatch) {})
	want := []string{
		`/v3/kv/range {"key":"YQ=="}`,
		`/v3/kv/range {"key":"Yy8=","range_end":"YzA="}`,
		`/v3/kv/txn {"compare":[{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"0"},` +
			`{"result":"EQUAL","target":"MOD","key":"Yg==","mod_revision":"7"}],` +
			`"success":[{"request_put":{"key":"YQ==","value":"/w==","lease":"5"}},{"request_delete_range":{"key":"Yg=="}}],` +
			`"failure":[{"request_range":{"key":"YQ=="}},{"request_range":{"key":"Yg=="}}]}`,
		`/v3/lease/grant {"TTL":"9"}`,
		`/v3/lease/keepalive {"ID":"5"}`,
		`/v3/lease/revoke {"ID":"5"}`,
		`/v3/watch {"create_request":{"key":"Yy8=","range_end":"YzA=","start_revision":"3","progress_notify":true}}`,
	}
	for _, line := range want {
		if got := <-sent; got != line {
			t.Errorf("sent %s\nwant %s", got, line)
		}
	}
}

// TestWatchStream guards against a watch that skips changes because a header is ahead of the events,
// accepts revisions that do not increase, or continues after the history was compacted.
func TestWatchStream(t *testing.T) {
	const created = `{"result":{"header":{"revision":"9"},"created":true}}`
	event := func(header, mod int) string {
		return fmt.Sprintf(`{"result":{"header":{"revision":"%d"},"events":[{"kv":{"key":"YQ==","mod_revision":"%d"}}]}}`, header, mod)
	}
	notice := func(header int) string { return fmt.Sprintf(`{"result":{"header":{"revision":"%d"}}}`, header) }
	tests := []struct {
		name   string
		lines  []string
		want   []int64 // revisions delivered
		reason error
	}{
		{"header ahead of events", []string{created, event(9, 4), event(9, 6), notice(9)}, []int64{4, 6, 9}, ErrUnclear},
		{"starts before the requested revision", []string{created, event(9, 2)}, nil, ErrUnclear},
		{"repeated revision", []string{created, event(9, 5), event(9, 5)}, []int64{5}, ErrUnclear},
		{"change after a notice that covers it", []string{created, notice(9), event(9, 8)}, []int64{9}, ErrUnclear},
		{"notice with a lower revision", []string{created, event(9, 5), notice(4)}, []int64{5}, ErrUnclear},
		{"compacted", []string{created, `{"result":{"canceled":true,"compact_revision":"8"}}`}, nil, ErrCompacted},
		{"canceled", []string{created, event(9, 5), `{"result":{"canceled":true}}`}, []int64{5}, ErrUnclear},
		{"stream error with code", []string{`{"error":{"code":14,"message":"etcdserver: no leader"}}`}, nil, ErrUnavailable},
		{"stream error with grpc_code", []string{`{"error":{"grpc_code":14,"message":"etcdserver: no leader"}}`}, nil, ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Join(test.lines, "\n"))
			})
			var got []int64
			err := client.Watch(t.Context(), "a", 3, func(batch WatchBatch) { got = append(got, batch.Revision) })
			if fmt.Sprint(got) != fmt.Sprint(test.want) || !errors.Is(err, test.reason) {
				t.Errorf("delivered %v, %v; want %v, %v", got, err, test.want, test.reason)
			}
		})
	}
}

// TestSlowReceiverCausesNoTimeout guards against a watch that fails because the receiver of a batch
// takes longer than the progress timeout.
func TestSlowReceiverCausesNoTimeout(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"result":{"header":{"revision":"4"},"events":[{"kv":{"key":"YQ==","mod_revision":"4"}}]}}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	client.cfg.ProgressTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	err := client.Watch(ctx, "a", 1, func(WatchBatch) {
		time.Sleep(600 * time.Millisecond)
		cancel()
	})
	if errors.Is(err, ErrNoProgress) {
		t.Errorf("Watch: %v, want no timeout during a delivery", err)
	}
}
