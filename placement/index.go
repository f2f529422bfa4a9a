package placement

import (
	"math/bits"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// resourceCount is the number of resources in task.Resources.
const resourceCount = 5

// Units in which CPU and memory are converted to levels. With smaller units, each change on a nearly
// full node would move it across many levels.
const (
	cpuLevelUnit    = 50  // millicores
	memoryLevelUnit = 128 // megabytes
)

// mantissaBits is the precision of a level, which encodes an amount like a floating-point number.
// With 3 bits, each amount below 16 units has its own level, and a larger amount has the same level
// as other amounts within 12.5%.
const mantissaBits = 3

// The score of a node is the weighted sum of its free amounts. A request takes the same amount on
// every node, so the fitting node with the lowest score is the best fit, with the least capacity left
// over. One point is 1/256 of the amount of one resource on a typical worker (32 cores, 128 GB, 8
// task slots, 64 connections). An accelerator scores as much as the amount of one resource on four
// typical workers, so that other work avoids nodes with free accelerators.
const (
	cpuScoreUnit     = 125 // millicores
	memoryScoreUnit  = 512 // megabytes
	slotScore        = 32
	connectionScore  = 4
	acceleratorScore = 1024
	scoreBits        = 16
	maxScore         = 1<<scoreBits - 1
)

// penaltyBits is the width of a node's penalty in bits.
const penaltyBits = 2

// MaxPenalty is the highest penalty that SetPenalty accepts.
const MaxPenalty = 1<<penaltyBits - 1

// indexEntry is the indexed state of one node.
type indexEntry struct {
	eligible bool
	levels   [resourceCount]int16
	score    uint32
	penalty  uint8
}

// index finds nodes by free capacity. levels[r][k] is the set of nodes whose free amount of
// resource r is at level k or above. Scores and penalties are bit-sliced: each plane holds one bit
// of the value of every node.
type index struct {
	words    int    // length of each bitmap
	eligible bitmap // nodes that are schedulable, not removed and not over-committed
	levels   [resourceCount][]bitmap
	score    [scoreBits]bitPlane
	penalty  [penaltyBits]bitPlane
}

// bitPlane holds one bit of the score or penalty of every node.
type bitPlane struct {
	members bitmap // nodes whose value has the bit set
	count   int    // number of members
}

func (idx *index) grow(words int) {
	idx.words = words
	idx.eligible = idx.eligible.grown(words)
	for r := range idx.levels {
		for k := range idx.levels[r] {
			idx.levels[r][k] = idx.levels[r][k].grown(words)
		}
	}
	for b := range idx.score {
		idx.score[b].members = idx.score[b].members.grown(words)
	}
	for b := range idx.penalty {
		idx.penalty[b].members = idx.penalty[b].members.grown(words)
	}
}

// replace changes the entry of a slot from old to e.
func (idx *index) replace(slot int32, old, e *indexEntry) {
	if old.eligible != e.eligible {
		idx.eligible.assign(slot, e.eligible)
	}
	for r := range e.levels {
		idx.updateLevel(r, slot, old.levels[r], e.levels[r])
	}
	updatePlanes(idx.score[:], slot, old.score, e.score)
	updatePlanes(idx.penalty[:], slot, uint32(old.penalty), uint32(e.penalty))
}

// updateLevel changes the level of a slot's free amount of resource r.
func (idx *index) updateLevel(r int, slot int32, old, level int16) {
	for int(level) >= len(idx.levels[r]) {
		idx.levels[r] = append(idx.levels[r], make(bitmap, idx.words))
	}
	for k := old + 1; k <= level; k++ {
		idx.levels[r][k].set(slot)
	}
	for k := level + 1; k <= old; k++ {
		idx.levels[r][k].clear(slot)
	}
}

// updatePlanes changes the value of a slot in bit-sliced planes.
func updatePlanes(planes []bitPlane, slot int32, old, value uint32) {
	for changed := old ^ value; changed != 0; changed &= changed - 1 {
		b := bits.TrailingZeros32(changed)
		if value&(1<<b) != 0 {
			planes[b].members.set(slot)
			planes[b].count++
		} else {
			planes[b].members.clear(slot)
			planes[b].count--
		}
	}
}

// inUnits returns the amounts in level units, rounded down.
func inUnits(r *task.Resources) [resourceCount]int64 {
	return [resourceCount]int64{
		r.CPUMilli / cpuLevelUnit, r.MemoryMB / memoryLevelUnit, r.Accelerators, r.Slots, r.Connections,
	}
}

// levelOf returns the level of an amount in units. It is monotonic in the amount.
func levelOf(units int64) int16 {
	shift := levelShift(units)
	return int16(shift<<mantissaBits) + int16(units>>shift)
}

// isLevelStart reports whether no smaller amount in units has the same level.
func isLevelStart(units int64) bool {
	return units&(1<<levelShift(units)-1) == 0
}

// levelShift returns the number of low bits of an amount in units that its level omits.
func levelShift(units int64) int {
	return max(bits.Len64(uint64(units))-mantissaBits-1, 0)
}

// scoreOf returns the score of free amounts, none of which is negative.
func scoreOf(free *task.Resources) uint32 {
	score := free.CPUMilli/cpuScoreUnit +
		free.MemoryMB/memoryScoreUnit +
		free.Slots*slotScore +
		free.Connections*connectionScore +
		free.Accelerators*acceleratorScore
	return uint32(min(score, maxScore))
}

// amounts returns the amounts in the order that is used to number resources.
func amounts(r *task.Resources) [resourceCount]int64 {
	return [resourceCount]int64{r.CPUMilli, r.MemoryMB, r.Accelerators, r.Slots, r.Connections}
}

// isWholeUnits reports for each resource whether the amount is a multiple of its level unit.
func isWholeUnits(r *task.Resources) [resourceCount]bool {
	return [resourceCount]bool{r.CPUMilli%cpuLevelUnit == 0, r.MemoryMB%memoryLevelUnit == 0, true, true, true}
}
