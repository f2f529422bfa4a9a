package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// Request describes the node that a task needs.
type Request struct {
	Size      task.Resources
	Partition string   // worker partition; empty for any
	Region    string   // preferred region; empty for none
	SpreadKey string   // attempts with the same key are spread over failure domains and racks
	Avoid     []string // nodes to exclude
}

// Find selects a node for a request. Among the nodes that fit, it prefers in this order the
// preferred region, the lowest penalty, the failure domains and then the racks with the fewest
// attempts of the spread key, the lowest score, and the lowest slot. A preference that no remaining
// node meets is ignored. Find changes no state; Reserve commits the selection.
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
	c.preferLowPenalty()
	c.preferSpread(req.SpreadKey)
	return c.search.lowest(c.index.score[:])
}

func (c *Cluster) preferRegion(region string) {
	if region == "" {
		return
	}
	if g, known := c.regions[region]; known {
		c.search.prefer(g.members)
	}
}

func (c *Cluster) preferLowPenalty() {
	for b := penaltyBits - 1; b >= 0; b-- {
		if c.index.penalty[b].count > 0 {
			c.search.preferOutside(c.index.penalty[b].members)
		}
	}
}

// preferSpread narrows the result to the failure domains, and within them the racks, with the
// fewest attempts of the key.
func (c *Cluster) preferSpread(key string) {
	if key == "" {
		return
	}
	if s, known := c.spreads[key]; known {
		c.preferRacks(s, c.preferDomains(s))
	}
}

// preferDomains narrows the result to the failure domains with the fewest attempts and returns that
// number.
func (c *Cluster) preferDomains(s *spread) int32 {
	fewest := int32(-1)
	for _, g := range c.domainList {
		count := s.inDomain(g.number)
		if (fewest < 0 || count < fewest) && c.search.intersects(g.members) {
			fewest = count
		}
	}
	clear(c.search.scratch)
	for _, g := range c.domainList {
		if s.inDomain(g.number) == fewest {
			c.search.scratch.union(g.members)
		}
	}
	c.search.prefer(c.search.scratch)
	return fewest
}

// preferRacks narrows the result to the racks with the fewest attempts. It first tries the racks
// without attempts by clearing the nodes of racks that have some. If none of those fits, only racks
// with attempts are left, and the fewest attempts are found among them. Racks in other failure
// domains are already excluded and are skipped.
func (c *Cluster) preferRacks(s *spread, inDomain int32) {
	if inDomain == 0 || c.dropRacksAbove(s, inDomain, 0) {
		return
	}
	fewest := int32(-1)
	for i := range s.racks {
		r := &s.racks[i]
		if (fewest < 0 || r.count < fewest) && c.search.hasAny(r.rack.members) {
			fewest = r.count
		}
	}
	c.dropRacksAbove(s, inDomain, fewest)
}

// dropRacksAbove drops the racks with more than count attempts, unless nothing would be left, and
// reports whether it did.
func (c *Cluster) dropRacksAbove(s *spread, inDomain, count int32) bool {
	copy(c.search.scratch, c.search.found)
	for i := range s.racks {
		r := &s.racks[i]
		if r.count <= count || s.inDomain(r.rack.domain) != inDomain {
			continue
		}
		for _, m := range r.rack.members {
			c.search.scratch[m.word] &^= m.bits
		}
	}
	return c.search.prefer(c.search.scratch)
}
