package placement

import (
	"math/bits"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// resourceCount is the number of resources in task.Resources.
const resourceCount = 5

// Levels count processors and memory in these units, which keeps a change on a
// nearly full node from moving it across the many levels of tiny amounts.
const (
	cpuLevelUnit    = 50  // thousandths of a processor
	memoryLevelUnit = 128 // megabytes
)

// mantissaBits is the precision of a level. With 3 bits, amounts below 16 have
// a level of their own and larger ones share it with amounts within 12.5%.
const mantissaBits = 3

// The score of a node is the sum of its free amounts, each divided by the unit
// below, so that the fitting node with the lowest score is the one with the
// least left over: what the request takes is the same on every node. The units
// are 1/256 of a common worker (32 cores, 128 GB, 8 slots, 64 connections); an
// accelerator counts as four whole workers' worth of one resource, which keeps
// other work off nodes with free accelerators.
const (
	cpuUnit          = 125 // thousandths of a processor
	memoryUnit       = 512 // megabytes
	slotScore        = 32
	connectionScore  = 4
	acceleratorScore = 1024
	scoreBits        = 16
	maxScore         = 1<<scoreBits - 1
)

// penaltyBits is the width of a node's penalty.
const penaltyBits = 2

// MaxPenalty is the highest penalty that SetPenalty takes.
const MaxPenalty = 1<<penaltyBits - 1

// entry is what the index holds for one node.
type entry struct {
	eligible bool
	levels   [resourceCount]int16
	score    uint32
	penalty  uint8
}

// index finds nodes by free amounts. A level set levels[r][k] holds the nodes
// whose free amount of resource r is at level k or above; the planes hold one
// bit each of every node's score and penalty.
type index struct {
	words    int
	eligible bitmap
	levels   [resourceCount][]bitmap
	score    [scoreBits]plane
	penalty  [penaltyBits]plane
}

// plane is one bit of a number that every node has.
type plane struct {
	members bitmap // nodes whose number has the bit
	count   int    // of them
}

func (x *index) grow(words int) {
	x.words = words
	x.eligible = x.eligible.grown(words)
	for r := range x.levels {
		for k := range x.levels[r] {
			x.levels[r][k] = x.levels[r][k].grown(words)
		}
	}
	for b := range x.score {
		x.score[b].members = x.score[b].members.grown(words)
	}
	for b := range x.penalty {
		x.penalty[b].members = x.penalty[b].members.grown(words)
	}
}

// replace changes the entry of a slot from old to e.
func (x *index) replace(slot int32, old, e *entry) {
	if old.eligible != e.eligible {
		x.eligible.put(slot, e.eligible)
	}
	for r := range e.levels {
		x.moveLevel(r, slot, old.levels[r], e.levels[r])
	}
	movePlanes(x.score[:], slot, old.score, e.score)
	movePlanes(x.penalty[:], slot, uint32(old.penalty), uint32(e.penalty))
}

func (x *index) moveLevel(r int, slot int32, old, level int16) {
	for int(level) >= len(x.levels[r]) {
		x.levels[r] = append(x.levels[r], make(bitmap, x.words))
	}
	for k := old + 1; k <= level; k++ {
		x.levels[r][k].set(slot)
	}
	for k := level + 1; k <= old; k++ {
		x.levels[r][k].clear(slot)
	}
}

func movePlanes(planes []plane, slot int32, old, value uint32) {
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

// inUnits returns the amounts in the units of levels, rounded down.
func inUnits(r *task.Resources) [resourceCount]int64 {
	return [resourceCount]int64{
		r.CPUMilli / cpuLevelUnit, r.MemoryMB / memoryLevelUnit, r.Accelerators, r.Slots, r.Connections,
	}
}

// levelOf returns the level of an amount in units; it never falls as the amount
// grows.
func levelOf(units int64) int16 {
	shift := levelShift(units)
	return int16(shift<<mantissaBits) + int16(units>>shift)
}

// isLevelStart reports whether no smaller amount in units has the same level.
func isLevelStart(units int64) bool {
	return units&(1<<levelShift(units)-1) == 0
}

func levelShift(units int64) int {
	return max(bits.Len64(uint64(units))-mantissaBits-1, 0)
}

// scoreOf returns the score of free amounts, none of which is below zero.
func scoreOf(free *task.Resources) uint32 {
	score := free.CPUMilli/cpuUnit +
		free.MemoryMB/memoryUnit +
		free.Slots*slotScore +
		free.Connections*connectionScore +
		free.Accelerators*acceleratorScore
	return uint32(min(score, maxScore))
}

func amounts(r *task.Resources) [resourceCount]int64 {
	return [resourceCount]int64{r.CPUMilli, r.MemoryMB, r.Accelerators, r.Slots, r.Connections}
}

// fillsUnits tells for each resource whether an amount is a whole number of
// the units of levels.
func fillsUnits(r *task.Resources) [resourceCount]bool {
	return [resourceCount]bool{r.CPUMilli%cpuLevelUnit == 0, r.MemoryMB%memoryLevelUnit == 0, true, true, true}
}
