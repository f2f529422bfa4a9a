package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// filter leaves the nodes that may be chosen and have room, and reports
// whether there are any.
func (c *Cluster) filter(req *Request) bool {
	if req.Size.HasNegative() {
		return false
	}
	copy(c.search.found, c.index.eligible)
	if req.Partition != "" {
		g, known := c.partitions[req.Partition]
		if !known {
			return false
		}
		c.search.intersect(g.members)
	}
	if !c.filterLevels(&req.Size) {
		return false
	}
	for _, name := range req.Avoid {
		if slot, known := c.byName[name]; known {
			c.search.found.clear(slot)
		}
	}
	return c.search.compact()
}

// filterLevels leaves the nodes with room for size.
func (c *Cluster) filterLevels(size *task.Resources) bool {
	var edges [resourceCount]edge
	edgeCount := 0
	whole := fillsUnits(size)
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
			edges[edgeCount] = c.edgeOf(r, level)
			edgeCount++
		}
	}
	if edgeCount > 0 {
		c.dropShort(size, edges[:edgeCount])
	}
	return true
}

// edge is the level that a requested amount shares with smaller amounts: nodes
// at the level may lack room, nodes above it do not.
type edge struct{ at, above bitmap }

func (c *Cluster) edgeOf(r, level int) edge {
	e := edge{at: c.index.eligible}
	if level > 0 {
		e.at = c.index.levels[r][level]
	}
	if level+1 < len(c.index.levels[r]) {
		e.above = c.index.levels[r][level+1]
	}
	return e
}

// dropShort compares exactly on the nodes that are on the edge of a level.
func (c *Cluster) dropShort(size *task.Resources, edges []edge) {
	for w, found := range c.search.found {
		if found == 0 {
			continue
		}
		doubtful := uint64(0)
		for i := range edges {
			doubtful |= edges[i].only(w)
		}
		for doubtful &= found; doubtful != 0; doubtful &= doubtful - 1 {
			slot := slotOf(int32(w), doubtful)
			if !size.Fits(c.nodes[slot].free) {
				c.search.found.clear(slot)
			}
		}
	}
}

// only returns the bits of a word that are at the level and not above it.
func (e *edge) only(word int) uint64 {
	if e.above == nil {
		return e.at[word]
	}
	return e.at[word] &^ e.above[word]
}
