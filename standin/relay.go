package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is a direction of traffic through a relay.
type Direction string

// The directions of traffic. Both is used only in RelayState.Cut.
const (
	ToServer Direction = "to_server"
	ToClient Direction = "to_client"
	Both     Direction = "both"
)

// RelayState is the fault that a relay injects into all its connections, existing and new.
//
// During a cut, the relay holds traffic back. This models a network that drops packets: the sender
// retransmits them, so that held traffic is delivered when the cut ends, unless the connection was
// reset meanwhile. New connections are accepted during a cut, because a process cannot leave a
// connection request on the loopback interface unanswered.
type RelayState struct {
	Cut     Direction `json:"cut,omitempty"`
	DelayMS int64     `json:"delay_ms,omitempty"` // in each direction
}

func (s RelayState) validate() error {
	if s.Cut != "" && !slices.Contains([]Direction{ToServer, ToClient, Both}, s.Cut) {
		return fmt.Errorf("cut: unknown direction %q", s.Cut)
	}
	if s.DelayMS < 0 {
		return fmt.Errorf("delay_ms must not be negative, got %d", s.DelayMS)
	}
	return nil
}

func (s RelayState) cuts(d Direction) bool { return s.Cut == d || s.Cut == Both }

// relayDialTimeout limits the time to connect to the server.
const relayDialTimeout = 2 * time.Second

// Relay forwards TCP connections to one server and injects faults into them.
type Relay struct {
	listener      net.Listener
	target        string
	running       sync.WaitGroup // goroutines of the links
	toServerBytes atomic.Int64   // forwarded so far
	toClientBytes atomic.Int64

	mu      sync.Mutex
	state   RelayState
	changed chan struct{} // closed and replaced by Set
	links   map[*relayLink]struct{}
	closed  bool
}

// NewRelay returns a relay from listener to the server at target.
func NewRelay(listener net.Listener, target string) *Relay {
	return &Relay{
		listener: listener,
		target:   target,
		changed:  make(chan struct{}),
		links:    map[*relayLink]struct{}{},
	}
}

// Serve accepts connections until Close.
func (r *Relay) Serve() error {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept connection for relay")
		}
		r.startLink(conn)
	}
}

func (r *Relay) startLink(client net.Conn) {
	link := newRelayLink(r, client)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		client.Close()
		return
	}
	r.links[link] = struct{}{}
	r.running.Go(func() {
		link.run()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.links, link)
	})
}

// Close closes the listener and all connections, and waits until they have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.Reset()
	r.running.Wait()
}

// Set replaces the fault of all connections. It returns an error if state is invalid.
func (r *Relay) Set(state RelayState) error {
	if err := state.validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// currentState returns the state and a channel that is closed when Set replaces it.
func (r *Relay) currentState() (RelayState, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changed
}

// StallConnections makes the existing connections silent permanently: they stay open and discard all
// traffic. New connections are not affected. It returns the number of existing connections.
func (r *Relay) StallConnections() int { return r.forEachLink((*relayLink).silence) }

// Reset closes the existing connections, discards the traffic held in them, and returns their
// number.
func (r *Relay) Reset() int { return r.forEachLink((*relayLink).close) }

// forEachLink calls f for each existing connection and returns their number.
func (r *Relay) forEachLink(f func(*relayLink)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.links {
		f(link)
	}
	return len(r.links)
}

// Connections returns the number of existing connections.
func (r *Relay) Connections() int { return r.forEachLink(func(*relayLink) {}) }

// awaitForwarding blocks until the state allows forwarding traffic that was received at the time
// arrived. It returns false if the connection becomes silent or is closed first.
func (r *Relay) awaitForwarding(link *relayLink, direction Direction, arrived time.Time) bool {
	for {
		state, changed := r.currentState()
		var due <-chan time.Time // nil during a cut
		if !state.cuts(direction) {
			wait := time.Until(arrived.Add(time.Duration(state.DelayMS) * time.Millisecond))
			if wait <= 0 {
				return !link.ended()
			}
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-changed:
		case <-link.silent:
			return false
		case <-link.closed:
			return false
		}
	}
}

// dial connects to the server once the state allows traffic to it.
func (r *Relay) dial(link *relayLink) (net.Conn, error) {
	if !r.awaitForwarding(link, ToServer, time.Now()) {
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", r.target)
}

func (r *Relay) countBytes(direction Direction, bytes int) {
	if direction == ToServer {
		r.toServerBytes.Add(int64(bytes))
		return
	}
	r.toClientBytes.Add(int64(bytes))
}
