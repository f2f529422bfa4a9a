package instance

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// relayTimeout is the time without a message from a relay after which it is considered
	// unresponsive, that is, frozen or disconnected. It is far above the 25 ms round trip to
	// another region, so that a busy instance is not mistaken for a lost one.
	relayTimeout = 600 * time.Millisecond
	// relayPingInterval is the time between heartbeat requests.
	relayPingInterval = 200 * time.Millisecond
	// relayReconnectDelay is the delay before an ended stream is reopened.
	relayReconnectDelay = 500 * time.Millisecond
	// peerExpiry is the time without a poll after which an instance is removed; instances
	// poll the owner every 100 ms.
	peerExpiry = 2500 * time.Millisecond
	// orderQueueLength bounds the orders that wait for the stream of one relay.
	orderQueueLength = 512
)

// relays sends an owner's orders to workers through the instances in the workers'
// failure domains. With hundreds of workers, an owner could not make a thousand HTTP calls
// per second in addition to scheduling, while small instances have spare processor time.
// The path through a relay adds no network distance. An order to which a relay does not
// respond is sent to the worker directly.
type relays struct {
	self       string
	direct     Workers
	openStream func(ctx context.Context, address string, orders <-chan *entry.RelayOrder, deliver func([]entry.RelayOutcome)) error
	logEvent   func(event string, fields ...any)

	mu       sync.RWMutex
	peers    map[string]observedPeer            // instances that poll this owner, by name
	byDomain map[string]map[string]*relayStream // open streams, by failure domain and name of the instance
}

type observedPeer struct {
	entry.Peer
	lastSeen time.Time
}

// relayStream is the stream of orders to one instance.
type relayStream struct {
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
		peers: make(map[string]observedPeer), byDomain: make(map[string]map[string]*relayStream),
	}
}

// observePeer records that an instance is alive.
func (r *relays) observePeer(p entry.Peer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[p.Instance] = observedPeer{Peer: p, lastSeen: now}
}

// address returns the address of an instance.
func (r *relays) address(name string) (string, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	p, found := r.peers[name]
	return p.Address, found
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

// livePeers returns the instances that poll this owner, and removes those that no longer
// do.
func (r *relays) livePeers(now time.Time) []entry.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []entry.Peer
	for name, p := range r.peers {
		if now.Sub(p.lastSeen) > peerExpiry {
			delete(r.peers, name)
			continue
		}
		list = append(list, p.Peer)
	}
	return list
}

// maintainStream opens a stream to an instance, and reopens it whenever it ends while the
// instance is alive.
func (r *relays) maintainStream(ctx context.Context, name string) {
	for ctx.Err() == nil {
		r.mu.RLock()
		p, found := r.peers[name]
		r.mu.RUnlock()
		if found {
			if err := r.runStream(ctx, p.Peer); ctx.Err() == nil {
				r.logEvent("relay lost", "instance", name, "error", err)
			}
		}
		sleep(ctx, relayReconnectDelay)
	}
}

// runStream uses an instance as a relay until the stream ends.
func (r *relays) runStream(ctx context.Context, p entry.Peer) error {
	s := &relayStream{Peer: p, orders: make(chan *entry.RelayOrder, orderQueueLength), pending: make(map[uint64]chan *entry.RelayOutcome)}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.openStream(ctx, p.Address, s.orders, s.deliverOutcomes) })
	group.Go(func() error { return s.monitor(ctx) })
	r.setInUse(s, true)
	err := group.Wait()
	r.setInUse(s, false)
	s.close()
	return err
}

func (r *relays) setInUse(s *relayStream, inUse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byDomain[s.FailureDomain] == nil {
		r.byDomain[s.FailureDomain] = make(map[string]*relayStream)
	}
	if inUse {
		r.byDomain[s.FailureDomain][s.Instance] = s
	} else if r.byDomain[s.FailureDomain][s.Instance] == s {
		delete(r.byDomain[s.FailureDomain], s.Instance)
	}
}

