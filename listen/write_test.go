package listen

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/intake"
)

// pipeListener accepts connections without buffers: each write waits until the client reads.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestClientThatDoesNotRead guards against a response of the HTTP library itself that waits for a client
// without a time limit: its connection counts as handled and would never be closed.
func TestClientThatDoesNotRead(t *testing.T) {
	for _, head := range []string{"Expect: unknown\r\n\r\n", "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", "malformed\r\n\r\n"} {
		t.Run(head[:9], func(t *testing.T) {
			t.Parallel()
			budget := intake.NewBudget(intake.Limits{Memory: 1 << 20, Connections: 10, ConnectionBytes: ConnectionBytes})
			gate := &Gate{Budget: budget, Bounds: func() Bounds { return Bounds{}.OrDefault() },
				Report: NewReport("client", budget, metrics.NewRegistry(), func(string, ...any) {})}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = ReadBody(w, r, bodyLimit, 0) // fails, since the client never reads
			})}
			gate.Configure(server)
			l := pipeListener{make(chan net.Conn, 1)}
			defer close(l.conns)
			go func() { _ = server.Serve(gate.Listen(l)) }() // returns when the listener is closed
			client, inner := net.Pipe()
			defer client.Close()
			l.conns <- inner
			if _, err := io.WriteString(client, post+head); err != nil && !errors.Is(err, io.ErrClosedPipe) {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(2 * libraryWriteTimeout); budget.Stats() != (intake.Stats{}); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("the connection is still open: %+v", budget.Stats())
				}
			}
		})
	}
}
