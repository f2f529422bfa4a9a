package instance

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// relayTimeout is the time without a message from a relay after which it is
	// considered frozen or disconnected. It is far above the 25 ms round trip to another
	// region, so that a busy instance is not mistaken for a lost one.
	relayTimeout = 600 * time.Millisecond
	// relayPingInterval is the time between heartbeat requests.
	relayPingInterval = 200 * time.Millisecond
	// relayReconnectDelay is the delay before an ended stream is reopened.
	relayReconnectDelay = 500 * time.Millisecond
	// peerTimeout is the time after the last poll of an instance at which it is removed;
	// instances poll the owner every 100 ms.
	peerTimeout = 2500 * time.Millisecond
	// orderQueueLength bounds the orders that wait for the stream of one relay.
	orderQueueLength = 512
)

// relays sends an owner's orders to workers through the instances in the workers'
// failure domains. An owner of hundreds of workers could not make a thousand HTTP calls a
// second besides scheduling, while small instances have spare processor time, and the
// path through a relay adds no distance. An order that a relay does not answer is sent
// to the worker directly.
type relays struct {
	self       string
	direct     Workers
	openStream func(ctx context.Context, address string, orders <-chan *entry.RelayOrder, deliver func([]entry.RelayOutcome)) error
	logEvent   func(event string, fields ...any)

	mu       sync.RWMutex
	peers    map[string]knownPeer         // by name
	byDomain map[string]map[string]*relay // relays in use, by failure domain and name
}

type knownPeer struct {
	entry.Peer
	lastSeen time.Time
}

// relay is the stream to one instance.
type relay struct {
	entry.Peer
	orders chan *entry.RelayOrder

	mu            sync.Mutex
	nextID        uint64
	pending       map[uint64]chan *entry.RelayOutcome // by order ID; closed without an outcome if the relay is lost
	lastMessageAt time.Time
}

func newRelays(self string, direct Workers, peers *entry.Client, logEvent func(string, ...any)) *relays {
	return &relays{
		self: self, direct: direct, openStream: peers.Relay, logEvent: logEvent,
		peers: make(map[string]knownPeer), byDomain: make(map[string]map[string]*relay),
	}
}

// observePeer records that an instance is alive.
func (r *relays) observePeer(p entry.Peer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[p.Instance] = knownPeer{Peer: p, lastSeen: now}
}

// address returns the address of an instance.
func (r *relays) address(name string) (string, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	p, known := r.peers[name]
	return p.Address, known
}

// run maintains a stream to every instance that polls this owner, until ctx ends.
func (r *relays) run(ctx context.Context) {
	started := make(map[string]bool)
	for ctx.Err() == nil {
		for _, p := range r.livePeers(time.Now()) {
			if !started[p.Instance] && p.Instance != r.self {
				started[p.Instance] = true
				go r.maintainStream(ctx, p.Instance)
			}
		}
		sleep(ctx, relayPingInterval)
	}
}

// livePeers returns the instances that poll this owner, and removes the others.
func (r *relays) livePeers(now time.Time) []entry.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []entry.Peer
	for name, p := range r.peers {
		if now.Sub(p.lastSeen) > peerTimeout {
			delete(r.peers, name)
			continue
		}
		list = append(list, p.Peer)
	}
	return list
}

// maintainStream keeps the stream to an instance open, and reopens it while the instance
// is alive.
func (r *relays) maintainStream(ctx context.Context, name string) {
	for ctx.Err() == nil {
		r.mu.RLock()
		p, present := r.peers[name]
		r.mu.RUnlock()
		if present {
			if err := r.stream(ctx, p.Peer); ctx.Err() == nil {
				r.logEvent("relay lost", "instance", name, "error", err)
			}
		}
		sleep(ctx, relayReconnectDelay)
	}
}

// stream uses an instance as a relay until its stream ends.
func (r *relays) stream(ctx context.Context, p entry.Peer) error {
	l := &relay{Peer: p, orders: make(chan *entry.RelayOrder, orderQueueLength), pending: make(map[uint64]chan *entry.RelayOutcome)}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.openStream(ctx, p.Address, l.orders, l.deliverOutcomes) })
	group.Go(func() error { return l.monitor(ctx) })
	r.setInUse(l, true)
	err := group.Wait()
	r.setInUse(l, false)
	l.close()
	return err
}

func (r *relays) setInUse(l *relay, inUse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byDomain[l.FailureDomain] == nil {
		r.byDomain[l.FailureDomain] = make(map[string]*relay)
	}
	if inUse {
		r.byDomain[l.FailureDomain][l.Instance] = l
	} else if r.byDomain[l.FailureDomain][l.Instance] == l {
		delete(r.byDomain[l.FailureDomain], l.Instance)
	}
}