// selectRelay returns the stream to the relay for a worker, or nil if its failure domain
// has no responsive relay. Rendezvous hashing keeps each worker on the same relay while
// that is responsive, which limits the number of connections to workers.
func (r *relays) selectRelay(target schedule.Target, now time.Time) *relayStream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var best *relayStream
	var bestWeight uint32
	for name, s := range r.byDomain[target.FailureDomain] {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(target.Worker)) // a hash never fails
		_, _ = hash.Write([]byte(name))
		if weight := hash.Sum32(); (best == nil || weight > bestWeight) && s.isResponsive(now) {
			best, bestWeight = s, weight
		}
	}
	return best
}

// send sends an order through the relay of a worker. sent is false if the order definitely
// reached no relay. If sent is true, a nil outcome means that the relay was lost or ctx
// ended.
func (r *relays) send(ctx context.Context, target schedule.Target, fence int64, order schedule.Effect) (outcome *entry.RelayOutcome, sent bool) {
	s := r.selectRelay(target, time.Now())
	deadline, bounded := ctx.Deadline()
	if s == nil || !bounded {
		return nil, false
	}
	id, reply, ok := s.enqueue(&entry.RelayOrder{Fence: fence, Deadline: deadline, Order: order})
	if !ok {
		return nil, false
	}
	defer s.removePending(id)
	select {
	case outcome := <-reply:
		return outcome, true
	case <-ctx.Done():
		return nil, true
	}
}

// Poll implements Workers. A poll whose relay was lost is sent directly, which is safe
// because polls are idempotent.
func (r *relays) Poll(ctx context.Context, fence int64, p schedule.Poll) schedule.PollDone {
	sentAt := clock.Now()
	outcome, _ := r.send(ctx, p.Target, fence, p)
	if outcome == nil {
		if ctx.Err() != nil {
			return schedule.PollDone{Poll: p, SentAt: sentAt, Verdict: schedule.Unclear}
		}
		return r.direct.Poll(ctx, fence, p)
	}
	return schedule.PollDone{
		Poll: p, SentAt: sentAt, Verdict: outcome.Verdict, Clock: outcome.Clock, Incarnation: outcome.Incarnation,
		Running: outcome.Running, Ended: outcome.Ended, Partial: outcome.Partial,
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

// sendDirectly sends an order that reached no relay or whose relay was lost. If a relay was
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
func (s *relayStream) enqueue(o *entry.RelayOrder) (id uint64, reply <-chan *entry.RelayOutcome, ok bool) {
	outcomes := make(chan *entry.RelayOutcome, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		return 0, nil, false
	}
	s.nextID++
	o.ID = s.nextID
	select {
	case s.orders <- o:
		s.pending[o.ID] = outcomes
		return o.ID, outcomes, true
	default:
		return 0, nil, false
	}
}

func (s *relayStream) removePending(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// deliverOutcomes passes outcomes to the goroutines that wait for them.
func (s *relayStream) deliverOutcomes(outcomes []entry.RelayOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastMessageAt = time.Now()
	for i := range outcomes {
		if reply, ok := s.pending[outcomes[i].ID]; ok {
			delete(s.pending, outcomes[i].ID)
			reply <- &outcomes[i]
		}
	}
}

func (s *relayStream) isResponsive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastMessageAt) <= relayTimeout
}

// monitor requests heartbeats and, while the relay is unresponsive, fails the pending
// orders at each interval.
func (s *relayStream) monitor(ctx context.Context) error {
	for {
		select {
		case s.orders <- nil:
		default: // the queue of the stream is full
		}
		sleep(ctx, relayPingInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !s.isResponsive(time.Now()) {
			s.failPending()
		}
	}
}

// failPending closes all pending orders without an outcome and drops the queued ones.
func (s *relayStream) failPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, reply := range s.pending {
		delete(s.pending, id)
		close(reply)
	}
	for {
		select {
		case <-s.orders: // not sent yet; the waiting caller sends it directly
		default:
			return
		}
	}
}

// close fails all pending orders and makes enqueue reject further ones.
func (s *relayStream) close() {
	s.failPending()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = nil
}
