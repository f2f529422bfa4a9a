package placement

// spread counts the attempts of one spread key by failure domain and rack.
type spread struct {
	key     string
	total   int
	domains []int32 // by number of the failure domain
	racks   map[*rack]int32
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
		s = &spread{key: key, racks: map[*rack]int32{}}
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
	s.racks[m.rack]++
	s.total++
}

func (c *Cluster) unmark(m *mark) {
	s := m.spread
	s.domains[m.domain]--
	s.racks[m.rack]--
	if s.racks[m.rack] == 0 {
		delete(s.racks, m.rack)
	}
	s.total--
	if s.total == 0 {
		delete(c.spreads, s.key)
	}
}

func (s *spread) inDomain(number int) int32 {
	if number >= len(s.domains) {
		return 0
	}
	return s.domains[number]
}
