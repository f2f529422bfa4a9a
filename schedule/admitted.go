package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// recordAdmitted records an admitted job until it is recorded in the store, and removes the entry of
// its former rejection.
func (c *Core) recordAdmitted(id job.ID, entry *turnaway, a *admittedJob) {
	if entry != nil {
		if a.returned {
			a.rejectedAt = entry.rejectedAt
			c.admission.turnaways.returned(entry)
		} else {
			c.admission.turnaways.remove(entry)
		}
	}
	if len(c.admission.admitted) < maxAdmissions {
		c.admission.admitted[id] = a
	}
}

// applyAdmission applies the decision about a submission to the recorded job. First-time callers leave
// tokens to those that were rejected before and return now.
func (c *Core) applyAdmission(j *jobState) {
	if !c.cfg.Forecast {
		j.surplus = c.takeToken(j.Team, 0)
		return
	}
	c.recordPair(Pair{j.Queue, j.Team})
	reserved := 0.0
	a, admitted := c.admission.admitted[j.ID]
	if admitted {
		delete(c.admission.admitted, j.ID)
		j.expectedAt = a.startsAt
	}
	if entry := c.admission.turnaways.entries[submission{j.Team, j.ID}]; entry != nil {
		c.admission.turnaways.remove(entry) // an instance with an old view has accepted it
	}
	if admitted && a.returned {
		reserved = -c.tokenDebt(j.Team)
	} else {
		_, reserved = c.admission.turnaways.promised(j.Team, j.terms.Service, c.now, 0)
	}
	j.surplus = c.takeToken(j.Team, reserved)
	if admitted && a.returned {
		c.exchangePlaces(j, a.rejectedAt)
	}
	c.recordArrival(j)
}

// exchangePlaces gives a job that was rejected before the place of the first waiting job of its team and
// priority that has arrived since, at most maxPrecedence earlier, and that job its place. The other job must
// be at least as large, so that no other team waits longer.
func (c *Core) exchangePlaces(j *jobState, rejectedAt time.Time) {
	place := func(j *jobState) time.Time { return c.latestStart(&stepState{key: job.StepKey{Job: j.ID}, job: j}) }
	work, own := c.totalWork(j), place(j)
	var first *jobState
	earliest := own
	for _, other := range c.jobs {
		if other == j || other.Team != j.Team || other.terms.Priority != j.terms.Priority || other.terms.Service != j.terms.Service ||
			other.state != job.Pending || other.surplus != j.surplus || other.precedence != 0 || other.Repeats > 0 || other.arrivedAt.Before(rejectedAt) {
			continue
		}
		at := place(other)
		isLate := c.now.After(at.Add(other.objective / 2))
		isFirst := at.Before(earliest) || first != nil && at.Equal(earliest) && other.ID < first.ID
		if isFirst && !isLate && own.Sub(at) <= maxPrecedence && c.totalWork(other).covers(work) {
			first, earliest = other, at
		}
	}
	if first != nil {
		j.precedence = own.Sub(earliest)
		first.precedence = -j.precedence
	}
}

// totalWork returns the work of all tasks of a job.
func (c *Core) totalWork(j *jobState) amounts {
	var work amounts
	for i := range j.Steps {
		work = work.plus(c.workOf(j, &j.Steps[i], j.Steps[i].Count), 1)
	}
	return work
}

// recordArrival adds a new job to the backlog and, if it is entitled, to the inflow of its service.
func (c *Core) recordArrival(j *jobState) {
	if j.Repeats > 0 {
		return
	}
	var work amounts
	for i := range j.Steps {
		if !j.Steps[i].LongLived {
			work = work.plus(c.workOf(j, &j.Steps[i], j.Steps[i].Count), 1)
		}
	}
	item := waitingWork{team: j.Team, label: j.Steps[0].RequiredLabel, rank: rankOnTime, work: work}
	if j.surplus {
		item.rank = rankSurplus
	} else {
		key := inflowKey{j.terms.Service, j.terms.Priority}
		r := c.admission.inflows[key]
		if r == nil {
			r = &inflowRate{updatedAt: c.now}
			c.admission.inflows[key] = r
		}
		r.add(c.now, work)
	}
	if b := c.backlog; b != nil {
		first := c.firstSteps(j)
		item.order, item.lateAt, item.expiresAt = c.placementOrder(first[0]), first[0].latestStart.Add(j.objective/2), expiryOf(j)
		b.waiting[j.terms.Service] = append(b.waiting[j.terms.Service], item)
	}
}

