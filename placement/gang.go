package placement

import "math"

// FindGang returns a node for each of count members of one size, all or
// nothing. Nodes may appear more than once. Since the members are equal, the
// number that fits on one node does not depend on the others, and taking nodes
// one by one finds a place for every gang that has one. FindGang changes
// nothing; the caller reserves each member.
func (c *Cluster) FindGang(req Request, count int) (names []string, ok bool) {
	if count <= 0 || !c.hasRoomFor(&req, count) {
		return nil, false
	}
	slots := make([]int32, 0, count)
	var marks []*mark
	for len(slots) < count {
		slot := c.find(&req)
		if slot < 0 {
			break
		}
		slots = append(slots, slot)
		c.addFree(slot, req.Size.Scale(-1))
		if req.SpreadKey != "" {
			marks = append(marks, c.markOn(slot, req.SpreadKey))
		}
	}
	for _, m := range marks {
		c.unmark(m)
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

// hasRoomFor reports whether count members fit, without choosing nodes.
func (c *Cluster) hasRoomFor(req *Request, count int) bool {
	if !c.filter(req) {
		return false
	}
	room := int64(0)
	for _, w := range c.search.active {
		for rest := c.search.found[w]; rest != 0; rest &= rest - 1 {
			room += c.membersOn(slotOf(w, rest), req, int64(count))
			if room >= int64(count) {
				return true
			}
		}
	}
	return false
}

// membersOn returns how many members fit on a node, at most limit.
func (c *Cluster) membersOn(slot int32, req *Request, limit int64) int64 {
	fit := int64(math.MaxInt64)
	free := amounts(&c.nodes[slot].free)
	for r, amount := range amounts(&req.Size) {
		if amount > 0 {
			fit = min(fit, free[r]/amount)
		}
	}
	return min(fit, limit)
}
