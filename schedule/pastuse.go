package schedule

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// maxPastUseShift is the maximum time by which the past use of a team delays the latest start of its
	// steps in the order of placement. It is below priorityPenalty, so that past use never outweighs a
	// priority.
	maxPastUseShift = 3500 * time.Millisecond
	// maxShiftOfObjective is the maximum shift of a step as a fraction of the objective of its job: a step
	// is late once half of its objective has passed after its latest start, see rank. Short jobs thereby
	// stay ahead of those that can wait for longer.
	maxShiftOfObjective = 0.5
	// One in unshiftedJobs jobs of a team is not shifted. While the work of light teams alone exceeds the
	// capacity, shifted steps would wait until they are late, and then behind all steps that are on time;
	// so a fourth of the jobs of a heavy team compete as if it were a light one.
	unshiftedJobs = 4
)

const (
	// pastUseChargeInterval is the interval at which the use of all teams is charged and the capacity is
	// updated. It bounds the use that is charged to a wrong hour.
	pastUseChargeInterval = time.Second
	// pastUseRecordInterval is the interval of the commits of past use. If the owner is lost, the use
	// since the last commit is lost, which at a half-life of one hour changes an average share by at most
	// 0.1%.
	pastUseRecordInterval = 5 * time.Second
	// pastUseLogInterval is the interval of the log lines about each team, which is enough for totals by
	// the hour: each line has the total of the hour so far.
	pastUseLogInterval = time.Minute
	// maxLoggedOrder is the maximum number of teams in a log line about their order.
	maxLoggedOrder = 16
)

// PastUse reports the past use of the teams for the metrics.
type PastUse struct{ Teams []TeamPastUse }

// TeamPastUse is the past use of a team and the shift that it had in the last pass; 0 if it had no
// waiting work then.
type TeamPastUse struct {
	Team  string
	Use   float64 // average share of the dominant resource, from 0 to 1
	Shift time.Duration
}

func (PastUse) isEffect() {}

// pastUseState is the state of a Core that concerns past use.
type pastUseState struct {
	ledger     *pastuse.Ledger // nil if past use is ignored
	comparison uint64          // number of the current comparison
	compared   []*teamUsage    // of the current comparison; reused
	entries    []pastuse.Entry // of compared; reused
	chargedAt  time.Time
	recordedAt time.Time
	reportedAt time.Time
	loggedAt   time.Time
	order      []string // teams in the order that was last logged
}

// teamPastUse is the part of teamUsage that concerns past use.
type teamPastUse struct {
	comparison uint64 // last comparison that included the team
	shift      time.Duration
}

// initPastUse enables past use if it is configured.
func (c *Core) initPastUse() {
	if c.cfg.PastUseHalfLife > 0 {
		c.pastUse = pastUseState{ledger: pastuse.New(c.cfg.PastUseHalfLife), recordedAt: c.now, reportedAt: c.now, loggedAt: c.now}
	}
}

// RestorePastUse restores the past use from the record of a former owner. A record that cannot be used
// is ignored and replaced by the next commit. Call it before jobs are restored.
func (c *Core) RestorePastUse(r *pastuse.Record) {
	if c.pastUse.ledger == nil || r == nil {
		return
	}
	if err := c.pastUse.ledger.Restore(c.now, c.wall, r); err != nil {
		c.emit(Decision{Event: "use_ignored", Fields: []any{"why", err}})
	}
}

// changeRunning adds the size of a run to the usage of its team, or subtracts a negative one.
func (c *Core) changeRunning(team string, size task.Resources) {
	u := c.teamUsage(team)
	u.running = u.running.Add(size)
	if c.pastUse.ledger != nil && !size.IsZero() {
		c.pastUse.ledger.SetRunning(c.now, team, u.running)
	}
}

// isUnshifted reports whether the steps of a job are not shifted. The choice depends on the epoch, which
// callers do not know, so that they cannot choose such IDs.
func (c *Core) isUnshifted(id job.ID) bool {
	return xxhash.Sum64String(strconv.FormatInt(c.epoch, 10)+"/"+string(id))%unshiftedJobs == 0
}

// addPastUseShifts adds the shifts of their teams to the latest starts of the waiting steps. Each team is
// compared once, however many steps it has.
func (c *Core) addPastUseShifts(list []rankedStep) {
	p := &c.pastUse
	if p.ledger == nil {
		return
	}
	p.comparison++
	p.compared, p.entries = p.compared[:0], p.entries[:0]
	for i := range list {
		j := list[i].step.job
		if j.usage.past.comparison == p.comparison {
			continue
		}
		j.usage.past.comparison = p.comparison
		p.compared = append(p.compared, j.usage)
		p.entries = append(p.entries, pastuse.Entry{Use: p.ledger.UseOf(c.now, j.Team), Weight: c.weightOf(j.Team)})
	}
	pastuse.Compare(p.entries, c.catalog.TeamCount(), maxPastUseShift)
	for i, u := range p.compared {
		u.past.shift = p.entries[i].Shift
	}
	for i := range list {
		list[i].latestStart += int64(pastUseShift(list[i].step))
	}
}

