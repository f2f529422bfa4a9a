package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// Reserve holds size on a node for an attempt. It returns false and changes
// nothing if the node is unknown, is over-committed, has no room, or if the
// attempt is held with another size or elsewhere. It does not ask whether the
// node is schedulable, so that a probe can run on a quarantined worker.
func (c *Cluster) Reserve(name string, a task.Attempt, size task.Resources) bool {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed || size.HasNegative() {
		return false
	}
	if h, held := c.holds[a]; held {
		return h.slot == slot && h.size == size
	}
	x := &c.nodes[slot]
	if x.free.HasNegative() || !size.Fits(x.free) {
		return false
	}
	c.take(slot, a, size)
	return true
}

// Assume holds size on a node for an attempt that the worker reported as
// running, whether it fits or not. It creates the node, out of service, if it
// is unknown, and moves an attempt that is held elsewhere.
func (c *Cluster) Assume(name string, a task.Attempt, size task.Resources) {
	size = size.Max(task.Resources{})
	if h, held := c.holds[a]; held {
		if c.nodes[h.slot].Name == name && h.size == size {
			return
		}
		c.Release(a)
	}
	slot, known := c.byName[name]
	if !known {
		c.Upsert(Node{Name: name})
		slot = c.byName[name]
	}
	c.take(slot, a, size)
}

// Release gives back what an attempt holds.
func (c *Cluster) Release(a task.Attempt) (name string, size task.Resources, ok bool) {
	h, held := c.holds[a]
	if !held {
		return "", task.Resources{}, false
	}
	delete(c.holds, a)
	x := &c.nodes[h.slot]
	name = x.Name
	if h.mark != nil {
		c.unmark(h.mark)
	}
	x.held--
	c.addFree(h.slot, h.size)
	c.forgetIfUnused(h.slot)
	return name, h.size, true
}

// SetSpread counts a held attempt under a spread key, so that Find with the
// same key prefers other failure domains and racks.
func (c *Cluster) SetSpread(a task.Attempt, key string) {
	h, held := c.holds[a]
	if !held || key == "" || h.mark != nil || c.nodes[h.slot].removed {
		return
	}
	h.mark = c.markOn(h.slot, key)
	c.holds[a] = h
}

// Held returns the node and size of a held attempt.
func (c *Cluster) Held(a task.Attempt) (name string, size task.Resources, ok bool) {
	h, held := c.holds[a]
	if !held {
		return "", task.Resources{}, false
	}
	return c.nodes[h.slot].Name, h.size, true
}

func (c *Cluster) take(slot int32, a task.Attempt, size task.Resources) {
	c.holds[a] = hold{slot: slot, size: size}
	c.nodes[slot].held++
	c.addFree(slot, size.Scale(-1))
}

func (c *Cluster) addFree(slot int32, size task.Resources) {
	c.nodes[slot].free = c.nodes[slot].free.Add(size)
	c.refresh(slot)
}
