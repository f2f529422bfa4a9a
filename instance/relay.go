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
	relaySilence = 600 * time.Millisecond
	// relayPingInterval is the time between heartbeat requests.
	relayPing = 200 * time.Millisecond
	// relayReconnectDelay is the delay before an ended stream is reopened.
	relayRetry = 500 * time.Millisecond
	// peerTimeout is the time after the last poll of an instance at which it is removed;
	// instances poll the owner every 100 ms.
	peerSilence = 2500 * time.Millisecond
	// orderQueueLength bounds the orders that wait for the stream of one relay.
	orderQueue = 512
)

// relays sends an owner's orders to workers through the instances in the workers'
// failure domains. An owner of hundreds of workers could not make a thousand HTTP calls a
// second besides scheduling, while small instances have spare processor time, and the
// path through a relay adds no distance. An order that a relay does not answer is sent
// to the worker directly.
type relays struct {
	self   string
	direct Workers
	open   func(ctx context.Context, address string, orders <-chan *entry.RelayOrder, take func([]entry.RelayOutcome)) error
	report func(what string, fields ...any)

	mu       sync.RWMutex
	peers    map[string]seenPeer          // by name
	byDomain map[string]map[string]*relay // relays in use, by failure domain and name
}

type seenPeer struct {
	entry.Peer
	seenAt time.Time
}

// relay is the stream to one instance.
type relay struct {
	entry.Peer
	orders chan *entry.RelayOrder

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan *entry.RelayOutcome // by order ID; closed without an outcome if the relay is lost
	heardAt time.Time
}

func newRelays(self string, direct Workers, peers *entry.Client, report func(string, ...any)) *relays {
	return &relays{
		self: self, direct: direct, open: peers.Relay, report: report,
		peers: make(map[string]seenPeer), byDomain: make(map[string]map[string]*relay),
	}
}

// observePeer records that an instance is alive.
func (r *relays) see(p entry.Peer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[p.Instance] = seenPeer{Peer: p, seenAt: now}
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
		for _, p := range r.present(time.Now()) {
			if !started[p.Instance] && p.Instance != r.self {
				started[p.Instance] = true
				go r.keep(ctx, p.Instance)
			}
		}
		pause(ctx, relayPing)
	}
}

// livePeers returns the instances that poll this owner, and removes the others.
func (r *relays) present(now time.Time) []entry.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []entry.Peer
	for name, p := range r.peers {
		if now.Sub(p.seenAt) > peerSilence {
			delete(r.peers, name)
			continue
		}
		list = append(list, p.Peer)
	}
	return list
}

// maintainStream keeps the stream to an instance open, and reopens it while the instance
// is alive.
func (r *relays) keep(ctx context.Context, name string) {
	for ctx.Err() == nil {
		r.mu.RLock()
		p, present := r.peers[name]
		r.mu.RUnlock()
		if present {
			if err := r.stream(ctx, p.Peer); ctx.Err() == nil {
				r.report("relay lost", "instance", name, "error", err)
			}
		}
		pause(ctx, relayRetry)
	}
}

// stream uses an instance as a relay until its stream ends.
func (r *relays) stream(ctx context.Context, p entry.Peer) error {
	l := &relay{Peer: p, orders: make(chan *entry.RelayOrder, orderQueue), pending: make(map[uint64]chan *entry.RelayOutcome)}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.open(ctx, p.Address, l.orders, l.take) })
	group.Go(func() error { return l.watch(ctx) })
	r.use(l, true)
	err := group.Wait()
	r.use(l, false)
	l.close()
	return err
}

func (r *relays) use(l *relay, inUse bool) {
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
func (r *relays) choose(to schedule.Target, now time.Time) *relay {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var best *relay
	var most uint32
	for name, l := range r.byDomain[to.FailureDomain] {
		h := fnv.New32a()
		_, _ = h.Write([]byte(to.Worker)) // a hash never fails
		_, _ = h.Write([]byte(name))
		if weight := h.Sum32(); (best == nil || weight > most) && l.isAlive(now) {
			best, most = l, weight
		}
	}
	return best
}

// send passes an order to the relay of a worker. sent is false if the order was
// certainly not passed on; a nil outcome means that the relay was lost or ctx ended.
func (r *relays) give(ctx context.Context, to schedule.Target, fence int64, order schedule.Effect) (outcome *entry.RelayOutcome, sent bool) {
	now := time.Now()
	l := r.choose(to, now)
	deadline, bounded := ctx.Deadline()
	if l == nil || !bounded {
		return nil, false
	}
	id, answer, ok := l.enqueue(&entry.RelayOrder{Fence: fence, Timeout: deadline.Sub(now), Order: order})
	if !ok {
		return nil, false
	}
	defer l.forget(id)
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
	outcome, _ := r.give(ctx, h.Target, fence, h)
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
	outcome, sent := r.give(ctx, s.Target, fence, s)
	if outcome != nil {
		return outcome.Verdict
	}
	return giveDirectly(ctx, sent, func() schedule.Verdict { return r.direct.Start(ctx, fence, s) })
}

// Stop implements Workers.
func (r *relays) Stop(ctx context.Context, fence int64, s schedule.Stop) schedule.Verdict {
	outcome, sent := r.give(ctx, s.Target, fence, s)
	if outcome != nil {
		return outcome.Verdict
	}
	return giveDirectly(ctx, sent, func() schedule.Verdict { return r.direct.Stop(ctx, fence, s) })
}

// sendDirectly sends an order that no relay took or whose relay was lost. If a relay was
// lost, a refusal is inconclusive, since the relay may still deliver the order.
func giveDirectly(ctx context.Context, sent bool, direct func() schedule.Verdict) schedule.Verdict {
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
	waiting := make(chan *entry.RelayOutcome, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return 0, nil, false
	}
	l.nextID++
	o.ID = l.nextID
	select {
	case l.orders <- o:
		l.pending[o.ID] = waiting
		return o.ID, waiting, true
	default:
		return 0, nil, false
	}
}

func (l *relay) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliverOutcomes passes outcomes to the goroutines that wait for them.
func (l *relay) take(outcomes []entry.RelayOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = time.Now()
	for i := range outcomes {
		if waiting, ok := l.pending[outcomes[i].ID]; ok {
			delete(l.pending, outcomes[i].ID)
			waiting <- &outcomes[i]
		}
	}
}

func (l *relay) isAlive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.heardAt) <= relaySilence
}

// monitor requests heartbeats, and fails the pending orders of an unresponsive relay at
// each interval until it responds again.
func (l *relay) watch(ctx context.Context) error {
	for {
		select {
		case l.orders <- nil:
		default: // the queue of the stream is full
		}
		pause(ctx, relayPing)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !l.isAlive(time.Now()) {
			l.giveUp()
		}
	}
}

// failPending fails all pending orders without an outcome and drops the queued ones.
func (l *relay) giveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, waiting := range l.pending {
		delete(l.pending, id)
		close(waiting)
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
	l.giveUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
}
