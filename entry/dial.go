package entry

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/status"
)

// connectBackoff keeps an instance that has just restarted reachable within a
// second.
var connectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second}

// isConnectError reports whether a call failed because no connection could be
// made, so that nothing of it was written.
func isConnectError(err error) bool {
	message := status.Convert(err).Message()
	return strings.HasPrefix(message, "connection error: desc = \"transport: Error while dialing")
}

// byteCounter counts the bytes of connections within the region and across.
type byteCounter struct {
	region       string
	near, across atomic.Int64
	digests      atomic.Int64 // of messages, without framing
}

func newByteCounter(region string) *byteCounter { return &byteCounter{region: region} }

func (b *byteCounter) wrap(c net.Conn, region string) net.Conn {
	if region == b.region {
		return &countedConn{Conn: c, bytes: &b.near}
	}
	return &countedConn{Conn: c, bytes: &b.across}
}

// countedConn adds what is read and written to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// DigestBytes returns the bytes of the state digests that were exchanged in
// calls of this instance, sent and received.
func (c *Client) DigestBytes() int64 { return c.counter.digests.Load() }

// Bytes returns the bytes on connections that this instance opened, within its
// region and to other regions.
func (c *Client) Bytes() (near, across int64) {
	return c.counter.near.Load(), c.counter.across.Load()
}
