package schedule

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of the moving average of a team's submission rate.
	demandHalfLife = time.Second
	// maxSurplusPending is the number of pending surplus jobs above which a team's submissions are
	// throttled. More of them would only wait longer and add load on the owner.
	maxSurplusPending = 40
	// minAdmittedShare is the share of submissions that is admitted even in overload, so that the
	// end of the overload is detected.
	minAdmittedShare = 0.05
)

// AddDemand adds n jobs to a team's demand: those that an instance has accepted or rejected since
// its last report.
func (c *Core) AddDemand(team string, n int) {
	u := c.teamUsage(team)
	u.decayDemand(c.now)
	u.demand += float64(n) * math.Ln2 / demandHalfLife.Seconds()
}

// decayDemand applies the exponential decay since the last update.
func (u *teamUsage) decayDemand(now time.Time) {
	if !u.demandUpdatedAt.IsZero() {
		u.demand *= math.Exp2(-now.Sub(u.demandUpdatedAt).Seconds() / demandHalfLife.Seconds())
	}
	u.demandUpdatedAt = now
}

// admittedShares returns the share of submissions to accept for each team that exceeds its rate
// while its surplus jobs are pending. If one team submits many times its usual rate, its surplus is
// rejected at once and does not delay the tasks of other teams.
func (c *Core) admittedShares() map[string]float64 {
	out := make(map[string]float64)
	for name, u := range c.usage {
		t := c.catalog.Team(name)
		if t == nil || t.Weight <= 0 || u.surplusPending <= maxSurplusPending {
			continue
		}
		u.decayDemand(c.now)
		if u.demand > t.Weight {
			out[name] = max(minAdmittedShare, t.Weight/u.demand)
		}
	}
	return out
}
