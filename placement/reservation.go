package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// Reserve reserves size on a node for an attempt. It is idempotent. It returns false and changes
// nothing if the node is unknown or over-committed, if size does not fit, or if the attempt has a
// reservation of another size or on another node. It does not check whether the node is
// schedulable, so that a probe can run on a quarantined worker.
func (c *Cluster) Reserve(name string, a task.Attempt, size task.Resources) bool {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed || size.HasNegative() {
		return false
	}
	if h, held := c.reservations[a]; held {
		return h.slot == slot && h.size == size
	}
	n := &c.nodes[slot]
	if n.free.HasNegative() || !size.Fits(n.free) {
		return false
	}
	c.addReservation(slot, a, size)
	return true
}

// Assume reserves size on a node for an attempt that the worker reported as running, even if that
// over-commits the node. It adds an unknown node as unschedulable, and moves a reservation that the
// attempt has on another node.
func (c *Cluster) Assume(name string, a task.Attempt, size task.Resources) {
	size = size.Max(task.Resources{})
	if h, held := c.reservations[a]; held {
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
	c.addReservation(slot, a, size)
}

// Release releases the reservation of an attempt and returns its node and size.
func (c *Cluster) Release(a task.Attempt) (name string, size task.Resources, ok bool) {
	h, held := c.reservations[a]
	if !held {
		return "", task.Resources{}, false
	}
	delete(c.reservations, a)
	n := &c.nodes[h.slot]
	name = n.Name
	if h.spread != nil {
		c.removeFromSpread(h.spread)
	}
	n.reservationCount--
	c.addFree(h.slot, h.size)
	c.deleteIfUnused(h.slot)
	return name, h.size, true
}

// SetSpread counts a reserved attempt under a spread key, so that Find with the same key prefers
// other failure domains and racks.
func (c *Cluster) SetSpread(a task.Attempt, key string) {
	h, held := c.reservations[a]
	if !held || key == "" || h.spread != nil || c.nodes[h.slot].removed {
		return
	}
	h.spread = c.addToSpread(h.slot, key)
	c.reservations[a] = h
}

// Held returns the node and size of an attempt's reservation.
func (c *Cluster) Held(a task.Attempt) (name string, size task.Resources, ok bool) {
	h, held := c.reservations[a]
	if !held {
		return "", task.Resources{}, false
	}
	return c.nodes[h.slot].Name, h.size, true
}

func (c *Cluster) addReservation(slot int32, a task.Attempt, size task.Resources) {
	c.reservations[a] = reservation{slot: slot, size: size}
	c.nodes[slot].reservationCount++
	c.addFree(slot, size.Scale(-1))
}

func (c *Cluster) addFree(slot int32, size task.Resources) {
	c.nodes[slot].free = c.nodes[slot].free.Add(size)
	c.updateIndex(slot)
}
