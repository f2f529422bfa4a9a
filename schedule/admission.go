package schedule

import (
	"math"
	"time"
)

const (
	// demandHalfLife smooths the rate at which a team hands in jobs.
	demandHalfLife = time.Second
	// maxSurplusWaiting is the number of surplus jobs of a team that may wait. More of
	// them would only wait longer, and cost the owner time.
	maxSurplusWaiting = 40
	// leastAdmitted is let through even of a flood, so that its end is noticed.
	leastAdmitted = 0.05
)

// Submitted counts the jobs that an instance was handed for a team, accepted or
// not, since it last reported.
func (c *Core) Submitted(team string, n int) {
	u := c.teamUsage(team)
	u.decayDemand(c.now)
	u.demand += float64(n) * math.Ln2 / demandHalfLife.Seconds()
}

func (u *teamUsage) decayDemand(now time.Time) {
	if !u.demandAt.IsZero() {
		u.demand *= math.Exp2(-now.Sub(u.demandAt).Seconds() / demandHalfLife.Seconds())
	}
	u.demandAt = now
}

// admission returns the part of the submissions of each team that should be
// accepted, for teams that send more than their rate while their surplus waits.
// It answers one team that sends many times its usual: its surplus is refused at
// once, and tasks of the others do not queue behind it.
func (c *Core) admission() map[string]float64 {
	out := make(map[string]float64)
	for name, u := range c.usage {
		t := c.catalog.Team(name)
		if t == nil || t.Weight <= 0 || u.surplusWaiting <= maxSurplusWaiting {
			continue
		}
		u.decayDemand(c.now)
		if u.demand > t.Weight {
			out[name] = max(leastAdmitted, t.Weight/u.demand)
		}
	}
	return out
}