// pastUseShift returns the time that is added to the latest start of a waiting step in the order of
// placement because of the past use of its team. Long-lived tasks are not shifted: they must run again
// within seconds after a run has ended, however full the service is.
func pastUseShift(s *stepState) time.Duration {
	j := s.job
	if j.unshifted || s.spec.LongLived {
		return 0
	}
	return min(j.usage.past.shift, time.Duration(float64(j.objective)*maxShiftOfObjective))
}

// weightOf returns the configured weight of a team, or 0.
func (c *Core) weightOf(team string) float64 {
	if t := c.catalog.Team(team); t != nil {
		return t.Weight
	}
	return 0
}

// tickPastUse charges the use of all teams, and logs and reports it, when that is due.
func (c *Core) tickPastUse() {
	p := &c.pastUse
	if p.ledger == nil || c.now.Sub(p.chargedAt) < pastUseChargeInterval {
		return
	}
	p.chargedAt = c.now
	p.ledger.SetCapacity(c.now, c.pastUseCapacity())
	hour := p.ledger.Hour()
	hourEnds := c.wall.Sub(hour) >= time.Hour
	if hourEnds || c.now.Sub(p.loggedAt) >= pastUseLogInterval {
		p.loggedAt = c.now
		c.logPastUse(hour)
	}
	p.ledger.Advance(c.now, c.wall)
	if c.now.Sub(p.reportedAt) >= pastUseRecordInterval {
		p.reportedAt = c.now
		c.reportPastUse()
	}
}

// pastUseCapacity returns the capacity of the workers on which tasks may be placed. Workers that are
// silent or back off for some seconds are included, so that the shares do not change with them.
func (c *Core) pastUseCapacity() (total task.Resources) {
	for _, w := range c.workers {
		if w.listed && !w.Draining && !c.isEvacuated(w) {
			total = total.Add(w.Capacity)
		}
	}
	return total
}

// logPastUse logs the use of each team in the current hour.
func (c *Core) logPastUse(hour time.Time) {
	for _, t := range c.pastUse.ledger.Teams() {
		if t.HourTotal > 0 {
			c.emit(Decision{Event: "use", Fields: []any{"team", t.Team, "hour", hour.Format("2006-01-02T15Z"), "hour_share_s", formatShare(t.HourTotal),
				"share", formatShare(t.Use), "weight", c.weightOf(t.Team), "shift_ms", c.lastShift(t.Team).Milliseconds()}})
		}
	}
}

// lastShift returns the shift of a team in the last comparison, or 0 if it had no waiting work then.
func (c *Core) lastShift(team string) time.Duration {
	u := c.usage[team]
	if u == nil || u.past.comparison != c.pastUse.comparison {
		return 0
	}
	return u.past.shift
}

// reportPastUse reports the use of all teams for the metrics, and logs their order if it has changed.
func (c *Core) reportPastUse() {
	p := &c.pastUse
	teams := p.ledger.Teams()
	report := PastUse{Teams: make([]TeamPastUse, 0, len(teams))}
	for _, t := range teams {
		report.Teams = append(report.Teams, TeamPastUse{Team: t.Team, Use: t.Use, Shift: c.lastShift(t.Team)})
	}
	c.emit(report)
	order, shares := c.pastUseOrder(teams)
	if !slices.Equal(order, p.order) {
		p.order = order
		c.emit(Decision{Event: "use_order", Fields: []any{"teams", order, "shares", shares, "of", len(teams)}})
	}
}

// pastUseOrder returns the teams with the highest use relative to their weights, in descending order, and
// their average shares.
func (c *Core) pastUseOrder(teams []pastuse.TeamUse) (names, shares []string) {
	relative := func(t pastuse.TeamUse) float64 {
		if weight := c.weightOf(t.Team); weight > 0 {
			return t.Use / weight
		}
		return t.Use
	}
	teams = slices.Clone(teams)
	slices.SortStableFunc(teams, func(x, y pastuse.TeamUse) int { return -cmp.Compare(relative(x), relative(y)) })
	for _, t := range teams[:min(len(teams), maxLoggedOrder)] {
		names = append(names, t.Team)
		shares = append(shares, formatShare(t.Use))
	}
	return names, shares
}

// formatShare formats a share or an hourly total for the log.
func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', 4, 64) }

// isPastUseDue reports whether past use must be recorded.
func (c *Core) isPastUseDue() bool {
	p := &c.pastUse
	return p.ledger != nil && c.now.Sub(p.recordedAt) >= pastUseRecordInterval && p.ledger.HasChanged()
}

// takePastUse returns the record of past use for a commit.
func (c *Core) takePastUse() *pastuse.Record {
	c.pastUse.recordedAt = c.now
	return c.pastUse.ledger.Record(c.now, c.wall)
}
