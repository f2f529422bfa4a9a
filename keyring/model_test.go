package keyring

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// simulation is a discrete-event simulation of four processes with drifting clocks and one store that
// holds one key. Messages are executed in order of their true arrival time.
type simulation struct {
	rng               *rand.Rand
	seededFaults      seededFaults
	now               time.Duration // true time
	queue             []message
	nodes             []*node
	storeDown         bool
	log               []storeChange
	withdrawalAckedAt time.Duration  // when the withdrawal was acknowledged; 0 before
	coverage          map[string]int // number of occurrences of each event
}

// message is a function that runs when a message arrives.
type message struct {
	at  time.Duration
	run func()
}

// storeChange is a change in the store: the withdrawal of the key, or the registration of a member.
// Its revision is its 1-based position in the log.
type storeChange struct {
	withdrawn bool
	member    Peer
}

// node is one process with its clock and its connections.
type node struct {
	sim              *simulation
	peer             Peer
	starts           int // number of process starts
	startedAt        time.Duration
	rate             float64 // of the clock, relative to true time
	ring             *Ring
	freshness        *Freshness
	members          map[string]Peer
	applied          int           // number of changes of the log that were applied
	frozenUntil      time.Duration // the process executes nothing before this time
	storeCutOff      bool          // partitioned from the store
	peersCutOff      bool          // partitioned from the other processes
	watchLag         time.Duration // additional delay of the watch
	lastStoreReplyAt time.Duration // time of the last reply of the store
}

const modelTeam = "a"

var modelSecret = DigestOf("secret")

func newSimulation(seed uint64, seeded seededFaults) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), seededFaults: seeded, coverage: map[string]int{}}
	for i := range 4 {
		n := &node{sim: sim, rate: []float64{0.99, 1.01}[sim.rng.IntN(2)]}
		n.peer.Instance = fmt.Sprintf("n%d", i)
		sim.nodes = append(sim.nodes, n)
		if i < 3 || sim.rng.IntN(2) == 0 {
			n.start()
		} else {
			sim.after(time.Duration(sim.rng.Int64N(int64(60*time.Second))), n.start)
		}
	}
	return sim
}

func (n *node) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(n.sim.now) * n.rate))
}

func (n *node) start() {
	n.starts++
	n.peer.Incarnation = fmt.Sprintf("%s.%d", n.peer.Instance, n.starts)
	n.ring, n.freshness = NewRing(), NewFreshness(DefaultConfig(), n.clock())
	n.freshness.seededFaults = n.sim.seededFaults
	n.ring.Apply(Key{ID: "k", Team: modelTeam, Digest: modelSecret, Revision: 0})
	n.members, n.applied, n.startedAt = map[string]Peer{}, 0, n.sim.now
	n.callStore(func() func() {
		n.sim.log = append(n.sim.log, storeChange{member: n.peer})
		return func() {}
	})
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.queue = append(sim.queue, message{at: sim.now + d, run: run})
}

