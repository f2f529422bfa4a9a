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
	Schedulable   bool // false while it leaves, is quarantined, or has not reported
}

// node is a Node with its account.
type node struct {
	Node
	free    task.Resources // below zero where Assume over-committed it
	held    int            // attempts held
	removed bool           // forgotten once nothing is held
	penalty uint8
	rack    *rack
	domain  *group
	indexed entry
	counted task.Resources // what the node adds to Cluster.free
}

// group is the nodes that share a partition, region or failure domain.
type group struct {
	number  int
	members bitmap
}

type rackKey struct{ region, domain, rack string }

// rack is the nodes in one rack. Nodes of a rack mostly share a word.
type rack struct {
	domain  int // number of its failure domain
	members []candidate
}

// hold is what one attempt holds on a node.
type hold struct {
	slot int32
	size task.Resources
	mark *mark // nil unless SetSpread was called
}

// Cluster is the account of the workers of one owner. It is not safe for
// concurrent use.
type Cluster struct {
	nodes      []node
	byName     map[string]int32
	vacant     []int32
	holds      map[task.Attempt]hold
	partitions map[string]*group
	regions    map[string]*group
	domains    map[string]*group
	domainList []*group // the failure domains by number
	racks      map[rackKey]*rack
	spreads    map[string]*spread
	capacities map[task.Resources]int // nodes by capacity
	capacity   task.Resources         // of the schedulable nodes
	free       task.Resources         // of the nodes that may be chosen
	index      index
	search     search
}

// NewCluster returns a cluster without nodes.
func NewCluster() *Cluster {
	return &Cluster{
		byName:     map[string]int32{},
		holds:      map[task.Attempt]hold{},
		partitions: map[string]*group{},
		regions:    map[string]*group{},
		domains:    map[string]*group{},
		racks:      map[rackKey]*rack{},
		spreads:    map[string]*spread{},
		capacities: map[task.Resources]int{},
	}
}

// Upsert adds a node or changes the description of one. What is held on the
// node stays held.
func (c *Cluster) Upsert(n Node) {
	slot, known := c.byName[n.Name]
	if !known {
		slot = c.newSlot(n.Name)
	}
	x := &c.nodes[slot]
	if known && !x.removed && x.Node == n {
		return
	}
	used := x.Capacity.Sub(x.free)
	if known && !x.removed {
		c.leaveGroups(slot)
	}
	x.Node, x.removed = n, false
	x.free = n.Capacity.Sub(used)
	c.joinGroups(slot)
	c.refresh(slot)
}

// Remove takes a node out of service. Its attempts stay held until they are
// released, so that a worker that comes back is not committed twice.
func (c *Cluster) Remove(name string) {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed {
		return
	}
	c.leaveGroups(slot)
	c.nodes[slot].removed = true
	c.refresh(slot)
	c.forgetIfUnused(slot)
}

// SetPenalty makes a node a later choice: a node is chosen only if no node with
// a lower penalty fits. Penalties range from 0 to MaxPenalty.
func (c *Cluster) SetPenalty(name string, penalty int) {
	slot, known := c.byName[name]
	if !known {
		return
	}
	c.nodes[slot].penalty = uint8(min(max(penalty, 0), MaxPenalty))
	c.refresh(slot)
}

// EverFits reports whether some node, empty, has room for size.
func (c *Cluster) EverFits(size task.Resources) bool {
	for capacity := range c.capacities {
		if size.Fits(capacity) {
			return true
		}
	}
	return false
}

// Free returns what is free on the nodes that may be chosen.
func (c *Cluster) Free() task.Resources { return c.free }

// Capacity returns the capacity of all schedulable nodes.
func (c *Cluster) Capacity() task.Resources { return c.capacity }

// FreeOn returns what is free on one node; amounts are below zero where the
// node is over-committed.
func (c *Cluster) FreeOn(name string) (free task.Resources, known bool) {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed {
		return task.Resources{}, false
	}
	return c.nodes[slot].free, true
}

func (c *Cluster) newSlot(name string) int32 {
	if last := len(c.vacant) - 1; last >= 0 {
		slot := c.vacant[last]
		c.vacant = c.vacant[:last]
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

// growWords is the most words by which the sets grow, a cache line. Doubling
// would make each search go over up to twice the words it needs, and sets of a
// power of 2 in size compete for the same lines of the cache.
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
	x := &c.nodes[slot]
	c.groupOf(c.partitions, x.Partition).members.set(slot)
	c.groupOf(c.regions, x.Region).members.set(slot)
	x.domain = c.domainOf(x.FailureDomain)
	x.domain.members.set(slot)
	x.rack = c.rackOf(x)
	x.rack.add(slot)
	c.capacities[x.Capacity]++
	if x.Schedulable {
		c.capacity = c.capacity.Add(x.Capacity)
	}
}

func (c *Cluster) leaveGroups(slot int32) {
	x := &c.nodes[slot]
	c.partitions[x.Partition].members.clear(slot)
	c.regions[x.Region].members.clear(slot)
	x.domain.members.clear(slot)
	x.rack.remove(slot)
	c.capacities[x.Capacity]--
	if c.capacities[x.Capacity] == 0 {
		delete(c.capacities, x.Capacity)
	}
	if x.Schedulable {
		c.capacity = c.capacity.Sub(x.Capacity)
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

func (c *Cluster) rackOf(x *node) *rack {
	key := rackKey{x.Region, x.FailureDomain, x.Rack}
	r, known := c.racks[key]
	if !known {
		r = &rack{domain: x.domain.number}
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

// forgetIfUnused frees the slot of a removed node on which nothing is held.
func (c *Cluster) forgetIfUnused(slot int32) {
	x := &c.nodes[slot]
	if !x.removed || x.held > 0 {
		return
	}
	delete(c.byName, x.Name)
	*x = node{indexed: x.indexed, counted: x.counted}
	c.refresh(slot)
	c.vacant = append(c.vacant, slot)
}

// refresh brings the index in line with a node after any change of it.
func (c *Cluster) refresh(slot int32) {
	x := &c.nodes[slot]
	var e entry
	e.eligible = x.Schedulable && !x.removed && !x.free.HasNegative()
	if e.eligible {
		for r, units := range inUnits(&x.free) {
			e.levels[r] = levelOf(units)
		}
		e.score = scoreOf(&x.free)
		e.penalty = x.penalty
	}
	c.index.replace(slot, &x.indexed, &e)
	x.indexed = e
	var counted task.Resources
	if e.eligible {
		counted = x.free
	}
	c.free = c.free.Add(counted.Sub(x.counted))
	x.counted = counted
}
