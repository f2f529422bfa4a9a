package worker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/task"
)

var testAttempt = task.Attempt{Task: "t", Number: 1}

// serve returns a client and the address of a fake worker that runs handler.
func serve(t *testing.T, config Config, handler http.HandlerFunc) (*Client, Address) {
	t.Helper()
	server := httptest.NewServer(handler)
	client := NewClient(config)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client, Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestResultIsVerified guards against accepting a result that is truncated,
// altered, from another attempt or too large.
func TestResultIsVerified(t *testing.T) {
	const body = "0123456789"
	digest := Digest([]byte(body))
	for _, test := range []struct {
		name           string
		length, digest string
		sent           string
		request        ResultRequest
		want           error
	}{
		{"complete", "10", digest, body, ResultRequest{Bytes: 10, Digest: digest}, nil},
		{"complete, without length and digest from a report", "10", digest, body, ResultRequest{}, nil},
		{"truncated", "10", digest, body[:7], ResultRequest{}, ErrIncomplete},
		{"altered", "10", digest, "0123456780", ResultRequest{}, ErrIncomplete},
		{"no digest", "10", "", body, ResultRequest{}, ErrIncomplete},
		{"no length", "", digest, body, ResultRequest{}, ErrIncomplete},
		{"other length than reported", "10", digest, body, ResultRequest{Bytes: 9, Digest: digest}, ErrIncomplete},
		{"other digest than reported", "10", digest, body, ResultRequest{Bytes: 10, Digest: Digest(nil)}, ErrIncomplete},
		{"too large", "21", Digest(make([]byte, 21)), string(make([]byte, 21)), ResultRequest{}, ErrTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, address := serve(t, Config{MaxResultBytes: 20}, func(rw http.ResponseWriter, r *http.Request) {
				if test.length != "" {
					rw.Header().Set("Content-Length", test.length)
				}
				rw.Header().Set(DigestHeader, test.digest)
				rw.WriteHeader(http.StatusOK)
				rw.(http.Flusher).Flush()
				io.WriteString(rw, test.sent)
			})
			test.request.Attempt = testAttempt
			var got bytes.Buffer
			err := client.Result(t.Context(), address, test.request, &got)
			if !errors.Is(err, test.want) || err == nil && got.String() != body {
				t.Errorf("%q, error %v, want %v", got.String(), err, test.want)
			}
			if err != nil && !errors.Is(err, ErrUnclear) {
				t.Errorf("error %v is not ErrUnclear", err)
			}
		})
	}
}

// TestStartRepliesAreClassified guards against an inconclusive reply being
// classified as "not run" or as the outcome of this start.
func TestStartRepliesAreClassified(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"started", 200, `{"started":true}`, nil},
		{"rejected", 409, `{"reason":"over_capacity"}`, ErrNotRun},
		{"status without a reason", 409, `{}`, ErrUnclear},
		{"truncated rejection", 409, `{"reason":"over_capa`, ErrUnclear},
		{"worker error", 500, `{"reason":"over_capacity"}`, ErrUnclear},
		{"error page of another server", 404, `404 page not found`, ErrUnclear},
		{"neither started nor rejected", 200, `{}`, ErrUnclear},
		{"invalid JSON", 200, `started`, ErrUnclear},
		{"outcome of another attempt", 200, `{"started":true,"outcome":{"attempt":{"task":"t","attempt":2},"digest":"` + Digest(nil) + `"}}`, ErrIncomplete},
		{"result without its digest", 200, `{"started":true,"result_bytes":1,"outcome":{"attempt":{"task":"t","attempt":1}}}` + "\na", ErrIncomplete},
		{"truncated result", 200, `{"started":true,"result_bytes":2,"outcome":{"attempt":{"task":"t","attempt":1},"digest":"` + Digest([]byte("a")) + `"}}` + "\na", ErrIncomplete},
		{"larger than the limit", 200, `{"started":true` + strings.Repeat(" ", 400) + `}`, ErrTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, address := serve(t, Config{MaxReplyBytes: 300}, func(rw http.ResponseWriter, r *http.Request) {
				rw.WriteHeader(test.status)
				io.WriteString(rw, test.body)
			})
			_, err := client.Start(t.Context(), address, StartRequest{Attempt: testAttempt}, nil)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if err != nil && errors.Is(err, ErrNotRun) == errors.Is(err, ErrUnclear) {
				t.Errorf("error %v is not exactly one of ErrNotRun and ErrUnclear", err)
			}
		})
	}
}

// TestStartIsNeverRetried guards against net/http retrying a start after a
// reused connection was closed during the request.
func TestStartIsNeverRetried(t *testing.T) {
	var starts atomic.Int32
	client, address := serve(t, Config{}, func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if starts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(rw, `{"started":true}`)
	})
	if _, err := client.Start(t.Context(), address, StartRequest{}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Start(t.Context(), address, StartRequest{}, nil); !errors.Is(err, ErrUnclear) {
		t.Errorf("error %v, want ErrUnclear", err)
	}
	if got := starts.Load(); got != 2 {
		t.Errorf("the worker received %d starts, want 2", got)
	}
}

