package placement

import "math/bits"

const wordBits = 64

// bitmap is a set of nodes. The bit with the number of a slot represents the node in that slot, see
// Cluster.nodes.
type bitmap []uint64

func (b bitmap) set(slot int32)   { b[slot/wordBits] |= 1 << (slot % wordBits) }
func (b bitmap) clear(slot int32) { b[slot/wordBits] &^= 1 << (slot % wordBits) }

// assign sets or clears the bit of a slot.
func (b bitmap) assign(slot int32, member bool) {
	if member {
		b.set(slot)
		return
	}
	b.clear(slot)
}

// union adds the nodes in other to b.
func (b bitmap) union(other bitmap) {
	for w, value := range other {
		b[w] |= value
	}
}

// grown returns b, extended if necessary to at least the given number of words.
func (b bitmap) grown(words int) bitmap {
	if len(b) >= words {
		return b
	}
	larger := make(bitmap, words)
	copy(larger, b)
	return larger
}

// slotOf returns the slot of the lowest set bit of a word.
func slotOf(word int32, value uint64) int32 {
	return word*wordBits + int32(bits.TrailingZeros64(value))
}
