package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// DefaultHalfLife is the default of Config.HalfLife.
const DefaultHalfLife = 10 * time.Minute

// weightedShareMaxAge is the maximum age of a cached weighted share. Changes to a team's usage
// invalidate its cached share; otherwise, at the default half-life, decay changes it by 0.01% in that
// time.
const weightedShareMaxAge = 100 * time.Millisecond

// Config configures Shares.
type Config struct {
	HalfLife time.Duration // time in which the weight of past usage halves; zero for DefaultHalfLife
}

// Share is the usage of one team as a fraction of the cluster capacity, and its entitlement.
type Share struct {
	Current  float64 // dominant share of the current usage
	Decayed  float64 // dominant share of the decayed usage
	Entitled float64 // weight of the team divided by the weights of all teams
}

// Shares tracks the usage of teams. It is not safe for concurrent use.
type Shares struct {
	halfLife    time.Duration
	total       task.Resources // cluster capacity
	teams       map[task.Team]*usage
	totalWeight float64
	sortBuffer  []rankedTeam // reused by Order
}

// usage is the resource accounting of one team.
type usage struct {
	weight        float64
	local         task.Resources // usage at this owner
	remote        task.Resources // usage at all other owners
	decayed       vector         // exponential moving average of the usage, see Shares.decay
	decayedAt     time.Time      // time up to which decayed is computed
	cachedShare   float64        // cached result of Shares.weightedShare
	cachedShareAt time.Time      // when cachedShare was computed; zero if the cache is invalid
}

// vector is an amount of each resource that teams compete for.
type vector [4]float64

// rankedTeam is a team with its sort key.
type rankedTeam struct {
	team          task.Team
	weightedShare float64
}

// New returns Shares without teams.
func New(cfg Config) *Shares {
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	return &Shares{halfLife: cfg.HalfLife, teams: map[task.Team]*usage{}}
}

// SetWeight sets the weight of a team. The default is 1, which is also used if weight is not positive
// and finite.
func (s *Shares) SetWeight(team task.Team, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	u := s.getOrCreateUsage(team)
	s.totalWeight += weight - u.weight
	u.weight = weight
	u.cachedShareAt = time.Time{}
}

// SetCapacity sets the cluster capacity to which shares are relative.
func (s *Shares) SetCapacity(total task.Resources) {
	if s.total == total {
		return
	}
	s.total = total
	for _, u := range s.teams {
		u.cachedShareAt = time.Time{}
	}
}

// AddUsage adds size to a team's local usage.
func (s *Shares) AddUsage(now time.Time, team task.Team, size task.Resources) {
	u := s.getOrCreateUsage(team)
	s.decay(now, u)
	u.local = u.local.Add(size)
	u.cachedShareAt = time.Time{}
}

// SubtractUsage subtracts size from a team's local usage.
func (s *Shares) SubtractUsage(now time.Time, team task.Team, size task.Resources) {
	u := s.getOrCreateUsage(team)
	s.decay(now, u)
	u.local = u.local.Sub(size).Max(task.Resources{})
	u.cachedShareAt = time.Time{}
}

// SetRemoteUsage sets the usage of a team at all other owners.
func (s *Shares) SetRemoteUsage(now time.Time, team task.Team, size task.Resources) {
	u := s.getOrCreateUsage(team)
	s.decay(now, u)
	u.remote = size.Max(task.Resources{})
	u.cachedShareAt = time.Time{}
}

// Order sorts teams in place by ascending weighted share, so that the team furthest below its
// entitlement comes first, and returns them. Ties are broken by name.
func (s *Shares) Order(now time.Time, teams []task.Team) []task.Team {
	s.sortBuffer = s.sortBuffer[:0]
	for _, team := range teams {
		s.sortBuffer = append(s.sortBuffer, rankedTeam{team, s.weightedShare(now, s.getOrCreateUsage(team))})
	}
	slices.SortFunc(s.sortBuffer, compareWeightedShare)
	for i := range s.sortBuffer {
		teams[i] = s.sortBuffer[i].team
	}
	return teams
}

