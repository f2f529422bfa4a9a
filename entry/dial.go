package entry

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/status"
)

// connectBackoff limits the delay between connection attempts to about one second, so that a
// restarted instance soon becomes reachable again.
var connectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second}

// isConnectError reports whether a call failed because no connection could be established, in which
// case nothing was sent.
func isConnectError(err error) bool {
	message := status.Convert(err).Message()
	return strings.HasPrefix(message, "connection error: desc = \"transport: Error while dialing")
}

// byteCounter counts the bytes on connections within the region and to other regions.
type byteCounter struct {
	region                  string
	sameRegion, crossRegion atomic.Int64
	digestBytes             atomic.Int64 // size of digest messages, without framing
}

func newByteCounter(region string) *byteCounter { return &byteCounter{region: region} }

func (b *byteCounter) wrap(c net.Conn, region string) net.Conn {
	if region == b.region {
		return &countingConn{Conn: c, bytes: &b.sameRegion}
	}
	return &countingConn{Conn: c, bytes: &b.crossRegion}
}

// countingConn adds the number of bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// DigestBytes returns the total size of the state digests sent and received in calls made by this
// instance.
func (c *Client) DigestBytes() int64 { return c.counter.digestBytes.Load() }

// Bytes returns the number of bytes sent and received on connections that this instance opened,
// within its region and to other regions.
func (c *Client) Bytes() (sameRegion, crossRegion int64) {
	return c.counter.sameRegion.Load(), c.counter.crossRegion.Load()
}
