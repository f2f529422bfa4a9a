package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefixes of unit names.
const (
	PartitionPrefix = "w/" // worker partitions: w/<region>/<n>
	ShardPrefix     = "h/" // request shards: h/<n>
)

// Member is one live entry instance, as recorded under its member key in the store.
type Member struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Draining      bool   `json:"draining,omitempty"`
}

// RegionOf returns the region of a worker partition, and "" for a request
// shard, which belongs to no region.
func RegionOf(unit string) string {
	rest, ok := strings.CutPrefix(unit, PartitionPrefix)
	if !ok {
		return ""
	}
	region, _, _ := strings.Cut(rest, "/")
	return region
}

// Rank returns the members to which the unit may be assigned, most preferred first.
// Draining members are excluded. Members in the region of a worker partition
// precede all others. The order depends on instance names only, so a
// restart of a process moves no unit.
func Rank(unit string, members []Member) []Member {
	region := RegionOf(unit)
	return rankByClass(unit, members, func(m Member) int {
		if region != "" && m.Region != region {
			return 1
		}
		return 0
	})
}

// Preferred returns the first member of Rank without building the whole order.
func Preferred(unit string, members []Member) (Member, bool) {
	region := RegionOf(unit)
	best, bestScore, bestLocal, found := Member{}, uint64(0), false, false
	for _, m := range members {
		if m.Draining {
			continue
		}
		local := region == "" || m.Region == region
		s := score(unit, m.Instance)
		if !found || ranksHigher(local, s, m.Instance, bestLocal, bestScore, best.Instance) {
			best, bestScore, bestLocal, found = m, s, local, true
		}
	}
	return best, found
}

func ranksHigher(local bool, candidateScore uint64, name string, bestLocal bool, bestScore uint64, bestName string) bool {
	if local != bestLocal {
		return local
	}
	if candidateScore != bestScore {
		return candidateScore > bestScore
	}
	return name < bestName
}

// Successors returns up to n members that may take over the unit from owner.
// Members in the owner's region come first, since an owner that is separated from
// the store by a network partition between regions depends on their promises.
// Among these, a member in a failure domain that is not used yet precedes one in
// a used domain.
func Successors(owner Member, unit string, members []Member, n int) []Member {
	candidates := rankByClass(unit, members, func(m Member) int {
		if m.Region != owner.Region {
			return 1
		}
		return 0
	})
	candidates = slices.DeleteFunc(candidates, func(m Member) bool { return m.Instance == owner.Instance })
	used := []string{owner.FailureDomain}
	chosen := make([]Member, 0, n)
	for len(chosen) < n && len(candidates) > 0 {
		i := nextSuccessor(candidates, used)
		chosen = append(chosen, candidates[i])
		used = append(used, candidates[i].FailureDomain)
		candidates = slices.Delete(candidates, i, i+1)
	}
	return chosen
}

// nextSuccessor returns the index of the first candidate that is in the region of
// the best candidate and in an unused failure domain, or 0 if there is none.
func nextSuccessor(candidates []Member, used []string) int {
	for i, m := range candidates {
		if m.Region != candidates[0].Region {
			break
		}
		if !slices.Contains(used, m.FailureDomain) {
			return i
		}
	}
	return 0
}

type rankedMember struct {
	Member
	class int
	score uint64
}

// rankByClass sorts the members that are not draining by class, then by score.
func rankByClass(unit string, members []Member, class func(Member) int) []Member {
	candidates := make([]rankedMember, 0, len(members))
	for _, m := range members {
		if !m.Draining {
			candidates = append(candidates, rankedMember{Member: m, class: class(m), score: score(unit, m.Instance)})
		}
	}
	slices.SortFunc(candidates, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.Instance, b.Instance))
	})
	sorted := make([]Member, len(candidates))
	for i, r := range candidates {
		sorted[i] = r.Member
	}
	return sorted
}

// score is the rendezvous weight of an instance for a unit. The two hashes are
// combined and mixed instead of hashing the joined names, so that ranking all
// units needs no allocation.
func score(unit, instance string) uint64 {
	hash := xxhash.Sum64String(unit) ^ (xxhash.Sum64String(instance) * 0x9E3779B97F4A7C15)
	hash ^= hash >> 30
	hash *= 0xBF58476D1CE4E5B9
	hash ^= hash >> 27
	hash *= 0x94D049BB133111EB
	return hash ^ hash>>31
}
