package standin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Bounds of what one direction of a connection holds back. Beyond it the sender
// is not read any more and finds its own buffers full, as with a real cut.
const (
	relayChunkBytes = 32 << 10
	relayChunks     = 64
)

// relayLink is one connection through a relay.
type relayLink struct {
	relay  *Relay
	client net.Conn
	silent chan struct{} // closed when the connection falls silent
	closed chan struct{} // closed when the connection is closed

	mu       sync.Mutex
	server   net.Conn // nil before the server is connected
	isClosed bool
	isSilent bool
}

func newRelayLink(relay *Relay, client net.Conn) *relayLink {
	return &relayLink{relay: relay, client: client, silent: make(chan struct{}), closed: make(chan struct{})}
}

// run passes traffic in both directions until both have ended.
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
	directions.Go(func() { l.pass(ToServer, l.client, server) })
	directions.Go(func() { l.pass(ToClient, server, l.client) })
	directions.Wait()
}

// drainIfSilent keeps a connection open that fell silent before the server was
// connected.
func (l *relayLink) drainIfSilent() {
	select {
	case <-l.silent:
		_, _ = io.Copy(io.Discard, l.client) // ends when the client leaves
	default:
	}
}

// setServer reports false, and closes the server's side, if the link was closed
// meanwhile.
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

// ended reports whether nothing more is to be passed on.
func (l *relayLink) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isClosed || l.isSilent
}

// chunk is a piece of traffic and when it arrived. The end of a direction is a
// chunk without bytes.
type chunk struct {
	bytes   []byte
	arrived time.Time
}

// pass moves one direction. The reader goes on while the writer waits, so that
// a delay does not limit the throughput.
func (l *relayLink) pass(direction Direction, from, to net.Conn) {
	chunks := make(chan chunk, relayChunks)
	var writer sync.WaitGroup
	writer.Go(func() { l.write(direction, chunks, to) })
	l.read(chunks, from)
	writer.Wait()
}

func (l *relayLink) read(chunks chan<- chunk, from net.Conn) {
	defer close(chunks)
	buffer := make([]byte, relayChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.hold(chunks, chunk{bytes: bytes.Clone(buffer[:n]), arrived: time.Now()})
		}
		if errors.Is(err, io.EOF) {
			l.hold(chunks, chunk{arrived: time.Now()})
			return
		}
		if err != nil {
			l.closeUnlessSilent()
			return
		}
	}
}

// hold queues a chunk, or swallows it if the connection is silent.
func (l *relayLink) hold(chunks chan<- chunk, c chunk) {
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

// write passes chunks on until the direction ends. Of a connection that fell
// silent it swallows the rest.
func (l *relayLink) write(direction Direction, chunks <-chan chunk, to net.Conn) {
	for c := range chunks {
		if !l.relay.await(l, direction, c.arrived) {
			continue
		}
		if err := l.writeChunk(c, to); err != nil {
			l.closeUnlessSilent()
			continue
		}
		l.relay.count(direction, len(c.bytes))
	}
}

func (l *relayLink) writeChunk(c chunk, to net.Conn) error {
	if len(c.bytes) > 0 {
		_, err := to.Write(c.bytes)
		return err
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// closeUnlessSilent closes a connection that broke on one side. The other side
// of a silent connection does not hear of it.
func (l *relayLink) closeUnlessSilent() {
	select {
	case <-l.silent:
	default:
		l.close()
	}
}
