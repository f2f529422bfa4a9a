package listen

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/intake"
)

const (
	// readAhead is the size of the buffer of the HTTP library, which may hold the begin of a body
	// together with the headers.
	readAhead = 4 << 10
	// freeHeaderLines is the number of header lines that the charge at the begin of a request covers. Each
	// further block of as many is charged with headerLineBytes for a line, which is what the library
	// needs for the shortest lines.
	freeHeaderLines = 64
	headerLineBytes = 256
)

// errNotAdmitted ends the reads of a connection whose headers exceed a limit. It is a net.OpError, since
// the HTTP library answers other errors with status 400.
var errNotAdmitted = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the headers exceed the limits of this server")}

// mode is what the HTTP server does with a connection.
type mode int

const (
	waiting  mode = iota // for the first byte of a request
	headers              // reads headers
	handling             // runs the handler
	reading              // reads a body for the handler
)

// deadlineKind is the meaning of a read deadline that the HTTP server sets before it calls the handler.
// It sets them in this order; at the start of a connection the first one is omitted.
type deadlineKind int

const (
	beginDeadline   deadlineKind = iota // for the next request to begin
	headerDeadline                      // for its headers
	requestDeadline                     // for the whole request
)

// conn is an admitted connection. It replaces the time limits of the HTTP server for headers and idle
// connections, which are fixed at its start, by those of the gate.
type conn struct {
	net.Conn
	gate *Gate
	held *intake.Connection

	mu           sync.Mutex
	mode         mode
	headerBytes  int
	headerLines  int
	nextDeadline deadlineKind // that the server sets next
	deadline     time.Time    // of the whole request; zero if the server sets none
	bodyRead     bool         // the body of the request was read to its end
}

// shut closes the connection for another one. Its share is returned when the server has ended the
// goroutine of the connection, which calls Close.
func (c *conn) shut() { closeConn(c.Conn) }

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.held.Close()
	return err
}

// CloseWrite lets the server announce the end of its response, as it does on a net.TCPConn.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(b[:n]) {
		return 0, errNotAdmitted
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.timedOut()
	}
	return n, err
}

// received accounts for bytes and reports whether the connection may continue.
func (c *conn) received(b []byte) bool {
	if c.gate.Bounds == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	charge := int64(0)
	if c.mode == waiting {
		c.mode, c.headerBytes, c.headerLines = headers, 0, 0
		c.held.Enter(now, intake.Receiving)
		charge = DefaultHeaderBytes
	}
	c.held.Progress(now, len(b))
	if c.mode != headers {
		return true
	}
	c.headerBytes += len(b)
	lines := c.headerLines + bytes.Count(b, []byte{'\n'})
	blocks := lines/freeHeaderLines - c.headerLines/freeHeaderLines
	c.headerLines = lines
	if c.headerBytes > c.gate.Bounds().HeaderBytes+readAhead {
		c.gate.Report.closedConnection(closedForHeaders)
		return false
	}
	charge += int64(blocks) * freeHeaderLines * headerLineBytes
	if c.headerBytes > DefaultHeaderBytes+readAhead {
		charge += int64(len(b))
	}
	if charge > 0 {
		verdict := c.held.Charge(now, charge)
		c.gate.apply(verdict)
		if !verdict.Admitted {
			if verdict.Cause != intake.CauseClosing { // which was counted when the connection was chosen
				c.gate.Report.refusedConnection(verdict.Cause)
			}
			return false
		}
	}
	return true
}

// timedOut counts a connection that the server is about to close, since a deadline has passed.
func (c *conn) timedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.mode {
	case waiting:
		c.gate.Report.closedConnection(closedIdle)
	case headers:
		c.gate.Report.closedConnection(closedForHeaderTime)
	case handling, reading:
	}
}

// stateChanged follows the state that the HTTP server reports.
func (c *conn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive: // the headers are complete
		c.mode, c.bodyRead = handling, false
		c.held.Enter(time.Now(), intake.Handling)
	case http.StateIdle:
		c.mode, c.nextDeadline, c.deadline = waiting, beginDeadline, time.Time{}
		c.held.Settle()
		c.held.Enter(time.Now(), intake.Idle)
	default:
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.mode != waiting && c.mode != headers || !t.IsZero() && !t.After(now):
		// The server interrupts a read or lets it wait; neither is a time limit.
	case c.nextDeadline == beginDeadline:
		t, c.nextDeadline = now.Add(c.gate.Bounds().IdleTimeout), headerDeadline
	case c.nextDeadline == headerDeadline:
		t, c.nextDeadline = now.Add(c.gate.Bounds().HeaderTimeout), requestDeadline
	default:
		c.deadline = t
	}
	return c.Conn.SetReadDeadline(t)
}
