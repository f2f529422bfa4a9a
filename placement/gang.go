package placement

import "math"

// FindGang selects the nodes for a gang of count members of equal size. It succeeds for all members
// or fails for all. A node may be selected more than once. Because the members are equal, the number
// that fits on one node does not depend on the other nodes, so the greedy selection succeeds for
// every gang that fits. FindGang does not reserve capacity; the caller reserves it for each member.
func (c *Cluster) FindGang(req Request, count int) (names []string, ok bool) {
	if count <= 0 || !c.hasCapacityFor(&req, count) {
		return nil, false
	}
	slots := make([]int32, 0, count)
	var locations []*spreadLocation
	for len(slots) < count {
		slot := c.find(&req)
		if slot < 0 {
			break
		}
		slots = append(slots, slot)
		c.addFree(slot, req.Size.Scale(-1))
		if req.SpreadKey != "" {
			locations = append(locations, c.addToSpread(slot, req.SpreadKey))
		}
	}
	for _, location := range locations {
		c.removeFromSpread(location)
	}
	names = make([]string, len(slots))
	for i, slot := range slots {
		c.addFree(slot, req.Size)
		names[i] = c.nodes[slot].Name
	}
	if len(names) < count {
		return nil, false
	}
	return names, true
}

// hasCapacityFor reports whether count members fit on the eligible nodes, without selecting nodes.
func (c *Cluster) hasCapacityFor(req *Request, count int) bool {
	if !c.filter(req) {
		return false
	}
	capacity := int64(0)
	for _, w := range c.search.activeWords {
		for remaining := c.search.result[w]; remaining != 0; remaining &= remaining - 1 {
			capacity += c.membersFittingOn(slotOf(w, remaining), req, int64(count))
			if capacity >= int64(count) {
				return true
			}
		}
	}
	return false
}

// membersFittingOn returns how many members fit on a node, at most limit.
func (c *Cluster) membersFittingOn(slot int32, req *Request, limit int64) int64 {
	fit := int64(math.MaxInt64)
	free := amounts(&c.nodes[slot].free)
	for r, amount := range amounts(&req.Size) {
		if amount > 0 {
			fit = min(fit, free[r]/amount)
		}
	}
	return min(fit, limit)
}
