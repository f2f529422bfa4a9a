package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// DefaultHalfLife is the half-life of past usage if Config gives none.
const DefaultHalfLife = 10 * time.Minute

// needTick is how long the key of a team that neither starts nor finishes
// anything is kept. Decay changes it by 0.01% in that time at the default
// half-life.
const needTick = 100 * time.Millisecond

// Config configures Shares.
type Config struct {
	HalfLife time.Duration // time after which past usage counts half
}

// Share is the position of one team.
type Share struct {
	Current  float64 // dominant share of what the team uses now
	Decayed  float64 // dominant share of its decayed usage
	Entitled float64 // its weight over the weights of all teams
}

// Shares keeps the usage of teams. It is not safe for concurrent use.
type Shares struct {
	halfLife    time.Duration
	total       task.Resources
	teams       map[task.Team]*usage
	totalWeight float64
	keys        []ranked // working memory of Order
}

// usage is the account of one team.
type usage struct {
	weight    float64
	own       task.Resources
	remote    task.Resources
	decayed   vector
	decayedAt time.Time
	need      float64   // key of the order
	needAt    time.Time // when it was computed; zero after a change
}

// vector is an amount of each resource that teams compete for.
type vector [4]float64

type ranked struct {
	team task.Team
	need float64
}

// New returns shares without teams.
func New(cfg Config) *Shares {
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	return &Shares{halfLife: cfg.HalfLife, teams: map[task.Team]*usage{}}
}

// SetWeight sets the weight of a team. Weights that are not above zero count
// as 1, which is also the weight of a team that has none.
func (s *Shares) SetWeight(team task.Team, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	u := s.usageOf(team)
	s.totalWeight += weight - u.weight
	u.weight = weight
	u.needAt = time.Time{}
}

// SetTotal sets the amounts of which shares are fractions.
func (s *Shares) SetTotal(total task.Resources) {
	if s.total == total {
		return
	}
	s.total = total
	for _, u := range s.teams {
		u.needAt = time.Time{}
	}
}

// Start adds to a team's own usage.
func (s *Shares) Start(now time.Time, team task.Team, size task.Resources) {
	u := s.usageOf(team)
	s.decay(now, u)
	u.own = u.own.Add(size)
	u.needAt = time.Time{}
}

// Finish takes from a team's own usage.
func (s *Shares) Finish(now time.Time, team task.Team, size task.Resources) {
	u := s.usageOf(team)
	s.decay(now, u)
	u.own = u.own.Sub(size).Max(task.Resources{})
	u.needAt = time.Time{}
}

// SetRemote sets what a team uses at all other owners.
func (s *Shares) SetRemote(now time.Time, team task.Team, size task.Resources) {
	u := s.usageOf(team)
	s.decay(now, u)
	u.remote = size.Max(task.Resources{})
	u.needAt = time.Time{}
}

// Order sorts teams in place, the one furthest below its share first, and
// returns them. Teams in equal need are ordered by name.
func (s *Shares) Order(now time.Time, teams []task.Team) []task.Team {
	s.keys = s.keys[:0]
	for _, team := range teams {
		s.keys = append(s.keys, ranked{team, s.need(now, s.usageOf(team))})
	}
	slices.SortFunc(s.keys, compareRanked)
	for i := range s.keys {
		teams[i] = s.keys[i].team
	}
	return teams
}

// Reorder restores the order of teams after the usage of the first one has
// grown, at a fraction of the cost of Order.
func (s *Shares) Reorder(now time.Time, teams []task.Team) {
	if len(teams) < 2 {
		return
	}
	moved := ranked{teams[0], s.need(now, s.usageOf(teams[0]))}
	i := 1
	for ; i < len(teams); i++ {
		next := ranked{teams[i], s.need(now, s.usageOf(teams[i]))}
		if compareRanked(moved, next) <= 0 {
			break
		}
		teams[i-1] = teams[i]
	}
	teams[i-1] = moved.team
}

// Forget drops a team that no longer exists. A team that still uses something
// stays known until that has finished.
func (s *Shares) Forget(team task.Team) {
	u, known := s.teams[team]
	if !known || !u.used().IsZero() {
		return
	}
	s.totalWeight -= u.weight
	delete(s.teams, team)
}

// ShareOf returns the position of a team, zero if the team is unknown.
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

// need returns the key of the order, lower for a team further below its share.
// The present share makes the order react at once to what is started; the
// decayed share remembers who used more than its share a while ago.
func (s *Shares) need(now time.Time, u *usage) float64 {
	if !u.needAt.IsZero() && now.Sub(u.needAt) < needTick {
		return u.need
	}
	s.decay(now, u)
	u.need = (u.used().DominantShare(s.total) + u.decayed.dominantShare(s.total)) / u.weight
	u.needAt = now
	return u.need
}

// decay moves the decayed usage of a team towards its present usage.
func (s *Shares) decay(now time.Time, u *usage) {
	present := toVector(u.used())
	elapsed := now.Sub(u.decayedAt)
	if u.decayedAt.IsZero() || elapsed <= 0 {
		if u.decayedAt.IsZero() {
			u.decayedAt = now
		}
		return
	}
	kept := math.Exp2(-float64(elapsed) / float64(s.halfLife))
	for r := range u.decayed {
		u.decayed[r] = present[r] + (u.decayed[r]-present[r])*kept
	}
	u.decayedAt = now
}

func (s *Shares) usageOf(team task.Team) *usage {
	u, known := s.teams[team]
	if !known {
		u = &usage{weight: 1}
		s.teams[team] = u
		s.totalWeight++
	}
	return u
}

func (u *usage) used() task.Resources { return u.own.Add(u.remote) }

func toVector(r task.Resources) vector {
	return vector{float64(r.CPUMilli), float64(r.MemoryMB), float64(r.Accelerators), float64(r.Slots)}
}

func (v vector) dominantShare(total task.Resources) float64 {
	share := 0.0
	for r, whole := range toVector(total) {
		if whole > 0 {
			share = max(share, v[r]/whole)
		}
	}
	return share
}

func compareRanked(a, b ranked) int {
	if c := cmp.Compare(a.need, b.need); c != 0 {
		return c
	}
	return cmp.Compare(a.team, b.team)
}
