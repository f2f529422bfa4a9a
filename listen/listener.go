package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/intake"
)

const (
	// maxAcceptDelay bounds the delay after an error of Accept, such as too many open files.
	maxAcceptDelay = time.Second
	minAcceptDelay = 5 * time.Millisecond
	// SocketBuffer is the size in bytes of the receive buffer of a connection of a client. The kernel uses
	// up to twice as much. A body of the largest size takes eight round trips.
	SocketBuffer = 32 << 10
	// backlog is the number of connections that may wait to be accepted. Together they hold up to 32 MB in
	// the kernel; at 3,000 new connections a second they wait for 170 ms.
	backlog = 512
	// ConnectionBytes is charged for an open connection: the buffers of the HTTP library (8 KB) and the
	// stacks of two goroutines. Headers of the default size are charged when a request begins.
	ConnectionBytes = 16 << 10
	// sourceBits is the length of the prefix that identifies a client with an IPv6 address.
	sourceBits = 64
	// libraryWriteTimeout bounds the time to send what the HTTP library sends on its own, such as status
	// 100 or 400. Handlers set a time limit for their responses.
	libraryWriteTimeout = 5 * time.Second
)

// Bounds are the limits of the headers and of idle connections. They may change at run time.
type Bounds struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for receiving the headers
	IdleTimeout   time.Duration // of a connection between two requests
}

// Default bounds, for configurations that set none.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// OrDefault returns the bounds with the default of each one that is not set.
func (b Bounds) OrDefault() Bounds {
	if b.HeaderBytes <= 0 {
		b.HeaderBytes = DefaultHeaderBytes
	}
	if b.HeaderTimeout <= 0 {
		b.HeaderTimeout = DefaultHeaderTimeout
	}
	if b.IdleTimeout <= 0 {
		b.IdleTimeout = DefaultIdleTimeout
	}
	return b
}

// Gate decides about the connections of one or more listeners. Without Bounds it only limits their
// number and never closes one that it has admitted, for servers that are not HTTP servers of this package.
type Gate struct {
	Budget *intake.Budget
	Bounds func() Bounds
	Report *Report
}

// Listen returns a listener that accepts the connections of inner that the gate admits.
func (g *Gate) Listen(inner net.Listener) net.Listener {
	// The messages of other instances have up to 16 MB; small buffers would slow them down.
	if tcp, ok := inner.(*net.TCPListener); ok && g.Bounds != nil {
		if err := limitKernel(tcp); err != nil {
			g.Report.logEvent("buffers of the kernel are not limited", "address", tcp.Addr().String(), "error", err)
		}
	}
	return &listener{Listener: inner, gate: g}
}

// limitKernel bounds what the kernel holds for connections that are not accepted yet. They inherit the
// size of the buffer; a later change would not free what has been received.
func limitKernel(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access the listener's socket")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, SocketBuffer),
			syscall.Listen(int(fd), backlog))
	})
	return eris.Wrap(errors.Join(err, failed), "set the options of the listener's socket")
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that is admitted; others are closed before anything is read from
// them. An error other than the end of the listener does not end the server.
func (l *listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		inner, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.gate.Report.acceptFailed(err)
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		if c := l.gate.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection, or closes it and returns nil.
func (g *Gate) admit(inner net.Conn) net.Conn {
	c := &conn{Conn: inner, gate: g, nextDeadline: headerDeadline}
	held, verdict := g.Budget.Open(time.Now(), sourceOf(inner.RemoteAddr()), c.shut)
	g.apply(verdict)
	if !verdict.Admitted {
		g.Report.refusedConnection(verdict.Cause)
		closeConn(inner)
		return nil
	}
	c.held = held
	if g.Bounds == nil {
		c.mode = handling
		held.Enter(time.Now(), intake.Handling)
	}
	return c
}

// apply closes the connections that a verdict names.
func (g *Gate) apply(v intake.Verdict) {
	for _, shut := range v.Close {
		g.Report.closedConnection(closedForOther)
		shut()
	}
}

// sourceOf returns the name of the client's address for the budget.
func sourceOf(a net.Addr) string {
	port, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return a.String()
	}
	address := port.Addr().Unmap().WithZone("")
	if address.Is4() {
		return address.String()
	}
	prefix, err := address.Prefix(sourceBits)
	if err != nil {
		return address.String()
	}
	return prefix.String()
}

// Configure sets the fields of a server that serves a listener of the gate. A ConnState function that is
// set already is called as before.
func (g *Gate) Configure(s *http.Server) {
	bounds := Bounds{}.OrDefault()
	s.ReadHeaderTimeout, s.IdleTimeout = bounds.HeaderTimeout, bounds.IdleTimeout // replaced by conn
	s.MaxHeaderBytes = maxHeaderBytes
	ConfigureStates(s)
}

// maxHeaderBytes is the limit of the HTTP library, which is fixed at the start of a server. The limit of
// the gate applies first.
const maxHeaderBytes = http.DefaultMaxHeaderBytes

// ConfigureStates sets only the functions that connect a server with its connections. Without a WriteTimeout
// of the server, a handler has to set or remove the time limit for its response.
func ConfigureStates(s *http.Server) {
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.stateChanged(state)
			if state == http.StateActive && s.WriteTimeout == 0 {
				_ = c.SetWriteDeadline(time.Now().Add(libraryWriteTimeout)) // fails only on a closed connection
			}
		}
		if next != nil {
			next(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if own, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, own)
		}
		return ctx
	}
}

type connKey struct{}

// connOf returns the connection of a request, or nil if no gate admitted it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// closeConn closes a connection of a client. An error would say only that the client closed it first.
func closeConn(c net.Conn) { _ = c.Close() }
