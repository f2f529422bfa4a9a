package placement

// spread counts the attempts of one spread key by failure domain and rack.
type spread struct {
	key     string
	total   int
	domains []int32 // by number of the failure domain
	racks   []rackCount
}

type rackCount struct {
	rack  *rack
	count int32
}

// mark records where an attempt was counted, since its node may move.
type mark struct {
	spread *spread
	rack   *rack
	domain int
}

func (c *Cluster) spreadOf(key string) *spread {
	s, known := c.spreads[key]
	if !known {
		s = &spread{key: key}
		c.spreads[key] = s
	}
	return s
}

// markOn counts one attempt on a node.
func (c *Cluster) markOn(slot int32, key string) *mark {
	x := &c.nodes[slot]
	m := &mark{spread: c.spreadOf(key), rack: x.rack, domain: x.domain.number}
	m.spread.add(m)
	return m
}

func (s *spread) add(m *mark) {
	for m.domain >= len(s.domains) {
		s.domains = append(s.domains, 0)
	}
	s.domains[m.domain]++
	s.total++
	if i := s.indexOf(m.rack); i >= 0 {
		s.racks[i].count++
		return
	}
	s.racks = append(s.racks, rackCount{m.rack, 1})
}

func (c *Cluster) unmark(m *mark) {
	s := m.spread
	s.domains[m.domain]--
	s.total--
	i := s.indexOf(m.rack)
	s.racks[i].count--
	if s.racks[i].count == 0 {
		last := len(s.racks) - 1
		s.racks[i] = s.racks[last]
		s.racks = s.racks[:last]
	}
	if s.total == 0 {
		delete(c.spreads, s.key)
	}
}

// indexOf returns the place of a rack in the counts, or -1.
func (s *spread) indexOf(r *rack) int {
	for i := range s.racks {
		if s.racks[i].rack == r {
			return i
		}
	}
	return -1
}

func (s *spread) inDomain(number int) int32 {
	if number >= len(s.domains) {
		return 0
	}
	return s.domains[number]
}
