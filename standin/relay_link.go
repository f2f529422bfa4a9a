package standin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Limits of the traffic that a connection holds in one direction. When they are reached, the relay
// stops reading and the send buffer of the peer fills up, as in a real network partition.
const (
	maxChunkBytes = 32 << 10
	maxHeldChunks = 64
)

// relayLink is one connection through a relay.
type relayLink struct {
	relay  *Relay
	client net.Conn
	silent chan struct{} // closed when the connection becomes silent
	closed chan struct{} // closed by close

	mu       sync.Mutex
	server   net.Conn // nil until connected to the server
	isClosed bool
	isSilent bool
}

func newRelayLink(relay *Relay, client net.Conn) *relayLink {
	return &relayLink{relay: relay, client: client, silent: make(chan struct{}), closed: make(chan struct{})}
}

// run connects to the server and forwards traffic until both directions have ended.
func (l *relayLink) run() {
	defer l.close()
	server, err := l.relay.dial(l)
	if err != nil {
		l.drainIfSilent()
		return
	}
	if !l.setServer(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(ToServer, l.client, server) })
	directions.Go(func() { l.forward(ToClient, server, l.client) })
	directions.Wait()
}

// drainIfSilent handles a connection that became silent before the server was connected: it keeps
// the connection open and discards what the client sends.
func (l *relayLink) drainIfSilent() {
	select {
	case <-l.silent:
		_, _ = io.Copy(io.Discard, l.client) // returns when the client disconnects
	default:
	}
}

// setServer stores the connection to the server. If the link has been closed meanwhile, it closes
// server and returns false.
func (l *relayLink) setServer(server net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		server.Close()
		return false
	}
	l.server = server
	return true
}

func (l *relayLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return
	}
	l.isClosed = true
	close(l.closed)
	l.client.Close()
	if l.server != nil {
		l.server.Close()
	}
}

func (l *relayLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSilent {
		l.isSilent = true
		close(l.silent)
	}
}

// ended reports whether the link no longer forwards traffic.
func (l *relayLink) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isClosed || l.isSilent
}

// chunk is a piece of traffic and the time at which it was received. A chunk without bytes marks
// the end of the stream in its direction.
type chunk struct {
	bytes   []byte
	arrived time.Time
}

// forward forwards traffic in one direction. It continues to read while the writer waits, so that a
// delay does not limit the throughput.
func (l *relayLink) forward(direction Direction, from, to net.Conn) {
	chunks := make(chan chunk, maxHeldChunks)
	var writer sync.WaitGroup
	writer.Go(func() { l.write(direction, chunks, to) })
	l.read(chunks, from)
	writer.Wait()
}

func (l *relayLink) read(chunks chan<- chunk, from net.Conn) {
	defer close(chunks)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.enqueue(chunks, chunk{bytes: bytes.Clone(buffer[:n]), arrived: time.Now()})
		}
		if errors.Is(err, io.EOF) {
			l.enqueue(chunks, chunk{arrived: time.Now()})
			return
		}
		if err != nil {
			l.closeUnlessSilent()
			return
		}
	}
}

// enqueue queues a chunk for the writer, or discards it if the connection is silent or closed.
func (l *relayLink) enqueue(chunks chan<- chunk, c chunk) {
	select {
	case <-l.silent:
		return
	default:
	}
	select {
	case chunks <- c:
	case <-l.silent:
	case <-l.closed:
	}
}

// write writes chunks to the connection until the channel is closed. Once the link is silent or
// closed, it discards them.
func (l *relayLink) write(direction Direction, chunks <-chan chunk, to net.Conn) {
	for c := range chunks {
		if !l.relay.awaitForwarding(l, direction, c.arrived) {
			continue
		}
		if err := l.writeChunk(c, to); err != nil {
			l.closeUnlessSilent()
			continue
		}
		l.relay.countBytes(direction, len(c.bytes))
	}
}

func (l *relayLink) writeChunk(c chunk, to net.Conn) error {
	if len(c.bytes) > 0 {
		_, err := to.Write(c.bytes)
		return err
	}
	if halfCloser, ok := to.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// closeUnlessSilent closes the link after an error on one side. A silent link stays open, so that
// the other side does not detect the error.
func (l *relayLink) closeUnlessSilent() {
	select {
	case <-l.silent:
	default:
		l.close()
	}
}
