package placement

// spread counts the attempts of one spread key by failure domain and rack.
type spread struct {
	key          string
	total        int
	domainCounts []int32 // by index of the failure domain in Cluster.domainList
	rackCounts   []rackCount
}

type rackCount struct {
	rack  *rack
	count int32
}

// spreadLocation is the failure domain and rack under which an attempt is counted. It is stored
// because its node may move to another rack or failure domain.
type spreadLocation struct {
	spread      *spread
	rack        *rack
	domainIndex int
}

func (c *Cluster) getOrCreateSpread(key string) *spread {
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
	location := &spreadLocation{spread: c.getOrCreateSpread(key), rack: n.rack, domainIndex: n.domain.index}
	location.spread.add(location)
	return location
}

func (s *spread) add(location *spreadLocation) {
	for location.domainIndex >= len(s.domainCounts) {
		s.domainCounts = append(s.domainCounts, 0)
	}
	s.domainCounts[location.domainIndex]++
	s.total++
	if i := s.indexOf(location.rack); i >= 0 {
		s.rackCounts[i].count++
		return
	}
	s.rackCounts = append(s.rackCounts, rackCount{location.rack, 1})
}

func (c *Cluster) removeFromSpread(location *spreadLocation) {
	s := location.spread
	s.domainCounts[location.domainIndex]--
	s.total--
	i := s.indexOf(location.rack)
	s.rackCounts[i].count--
	if s.rackCounts[i].count == 0 {
		last := len(s.rackCounts) - 1
		s.rackCounts[i] = s.rackCounts[last]
		s.rackCounts = s.rackCounts[:last]
	}
	if s.total == 0 {
		delete(c.spreads, s.key)
	}
}

// indexOf returns the index of a rack in rackCounts, or -1.
func (s *spread) indexOf(r *rack) int {
	for i := range s.rackCounts {
		if s.rackCounts[i].rack == r {
			return i
		}
	}
	return -1
}

func (s *spread) countInDomain(domainIndex int) int32 {
	if domainIndex >= len(s.domainCounts) {
		return 0
	}
	return s.domainCounts[domainIndex]
}
