package placement

// search holds the buffers of one placement decision. They are reused, so that a decision does not
// allocate. result is the set of candidate nodes that remain; activeWords lists its nonzero words.
type search struct {
	result             bitmap
	scratch            bitmap
	activeWords        []int32
	sparseWords        []sparseWord
	scratchSparseWords []sparseWord
}

// sparseWord is one word of a sparse set of nodes.
type sparseWord struct {
	bits uint64
	word int32
}

func (s *search) grow(words int) {
	s.result = s.result.grown(words)
	s.scratch = s.scratch.grown(words)
	s.activeWords = make([]int32, 0, words)
	s.sparseWords = make([]sparseWord, words)
	s.scratchSparseWords = make([]sparseWord, words)
}

// intersect removes the nodes outside set from the result.
func (s *search) intersect(set bitmap) {
	result := s.result[:len(set)]
	for w, value := range set {
		result[w] &= value
	}
}

// compact lists the nonzero words of the result and reports whether there are any.
func (s *search) compact() bool {
	s.activeWords = s.activeWords[:0]
	for w, value := range s.result {
		if value != 0 {
			s.activeWords = append(s.activeWords, int32(w))
		}
	}
	return len(s.activeWords) > 0
}

// prefer narrows the result to the nodes in set, unless no node would remain, and reports whether it
// did.
func (s *search) prefer(set bitmap) bool {
	if !s.intersects(set) {
		return false
	}
	active := s.activeWords[:0]
	for _, w := range s.activeWords {
		s.result[w] &= set[w]
		if s.result[w] != 0 {
			active = append(active, w)
		}
	}
	s.activeWords = active
	return true
}

// preferOutside narrows the result to the nodes outside set, unless no node would remain.
func (s *search) preferOutside(set bitmap) {
	for _, w := range s.activeWords {
		s.scratch[w] = ^set[w]
	}
	s.prefer(s.scratch)
}

// intersects reports whether set and the result have a node in common.
func (s *search) intersects(set bitmap) bool {
	for _, w := range s.activeWords {
		if s.result[w]&set[w] != 0 {
			return true
		}
	}
	return false
}

// hasAny reports whether any of the nodes is in the result.
func (s *search) hasAny(nodes []sparseWord) bool {
	for _, n := range nodes {
		if s.result[n.word]&n.bits != 0 {
			return true
		}
	}
	return false
}

// denseHalvings is the number of times that the result is halved before lowest changes to a list of
// the nonzero words. By then most words are zero, and the list is faster than a pass over all words.
const denseHalvings = 6

// lowest returns the node of the result with the lowest bit-sliced value, and on a tie the one with
// the lowest slot. planes is ordered from the lowest bit to the highest. Each plane either halves the
// result or leaves it unchanged, so the cost does not depend on the values.
func (s *search) lowest(planes []bitPlane) int32 {
	dense, other := s.result, s.scratch
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
	list, other := s.sparseWords, s.scratchSparseWords
	n := 0
	for w, value := range dense {
		if value != 0 {
			list[n] = sparseWord{value, int32(w)}
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

// subtract stores the nodes of src that are not in excluded in dst, and reports whether there are
// any.
func subtract(dst, src, excluded bitmap) bool {
	dst, excluded = dst[:len(src)], excluded[:len(src)]
	nonzero := uint64(0)
	for w, value := range src {
		value &^= excluded[w]
		dst[w] = value
		nonzero |= value
	}
	return nonzero != 0
}

// subtractSparse stores the nodes of src that are not in excluded in dst, and returns the number of
// nonzero words.
func subtractSparse(dst, src []sparseWord, excluded bitmap) int {
	n := 0
	for _, candidate := range src {
		kept := candidate.bits &^ excluded[candidate.word]
		if kept != 0 {
			dst[n] = sparseWord{kept, candidate.word}
			n++
		}
	}
	return n
}