// TestTimedOutConnectionIsNotReused guards against a late reply being read
// as the reply to the next call.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	var connections sync.Map
	var calls atomic.Int32
	client, address := serve(t, Config{CallTimeout: 300 * time.Millisecond, Connections: 1}, func(rw http.ResponseWriter, r *http.Request) {
		connections.Store(r.RemoteAddr, true)
		io.Copy(io.Discard, r.Body)
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		io.WriteString(rw, `{"started":true}`)
	})
	_, err := client.Start(t.Context(), address, StartRequest{}, nil)
	if !errors.Is(err, ErrUnclear) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want ErrUnclear and context.DeadlineExceeded", err)
	}
	for range 2 {
		if _, err := client.Start(t.Context(), address, StartRequest{OutcomeWait: 10 * time.Second}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if used := countEntries(&connections); used != 2 {
		t.Errorf("%d connections for one timed-out call and two more calls, want 2", used)
	}
}

func countEntries(m *sync.Map) (n int) {
	m.Range(func(any, any) bool { n++; return true })
	return n
}

// TestConnectionLimit guards against more connections to a worker than configured,
// and against starts that wait for an outcome blocking other calls.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	var open, maxOpen atomic.Int32
	var connections sync.Map
	client, address := serve(t, Config{Connections: 3, ControlConnections: 1}, func(rw http.ResponseWriter, r *http.Request) {
		connections.Store(r.RemoteAddr, true)
		if r.URL.Path == "/v1/tasks" {
			now := open.Add(1)
			for m := maxOpen.Load(); now > m && !maxOpen.CompareAndSwap(m, now); m = maxOpen.Load() {
			}
			<-release
			open.Add(-1)
		}
		io.WriteString(rw, `{"started":true}`)
	})
	var starts sync.WaitGroup
	for range 12 {
		starts.Go(func() {
			if _, err := client.Start(context.Background(), address, StartRequest{OutcomeWait: time.Minute}, nil); err != nil {
				t.Error(err)
			}
		})
	}
	for open.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	if _, err := client.Sync(t.Context(), address, SyncRequest{}); err != nil {
		t.Errorf("sync while all connections for starts are in use: %v", err)
	}
	close(release)
	starts.Wait()
	if used := countEntries(&connections); maxOpen.Load() > 3 || used > 4 {
		t.Errorf("%d starts at once, %d connections; want at most 3 and 4", maxOpen.Load(), used)
	}
}

// TestTrafficIsCounted guards against control traffic missing from the metrics:
// the counters are compared with the byte counts of the server.
func TestTrafficIsCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(rw, `{"started":true}`)
	}))
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	client := NewClient(Config{Registry: registry})
	address := Address(strings.TrimPrefix(server.URL, "http://"))
	for i := range 3 {
		if _, err := client.Start(t.Context(), address, StartRequest{Payload: make([]byte, 1000*i)}, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Sync(t.Context(), address, SyncRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	client.Close()
	server.Close()
	sent, received := client.Traffic(address)
	if sent < 3000 || sent != listener.received.Load() || received != listener.sent.Load() {
		t.Errorf("sent %d, received %d; the server received %d, sent %d",
			sent, received, listener.received.Load(), listener.sent.Load())
	}
	client.UnregisterCounters(address)
	registry.Each(func(name string, _ any) { t.Errorf("counter %s is still registered", name) })
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	sent, received atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.sent.Add(int64(n))
	return n, err
}

// discardingConn counts the bytes written and discards them.
type discardingConn struct {
	net.Conn
	written int
}

func (c *discardingConn) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}

// TestConnectionChecksBeforeEachWrite guards against bytes being sent after the
// check has failed, or after the call was reported as not sent.
func TestConnectionChecksBeforeEachWrite(t *testing.T) {
	for _, test := range []struct {
		name        string
		allowed     int // writes before the check starts to fail
		disableAt   int // write before which writes are disabled, -1 for none
		wantWritten int
		wantWrote   bool
	}{
		{"check passes", 9, -1, 3, true},
		{"check fails before the first write", 0, -1, 0, false},
		{"check fails between two writes", 2, -1, 2, true},
		{"call ended before the first write", 9, 0, 0, false},
		{"call ended between two writes", 9, 1, 1, true},
	} {
		underlying := &discardingConn{}
		conn := &checkedConn{Conn: underlying, counters: countersFor(nil, "")}
		calls := 0
		conn.beginCall(func() error {
			if calls++; calls > test.allowed {
				return errors.New("term has ended")
			}
			return nil
		})
		for i := range 3 {
			if i == test.disableAt {
				conn.disableWrites()
			}
			conn.Write([]byte("x"))
		}
		if wrote := conn.disableWrites(); wrote != test.wantWrote || underlying.written != test.wantWritten {
			t.Errorf("%s: %d bytes written, disableWrites reported %v", test.name, underlying.written, wrote)
		}
		conn.beginCall(nil)
		if _, err := conn.Write([]byte("x")); !errors.Is(err, errWritesDisabled) {
			t.Errorf("%s: write after disableWrites returned %v, want errWritesDisabled", test.name, err)
		}
	}
}