// checkForecast reports the error of the forecast for a job that starts.
func (c *Core) checkForecast(j *jobState) {
	if j.expectedAt.IsZero() {
		return
	}
	c.emit(ForecastChecked{Error: c.now.Sub(j.expectedAt)})
}

// expireAdmissions removes what is no longer needed of the admission state.
func (c *Core) expireAdmissions() {
	const interval = 100 * time.Millisecond
	a := &c.admission
	if !c.cfg.Forecast || c.now.Sub(a.expiredAt) < interval {
		return
	}
	a.expiredAt = c.now
	a.turnaways.expire(c.now)
	for id, admitted := range a.admitted {
		if c.now.After(admitted.until) {
			delete(a.admitted, id)
		}
	}
	for pair, at := range a.pairs {
		if c.now.Sub(at) > pairMemory {
			delete(a.pairs, pair)
		}
	}
}

// recordPair records a submission of a pair.
func (c *Core) recordPair(p Pair) {
	if _, known := c.admission.pairs[p]; known || len(c.admission.pairs) < maxPairs {
		c.admission.pairs[p] = c.now
	}
}

// restrictedPairs returns the pairs for whose submissions the owner must be asked: those with a long
// wait, and those of teams to which return times were given. It is sorted.
func (c *Core) restrictedPairs() []Pair {
	a := &c.admission
	if c.now.Sub(a.since) < newOwnerPeriod || c.openUnresolved > 0 {
		return nil
	}
	if c.now.Sub(a.limitedAt) < minPollInterval {
		return a.limited
	}
	a.limitedAt, a.limited = c.now, nil
	for pair := range a.pairs {
		if q := c.catalog.Queue(pair.Queue); q != nil && (c.hasReturns(pair.Team) || c.expectedWait(q, pair.Team) > restrictedWait) {
			a.limited = append(a.limited, pair)
		}
	}
	slices.SortFunc(a.limited, func(x, y Pair) int { return cmp.Or(cmp.Compare(x.Queue, y.Queue), cmp.Compare(x.Team, y.Team)) })
	return a.limited
}

// hasReturns reports whether rejected callers of a team are expected to return.
func (c *Core) hasReturns(team string) bool {
	r := c.admission.turnaways.teams[team]
	return r != nil && len(r.entries) > 0
}

// expectedWait returns the time for which a new job of a queue and team waits at most if all waiting work
// precedes it, except for that beyond the rates of teams if the team is within its rate.
func (c *Core) expectedWait(q *job.Queue, team string) time.Duration {
	b, arrivals := c.currentBacklog(), inflow{from: forecastHorizon, urgent: c.inflowOf(q.Service, q.Priority)}
	surplus := !c.hasToken(team, c.admittedTokens(team))
	if surplus {
		arrivals = inflow{rate: c.inflowOf(q.Service, math.MaxInt)}
	}
	var ahead, teamAhead amounts
	var calls time.Duration
	add := func(w *waitingWork) {
		if w.team == team {
			teamAhead = teamAhead.plus(w.work, 1)
		}
		if surplus || w.rank < rankSurplus {
			ahead = ahead.plus(w.work, 1)
			calls += w.adviceCall
		}
	}
	for i := range b.waiting[q.Service] {
		add(&b.waiting[q.Service][i])
	}
	for _, a := range c.admission.admitted {
		if a.service == q.Service {
			add(&a.waitingWork)
		}
	}
	wait := c.supplyOf(b, supplyKey{service: q.Service}).wait(ahead, amounts{}, arrivals)
	if limit := c.limitOf(b, team); limit != nil {
		wait = max(wait, limit.wait(teamAhead, amounts{}, inflow{from: forecastHorizon}))
	}
	if q.Advice != nil {
		wait = max(wait, calls/time.Duration(c.callProxies(q.Advice.Base)))
	}
	return wait
}

// logAdmission logs a decision with its inputs.
func (c *Core) logAdmission(j *jobState, in *forecastInput, f forecast, d Admission) {
	event := "admitted"
	if d.Rejected {
		event = "turned_away"
	}
	const perCore = 1000.0
	c.logDecision(j.ID, event, "queue", j.Queue, "team", j.Team, "why", d.Cause, "returned", d.Returned, "surplus", in.surplus, "free", in.freeNow,
		"start_ms", f.start.Milliseconds(), "end_ms", f.end.Milliseconds(), "objective_ms", in.objective.Milliseconds(),
		"ahead_core_s", int64(in.ahead.work[0]/perCore), "late_core_s", int64(in.lateAhead.work[0]/perCore), "cores", int64(in.service.total[0]/perCore),
		"retry_after_s", int64(d.RetryAfter.Seconds()))
}
