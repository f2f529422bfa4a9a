package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// Request asks for a node.
type Request struct {
	Size      task.Resources
	Partition string   // worker partition; empty for any
	Region    string   // preferred region; empty for none
	SpreadKey string   // attempts to spread over failure domains and racks
	Avoid     []string // nodes that may not be chosen
}

// Find returns the node to use for a request. Among the nodes that fit it takes
// those in the preferred region, then those with the lowest penalty, then the
// failure domains and racks with the fewest attempts of the spread key, then
// the lowest score, then the lowest slot. Each preference yields where no node
// meets it. Find changes nothing; Reserve commits the choice.
func (c *Cluster) Find(req Request) (name string, ok bool) {
	slot := c.find(&req)
	if slot < 0 {
		return "", false
	}
	return c.nodes[slot].Name, true
}

func (c *Cluster) find(req *Request) int32 {
	if !c.filter(req) {
		return -1
	}
	c.preferRegion(req.Region)
	c.preferUnpenalised()
	c.preferSpread(req.SpreadKey)
	return c.tightest()
}

// filter leaves the nodes that may be chosen and have room.
func (c *Cluster) filter(req *Request) bool {
	if req.Size.HasNegative() || !c.startFrom(req.Partition) {
		return false
	}
	size := amounts(&req.Size)
	var edges [resourceCount]edge
	edgeCount := 0
	for r, amount := range size {
		if amount == 0 {
			continue
		}
		level := int(levelOf(amount))
		if level >= len(c.index.levels[r]) {
			return false
		}
		c.intersect(c.index.levels[r][level])
		if !isLevelStart(amount) {
			edges[edgeCount] = c.edgeOf(r, level)
			edgeCount++
		}
	}
	if edgeCount > 0 {
		c.dropShort(req.Size, edges[:edgeCount])
	}
	for _, name := range req.Avoid {
		if slot, known := c.byName[name]; known {
			c.search.found.clear(slot)
		}
	}
	return c.search.compact()
}

// startFrom sets the result to the eligible nodes of a partition.
func (c *Cluster) startFrom(partition string) bool {
	s := &c.search
	s.active = s.active[:0]
	members := c.index.eligible
	if partition != "" {
		g, known := c.partitions[partition]
		if !known {
			return false
		}
		members = g.members
	}
	for w, eligible := range c.index.eligible {
		s.found[w] = eligible & members[w]
		if s.found[w] != 0 {
			s.active = append(s.active, int32(w))
		}
	}
	return len(s.active) > 0
}

func (c *Cluster) intersect(set bitmap) {
	for _, w := range c.search.active {
		c.search.found[w] &= set[w]
	}
}

// edge is the level that a requested amount shares with smaller amounts: nodes
// at the level may lack room, nodes above it do not.
type edge struct{ at, above bitmap }

func (c *Cluster) edgeOf(r, level int) edge {
	e := edge{at: c.index.levels[r][level]}
	if level+1 < len(c.index.levels[r]) {
		e.above = c.index.levels[r][level+1]
	}
	return e
}

// dropShort compares exactly on the nodes that are on the edge of a level.
func (c *Cluster) dropShort(size task.Resources, edges []edge) {
	for _, w := range c.search.active {
		doubtful := uint64(0)
		for i := range edges {
			above := uint64(0)
			if edges[i].above != nil {
				above = edges[i].above[w]
			}
			doubtful |= edges[i].at[w] &^ above
		}
		for doubtful &= c.search.found[w]; doubtful != 0; doubtful &= doubtful - 1 {
			slot := slotOf(w, doubtful)
			if !size.Fits(c.nodes[slot].free) {
				c.search.found.clear(slot)
			}
		}
	}
}

func (c *Cluster) preferRegion(region string) {
	if region == "" {
		return
	}
	if g, known := c.regions[region]; known {
		c.search.keep(g.members)
	}
}

func (c *Cluster) preferUnpenalised() {
	if c.index.penalised == 0 {
		return
	}
	for b := penaltyBits - 1; b >= 0; b-- {
		c.search.drop(c.index.penalty[b])
	}
}

// tightest returns the node of the result with the lowest score and, among
// equals, the lowest slot.
func (c *Cluster) tightest() int32 {
	for b := scoreBits - 1; b >= 0; b-- {
		c.search.drop(c.index.score[b])
	}
	return c.search.first()
}

// preferSpread leaves the failure domains, and in them the racks, with the
// fewest attempts of the key.
func (c *Cluster) preferSpread(key string) {
	if key == "" {
		return
	}
	s, known := c.spreads[key]
	if !known {
		return
	}
	c.preferDomains(s)
	c.preferRacks(s)
}

func (c *Cluster) preferDomains(s *spread) {
	fewest := int32(-1)
	for _, g := range c.domains {
		count := s.inDomain(g.number)
		if (fewest < 0 || count < fewest) && c.search.meets(g.members) {
			fewest = count
		}
	}
	for _, g := range c.domains {
		if s.inDomain(g.number) != fewest {
			c.search.remove(g.members)
		}
	}
	c.search.compact()
}

// preferRacks first tries the racks without attempts, which is a matter of
// clearing the nodes of the counted racks. Only if none of those has room does
// it count, over the few nodes that are left.
func (c *Cluster) preferRacks(s *spread) {
	if c.dropRacksAbove(s, 0) {
		return
	}
	fewest := int32(-1)
	for _, w := range c.search.active {
		for rest := c.search.found[w]; rest != 0; rest &= rest - 1 {
			count := s.racks[c.nodes[slotOf(w, rest)].rack]
			if fewest < 0 || count < fewest {
				fewest = count
			}
		}
	}
	c.dropRacksAbove(s, fewest)
}

// dropRacksAbove leaves the racks with at most count attempts if any are in
// the result, and reports whether it did.
func (c *Cluster) dropRacksAbove(s *spread, count int32) bool {
	copy(c.search.kept, c.search.found)
	for r, n := range s.racks {
		if n <= count {
			continue
		}
		for _, slot := range r.slots {
			c.search.kept.clear(slot)
		}
	}
	return c.search.keep(c.search.kept)
}

// meets reports whether a set has a node of the result.
func (s *search) meets(set bitmap) bool {
	for _, w := range s.active {
		if s.found[w]&set[w] != 0 {
			return true
		}
	}
	return false
}

func (s *search) remove(set bitmap) {
	for _, w := range s.active {
		s.found[w] &^= set[w]
	}
}
