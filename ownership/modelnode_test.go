package ownership

import (
	"errors"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// callTimeout is the timeout of a store call, which may still take effect afterwards.
const callTimeout = 2 * time.Second

// node simulates one instance: a table, its clock and the work of the control loop.
type node struct {
	w              *world
	index          int
	self           membership.Member
	table          *Table
	starts         int
	up             bool
	removed        bool // permanently, also from the instance list
	frozenUntil    time.Duration
	cutOff         bool // from the store
	isolated       bool // from the other nodes
	rate           float64
	clockOffset    time.Duration
	replyDelay     time.Duration // added to every reply that the node receives
	nextWriteDelay time.Duration // delay of the next write of nextWriteUnit on its way to the store
	nextWriteUnit  string        // empty for any

	lease            int64
	memberRevision   int64 // last known revision of the member key
	attaching        bool
	deliveredChanges int // position in the store's log
	watchLag         time.Duration
	members          map[string]membership.Member
}

func (n *node) clock() time.Time {
	return time.Unix(0, 0).Add(n.clockOffset + time.Duration(float64(n.w.now)*n.rate))
}

// start begins a new incarnation with an empty state.
func (n *node) start() {
	n.starts++
	n.up = true
	n.self.Incarnation = fmt.Sprintf("%s.%d", n.self.Instance, n.starts)
	n.table = New(modelConfig(n.w.units), n.self, n.clock())
	n.table.seededFaults = n.w.faults
	n.lease, n.attaching, n.deliveredChanges = 0, false, 0
	n.members = make(map[string]membership.Member)
	n.attach()
	n.every(n.w.tickEvery, n.tick)
	n.every(modelConfig(nil).KeepAliveInterval, n.keepAlive)
	n.every(5*time.Second, n.readInstanceList)
	n.watch()
}

func modelConfig(units []string) Config {
	cfg := DefaultConfig(units)
	cfg.MoveDelay = 5 * time.Second
	return cfg
}

// later runs f on this incarnation after d, or when a freeze has ended.
func (n *node) runAfter(d time.Duration, f func()) {
	starts := n.starts
	n.w.after(d, func() { n.run(starts, f) })
}

func (n *node) run(starts int, f func()) {
	if !n.up || n.starts != starts {
		return
	}
	if n.w.now < n.frozenUntil {
		n.w.after(n.frozenUntil-n.w.now, func() { n.run(starts, f) })
		return
	}
	f()
	n.w.checkSingleHolder(n)
}

func (n *node) every(period time.Duration, f func()) {
	n.runAfter(period+time.Duration(n.w.rng.Int64N(int64(period/10))), func() {
		f()
		n.every(period, f)
	})
}

// call sends op to the store. The function that op returns handles the reply on the
// node. failed runs instead if the call was rejected without effect (indeterminate is
// false) or timed out (indeterminate is true).
func (n *node) call(name, unit string, op func() func(), failed func(indeterminate bool)) {
	w, done := n.w, false
	extra := n.takeNextWriteDelay(unit)
	finish := func(d time.Duration, f func()) {
		n.runAfter(d, func() {
			if !done {
				done = true
				f()
				w.reportStep(name+"/replied", n)
			}
		})
	}
	w.reportStep(name+"/sent", n)
	finish(callTimeout, func() { failed(true) })
	n.runAfter(0, func() {
		if n.cutOff || w.rng.Float64() < w.loss {
			return
		}
		w.after(w.delay()+extra, func() {
			if w.store.down {
				if w.rng.IntN(2) == 0 {
					finish(w.delay(), func() { failed(false) })
				}
				return
			}
			w.store.expire(w.now)
			reply := op()
			w.reportStep(name+"/executed", n)
			if w.rng.Float64() >= w.loss && !n.cutOff {
				finish(w.delay()+n.replyDelay, reply)
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
	sentAt, expect := n.clock(), n.memberRevision
	n.call("attach", "", func() func() {
		s := &n.w.store
		lease := int64(len(s.log)+1)*1000 + n.w.rng.Int64N(1000)
		s.leases[lease] = 0
		s.renew(n.w.now, lease, modelConfig(nil).LeaseTTL)
		ok := s.putMember(n.self, lease, expect)
		revision := s.members[n.self.Instance].revision
		return func() {
			n.attaching, n.memberRevision = false, revision
			if ok {
				n.lease = lease
				n.table.Attached(n.clock(), sentAt, revision)
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
		s := &n.w.store
		alive, revision, memberRev := s.renew(n.w.now, lease, modelConfig(nil).LeaseTTL), s.revision, s.members[n.self.Instance].revision
		return func() {
			if !alive {
				n.lease, n.memberRevision = 0, memberRev
				n.table.StoreLost(n.clock())
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
	lag := n.w.tickEvery/4 + time.Duration(n.w.rng.Int64N(int64(n.w.tickEvery)))/2
	starts := n.starts
	n.w.after(lag, func() {
		if !n.up || n.starts != starts {
			return
		}
		if n.w.store.down || n.cutOff {
			n.watch()
			return
		}
		n.w.store.expire(n.w.now)
		batch, revision := n.w.store.log[n.deliveredChanges:], n.w.store.revision
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
			n.table.Observe(n.clock(), *c.record)
		case c.member != nil:
			n.members[c.instance] = *c.member
		default:
			delete(n.members, c.instance)
		}
	}
	list := make([]membership.Member, 0, len(n.members))
	for _, other := range n.w.nodes {
		if m, ok := n.members[other.self.Instance]; ok {
			list = append(list, m)
		}
	}
	n.table.ObserveMembers(n.clock(), list, true)
	n.table.ObserveThrough(n.clock(), revision)
	n.w.reportStep("watch/delivered", n)
}

func (n *node) readInstanceList() {
	var list []membership.Member
	for _, other := range n.w.nodes {
		if !other.removed {
			list = append(list, other.self)
		}
	}
	lag := time.Duration(n.w.rng.Int64N(int64(5 * time.Second)))
	n.runAfter(lag, func() { n.table.ObserveMembers(n.clock(), list, false) })
}

func (n *node) tick() {
	for _, a := range n.table.Tick(n.clock()) {
		switch a := a.(type) {
		case Write:
			n.w.reportStep(string(a.Reason)+"/decided", n)
			n.runAfter(0, func() { n.write(a) })
		case AskPromise:
			for _, s := range a.Successors {
				sentAt := n.clock()
				n.w.reportStep("promise/sent", n)
				n.runAfter(0, func() { n.requestPromise(a, s, sentAt) })
			}
		case Gained:
			n.w.reportStep("gained", n)
		case Lost:
			n.w.reportStep("lost", n)
		}
	}
}

func (n *node) write(a Write) {
	n.call(string(a.Reason), a.Record.Unit, func() func() {
		result := n.w.store.commit(a)
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
func (n *node) requestPromise(a AskPromise, s Successor, sentAt time.Time) {
	w := n.w
	for _, m := range w.nodes {
		if m.self.Instance != s.Instance || w.rng.Float64() < w.loss || w.isCut(n, m) {
			continue
		}
		w.after(w.delay(), func() {
			m.runAfter(0, func() {
				granted := m.table.PromiseRequested(m.clock(), a.Unit, a.Owner, a.Epoch, s.Incarnation)
				w.reportStep("promise/granted", m)
				from := Successor{Instance: m.self.Instance, Incarnation: m.self.Incarnation}
				if w.rng.Float64() < w.loss || w.isCut(n, m) {
					return
				}
				n.runAfter(w.delay()+n.replyDelay, func() {
					n.table.PromiseReplied(n.clock(), sentAt, a.Unit, from, granted)
					w.reportStep("promise/replied", n)
				})
			})
		})
	}
}

// isCut reports whether the two nodes cannot reach each other. Nodes that are
// cut off from the store by a region cut are cut off from the other region too.
func (w *world) isCut(a, b *node) bool {
	return a.isolated || b.isolated || a.self.Region != b.self.Region && (a.regionCut() || b.regionCut())
}

// regionCut reports whether the whole region of the node is cut off.
func (n *node) regionCut() bool {
	for _, other := range n.w.nodes {
		if other.self.Region == n.self.Region && !other.cutOff {
			return false
		}
	}
	return true
}
