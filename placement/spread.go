package placement

// spread counts the attempts of one spread key by failure domain and rack.
type spread struct {
	key     string
	total   int
	domains []int32 // by number of failure domain
	racks   []rackCount
}

type rackCount struct {
	rack  *rack
	count int32
}

// spreadLocation records where an attempt is counted, because its node may move to another rack or
// failure domain.
type spreadLocation struct {
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

// addToSpread counts one attempt on a node under the spread key.
func (c *Cluster) addToSpread(slot int32, key string) *spreadLocation {
	n := &c.nodes[slot]
	m := &spreadLocation{spread: c.spreadOf(key), rack: n.rack, domain: n.domain.number}
	m.spread.add(m)
	return m
}

func (s *spread) add(m *spreadLocation) {
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

func (c *Cluster) removeFromSpread(m *spreadLocation) {
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

// indexOf returns the index of a rack in the counts, or -1.
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