// selectRelay returns the relay for a worker, or nil if there is none in its failure
// domain. Rendezvous hashing keeps each worker on the same relay while that is alive,
// which limits the number of connections to workers.
func (r *relays) selectRelay(target schedule.Target, now time.Time) *relay {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var best *relay
	var bestWeight uint32
	for name, l := range r.byDomain[target.FailureDomain] {
		h := fnv.New32a()
		_, _ = h.Write([]byte(target.Worker)) // a hash never fails
		_, _ = h.Write([]byte(name))
		if weight := h.Sum32(); (best == nil || weight > bestWeight) && l.isAlive(now) {
			best, bestWeight = l, weight
		}
	}
	return best
}

// send passes an order to the relay of a worker. sent is false if the order was
// certainly not passed on; a nil outcome means that the relay was lost or ctx ended.
func (r *relays) send(ctx context.Context, target schedule.Target, fence int64, order schedule.Effect) (outcome *entry.RelayOutcome, sent bool) {
	now := time.Now()
	l := r.selectRelay(target, now)
	deadline, bounded := ctx.Deadline()
	if l == nil || !bounded {
		return nil, false
	}
	id, answer, ok := l.enqueue(&entry.RelayOrder{Fence: fence, Timeout: deadline.Sub(now), Order: order})
	if !ok {
		return nil, false
	}
	defer l.removePending(id)
	select {
	case outcome := <-answer:
		return outcome, true
	case <-ctx.Done():
		return nil, true
	}
}

// Hold implements Workers. A hold whose relay was lost is sent directly, which is safe
// because holds are idempotent.
func (r *relays) Hold(ctx context.Context, fence int64, h schedule.Hold) schedule.HoldDone {
	sentAt := time.Now()
	outcome, _ := r.send(ctx, h.Target, fence, h)
	if outcome == nil {
		if ctx.Err() != nil {
			return schedule.HoldDone{Hold: h, SentAt: sentAt, Verdict: schedule.Unclear}
		}
		return r.direct.Hold(ctx, fence, h)
	}
	return schedule.HoldDone{
		Hold: h, SentAt: sentAt, Verdict: outcome.Verdict, Clock: outcome.Clock, Born: outcome.Born,
		Running: outcome.Running, Ended: outcome.Ended,
	}
}

// Start implements Workers.
func (r *relays) Start(ctx context.Context, fence int64, s schedule.Start) schedule.Verdict {
	outcome, sent := r.send(ctx, s.Target, fence, s)
	if outcome != nil {
		return outcome.Verdict
	}
	return sendDirectly(ctx, sent, func() schedule.Verdict { return r.direct.Start(ctx, fence, s) })
}

// Stop implements Workers.
func (r *relays) Stop(ctx context.Context, fence int64, s schedule.Stop) schedule.Verdict {
	outcome, sent := r.send(ctx, s.Target, fence, s)
	if outcome != nil {
		return outcome.Verdict
	}
	return sendDirectly(ctx, sent, func() schedule.Verdict { return r.direct.Stop(ctx, fence, s) })
}

// sendDirectly sends an order that no relay took or whose relay was lost. If a relay was
// lost, a refusal is inconclusive, since the relay may still deliver the order.
func sendDirectly(ctx context.Context, sent bool, direct func() schedule.Verdict) schedule.Verdict {
	if sent && ctx.Err() != nil {
		return schedule.Unclear
	}
	v := direct()
	if sent && v != schedule.Accepted && v != schedule.Fenced {
		return schedule.Unclear
	}
	return v
}

// enqueue queues an order for the stream; ok is false if the stream is closed or its
// queue is full.
func (l *relay) enqueue(o *entry.RelayOrder) (id uint64, answer <-chan *entry.RelayOutcome, ok bool) {
	reply := make(chan *entry.RelayOutcome, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return 0, nil, false
	}
	l.nextID++
	o.ID = l.nextID
	select {
	case l.orders <- o:
		l.pending[o.ID] = reply
		return o.ID, reply, true
	default:
		return 0, nil, false
	}
}

func (l *relay) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliverOutcomes passes outcomes to the goroutines that wait for them.
func (l *relay) deliverOutcomes(outcomes []entry.RelayOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMessageAt = time.Now()
	for i := range outcomes {
		if reply, ok := l.pending[outcomes[i].ID]; ok {
			delete(l.pending, outcomes[i].ID)
			reply <- &outcomes[i]
		}
	}
}

func (l *relay) isAlive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastMessageAt) <= relayTimeout
}

// monitor requests heartbeats, and fails the pending orders of an unresponsive relay at
// each interval until it responds again.
func (l *relay) monitor(ctx context.Context) error {
	for {
		select {
		case l.orders <- nil:
		default: // the queue of the stream is full
		}
		sleep(ctx, relayPingInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !l.isAlive(time.Now()) {
			l.failPending()
		}
	}
}

// failPending fails all pending orders without an outcome and drops the queued ones.
func (l *relay) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, reply := range l.pending {
		delete(l.pending, id)
		close(reply)
	}
	for {
		select {
		case <-l.orders: // not sent yet; its waiting caller sends it directly
		default:
			return
		}
	}
}

// close fails all pending orders and accepts no further ones.
func (l *relay) close() {
	l.failPending()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
}
