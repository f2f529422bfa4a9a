package ownership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// simulation is a discrete-event simulation of several tables and one minimal store. Every
// node has its own clock, and every message has its own delay.
type simulation struct {
	now       time.Duration // true time
	events    eventHeap
	sequence  int
	rng       *rand.Rand
	store     modelStore
	nodes     []*node
	units     []string
	seeded    seededFaults
	tickEvery time.Duration
	lateness  float64 // fraction of messages that are delayed by up to 20 s
	loss      float64 // fraction of messages that are lost
	onStep    func(step string, n *node)
	violation string
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.sequence, run: run})
}

// runUntil executes events up to the given true time or the first violation.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end && sim.violation == "" {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

func (sim *simulation) reportStep(name string, n *node) {
	if sim.onStep != nil {
		sim.onStep(name, n)
	}
}

// delay returns the random transit time of a message.
func (sim *simulation) delay() time.Duration {
	if sim.rng.Float64() < sim.lateness {
		return time.Duration(sim.rng.Int64N(int64(20 * time.Second)))
	}
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(sim.tickEvery)))/8
}

// checkSingleHolder records a violation if n and another node hold the same unit at the
// same true time. An overlap can begin only in a call on the table that gains the unit, so
// a check after every call is sufficient.
func (sim *simulation) checkSingleHolder(n *node) {
	for _, unit := range sim.units {
		epoch, ok := n.table.Holds(n.clock(), unit)
		if !ok {
			continue
		}
		for _, other := range sim.nodes {
			if other == n || !other.up {
				continue
			}
			if otherEpoch, held := other.table.Holds(other.clock(), unit); held && sim.violation == "" {
				sim.violation = fmt.Sprintf("at %v %s is held by %s (epoch %d) and %s (epoch %d)",
					sim.now, unit, n.self.Incarnation, epoch, other.self.Incarnation, otherEpoch)
			}
		}
	}
}

// unheldUnits lists the units that no live table holds.
func (sim *simulation) unheldUnits() (units []string) {
	for _, unit := range sim.units {
		held := false
		for _, n := range sim.nodes {
			if n.up {
				_, ok := n.table.Holds(n.clock(), unit)
				held = held || ok
			}
		}
		if !held {
			units = append(units, unit)
		}
	}
	return units
}

// modelStore is a minimal store that executes each call when it arrives.
type modelStore struct {
	down     bool
	rate     float64 // of the store's clock
	revision int64
	records  map[string]Record
	members  map[string]memberKey
	leases   map[int64]time.Duration // end of the lease on the store's clock
	log      []change
}

type memberKey struct {
	member   membership.Member
	lease    int64
	revision int64
}

type change struct {
	record   *Record
	instance string
	member   *membership.Member // nil with an instance: the key was deleted
}

func (s *modelStore) expire(now time.Duration) {
	hasEnded := func(end time.Duration) bool { return float64(now)*s.rate >= float64(end) }
	due := false
	for _, end := range s.leases {
		due = due || hasEnded(end)
	}
	if !due {
		return
	}
	for _, instance := range slices.Sorted(maps.Keys(s.members)) {
		key := s.members[instance]
		if hasEnded(s.leases[key.lease]) {
			s.revision++
			delete(s.members, instance)
			s.log = append(s.log, change{instance: instance})
		}
	}
	for lease, end := range s.leases {
		if hasEnded(end) {
			delete(s.leases, lease)
		}
	}
}

func (s *modelStore) renew(now time.Duration, lease int64, ttl time.Duration) bool {
	if _, ok := s.leases[lease]; !ok {
		return false
	}
	s.leases[lease] = time.Duration(float64(now)*s.rate) + ttl
	return true
}

func (s *modelStore) putMember(m membership.Member, lease, expectedRevision int64) bool {
	if s.members[m.Instance].revision != expectedRevision {
		return false
	}
	s.revision++
	s.members[m.Instance] = memberKey{member: m, lease: lease, revision: s.revision}
	s.log = append(s.log, change{instance: m.Instance, member: &m})
	return true
}

func (s *modelStore) commit(a Write) WriteResult {
	current := s.records[a.Record.Unit]
	conflict := current.Revision != a.ExpectedRevision
	for _, instance := range a.AbsentMembers {
		_, present := s.members[instance]
		conflict = conflict || present
	}
	if conflict {
		return WriteResult{Outcome: Conflict, Current: &current}
	}
	s.revision++
	r := a.Record
	r.Revision = s.revision
	s.records[r.Unit] = r
	s.log = append(s.log, change{record: &r})
	return WriteResult{Outcome: Succeeded, Revision: s.revision}
}