// delay returns the random transmission time of a message. One in 20 messages is delayed by up to 4 s.
func (sim *simulation) delay() time.Duration {
	if sim.rng.IntN(20) == 0 {
		return time.Duration(sim.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(1+sim.rng.Int64N(30)) * time.Millisecond
}

// runUntil executes the messages that arrive up to end, in order of arrival.
func (sim *simulation) runUntil(end time.Duration) {
	for {
		next := -1
		for i, m := range sim.queue {
			if m.at <= end && (next < 0 || m.at < sim.queue[next].at) {
				next = i
			}
		}
		if next < 0 {
			sim.now = end
			return
		}
		m := sim.queue[next]
		sim.queue = append(sim.queue[:next], sim.queue[next+1:]...)
		sim.now = m.at
		m.run()
	}
}

// runAfter runs f on the node after d, or at the end of a freeze if that is later, unless the node is
// restarted before.
func (n *node) runAfter(d time.Duration, f func()) {
	starts := n.starts
	var run func()
	run = func() {
		switch {
		case n.starts != starts:
		case n.sim.now < n.frozenUntil:
			n.sim.after(n.frozenUntil-n.sim.now, run)
		default:
			f()
		}
	}
	n.sim.after(d, run)
}

// callStore runs op at the store, and then on the node the function that op returned.
func (n *node) callStore(op func() func()) {
	n.sim.after(n.sim.delay(), func() {
		if n.sim.storeDown || n.storeCutOff {
			return
		}
		reply := op()
		n.runAfter(n.sim.delay(), func() {
			n.lastStoreReplyAt = n.sim.now
			reply()
		})
	})
}

// readStore sends a linearizable read to the store.
func (n *node) readStore() {
	sentAt := n.clock()
	n.callStore(func() func() {
		revision := int64(len(n.sim.log))
		return func() { n.freshness.RecordStoreRead(n.clock(), sentAt, revision) }
	})
}

// watch applies the changes that are in the store now, after the lag of the watch.
func (n *node) watch() {
	if n.sim.storeDown || n.storeCutOff {
		return
	}
	log := n.sim.log
	n.runAfter(n.watchLag+n.sim.delay(), func() {
		for ; n.applied < len(log); n.applied++ {
			if change := log[n.applied]; change.withdrawn {
				n.ring.Remove(modelTeam, "k", int64(n.applied+1))
			} else {
				n.members[change.member.Instance] = change.member
			}
		}
		n.freshness.RecordApplied(int64(n.applied))
	})
}

// request runs handler on the current incarnation of m, and then on n the function that handler
// returned.
func (n *node) request(m *node, handler func() func()) {
	if n.peersCutOff || m.peersCutOff || m.starts == 0 {
		return
	}
	n.sim.after(n.sim.delay(), func() {
		m.runAfter(0, func() {
			reply := handler()
			if !n.peersCutOff && !m.peersCutOff {
				n.runAfter(n.sim.delay(), reply)
			}
		})
	})
}

// requestFreshness requests the remaining freshness of a peer.
func (n *node) requestFreshness(m *node) {
	sentAt := n.clock()
	n.request(m, func() func() {
		remaining, revision := m.freshness.Remaining(m.clock()), m.freshness.AppliedRevision()
		return func() { n.freshness.RecordPeerReply(n.clock(), sentAt, remaining, revision) }
	})
}

func (n *node) hasStoreContact() bool { return n.sim.now-n.lastStoreReplyAt < 1500*time.Millisecond }

// startOutageRound sends requests to all known members and reads the instance list, in which a new
// instance appears with a delay of up to ListLag.
func (n *node) startOutageRound() {
	var members []Peer
	for _, other := range n.sim.nodes {
		if m, ok := n.members[other.peer.Instance]; ok {
			members = append(members, m)
		}
	}
	sentAt := n.clock()
	round := NewOutageRound(sentAt, n.peer, members)
	for _, m := range n.sim.nodes {
		if _, known := n.members[m.peer.Instance]; m == n || !known {
			continue
		}
		n.request(m, func() func() {
			reply := OutageReply{From: m.peer, Promised: m.freshness.PromiseNoCommit(m.clock(), m.hasStoreContact()), Revision: m.freshness.KnownRevision()}
			return func() {
				round.RecordReply(reply)
				n.completeRound(round)
			}
		})
	}
	lag := time.Duration(n.sim.rng.Int64N(int64(DefaultConfig().ListLag)))
	var listed []string
	for _, m := range n.sim.nodes {
		if m.starts > 0 && (m.starts > 1 || m.startedAt+lag <= n.sim.now) {
			listed = append(listed, m.peer.Instance)
		}
	}
	n.runAfter(n.sim.delay(), func() {
		round.RecordInstanceList(sentAt, listed)
		n.completeRound(round)
	})
}

// completeRound passes a round to Freshness, which ignores it if it is incomplete.
func (n *node) completeRound(round *OutageRound) {
	before := n.freshness.FreshUntil()
	n.freshness.RecordOutageRound(n.clock(), round)
	if n.freshness.FreshUntil().After(before) {
		n.sim.coverage["outage confirmed"]++
	}
}

// withdraw commits the withdrawal of the key through n.
func (n *node) withdraw() {
	if !n.hasStoreContact() || !n.freshness.BeginCommit(n.clock()) {
		return
	}
	n.callStore(func() func() {
		n.sim.log = append(n.sim.log, storeChange{withdrawn: true})
		revision := int64(len(n.sim.log))
		return func() {
			n.freshness.EndCommit(revision)
			n.ring.Remove(modelTeam, "k", revision)
			if n.sim.withdrawalAckedAt == 0 {
				n.sim.withdrawalAckedAt = n.sim.now
				n.sim.coverage["acknowledged"]++
			}
		}
	})
}

func (sim *simulation) injectFault() {
	n := sim.nodes[sim.rng.IntN(4)]
	d := time.Duration(sim.rng.Int64N(int64(15 * time.Second)))
	switch kind := []string{"freeze", "cut", "isolate", "lag", "outage", "outage", "restart"}[sim.rng.IntN(7)]; kind {
	case "freeze":
		n.frozenUntil = sim.now + d
	case "cut":
		n.storeCutOff = true
		sim.after(d, func() { n.storeCutOff = false })
	case "isolate":
		n.peersCutOff = true
		sim.after(d, func() { n.peersCutOff = false })
	case "lag":
		n.watchLag = d
		sim.after(d, func() { n.watchLag = 0 })
	case "outage":
		sim.storeDown = true
		sim.after(2*d, func() { sim.storeDown = false })
	case "restart":
		if n.starts > 0 {
			n.start()
		}
	}
}

// run executes one random scenario and describes a violation, or returns "". A violation is an
// authentication of the key later than Freshness after its withdrawal was acknowledged.
func (sim *simulation) run() string {
	withdrawAt := time.Duration(12+sim.rng.IntN(50)) * time.Second
	for sim.now < 90*time.Second {
		sim.runUntil(sim.now + time.Duration(50+sim.rng.Int64N(100))*time.Millisecond)
		if sim.rng.IntN(25) == 0 {
			sim.injectFault()
		}
		for _, n := range sim.nodes {
			if n.starts == 0 || sim.now < n.frozenUntil {
				continue
			}
			if problem := n.checkAuthentication(); problem != "" {
				return problem
			}
			n.randomAction(withdrawAt)
		}
	}
	return ""
}

func (n *node) randomAction(withdrawAt time.Duration) {
	switch n.sim.rng.IntN(8) {
	case 0:
		n.readStore()
	case 1, 2:
		n.watch()
	case 3:
		n.requestFreshness(n.sim.nodes[n.sim.rng.IntN(4)])
	case 4:
		if !n.hasStoreContact() {
			n.startOutageRound()
		}
	case 5:
		if n.sim.now >= withdrawAt && n.sim.withdrawalAckedAt == 0 {
			n.withdraw()
		}
	}
}

// checkAuthentication presents the key to the node and describes a violation, or returns "".
func (n *node) checkAuthentication() string {
	sim := n.sim
	_, err := n.ring.Snapshot(n.freshness.FreshUntil()).Authenticate(n.clock(), modelTeam, modelSecret)
	if err == nil {
		sim.coverage["accepted"]++
		if sim.withdrawalAckedAt > 0 && sim.now > sim.withdrawalAckedAt+DefaultConfig().Freshness {
			return fmt.Sprintf("%s accepted the key at %v although its withdrawal was acknowledged at %v", n.peer.Incarnation, sim.now, sim.withdrawalAckedAt)
		}
		return ""
	}
	sim.coverage[string(err.Kind)]++
	return ""
}

// modelRuns returns the number of runs. MULBERRYDRUM_MODEL_RUNS overrides it for longer tests.
func modelRuns(defaultRuns int) int {
	if n, err := strconv.Atoi(os.Getenv("MULBERRYDRUM_MODEL_RUNS")); err == nil {
		return n
	}
	return defaultRuns
}

// TestWithdrawalTakesEffectInTime guards against a process that accepts a withdrawn key later than
// Freshness after the withdrawal was acknowledged.
func TestWithdrawalTakesEffectInTime(t *testing.T) {
	coverage := map[string]int{}
	for seed := range modelRuns(400) {
		sim := newSimulation(uint64(seed), seededFaults{})
		if problem := sim.run(); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		for name, n := range sim.coverage {
			coverage[name] += n
		}
	}
	t.Logf("covered: %v", coverage)
	for _, name := range []string{"accepted", "acknowledged", "outage confirmed", "key_stale", "key_withdrawn"} {
		if coverage[name] == 0 {
			t.Errorf("no run covered %q", name)
		}
	}
}
