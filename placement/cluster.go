package placement

import (
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Node is the identity, topology and capacity of a worker.
type Node struct {
	Name          string
	Rack          string
	FailureDomain string
	Region        string
	Partition     string
	Capacity      task.Resources
	Schedulable   bool // false while the worker is draining or quarantined or has not reported
}

// node is a Node with its resource accounting.
type node struct {
	Node
	free             task.Resources // negative where ForceReserve over-committed the node
	reservationCount int
	removed          bool // set by Remove; the node is deleted once it has no reservations
	penalty          uint8
	rack             *rack
	domain           *group
	indexed          indexEntry     // the node's current entry in Cluster.index
	countedFree      task.Resources // amount of this node that is included in Cluster.free
}

// group is the set of nodes in one partition, region or failure domain.
type group struct {
	index   int // creation order among the groups of the same kind
	members bitmap
}

type rackKey struct{ region, domain, rack string }

// rack is the set of nodes in one rack. It is a sparse bitmap, because the slots of its nodes are
// mostly adjacent and so occupy few words.
type rack struct {
	domainIndex int // index of its failure domain in Cluster.domainList
	members     []sparseWord
}

// reservation is the capacity that is reserved on a node for one attempt.
type reservation struct {
	slot   int32 // of the node
	size   task.Resources
	spread *spreadLocation // nil unless SetSpread was called
}

// Cluster tracks capacity and reservations of the workers of one owner. It is not safe for
// concurrent use.
type Cluster struct {
	nodes        []node           // by slot; a slot is the number of a node, reused after its deletion
	byName       map[string]int32 // slots by node name
	vacantSlots  []int32
	reservations map[task.Attempt]reservation
	partitions   map[string]*group
	regions      map[string]*group
	domains      map[string]*group
	domainList   []*group // failure domains by group.index
	racks        map[rackKey]*rack
	spreads      map[string]*spread
	capacities   map[task.Resources]int // number of nodes that are not removed, by capacity
	capacity     task.Resources         // total of the schedulable nodes
	free         task.Resources         // total of the eligible nodes
	index        index
	search       search
}

// NewCluster returns a cluster without nodes.
func NewCluster() *Cluster {
	return &Cluster{
		byName:       map[string]int32{},
		reservations: map[task.Attempt]reservation{},
		partitions:   map[string]*group{},
		regions:      map[string]*group{},
		domains:      map[string]*group{},
		racks:        map[rackKey]*rack{},
		spreads:      map[string]*spread{},
		capacities:   map[task.Resources]int{},
	}
}

// Upsert adds a node or updates its description. Reservations on the node are kept.
func (c *Cluster) Upsert(n Node) {
	slot, known := c.byName[n.Name]
	if !known {
		slot = c.allocateSlot(n.Name)
	}
	current := &c.nodes[slot]
	if known && !current.removed && current.Node == n {
		return
	}
	used := current.Capacity.Sub(current.free)
	if known && !current.removed {
		c.removeFromGroups(slot)
	}
	current.Node, current.removed = n, false
	current.free = n.Capacity.Sub(used)
	c.addToGroups(slot)
	c.updateIndex(slot)
}

// Remove removes a node from service. Its reservations are kept until they are released, so that
// capacity in use is not allocated twice if the worker is added again.
func (c *Cluster) Remove(name string) {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed {
		return
	}
	c.removeFromGroups(slot)
	c.nodes[slot].removed = true
	c.updateIndex(slot)
	c.deleteIfUnused(slot)
}

// SetPenalty sets the penalty of a node, from 0 to MaxPenalty. A node is selected only if no node
// with a lower penalty fits.
func (c *Cluster) SetPenalty(name string, penalty int) {
	slot, known := c.byName[name]
	if !known {
		return
	}
	c.nodes[slot].penalty = uint8(min(max(penalty, 0), MaxPenalty))
	c.updateIndex(slot)
}

// FitsOnEmptyNode reports whether size fits into the total capacity of some node, regardless of
// reservations.
func (c *Cluster) FitsOnEmptyNode(size task.Resources) bool {
	for capacity := range c.capacities {
		if size.Fits(capacity) {
			return true
		}
	}
	return false
}

// Free returns the total free capacity of the nodes that are schedulable and not over-committed.
func (c *Cluster) Free() task.Resources { return c.free }

// Capacity returns the total capacity of the schedulable nodes.
func (c *Cluster) Capacity() task.Resources { return c.capacity }

// FreeOn returns the free capacity of one node. The amount of an over-committed resource is
// negative.
func (c *Cluster) FreeOn(name string) (free task.Resources, known bool) {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed {
		return task.Resources{}, false
	}
	return c.nodes[slot].free, true
}

// allocateSlot assigns a slot to a new node.
func (c *Cluster) allocateSlot(name string) int32 {
	if last := len(c.vacantSlots) - 1; last >= 0 {
		slot := c.vacantSlots[last]
		c.vacantSlots = c.vacantSlots[:last]
		c.byName[name] = slot
		return slot
	}
	slot := int32(len(c.nodes))
	c.nodes = append(c.nodes, node{})
	c.byName[name] = slot
	if len(c.nodes) > c.index.words*wordBits {
		c.grow(c.index.words + growWords)
	}
	return slot
}

// growWords is the number of words by which bitmaps grow: one cache line. If they doubled, each
// search would scan up to twice as many words as necessary, and bitmaps with a power-of-2 size
// would map to the same cache lines.
const growWords = 8

// grow extends all bitmaps to the given number of words.
func (c *Cluster) grow(words int) {
	c.index.grow(words)
	c.search.grow(words)
	for _, groups := range []map[string]*group{c.partitions, c.regions, c.domains} {
		for _, g := range groups {
			g.members = g.members.grown(words)
		}
	}
}

// addToGroups adds a node to its groups, its rack and the capacity totals.
func (c *Cluster) addToGroups(slot int32) {
	n := &c.nodes[slot]
	c.getOrCreateGroup(c.partitions, n.Partition).members.set(slot)
	c.getOrCreateGroup(c.regions, n.Region).members.set(slot)
	n.domain = c.getOrCreateDomain(n.FailureDomain)
	n.domain.members.set(slot)
	n.rack = c.getOrCreateRack(n)
	n.rack.add(slot)
	c.capacities[n.Capacity]++
	if n.Schedulable {
		c.capacity = c.capacity.Add(n.Capacity)
	}
}

func (c *Cluster) removeFromGroups(slot int32) {
	n := &c.nodes[slot]
	c.partitions[n.Partition].members.clear(slot)
	c.regions[n.Region].members.clear(slot)
	n.domain.members.clear(slot)
	n.rack.remove(slot)
	c.capacities[n.Capacity]--
	if c.capacities[n.Capacity] == 0 {
		delete(c.capacities, n.Capacity)
	}
	if n.Schedulable {
		c.capacity = c.capacity.Sub(n.Capacity)
	}
}

func (c *Cluster) getOrCreateGroup(groups map[string]*group, name string) *group {
	g, known := groups[name]
	if !known {
		g = &group{index: len(groups), members: make(bitmap, c.index.words)}
		groups[name] = g
	}
	return g
}

func (c *Cluster) getOrCreateDomain(name string) *group {
	g := c.getOrCreateGroup(c.domains, name)
	if g.index == len(c.domainList) {
		c.domainList = append(c.domainList, g)
	}
	return g
}

func (c *Cluster) getOrCreateRack(n *node) *rack {
	key := rackKey{n.Region, n.FailureDomain, n.Rack}
	r, known := c.racks[key]
	if !known {
		r = &rack{domainIndex: n.domain.index}
		c.racks[key] = r
	}
	return r
}

func (r *rack) add(slot int32) {
	word, bit := slot/wordBits, uint64(1)<<(slot%wordBits)
	for i := range r.members {
		if r.members[i].word == word {
			r.members[i].bits |= bit
			return
		}
	}
	r.members = append(r.members, sparseWord{bit, word})
}

func (r *rack) remove(slot int32) {
	for i := range r.members {
		if r.members[i].word == slot/wordBits {
			r.members[i].bits &^= 1 << (slot % wordBits)
		}
	}
}

// deleteIfUnused deletes a removed node that has no reservations and frees its slot.
func (c *Cluster) deleteIfUnused(slot int32) {
	n := &c.nodes[slot]
	if !n.removed || n.reservationCount > 0 {
		return
	}
	delete(c.byName, n.Name)
	*n = node{indexed: n.indexed, countedFree: n.countedFree}
	c.updateIndex(slot)
	c.vacantSlots = append(c.vacantSlots, slot)
}

// updateIndex updates the index and the total free capacity after a change to a node.
func (c *Cluster) updateIndex(slot int32) {
	n := &c.nodes[slot]
	var e indexEntry
	e.eligible = n.Schedulable && !n.removed && !n.free.HasNegative()
	if e.eligible {
		for r, units := range inUnits(&n.free) {
			e.levels[r] = levelOf(units)
		}
		e.score = scoreOf(&n.free)
		e.penalty = n.penalty
	}
	c.index.replace(slot, &n.indexed, &e)
	n.indexed = e
	var counted task.Resources
	if e.eligible {
		counted = n.free
	}
	c.free = c.free.Add(counted.Sub(n.countedFree))
	n.countedFree = counted
}