// Reorder restores the order of sorted teams after the usage of the first one has increased. It costs
// a fraction of Order, because it moves only that team.
func (s *Shares) Reorder(now time.Time, teams []task.Team) {
	if len(teams) < 2 {
		return
	}
	moved := rankedTeam{teams[0], s.weightedShare(now, s.getOrCreateUsage(teams[0]))}
	i := 1
	for ; i < len(teams); i++ {
		next := rankedTeam{teams[i], s.weightedShare(now, s.getOrCreateUsage(teams[i]))}
		if compareWeightedShare(moved, next) <= 0 {
			break
		}
		teams[i-1] = teams[i]
	}
	teams[i-1] = moved.team
}

// RemoveTeam removes a team that was deleted. It has no effect while the team has current usage.
func (s *Shares) RemoveTeam(team task.Team) {
	u, known := s.teams[team]
	if !known || !u.used().IsZero() {
		return
	}
	s.totalWeight -= u.weight
	delete(s.teams, team)
}

// ShareOf returns the share of a team, or the zero Share if the team is unknown.
func (s *Shares) ShareOf(now time.Time, team task.Team) Share {
	u, known := s.teams[team]
	if !known {
		return Share{}
	}
	s.decay(now, u)
	return Share{
		Current:  u.used().DominantShare(s.total),
		Decayed:  u.decayed.dominantShare(s.total),
		Entitled: u.weight / s.totalWeight,
	}
}

// weightedShare returns the sort key of a team, which is lower for a team further below its
// entitlement. The current share makes the order react immediately to starts; the decayed share
// accounts for usage above the entitlement in the recent past.
func (s *Shares) weightedShare(now time.Time, u *usage) float64 {
	if !u.cachedShareAt.IsZero() && now.Sub(u.cachedShareAt) < weightedShareMaxAge {
		return u.cachedShare
	}
	s.decay(now, u)
	u.cachedShare = (u.used().DominantShare(s.total) + u.decayed.dominantShare(s.total)) / u.weight
	u.cachedShareAt = now
	return u.cachedShare
}

// decay advances the decayed usage of a team to now. Decayed usage is an exponential moving average:
// it approaches the current usage, and the difference halves with each half-life.
func (s *Shares) decay(now time.Time, u *usage) {
	current := toVector(u.used())
	elapsed := now.Sub(u.decayedAt)
	if u.decayedAt.IsZero() || elapsed <= 0 {
		if u.decayedAt.IsZero() {
			u.decayedAt = now
		}
		return
	}
	retained := math.Exp2(-float64(elapsed) / float64(s.halfLife))
	for r := range u.decayed {
		u.decayed[r] = current[r] + (u.decayed[r]-current[r])*retained
	}
	u.decayedAt = now
}

// getOrCreateUsage returns the usage of a team. A new team has weight 1.
func (s *Shares) getOrCreateUsage(team task.Team) *usage {
	u, known := s.teams[team]
	if !known {
		u = &usage{weight: 1}
		s.teams[team] = u
		s.totalWeight++
	}
	return u
}

// used returns the current usage of the team at all owners.
func (u *usage) used() task.Resources { return u.local.Add(u.remote) }

func toVector(r task.Resources) vector {
	return vector{float64(r.CPUMilli), float64(r.MemoryMB), float64(r.Accelerators), float64(r.Slots)}
}

func (v vector) dominantShare(total task.Resources) float64 {
	share := 0.0
	for r, capacity := range toVector(total) {
		if capacity > 0 {
			share = max(share, v[r]/capacity)
		}
	}
	return share
}

func compareWeightedShare(a, b rankedTeam) int {
	if c := cmp.Compare(a.weightedShare, b.weightedShare); c != 0 {
		return c
	}
	return cmp.Compare(a.team, b.team)
}
