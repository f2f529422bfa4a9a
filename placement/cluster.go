package placement

import (
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Node describes a worker to the cluster.
type Node struct {
	Name          string
	Rack          string
	FailureDomain string
	Region        string
	Partition     string
	Capacity      task.Resources
	Schedulable   bool // false while the worker drains, is quarantined, or has not reported
}

// node is a Node with its resource accounting.
type node struct {
	Node
	free             task.Resources // negative where Assume over-committed the node
	reservationCount int            // number of reservations
	removed          bool           // out of service; deleted with its last reservation
	penalty          uint8
	rack             *rack
	domain           *group
	indexed          indexEntry
	freeCounted      task.Resources // part of Cluster.free
}

// group is the set of nodes in one partition, region or failure domain.
type group struct {
	number  int
	members bitmap
}

type rackKey struct{ region, domain, rack string }

// rack is the set of nodes in one rack, kept as a few words because the slots of its nodes are
// mostly adjacent.
type rack struct {
	domain  int // number of its failure domain
	members []candidate
}

// reservation is the capacity that one attempt holds on a node.
type reservation struct {
	slot   int32
	size   task.Resources
	spread *spreadLocation // nil unless SetSpread was called
}

// Cluster tracks capacity and reservations of the workers of one owner. It is not safe for
// concurrent use.
type Cluster struct {
	nodes        []node
	byName       map[string]int32
	vacantSlots  []int32
	reservations map[task.Attempt]reservation
	partitions   map[string]*group
	regions      map[string]*group
	domains      map[string]*group
	domainList   []*group // failure domains by number
	racks        map[rackKey]*rack
	spreads      map[string]*spread
	capacities   map[task.Resources]int // number of nodes by capacity
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
		slot = c.newSlot(n.Name)
	}
	current := &c.nodes[slot]
	if known && !current.removed && current.Node == n {
		return
	}
	used := current.Capacity.Sub(current.free)
	if known && !current.removed {
		c.leaveGroups(slot)
	}
	current.Node, current.removed = n, false
	current.free = n.Capacity.Sub(used)
	c.joinGroups(slot)
	c.updateIndex(slot)
}

// Remove takes a node out of service. Its reservations are kept until they are released, so that
// the capacity in use on a worker that comes back is not allocated twice.
func (c *Cluster) Remove(name string) {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed {
		return
	}
	c.leaveGroups(slot)
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

// EverFits reports whether size fits on some node that has no reservations.
func (c *Cluster) EverFits(size task.Resources) bool {
	for capacity := range c.capacities {
		if size.Fits(capacity) {
			return true
		}
	}
	return false
}

// Free returns the free capacity of all eligible nodes.
func (c *Cluster) Free() task.Resources { return c.free }

// Capacity returns the capacity of all schedulable nodes.
func (c *Cluster) Capacity() task.Resources { return c.capacity }

// FreeOn returns the free capacity of one node; amounts are negative where the node is
// over-committed.
func (c *Cluster) FreeOn(name string) (free task.Resources, known bool) {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed {
		return task.Resources{}, false
	}
	return c.nodes[slot].free, true
}

func (c *Cluster) newSlot(name string) int32 {
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

// growWords is the number of words by which bitmaps grow, one cache line. With doubling, each
// search would scan up to twice the words it needs, and bitmaps whose size is a power of 2 would
// compete for the same cache lines.
const growWords = 8

func (c *Cluster) grow(words int) {
	c.index.grow(words)
	c.search.grow(words)
	for _, groups := range []map[string]*group{c.partitions, c.regions, c.domains} {
		for _, g := range groups {
			g.members = g.members.grown(words)
		}
	}
}

func (c *Cluster) joinGroups(slot int32) {
	n := &c.nodes[slot]
	c.groupOf(c.partitions, n.Partition).members.set(slot)
	c.groupOf(c.regions, n.Region).members.set(slot)
	n.domain = c.domainOf(n.FailureDomain)
	n.domain.members.set(slot)
	n.rack = c.rackOf(n)
	n.rack.add(slot)
	c.capacities[n.Capacity]++
	if n.Schedulable {
		c.capacity = c.capacity.Add(n.Capacity)
	}
}

func (c *Cluster) leaveGroups(slot int32) {
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

func (c *Cluster) groupOf(groups map[string]*group, name string) *group {
	g, known := groups[name]
	if !known {
		g = &group{number: len(groups), members: make(bitmap, c.index.words)}
		groups[name] = g
	}
	return g
}

func (c *Cluster) domainOf(name string) *group {
	g := c.groupOf(c.domains, name)
	if g.number == len(c.domainList) {
		c.domainList = append(c.domainList, g)
	}
	return g
}

func (c *Cluster) rackOf(n *node) *rack {
	key := rackKey{n.Region, n.FailureDomain, n.Rack}
	r, known := c.racks[key]
	if !known {
		r = &rack{domain: n.domain.number}
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
	r.members = append(r.members, candidate{bit, word})
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
	*n = node{indexed: n.indexed, freeCounted: n.freeCounted}
	c.updateIndex(slot)
	c.vacantSlots = append(c.vacantSlots, slot)
}

// updateIndex updates the index and the free total after a change to a node.
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
	c.free = c.free.Add(counted.Sub(n.freeCounted))
	n.freeCounted = counted
}
