package placement

import "math/bits"

const wordBits = 64

// bitmap is a set of node slots.
type bitmap []uint64

func (b bitmap) set(slot int32)   { b[slot/wordBits] |= 1 << (slot % wordBits) }
func (b bitmap) clear(slot int32) { b[slot/wordBits] &^= 1 << (slot % wordBits) }

func (b bitmap) put(slot int32, in bool) {
	if in {
		b.set(slot)
		return
	}
	b.clear(slot)
}

// add puts the nodes of another set into b.
func (b bitmap) add(other bitmap) {
	for w, value := range other {
		b[w] |= value
	}
}

// grown returns b extended to the given number of words.
func (b bitmap) grown(words int) bitmap {
	if len(b) >= words {
		return b
	}
	larger := make(bitmap, words)
	copy(larger, b)
	return larger
}

// slotOf returns the slot of the lowest bit of a word.
func slotOf(word int32, value uint64) int32 {
	return word*wordBits + int32(bits.TrailingZeros64(value))
}
