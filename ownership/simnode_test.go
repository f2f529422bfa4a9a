package ownership

import (
	"errors"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// callTimeout is the timeout of a store call, which may still take effect afterwards.
const callTimeout = 2 * time.Second

// node simulates one instance: its table, its clock and its control loop.
type node struct {
	sim            *simulation
	index          int
	self           membership.Member
	table          *Table
	starts         int
	up             bool
	removed        bool // permanently down and missing from the instance list
	frozenUntil    time.Duration
	cutOff         bool // from the store
	isolated       bool // cut off from the other nodes
	rate           float64
	clockOffset    time.Duration
	replyDelay     time.Duration // added to every reply that the node receives
	nextWriteDelay time.Duration // delay of the next write of nextWriteUnit on its way to the store
	nextWriteUnit  string        // empty for any unit

	lease            int64
	memberRevision   int64 // last known revision of the member key
	attaching        bool
	deliveredChanges int // position in the store's log
	watchLag         time.Duration
	members          map[string]membership.Member
}

func (n *node) clock() time.Time {
	return time.Unix(0, 0).Add(n.clockOffset + time.Duration(float64(n.sim.now)*n.rate))
}

// start begins a new incarnation with an empty state.
func (n *node) start() {
	n.starts++
	n.up = true
	n.self.Incarnation = fmt.Sprintf("%s.%d", n.self.Instance, n.starts)
	n.table = New(modelConfig(n.sim.units), n.self, n.clock())
	n.table.seededFaults = n.sim.seeded
	n.lease, n.attaching, n.deliveredChanges = 0, false, 0
	n.members = make(map[string]membership.Member)
	n.attach()
	n.every(n.sim.tickEvery, n.tick)
	n.every(modelConfig(nil).KeepAliveInterval, n.keepAlive)
	n.every(5*time.Second, n.readInstanceList)
	n.watch()
}

func modelConfig(units []string) Config {
	cfg := DefaultConfig(units)
	cfg.MoveDelay = 5 * time.Second
	return cfg
}

// runAfter runs f on this incarnation after d, or at the end of a freeze if that is later.
func (n *node) runAfter(d time.Duration, f func()) {
	starts := n.starts
	n.sim.after(d, func() { n.run(starts, f) })
}

func (n *node) run(starts int, f func()) {
	if !n.up || n.starts != starts {
		return
	}
	if n.sim.now < n.frozenUntil {
		n.sim.after(n.frozenUntil-n.sim.now, func() { n.run(starts, f) })
		return
	}
	f()
	n.sim.checkSingleHolder(n)
}

func (n *node) every(period time.Duration, f func()) {
	n.runAfter(period+time.Duration(n.sim.rng.Int64N(int64(period/10))), func() {
		f()
		n.every(period, f)
	})
}

// call sends op to the store. The function that op returns handles the reply on the
// node. failed runs instead if the call was rejected without effect (indeterminate is
// false) or timed out (indeterminate is true).
func (n *node) call(name, unit string, op func() func(), failed func(indeterminate bool)) {
	sim, done := n.sim, false
	writeDelay := n.takeNextWriteDelay(unit)
	finish := func(d time.Duration, f func()) {
		n.runAfter(d, func() {
			if !done {
				done = true
				f()
				sim.reportStep(name+"/replied", n)
			}
		})
	}
	sim.reportStep(name+"/sent", n)
	finish(callTimeout, func() { failed(true) })
	n.runAfter(0, func() {
		if n.cutOff || sim.rng.Float64() < sim.loss {
			return
		}
		sim.after(sim.delay()+writeDelay, func() {
			if sim.store.down {
				if sim.rng.IntN(2) == 0 {
					finish(sim.delay(), func() { failed(false) })
				}
				return
			}
			sim.store.expire(sim.now)
			reply := op()
			sim.reportStep(name+"/executed", n)
			if sim.rng.Float64() >= sim.loss && !n.cutOff {
				finish(sim.delay()+n.replyDelay, reply)
			}
		})
	})
}

func (n *node) takeNextWriteDelay(unit string) (d time.Duration) {
	if unit != "" && (n.nextWriteUnit == "" || n.nextWriteUnit == unit) {
		d, n.nextWriteDelay = n.nextWriteDelay, 0
	}
	return d
}

func (n *node) attach() {
	if n.attaching {
		return
	}
	n.attaching = true
	sentAt, expectedRevision := n.clock(), n.memberRevision
	n.call("attach", "", func() func() {
		s := &n.sim.store
		lease := int64(len(s.log)+1)*1000 + n.sim.rng.Int64N(1000)
		s.leases[lease] = 0
		s.renew(n.sim.now, lease, modelConfig(nil).LeaseTTL)
		ok := s.putMember(n.self, lease, expectedRevision)
		revision := s.members[n.self.Instance].revision
		return func() {
			n.attaching, n.memberRevision = false, revision
			if ok {
				n.lease = lease
				n.table.LeaseAttached(n.clock(), sentAt, revision)
			}
		}
	}, func(bool) { n.attaching = false })
}

func (n *node) keepAlive() {
	if n.lease == 0 {
		n.attach()
		return
	}
	sentAt, lease := n.clock(), n.lease
	n.call("keepalive", "", func() func() {
		s := &n.sim.store
		alive, revision, memberRevision := s.renew(n.sim.now, lease, modelConfig(nil).LeaseTTL), s.revision, s.members[n.self.Instance].revision
		return func() {
			if !alive {
				n.lease, n.memberRevision = 0, memberRevision
				n.table.LeaseLost(n.clock())
				n.attach()
				return
			}
			n.table.KeepAliveDone(n.clock(), sentAt, nil)
			n.table.ReadDone(n.clock(), sentAt, revision)
		}
	}, func(bool) { n.table.KeepAliveDone(n.clock(), sentAt, errors.New("no reply")) })
}

// watch delivers the changes of the store in order, and each batch after a delay.
func (n *node) watch() {
	lag := n.sim.tickEvery/4 + time.Duration(n.sim.rng.Int64N(int64(n.sim.tickEvery)))/2
	starts := n.starts
	n.sim.after(lag, func() {
		if !n.up || n.starts != starts {
			return
		}
		if n.sim.store.down || n.cutOff {
			n.watch()
			return
		}
		n.sim.store.expire(n.sim.now)
		batch, revision := n.sim.store.log[n.deliveredChanges:], n.sim.store.revision
		n.runAfter(n.watchLag+time.Millisecond, func() {
			n.deliver(batch, revision)
			n.watch()
		})
	})
}

func (n *node) deliver(batch []change, revision int64) {
	if len(batch) == 0 {
		n.table.ObserveThrough(n.clock(), revision)
		return
	}
	n.deliveredChanges += len(batch)
	for _, c := range batch {
		switch {
		case c.record != nil:
			n.table.ObserveRecord(n.clock(), *c.record)
		case c.member != nil:
			n.members[c.instance] = *c.member
		default:
			delete(n.members, c.instance)
		}
	}
	list := make([]membership.Member, 0, len(n.members))
	for _, other := range n.sim.nodes {
		if m, ok := n.members[other.self.Instance]; ok {
			list = append(list, m)
		}
	}
	n.table.ObserveMembers(n.clock(), list, true)
	n.table.ObserveThrough(n.clock(), revision)
	n.sim.reportStep("watch/delivered", n)
}

func (n *node) readInstanceList() {
	var list []membership.Member
	for _, other := range n.sim.nodes {
		if !other.removed {
			list = append(list, other.self)
		}
	}
	lag := time.Duration(n.sim.rng.Int64N(int64(5 * time.Second)))
	n.runAfter(lag, func() { n.table.ObserveMembers(n.clock(), list, false) })
}

func (n *node) tick() {
	for _, a := range n.table.Tick(n.clock()) {
		switch a := a.(type) {
		case Write:
			n.sim.reportStep(string(a.Reason)+"/decided", n)
			n.runAfter(0, func() { n.write(a) })
		case RequestPromises:
			for _, s := range a.Successors {
				sentAt := n.clock()
				n.sim.reportStep("promise/sent", n)
				n.runAfter(0, func() { n.requestPromise(a, s, sentAt) })
			}
		case Gained:
			n.sim.reportStep("gained", n)
		case Lost:
			n.sim.reportStep("lost", n)
		}
	}
}

func (n *node) write(a Write) {
	n.call(string(a.Reason), a.Record.Unit, func() func() {
		result := n.sim.store.commit(a)
		return func() { n.table.WriteDone(n.clock(), a.Record.Unit, result) }
	}, func(indeterminate bool) {
		outcome := NoEffect
		if indeterminate {
			outcome = Unclear
		}
		n.table.WriteDone(n.clock(), a.Record.Unit, WriteResult{Outcome: outcome})
	})
}

// requestPromise sends one request to the instance of a successor. The incarnation
// that runs there answers it.
func (n *node) requestPromise(a RequestPromises, s Successor, sentAt time.Time) {
	sim := n.sim
	for _, m := range sim.nodes {
		if m.self.Instance != s.Instance || sim.rng.Float64() < sim.loss || sim.areDisconnected(n, m) {
			continue
		}
		sim.after(sim.delay(), func() {
			m.runAfter(0, func() {
				granted := m.table.PromiseRequested(m.clock(), a.Unit, a.Owner, a.Epoch, s.Incarnation)
				sim.reportStep("promise/granted", m)
				from := Successor{Instance: m.self.Instance, Incarnation: m.self.Incarnation}
				if sim.rng.Float64() < sim.loss || sim.areDisconnected(n, m) {
					return
				}
				n.runAfter(sim.delay()+n.replyDelay, func() {
					n.table.PromiseReplied(n.clock(), sentAt, a.Unit, from, granted)
					sim.reportStep("promise/replied", n)
				})
			})
		})
	}
}

// areDisconnected reports whether the two nodes cannot reach each other. If the whole
// region of a node is cut off from the store, it is cut off from the other region too.
func (sim *simulation) areDisconnected(a, b *node) bool {
	return a.isolated || b.isolated || a.self.Region != b.self.Region && (a.isRegionCut() || b.isRegionCut())
}

// isRegionCut reports whether every node in the region of n is cut off from the store.
func (n *node) isRegionCut() bool {
	for _, other := range n.sim.nodes {
		if other.self.Region == n.self.Region && !other.cutOff {
			return false
		}
	}
	return true
}
