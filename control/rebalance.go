package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// rebalanceInterval is between two looks at the attempts that wait. It is
	// longer than the interval of digests, so that each look sees the effect of
	// the one before.
	rebalanceInterval = 2 * time.Second
	// rebalanceAfter is how long an attempt waits at one partition before it may
	// go to another one. Shorter waits are the ordinary ones for allowance.
	rebalanceAfter = 3 * time.Second
	// rebalanceBatch bounds what moves to one partition at once, since other
	// homes see the same free capacity.
	rebalanceBatch = 8
)

// rebalance takes attempts back that wait at one partition while another one has
// room and nobody waits there. They are sent there with their next attempt; one
// that has started meanwhile goes on.
func (h *home) rebalance() {
	if h.now.Sub(h.rebalancedAt) < rebalanceInterval {
		return
	}
	h.rebalancedAt = h.now
	free := h.idlePartitions()
	if len(free) == 0 {
		return
	}
	moves := map[string][]task.Attempt{}
	for a, o := range h.open {
		if o.phase != openPlaced || o.placedAt.IsZero() || h.now.Sub(o.placedAt) < rebalanceAfter {
			continue
		}
		if h.movesTo(free, o) {
			o.placedAt = h.now
			moves[o.partition] = append(moves[o.partition], a)
		}
	}
	for partition, attempts := range moves {
		if owner, _, ok := h.routing.ownerOf(partition); ok {
			h.send(owner, WithdrawRequest{Attempts: attempts, Reason: errkind.QueueFull, OnlyWaiting: true})
		}
	}
}

// idlePartitions returns the partitions with room where nobody waits, with how
// many attempts may still be moved there.
func (h *home) idlePartitions() map[string]int {
	free := map[string]int{}
	for name, load := range h.routing.partitions {
		if load.digest.Ready && load.digest.Queued == 0 && load.digest.Free.Slots > 0 && h.now.Sub(load.receivedAt) < h.cfg.DigestLifetime {
			free[name] = int(min(load.digest.Free.Slots, rebalanceBatch))
		}
	}
	return free
}

// maxMovedAnswer is the latest attempt of an answer that is moved: an answer has
// few attempts, and the last one must not be spent on a move.
const maxMovedAnswer = 1

// movesTo reports whether an attempt can go to an idle partition, and takes its
// place there. Gangs stay, since their members have to meet at one partition.
func (h *home) movesTo(free map[string]int, o *openAttempt) bool {
	record, ok := h.ledger.Find(h.shardOf(o.ref.job), o.ref.job)
	if !ok || record.Spec.Kind == task.Gang || record.Cancelled {
		return false
	}
	if !record.Spec.Kind.IsDurable() && record.Tasks[o.ref.index].Attempt > maxMovedAnswer {
		return false
	}
	for name, places := range free {
		isAllowed := len(record.Spec.Regions) == 0 || slices.Contains(record.Spec.Regions, RegionOf(name))
		if name != o.partition && places > 0 && isAllowed && record.Spec.Size.Fits(h.routing.partitions[name].digest.Free) {
			free[name]--
			return true
		}
	}
	return false
}
