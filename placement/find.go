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
	return c.search.lowest(c.index.score[:])
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
	for b := penaltyBits - 1; b >= 0; b-- {
		if c.index.penalty[b].count > 0 {
			c.search.drop(c.index.penalty[b].members)
		}
	}
}

// preferSpread leaves the failure domains, and in them the racks, with the
// fewest attempts of the key.
func (c *Cluster) preferSpread(key string) {
	if key == "" {
		return
	}
	if s, known := c.spreads[key]; known {
		c.preferRacks(s, c.preferDomains(s))
	}
}

// preferDomains returns the number of attempts in the domains that it leaves.
func (c *Cluster) preferDomains(s *spread) int32 {
	fewest := int32(-1)
	for _, g := range c.domainList {
		count := s.inDomain(g.number)
		if (fewest < 0 || count < fewest) && c.search.meets(g.members) {
			fewest = count
		}
	}
	clear(c.search.kept)
	for _, g := range c.domainList {
		if s.inDomain(g.number) == fewest {
			c.search.kept.add(g.members)
		}
	}
	c.search.keep(c.search.kept)
	return fewest
}

// preferRacks first tries the racks without attempts, which is a matter of
// clearing the nodes of the counted racks. If none of those has room, only
// counted racks are left, and the fewest attempts are found among them. Racks
// of the domains that were left out need no look.
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

// dropRacksAbove leaves the racks with at most count attempts if any are in
// the result, and reports whether it did.
func (c *Cluster) dropRacksAbove(s *spread, inDomain, count int32) bool {
	copy(c.search.kept, c.search.found)
	for i := range s.racks {
		r := &s.racks[i]
		if r.count <= count || s.inDomain(r.rack.domain) != inDomain {
			continue
		}
		for _, m := range r.rack.members {
			c.search.kept[m.word] &^= m.bits
		}
	}
	return c.search.keep(c.search.kept)
}
