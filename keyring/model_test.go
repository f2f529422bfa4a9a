package keyring

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// world runs four processes with drifting clocks against one store that holds
// one key. Messages are executed at their true time of arrival.
type world struct {
	rng     *rand.Rand
	faults  faults
	now     time.Duration // true time
	queue   []message
	nodes   []*node
	down    bool // the store
	log     []entry
	ackedAt time.Duration // of the withdrawal; 0 before
	covered map[string]int
}

type message struct {
	at  time.Duration
	run func()
}

// entry is a change in the store: the key withdrawn, or a member that joined.
// Its revision is its position in the log, from 1.
type entry struct {
	withdrawn bool
	member    Peer
}

type node struct {
	w           *world
	peer        Peer
	starts      int
	startedAt   time.Duration
	rate        float64
	ring        *Ring
	fresh       *Freshness
	members     map[string]Peer
	applied     int
	frozenUntil time.Duration
	cutOff      bool // from the store
	isolated    bool // from the other processes
	lag         time.Duration
	contactAt   time.Duration // last reply of the store
}

const modelTeam = "a"

var modelSecret = DigestOf("secret")

func newWorld(seed uint64, seeded faults) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), faults: seeded, covered: map[string]int{}}
	for i := range 4 {
		n := &node{w: w, rate: []float64{0.99, 1.01}[w.rng.IntN(2)]}
		n.peer.Instance = fmt.Sprintf("n%d", i)
		w.nodes = append(w.nodes, n)
		if i < 3 || w.rng.IntN(2) == 0 {
			n.start()
		} else {
			w.after(time.Duration(w.rng.Int64N(int64(60*time.Second))), n.start)
		}
	}
	return w
}

func (n *node) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(n.w.now) * n.rate))
}

func (n *node) start() {
	n.starts++
	n.peer.Incarnation = fmt.Sprintf("%s.%d", n.peer.Instance, n.starts)
	n.ring, n.fresh = NewRing(), NewFreshness(DefaultConfig(), n.clock())
	n.fresh.faults = n.w.faults
	n.ring.Apply(Key{ID: "k", Team: modelTeam, Digest: modelSecret, Revision: 0})
	n.members, n.applied, n.startedAt = map[string]Peer{}, 0, n.w.now
	n.callStore(func() func() {
		n.w.log = append(n.w.log, entry{member: n.peer})
		return func() {}
	})
}

func (w *world) after(d time.Duration, run func()) {
	w.queue = append(w.queue, message{at: w.now + d, run: run})
}

