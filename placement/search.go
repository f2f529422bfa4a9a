package placement

// search is the working memory of one decision, kept so that a decision
// allocates nothing. Active lists the words of found that have bits.
type search struct {
	found      bitmap
	kept       bitmap
	active     []int32
	candidates []candidate
	trial      []candidate
}

// candidate is a word of a set with its bits.
type candidate struct {
	bits uint64
	word int32
}

func (s *search) grow(words int) {
	s.found = s.found.grown(words)
	s.kept = s.kept.grown(words)
	s.active = make([]int32, 0, words)
	s.candidates = make([]candidate, words)
	s.trial = make([]candidate, words)
}

// intersect takes the nodes outside a set from the result.
func (s *search) intersect(set bitmap) {
	found := s.found[:len(set)]
	for w, value := range set {
		found[w] &= value
	}
}

// compact lists the words with bits and reports whether there are any.
func (s *search) compact() bool {
	s.active = s.active[:0]
	for w, value := range s.found {
		if value != 0 {
			s.active = append(s.active, int32(w))
		}
	}
	return len(s.active) > 0
}

// keep narrows the result to the nodes of a set if any are in it, and reports
// whether it did.
func (s *search) keep(set bitmap) bool {
	if !s.meets(set) {
		return false
	}
	active := s.active[:0]
	for _, w := range s.active {
		s.found[w] &= set[w]
		if s.found[w] != 0 {
			active = append(active, w)
		}
	}
	s.active = active
	return true
}

// drop narrows the result to the nodes outside a set if any are.
func (s *search) drop(set bitmap) {
	for _, w := range s.active {
		s.kept[w] = ^set[w]
	}
	s.keep(s.kept)
}

// meets reports whether a set has a node of the result.
func (s *search) meets(set bitmap) bool {
	for _, w := range s.active {
		if s.found[w]&set[w] != 0 {
			return true
		}
	}
	return false
}

// hasAny reports whether any of some nodes is in the result.
func (s *search) hasAny(nodes []candidate) bool {
	for _, c := range nodes {
		if s.found[c.word]&c.bits != 0 {
			return true
		}
	}
	return false
}

// denseHalvings is the number of times that the result is halved before most
// words of it are empty; a list of words is faster than all of them from then
// on.
const denseHalvings = 6

// lowest returns the slot with the lowest number in the planes, the highest
// bit last, and the lowest slot among equals. Each plane halves the result or
// leaves it, so that the cost does not depend on the values.
func (s *search) lowest(planes []plane) int32 {
	dense, other := s.found, s.kept
	b := len(planes) - 1
	for halvings := 0; b >= 0 && halvings < denseHalvings; b-- {
		if planes[b].count == 0 {
			continue
		}
		if subtract(other, dense, planes[b].members) {
			dense, other = other, dense
			halvings++
		}
	}
	return s.lowestSparse(dense, planes[:b+1])
}

// lowestSparse is lowest for a result with few words that have bits.
func (s *search) lowestSparse(dense bitmap, planes []plane) int32 {
	list, other := s.candidates, s.trial
	n := 0
	for w, value := range dense {
		if value != 0 {
			list[n] = candidate{value, int32(w)}
			n++
		}
	}
	for b := len(planes) - 1; b >= 0; b-- {
		if planes[b].count == 0 {
			continue
		}
		kept := without(other, list[:n], planes[b].members)
		if kept > 0 {
			list, other, n = other, list, kept
		}
	}
	return slotOf(list[0].word, list[0].bits)
}

// subtract sets a set to the nodes of from outside out and reports whether
// there are any.
func subtract(to, from, out bitmap) bool {
	to, out = to[:len(from)], out[:len(from)]
	any := uint64(0)
	for w, value := range from {
		value &^= out[w]
		to[w] = value
		any |= value
	}
	return any != 0
}

// without copies the candidates outside a set and returns the number of words
// that have any.
func without(to, from []candidate, set bitmap) int {
	n := 0
	for _, c := range from {
		bits := c.bits &^ set[c.word]
		if bits != 0 {
			to[n] = candidate{bits, c.word}
			n++
		}
	}
	return n
}
