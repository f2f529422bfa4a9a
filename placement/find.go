package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// Request specifies the size of a task and its placement constraints and preferences.
type Request struct {
	Size          task.Resources
	Partition     string   // worker partition; empty for any
	Region        string   // preferred region; empty for none
	SpreadKey     string   // attempts with the same key are spread over failure domains and racks
	ExcludedNodes []string // names of nodes that must not be selected
}

// Find selects a node for a request. It narrows the nodes that fit by these preferences, in order:
// the preferred region, the lowest penalty, the failure domains and then the racks with the fewest
// attempts of the spread key, the lowest score (best fit), and the lowest slot. A preference that no
// remaining node meets is ignored. Find does not reserve capacity; the caller calls Reserve for that.
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

// preferLowPenalty narrows the result to the nodes with the lowest penalty.
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

// preferDomains narrows the result to the failure domains with the fewest attempts and returns the
// number of attempts in each of them.
func (c *Cluster) preferDomains(s *spread) int32 {
	fewest := int32(-1)
	for _, g := range c.domainList {
		count := s.countInDomain(g.index)
		if (fewest < 0 || count < fewest) && c.search.intersects(g.members) {
			fewest = count
		}
	}
	clear(c.search.scratch)
	for _, g := range c.domainList {
		if s.countInDomain(g.index) == fewest {
			c.search.scratch.union(g.members)
		}
	}
	c.search.prefer(c.search.scratch)
	return fewest
}

// preferRacks narrows the result to the racks with the fewest attempts. It first tries the racks
// without attempts, by excluding every rack that has some. If that leaves no node, all remaining
// nodes are in racks with attempts, and the minimum is taken over those racks. Racks in failure
// domains with another number of attempts than attemptsInDomain are already excluded and are skipped.
func (c *Cluster) preferRacks(s *spread, attemptsInDomain int32) {
	if attemptsInDomain == 0 || c.dropRacksAbove(s, attemptsInDomain, 0) {
		return
	}
	fewest := int32(-1)
	for i := range s.rackCounts {
		r := &s.rackCounts[i]
		if (fewest < 0 || r.count < fewest) && c.search.hasAny(r.rack.members) {
			fewest = r.count
		}
	}
	c.dropRacksAbove(s, attemptsInDomain, fewest)
}

// dropRacksAbove removes the racks with more than count attempts from the result, unless no node
// would remain, and reports whether it did.
func (c *Cluster) dropRacksAbove(s *spread, attemptsInDomain, count int32) bool {
	copy(c.search.scratch, c.search.result)
	for i := range s.rackCounts {
		r := &s.rackCounts[i]
		if r.count <= count || s.countInDomain(r.rack.domainIndex) != attemptsInDomain {
			continue
		}
		for _, m := range r.rack.members {
			c.search.scratch[m.word] &^= m.bits
		}
	}
	return c.search.prefer(c.search.scratch)
}
