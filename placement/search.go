package placement

// search holds the working buffers of one decision. They are reused, so that a decision does not
// allocate. found is the search result; activeWords lists its nonzero words.
type search struct {
	found             bitmap
	scratch           bitmap
	activeWords       []int32
	candidates        []candidate
	scratchCandidates []candidate
}

// candidate is one word of a sparse set of nodes.
type candidate struct {
	bits uint64
	word int32
}

func (s *search) grow(words int) {
	s.found = s.found.grown(words)
	s.scratch = s.scratch.grown(words)
	s.activeWords = make([]int32, 0, words)
	s.candidates = make([]candidate, words)
	s.scratchCandidates = make([]candidate, words)
}

// intersect removes the nodes outside set from the result.
func (s *search) intersect(set bitmap) {
	found := s.found[:len(set)]
	for w, value := range set {
		found[w] &= value
	}
}

// compact lists the nonzero words of the result and reports whether there are any.
func (s *search) compact() bool {
	s.activeWords = s.activeWords[:0]
	for w, value := range s.found {
		if value != 0 {
			s.activeWords = append(s.activeWords, int32(w))
		}
	}
	return len(s.activeWords) > 0
}

// prefer narrows the result to the nodes in set, unless nothing would be left, and reports whether
// it did.
func (s *search) prefer(set bitmap) bool {
	if !s.intersects(set) {
		return false
	}
	active := s.activeWords[:0]
	for _, w := range s.activeWords {
		s.found[w] &= set[w]
		if s.found[w] != 0 {
			active = append(active, w)
		}
	}
	s.activeWords = active
	return true
}

// preferOutside narrows the result to the nodes outside set, unless nothing would be left.
func (s *search) preferOutside(set bitmap) {
	for _, w := range s.activeWords {
		s.scratch[w] = ^set[w]
	}
	s.prefer(s.scratch)
}

// intersects reports whether set and the result have a node in common.
func (s *search) intersects(set bitmap) bool {
	for _, w := range s.activeWords {
		if s.found[w]&set[w] != 0 {
			return true
		}
	}
	return false
}

// hasAny reports whether any of the nodes is in the result.
func (s *search) hasAny(nodes []candidate) bool {
	for _, c := range nodes {
		if s.found[c.word]&c.bits != 0 {
			return true
		}
	}
	return false
}

// denseHalvings is the number of times that the result is halved before most of its words are
// zero. From then on, a list of nonzero words is faster than a pass over all words.
const denseHalvings = 6

// lowest returns the slot of the result whose number in the bit planes is the lowest, and the
// lowest slot on a tie. planes is ordered from the lowest bit to the highest. Each plane either
// halves the result or leaves it unchanged, so the cost does not depend on the values.
func (s *search) lowest(planes []bitPlane) int32 {
	dense, other := s.found, s.scratch
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

// lowestSparse is the variant of lowest for a result with few nonzero words.
func (s *search) lowestSparse(dense bitmap, planes []bitPlane) int32 {
	list, other := s.candidates, s.scratchCandidates
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
		kept := subtractSparse(other, list[:n], planes[b].members)
		if kept > 0 {
			list, other, n = other, list, kept
		}
	}
	return slotOf(list[0].word, list[0].bits)
}

// subtract sets to to the nodes of from that are not in excluded, and reports whether there are
// any.
func subtract(to, from, excluded bitmap) bool {
	to, excluded = to[:len(from)], excluded[:len(from)]
	nonzero := uint64(0)
	for w, value := range from {
		value &^= excluded[w]
		to[w] = value
		nonzero |= value
	}
	return nonzero != 0
}

// subtractSparse copies the candidates that are not in excluded and returns the number of nonzero
// words.
func subtractSparse(to, from []candidate, excluded bitmap) int {
	n := 0
	for _, c := range from {
		bits := c.bits &^ excluded[c.word]
		if bits != 0 {
			to[n] = candidate{bits, c.word}
			n++
		}
	}
	return n
}
