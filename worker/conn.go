package worker

import (
	"errors"
	"net"
	"sync"
)

var errWritesDisabled = errors.New("the call that used this connection has ended")

// checkedConn is a connection that runs a check before each write and records
// whether the current call has written anything. HTTP/1.1 carries one call at a
// time on a connection.
type checkedConn struct {
	net.Conn
	counters byteCounters

	mu             sync.Mutex
	check          func() error
	wrote          bool
	writesDisabled bool
}

// beginCall prepares the connection for the next call. It does not enable writes
// again after disableWrites.
func (c *checkedConn) beginCall(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
	c.wrote = false
}

// disableWrites makes all further writes fail and reports whether the current call
// may have written anything. It does not wait for a write in progress.
func (c *checkedConn) disableWrites() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.wrote
}

// Write runs the check of the current call and writes only if the check passes.
func (c *checkedConn) Write(b []byte) (int, error) {
	if err := c.checkWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.counters.sent.Inc(int64(n))
	return n, err
}

// Read counts the bytes received.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Inc(int64(n))
	return n, err
}

func (c *checkedConn) checkWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesDisabled {
		return errWritesDisabled
	}
	if c.check != nil {
		if err := c.check(); err != nil {
			return &checkError{err}
		}
	}
	c.wrote = true
	return nil
}

// checkError wraps the error of a check that failed before a write.
type checkError struct{ err error }

func (e *checkError) Error() string { return "check before write: " + e.err.Error() }
func (e *checkError) Unwrap() error { return e.err }
