package intake

import (
	"container/list"
	"slices"
	"time"
)

// admit decides whether connections and bytes of a source fit into the budget. If they do not, other
// connections are closed, as few as possible, and none if that would not suffice.
func (b *Budget) admit(now time.Time, s *source, self *Connection, connections int, bytes int64) Verdict {
	cause := b.shortage(connections, bytes)
	if cause == "" {
		return Verdict{Admitted: true}
	}
	if b.total.connections+connections > b.limits.Connections || b.total.bytes+bytes > b.limits.Memory {
		// Closing other connections helps only once they have returned their share.
		return Verdict{Cause: cause}
	}
	var victims []*Connection
	for current := cause; current != ""; current = b.shortage(connections, bytes) {
		victim := b.victim(now, s, self, current, connections, bytes)
		if victim == nil || len(victims) == maxVictims {
			b.restore(victims)
			return Verdict{Cause: cause}
		}
		victim.delist()
		victim.closing = true
		b.closing.add(1, victim.bytes)
		victims = append(victims, victim)
	}
	verdict := Verdict{Admitted: true}
	for _, victim := range victims {
		verdict.Close = append(verdict.Close, victim.shut)
	}
	return verdict
}

// shortage returns the limit that further connections and bytes would exceed, or "". Connections that
// are being closed do not count, up to the part of the budget that is left for them.
func (b *Budget) shortage(connections int, bytes int64) Cause {
	switch {
	case b.total.connections+connections > b.limits.Connections,
		b.total.connections-b.closing.connections+connections > b.limits.Connections-b.limits.Connections/closingFraction:
		return CauseConnections
	case b.total.bytes+bytes > b.limits.Memory,
		b.total.bytes-b.closing.bytes+bytes > b.limits.Memory-b.limits.Memory/closingFraction:
		return CauseMemory
	default:
		return ""
	}
}

// restore reverts the choice of victims, the last one first, so that the order of the lists is kept.
func (b *Budget) restore(victims []*Connection) {
	for _, victim := range slices.Backward(victims) {
		victim.closing = false
		b.closing.add(-1, -victim.bytes)
		if victim.phase == Idle {
			victim.element = victim.source.idle.PushFront(victim)
		} else {
			victim.element = victim.source.receiving.PushFront(victim)
		}
	}
}

// victim returns the connection to close: of the source that holds most of what is short, the one that
// has been idle for the longest, or else the one without progress for the longest. It returns nil if
// there is none that may be closed for the requester.
func (b *Budget) victim(now time.Time, requester *source, self *Connection, cause Cause, connections int, bytes int64) *Connection {
	weight := func(a amount) int64 {
		if cause == CauseConnections {
			return int64(a.connections)
		}
		return a.bytes
	}
	needed := requester.held
	needed.add(connections, bytes)
	var chosen *Connection
	var chosenWeight int64
	for _, s := range b.sources {
		w := weight(s.held)
		if chosen != nil && (w < chosenWeight || w == chosenWeight && s.name > chosen.source.name) {
			continue
		}
		for _, candidate := range s.candidates(cause, self) {
			if b.mayClose(now, candidate, requester, weight, needed) {
				chosen, chosenWeight = candidate, w
				break
			}
		}
	}
	return chosen
}

// candidates returns the connections of the source that are the first to be closed. Idle ones precede
// if connections are short; those that hold bodies if memory is.
func (s *source) candidates(cause Cause, self *Connection) []*Connection {
	order := [...]*list.List{s.idle, s.receiving}
	if cause == CauseMemory {
		order = [...]*list.List{s.receiving, s.idle}
	}
	var found []*Connection
	for _, l := range order {
		e := l.Front()
		if e != nil && e.Value.(*Connection) == self {
			e = e.Next()
		}
		if e != nil {
			found = append(found, e.Value.(*Connection))
		}
	}
	return found
}

// mayClose reports whether a connection may be closed for the requester. A stalled one may always be;
// an idle one if its source holds at least as much as the requester; any other one only if its source
// would still hold as much as the requester, so that two sources never close each other's in turn.
func (b *Budget) mayClose(now time.Time, c *Connection, requester *source, weight func(amount) int64, needed amount) bool {
	if c.phase == Receiving && now.Sub(c.progressedAt) >= b.limits.Stalled {
		return true
	}
	if c.phase == Idle {
		return c.source == requester || weight(c.source.held) >= weight(requester.held)
	}
	return c.source != requester && weight(c.source.held)-weight(amount{1, c.bytes}) >= weight(needed)
}
