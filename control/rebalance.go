package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// rebalanceInterval is the interval between scans of the queued attempts. It is longer than
	// the digest interval within a region, so that the digests reflect the previous scan.
	rebalanceInterval = 2 * time.Second
	// rebalanceAfter is how long an attempt must have waited at a partition before it may be
	// moved to another one. Shorter waits are normal, because acquiring allowance takes time.
	rebalanceAfter = 3 * time.Second
	// rebalanceBatch limits the attempts that one scan moves to a partition, because other homes
	// receive the same digest of its free capacity.
	rebalanceBatch = 8
)

// rebalance withdraws queued attempts from a partition if another one has free capacity and an
// empty queue, to which their next attempts can be dispatched. An attempt that has started in the
// meantime continues.
func (h *home) rebalance() {
	if h.now.Sub(h.rebalancedAt) < rebalanceInterval {
		return
	}
	h.rebalancedAt = h.now
	movesLeft := h.idlePartitions()
	if len(movesLeft) == 0 {
		return
	}
	moves := map[string][]task.Attempt{}
	for a, o := range h.openAttempts {
		if o.phase != phasePlaced || o.placedAt.IsZero() || h.now.Sub(o.placedAt) < rebalanceAfter {
			continue
		}
		if h.claimMove(movesLeft, o) {
			o.placedAt = h.now
			moves[o.partition] = append(moves[o.partition], a)
		}
	}
	for partition, attempts := range moves {
		if owner, _, ok := h.routing.ownerOf(partition); ok {
			h.send(owner, WithdrawRequest{Attempts: attempts, Reason: errkind.QueueFull, OnlyQueued: true})
		}
	}
}

// idlePartitions returns the partitions with free slots and an empty queue, each with the number of
// attempts that may be moved to it.
func (h *home) idlePartitions() map[string]int {
	movesLeft := map[string]int{}
	for name, load := range h.routing.partitionLoads {
		if load.digest.Ready && load.digest.Queued == 0 && load.digest.Free.Slots > 0 && h.now.Sub(load.receivedAt) < h.cfg.DigestLifetime {
			movesLeft[name] = int(min(load.digest.Free.Slots, rebalanceBatch))
		}
	}
	return movesLeft
}

// maxMovedAnswerAttempt is the highest attempt number at which an answer may be moved: an answer
// has few attempts, and a move must not use up the last one.
const maxMovedAnswerAttempt = 1

// claimMove reports whether an attempt can be moved to an idle partition, and if so takes one of
// the moves to that partition. Gangs are not moved, because all members must be at one partition.
func (h *home) claimMove(movesLeft map[string]int, o *openAttempt) bool {
	record, ok := h.ledger.Find(h.shardOf(o.ref.job), o.ref.job)
	if !ok || record.Spec.Kind == task.Gang || record.Cancelled {
		return false
	}
	if !record.Spec.Kind.IsDurable() && record.Tasks[o.ref.index].Attempt > maxMovedAnswerAttempt {
		return false
	}
	for name, left := range movesLeft {
		isAllowed := len(record.Spec.Regions) == 0 || slices.Contains(record.Spec.Regions, regionOf(name))
		if name != o.partition && left > 0 && isAllowed && record.Spec.Size.Fits(h.routing.partitionLoads[name].digest.Free) {
			movesLeft[name]--
			return true
		}
	}
	return false
}