func (w *world) delay() time.Duration {
	if w.rng.IntN(20) == 0 {
		return time.Duration(w.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(1+w.rng.Int64N(30)) * time.Millisecond
}

// runUntil executes messages in the order of their arrival.
func (w *world) runUntil(end time.Duration) {
	for {
		next := -1
		for i, m := range w.queue {
			if m.at <= end && (next < 0 || m.at < w.queue[next].at) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		m := w.queue[next]
		w.queue = append(w.queue[:next], w.queue[next+1:]...)
		w.now = m.at
		m.run()
	}
}

// later runs f on this incarnation after any freeze.
func (n *node) later(d time.Duration, f func()) {
	starts := n.starts
	var run func()
	run = func() {
		switch {
		case n.starts != starts:
		case n.w.now < n.frozenUntil:
			n.w.after(n.frozenUntil-n.w.now, run)
		default:
			f()
		}
	}
	n.w.after(d, run)
}

// callStore executes op at the store and its result on the node.
func (n *node) callStore(op func() func()) {
	n.w.after(n.w.delay(), func() {
		if n.w.down || n.cutOff {
			return
		}
		reply := op()
		n.later(n.w.delay(), func() {
			n.contactAt = n.w.now
			reply()
		})
	})
}

func (n *node) read() {
	sentAt := n.clock()
	n.callStore(func() func() {
		revision := int64(len(n.w.log))
		return func() { n.fresh.Confirmed(n.clock(), sentAt, revision) }
	})
}

func (n *node) watch() {
	if n.w.down || n.cutOff {
		return
	}
	seen := n.w.log
	n.later(n.lag+n.w.delay(), func() {
		for ; n.applied < len(seen); n.applied++ {
			if e := seen[n.applied]; e.withdrawn {
				n.ring.Remove(modelTeam, "k", int64(n.applied+1))
			} else {
				n.members[e.member.Instance] = e.member
			}
		}
		n.fresh.ApplyThrough(int64(n.applied))
	})
}

// ask runs question on whatever incarnation of m is up and answer on n.
func (n *node) ask(m *node, question func() func()) {
	if n.isolated || m.isolated || m.starts == 0 {
		return
	}
	n.w.after(n.w.delay(), func() {
		m.later(0, func() {
			answer := question()
			if !n.isolated && !m.isolated {
				n.later(n.w.delay(), answer)
			}
		})
	})
}

func (n *node) askPeer(m *node) {
	sentAt := n.clock()
	n.ask(m, func() func() {
		remaining, revision := m.fresh.Remaining(m.clock()), m.fresh.Applied()
		return func() { n.fresh.PeerConfirmed(n.clock(), sentAt, remaining, revision) }
	})
}

func (n *node) hasContact() bool { return n.w.now-n.contactAt < 1500*time.Millisecond }

// outageRound asks all known members and reads the instance list, which shows
// instances up to the list lag late.
func (n *node) outageRound() {
	var members []Peer
	for _, other := range n.w.nodes {
		if m, ok := n.members[other.peer.Instance]; ok {
			members = append(members, m)
		}
	}
	sentAt := n.clock()
	round := NewOutageRound(sentAt, n.peer, members)
	for _, m := range n.w.nodes {
		if _, known := n.members[m.peer.Instance]; m == n || !known {
			continue
		}
		n.ask(m, func() func() {
			reply := OutageReply{From: m.peer, Promised: m.fresh.PromiseNoCommit(m.clock(), m.hasContact()), Revision: m.fresh.Known()}
			return func() {
				round.Reply(reply)
				n.complete(round)
			}
		})
	}
	lag := time.Duration(n.w.rng.Int64N(int64(DefaultConfig().ListLag)))
	var listed []string
	for _, m := range n.w.nodes {
		if m.starts > 0 && (m.starts > 1 || m.startedAt+lag <= n.w.now) {
			listed = append(listed, m.peer.Instance)
		}
	}
	n.later(n.w.delay(), func() {
		round.Listed(sentAt, listed)
		n.complete(round)
	})
}

func (n *node) complete(round *OutageRound) {
	before := n.fresh.Until()
	n.fresh.OutageConfirmed(n.clock(), round)
	if n.fresh.Until().After(before) {
		n.w.covered["outage confirmed"]++
	}
}

// withdraw commits the withdrawal of the key through n.
func (n *node) withdraw() {
	if !n.hasContact() || !n.fresh.BeginCommit(n.clock()) {
		return
	}
	n.callStore(func() func() {
		n.w.log = append(n.w.log, entry{withdrawn: true})
		revision := int64(len(n.w.log))
		return func() {
			n.fresh.EndCommit(revision)
			n.ring.Remove(modelTeam, "k", revision)
			if n.w.ackedAt == 0 {
				n.w.ackedAt = n.w.now
				n.w.covered["acknowledged"]++
			}
		}
	})
}

func (w *world) disturb() {
	n := w.nodes[w.rng.IntN(4)]
	d := time.Duration(w.rng.Int64N(int64(15 * time.Second)))
	switch kind := []string{"freeze", "cut", "isolate", "lag", "outage", "outage", "restart"}[w.rng.IntN(7)]; kind {
	case "freeze":
		n.frozenUntil = w.now + d
	case "cut":
		n.cutOff = true
		w.after(d, func() { n.cutOff = false })
	case "isolate":
		n.isolated = true
		w.after(d, func() { n.isolated = false })
	case "lag":
		n.lag = d
		w.after(d, func() { n.lag = 0 })
	case "outage":
		w.down = true
		w.after(2*d, func() { w.down = false })
	case "restart":
		if n.starts > 0 {
			n.start()
		}
	}
}

// run plays one scenario and returns a violation: an admission later than the
// freshness bound after the withdrawal was acknowledged.
func (w *world) run() string {
	withdrawAt := time.Duration(12+w.rng.IntN(50)) * time.Second
	for w.now < 90*time.Second {
		w.runUntil(w.now + time.Duration(50+w.rng.Int64N(100))*time.Millisecond)
		if w.rng.IntN(25) == 0 {
			w.disturb()
		}
		for _, n := range w.nodes {
			if n.starts == 0 || w.now < n.frozenUntil {
				continue
			}
			if problem := n.check(); problem != "" {
				return problem
			}
			n.act(withdrawAt)
		}
	}
	return ""
}

func (n *node) act(withdrawAt time.Duration) {
	switch n.w.rng.IntN(8) {
	case 0:
		n.read()
	case 1, 2:
		n.watch()
	case 3:
		n.askPeer(n.w.nodes[n.w.rng.IntN(4)])
	case 4:
		if !n.hasContact() {
			n.outageRound()
		}
	case 5:
		if n.w.now >= withdrawAt && n.w.ackedAt == 0 {
			n.withdraw()
		}
	}
}

func (n *node) check() string {
	w := n.w
	_, err := n.ring.Snapshot(n.fresh.Until()).Admit(n.clock(), modelTeam, modelSecret)
	if err == nil {
		w.covered["admitted"]++
		if w.ackedAt > 0 && w.now > w.ackedAt+DefaultConfig().Freshness {
			return fmt.Sprintf("%s admits the key at %v, acknowledged as withdrawn at %v", n.peer.Incarnation, w.now, w.ackedAt)
		}
		return ""
	}
	w.covered[string(err.Kind)]++
	return ""
}

func modelRuns(normal int) int {
	if n, err := strconv.Atoi(os.Getenv("MULBERRYDRUM_MODEL_RUNS")); err == nil {
		return n
	}
	return normal
}

// TestWithdrawalTakesEffectInTime guards against a withdrawn key that some
// process still accepts after the bound.
func TestWithdrawalTakesEffectInTime(t *testing.T) {
	covered := map[string]int{}
	for seed := range modelRuns(400) {
		w := newWorld(uint64(seed), faults{})
		if problem := w.run(); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		for name, n := range w.covered {
			covered[name] += n
		}
	}
	t.Logf("covered: %v", covered)
	for _, name := range []string{"admitted", "acknowledged", "outage confirmed", "key_stale", "key_withdrawn"} {
		if covered[name] == 0 {
			t.Errorf("the model never reached: %s", name)
		}
	}
}
