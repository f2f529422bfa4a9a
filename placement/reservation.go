package placement

import "github.com/mulberrydrum/mulberrydrum/task"

// Reserve reserves size on a node for an attempt. It is idempotent. It returns false and has no
// effect if the node is unknown, removed or over-committed, if size does not fit, or if the attempt
// has a reservation of another size or on another node. It does not check whether the node is
// schedulable, so that a probe can run on a quarantined worker.
func (c *Cluster) Reserve(name string, a task.Attempt, size task.Resources) bool {
	slot, known := c.byName[name]
	if !known || c.nodes[slot].removed || size.HasNegative() {
		return false
	}
	if res, reserved := c.reservations[a]; reserved {
		return res.slot == slot && res.size == size
	}
	n := &c.nodes[slot]
	if n.free.HasNegative() || !size.Fits(n.free) {
		return false
	}
	c.addReservation(slot, a, size)
	return true
}

// ForceReserve reserves size on a node for an attempt that the worker reported as running, even if
// that over-commits the node. It adds an unknown node as unschedulable, and replaces a reservation of
// the attempt that has another size or is on another node.
func (c *Cluster) ForceReserve(name string, a task.Attempt, size task.Resources) {
	size = size.Max(task.Resources{})
	if res, reserved := c.reservations[a]; reserved {
		if c.nodes[res.slot].Name == name && res.size == size {
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
	res, reserved := c.reservations[a]
	if !reserved {
		return "", task.Resources{}, false
	}
	delete(c.reservations, a)
	n := &c.nodes[res.slot]
	name = n.Name
	if res.spread != nil {
		c.removeFromSpread(res.spread)
	}
	n.reservationCount--
	c.addFree(res.slot, res.size)
	c.deleteIfUnused(res.slot)
	return name, res.size, true
}

// SetSpread counts a reserved attempt under a spread key, so that Find with the same key prefers
// other failure domains and racks.
func (c *Cluster) SetSpread(a task.Attempt, key string) {
	res, reserved := c.reservations[a]
	if !reserved || key == "" || res.spread != nil || c.nodes[res.slot].removed {
		return
	}
	res.spread = c.addToSpread(res.slot, key)
	c.reservations[a] = res
}

// ReservationOf returns the node and size of an attempt's reservation.
func (c *Cluster) ReservationOf(a task.Attempt) (name string, size task.Resources, ok bool) {
	res, reserved := c.reservations[a]
	if !reserved {
		return "", task.Resources{}, false
	}
	return c.nodes[res.slot].Name, res.size, true
}

func (c *Cluster) addReservation(slot int32, a task.Attempt, size task.Resources) {
	c.reservations[a] = reservation{slot: slot, size: size}
	c.nodes[slot].reservationCount++
	c.addFree(slot, size.Scale(-1))
}

// addFree adds size to the free capacity of a node.
func (c *Cluster) addFree(slot int32, size task.Resources) {
	c.nodes[slot].free = c.nodes[slot].free.Add(size)
	c.updateIndex(slot)
}
