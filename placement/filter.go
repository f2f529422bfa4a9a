package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// filter sets the search result to the eligible nodes that fit the request, and reports whether
// there are any.
func (c *Cluster) filter(req *Request) bool {
	if req.Size.HasNegative() {
		return false
	}
	copy(c.search.result, c.index.eligible)
	if req.Partition != "" {
		g, known := c.partitions[req.Partition]
		if !known {
			return false
		}
		c.search.intersect(g.members)
	}
	if !c.filterBySize(&req.Size) {
		return false
	}
	for _, name := range req.ExcludedNodes {
		if slot, known := c.byName[name]; known {
			c.search.result.clear(slot)
		}
	}
	return c.search.compact()
}

// filterBySize narrows the search result to the nodes on which size fits.
func (c *Cluster) filterBySize(size *task.Resources) bool {
	var boundaries [resourceCount]boundary
	boundaryCount := 0
	whole := isWholeUnits(size)
	for r, units := range inUnits(size) {
		if units == 0 && whole[r] {
			continue
		}
		level := int(levelOf(units))
		if level >= len(c.index.levels[r]) {
			return false
		}
		if level > 0 {
			c.search.intersect(c.index.levels[r][level])
		}
		if !whole[r] || !isLevelStart(units) {
			boundaries[boundaryCount] = c.boundaryOf(r, level)
			boundaryCount++
		}
	}
	if boundaryCount > 0 {
		c.dropInsufficient(size, boundaries[:boundaryCount])
	}
	return true
}

// boundary is the level of a requested amount, if smaller amounts have the same level. Nodes above
// the level have enough of the resource; nodes at the level need an exact comparison.
type boundary struct{ atOrAbove, above bitmap }

func (c *Cluster) boundaryOf(r, level int) boundary {
	b := boundary{atOrAbove: c.index.eligible}
	if level > 0 {
		b.atOrAbove = c.index.levels[r][level]
	}
	if level+1 < len(c.index.levels[r]) {
		b.above = c.index.levels[r][level+1]
	}
	return b
}

// dropInsufficient compares size with the free capacity of each node at a boundary level, and removes
// the nodes on which it does not fit from the search result.
func (c *Cluster) dropInsufficient(size *task.Resources, boundaries []boundary) {
	for w, value := range c.search.result {
		if value == 0 {
			continue
		}
		unverified := uint64(0)
		for i := range boundaries {
			unverified |= boundaries[i].nodesAt(w)
		}
		for unverified &= value; unverified != 0; unverified &= unverified - 1 {
			slot := slotOf(int32(w), unverified)
			if !size.Fits(c.nodes[slot].free) {
				c.search.result.clear(slot)
			}
		}
	}
}

// nodesAt returns the nodes of one word that are at the level and not above it.
func (b *boundary) nodesAt(word int) uint64 {
	if b.above == nil {
		return b.atOrAbove[word]
	}
	return b.atOrAbove[word] &^ b.above[word]
}
