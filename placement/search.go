package placement

// search is the working memory of one decision, kept so that a decision
// allocates nothing. Only the words listed in active may have bits.
type search struct {
	found  bitmap
	trial  bitmap
	kept   bitmap
	active []int32
}

func (s *search) grow(words int) {
	s.found = s.found.grown(words)
	s.trial = s.trial.grown(words)
	s.kept = s.kept.grown(words)
	if cap(s.active) < words {
		s.active = make([]int32, 0, words)
	}
}

// keep narrows the result to the nodes of a set if any are in it, and reports
// whether it did.
func (s *search) keep(set bitmap) bool {
	return s.narrow(func(word int32) uint64 { return set[word] })
}

// drop narrows the result to the nodes outside a set if any are, and reports
// whether it did.
func (s *search) drop(set bitmap) bool {
	return s.narrow(func(word int32) uint64 { return ^set[word] })
}

func (s *search) narrow(mask func(word int32) uint64) bool {
	kept := s.active[:0:len(s.active)]
	any := uint64(0)
	for _, w := range s.active {
		s.trial[w] = s.found[w] & mask(w)
		any |= s.trial[w]
	}
	if any == 0 {
		return false
	}
	for _, w := range s.active {
		s.found[w] = s.trial[w]
		if s.trial[w] != 0 {
			kept = append(kept, w)
		}
	}
	s.active = kept
	return true
}

// compact drops the words without bits and reports whether any bit is left.
func (s *search) compact() bool {
	kept := s.active[:0:len(s.active)]
	for _, w := range s.active {
		if s.found[w] != 0 {
			kept = append(kept, w)
		}
	}
	s.active = kept
	return len(kept) > 0
}

// first returns the lowest slot of the result.
func (s *search) first() int32 {
	w := s.active[0]
	return slotOf(w, s.found[w])
}
