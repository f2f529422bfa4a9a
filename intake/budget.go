package intake

import (
	"container/list"
	"sync"
	"time"
)

// Limits are the limits of a Budget.
type Limits struct {
	Memory      int64 // bytes that all connections and their requests may hold
	Connections int   // open connections
	// ConnectionBytes is charged for each open connection: its buffers, its goroutines and its headers.
	ConnectionBytes int64
	// Stalled is the time without progress after which a connection may be closed for any other.
	Stalled time.Duration
}

// DefaultStalled is several times the round trips of a client on a slow link, and short enough that
// callers, which wait up to 3 s, are served with a retry.
const DefaultStalled = time.Second

const (
	// closingFraction of a budget is left for connections that are being closed and have not
	// returned their share yet, so that the one they are closed for need not wait.
	closingFraction = 8
	// progressBytes is the number of bytes that count as progress. A client that sends single bytes
	// makes none.
	progressBytes = 1024
	// maxVictims bounds the connections that are closed for one.
	maxVictims = 16
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	Idle      Phase = iota // has sent no byte of its next request
	Receiving              // is sending headers or a body
	Handling               // its request is being handled; it is never closed
)

// Cause names the limit that refuses a connection or a request.
type Cause string

// The causes.
const (
	CauseConnections Cause = "connections"
	CauseMemory      Cause = "memory"
	CauseClosing     Cause = "closing" // the connection has been chosen to be closed
)

// Verdict is a decision about a connection or a charge.
type Verdict struct {
	Admitted bool
	Cause    Cause    // if not admitted
	Close    []func() // the connections to close
}

// Budget is the memory and the connections that clients may use. Its methods are safe for concurrent
// use.
type Budget struct {
	limits Limits

	mu      sync.Mutex
	sources map[string]*source
	total   amount
	closing amount // part of total
}

// amount is a number of connections and the bytes that they hold.
type amount struct {
	connections int
	bytes       int64
}

func (a *amount) add(connections int, bytes int64) {
	a.connections += connections
	a.bytes += bytes
}

// source is an address from which connections come.
type source struct {
	name      string
	held      amount
	idle      *list.List // connections in phase Idle, the longest idle one first
	receiving *list.List // connections in phase Receiving, the longest without progress first
}

// Connection is the part of a budget that one connection holds.
type Connection struct {
	budget       *Budget
	source       *source
	shut         func()
	bytes        int64
	phase        Phase
	progressedAt time.Time
	unaccounted  int           // bytes received since progressedAt
	element      *list.Element // in the list of its source; nil in phase Handling and while closing
	closing      bool
	closed       bool
}

// NewBudget returns a budget that nothing is charged to.
func NewBudget(limits Limits) *Budget {
	if limits.Stalled <= 0 {
		limits.Stalled = DefaultStalled
	}
	return &Budget{limits: limits, sources: make(map[string]*source)}
}

// Open charges a new connection of a source. shut is returned in a later verdict if the connection has
// to be closed for another one. The connection is nil if it is not admitted.
func (b *Budget) Open(now time.Time, from string, shut func()) (*Connection, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sources[from]
	if s == nil {
		s = &source{name: from, idle: list.New(), receiving: list.New()}
	}
	verdict := b.admit(now, s, nil, 1, b.limits.ConnectionBytes)
	if !verdict.Admitted {
		return nil, verdict
	}
	b.sources[from] = s
	c := &Connection{budget: b, source: s, shut: shut, progressedAt: now, phase: Idle}
	c.hold(1, b.limits.ConnectionBytes)
	c.enlist()
	return c, verdict
}

// Charge charges bytes that the request of the connection is about to use.
func (c *Connection) Charge(now time.Time, bytes int64) Verdict {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closing || c.closed {
		return Verdict{Cause: CauseClosing}
	}
	verdict := b.admit(now, c.source, c, 0, bytes)
	if verdict.Admitted {
		c.hold(0, bytes)
	}
	return verdict
}

// Keep returns what was charged for the request of the connection, except the given number of bytes.
func (c *Connection) Keep(bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if excess := c.bytes - c.budget.limits.ConnectionBytes - bytes; excess > 0 && !c.closed {
		c.hold(0, -excess)
	}
}

// Settle returns everything that was charged for the request of the connection.
func (c *Connection) Settle() { c.Keep(0) }

// Enter changes the phase of the connection. It returns false if the connection has been chosen to be
// closed, so that its request must not be handled.
func (c *Connection) Enter(now time.Time, phase Phase) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.closing || c.closed {
		return false
	}
	c.delist()
	c.phase, c.progressedAt, c.unaccounted = phase, now, 0
	c.enlist()
	return true
}

// Progress records that bytes were received.
func (c *Connection) Progress(now time.Time, bytes int) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.unaccounted += bytes
	if c.unaccounted < progressBytes {
		return
	}
	c.progressedAt, c.unaccounted = now, 0
	if c.element != nil && c.phase == Receiving {
		c.source.receiving.MoveToBack(c.element)
	}
}

// Close returns everything that the connection holds.
func (c *Connection) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.closed {
		return
	}
	c.delist()
	c.hold(-1, -c.bytes)
	c.closed = true
	if c.source.held.connections == 0 {
		delete(c.budget.sources, c.source.name)
	}
}

// hold changes what the connection holds, by which it also changes its source and the budget.
func (c *Connection) hold(connections int, bytes int64) {
	c.bytes += bytes
	c.source.held.add(connections, bytes)
	c.budget.total.add(connections, bytes)
	if c.closing {
		c.budget.closing.add(connections, bytes)
	}
}

func (c *Connection) enlist() {
	switch c.phase {
	case Idle:
		c.element = c.source.idle.PushBack(c)
	case Receiving:
		c.element = c.source.receiving.PushBack(c)
	case Handling:
	}
}

// delist removes the connection from the list of its source.
func (c *Connection) delist() {
	if c.element == nil {
		return
	}
	c.source.idle.Remove(c.element) // no effect on an element of the other list
	c.source.receiving.Remove(c.element)
	c.element = nil
}

// Stats are the current values of a Budget.
type Stats struct {
	Connections, Closing, Sources int
	Bytes                         int64
}

// Stats returns the current values.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Connections: b.total.connections, Closing: b.closing.connections, Sources: len(b.sources), Bytes: b.total.bytes}
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }
