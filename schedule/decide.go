package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// newOwnerPeriod is the time after a takeover for which everything is admitted: reports of workers and
	// advice tickets are missing, and most of the capacity appears to be unused or unusable.
	newOwnerPeriod = 3 * time.Second
	// admissionTimeout is the time after which an admitted job that was not recorded no longer counts as
	// work ahead; callers wait 3 s.
	admissionTimeout = 4 * time.Second
	// maxAdmissions bounds the number of admitted jobs that are not recorded yet.
	maxAdmissions = 4096
	// restrictedWait is the wait of new jobs from which an instance must ask the owner. It is a fraction of
	// the shortest time for which results are of use, and longer than the age of an instance's view.
	restrictedWait = 500 * time.Millisecond
	// maxPairs bounds the number of known pairs of queue and team.
	maxPairs = 4096
	// pairMemory is the time for which a pair without submissions is known.
	pairMemory = time.Minute
	// maxPrecedence is the longest time by which a job that was rejected before is placed earlier, and the one
	// with which it exchanges places later. It is below the difference between two priorities.
	maxPrecedence = 3 * time.Second
	// inflowHalfLife is the half-life of the moving average of arriving work.
	inflowHalfLife = 5 * time.Second
	// idleShare is the share of a service's free CPU from which nothing is rejected.
	idleShare = 0.5
)

// Pair is a queue and a team that submits to it.
type Pair struct{ Queue, Team string }

// Admission is the decision about a submission.
type Admission struct {
	Rejected   bool
	Returned   bool          // the caller was rejected before and has returned in its time
	Cause      string        // of a rejection
	RetryAfter time.Duration // when the caller of a rejected submission should return, in whole seconds
	// KnowsEnded means that the owner knows all jobs that have ended within finalRetention, so that a job that it
	// does not know is not one of these.
	KnowsEnded bool
}

// Causes of rejections.
const (
	rejectedHopeless  = "hopeless" // it would end too late to be of use
	rejectedEarly     = "early"    // repeated before its return time
	rejectedByBacklog = "grown"    // returned in time, but the backlog has grown
)

// admissionState is what the owner knows about submissions that are not recorded jobs.
type admissionState struct {
	since       time.Time // when this owner took over
	expiredAt   time.Time
	turnaways   turnaways
	admitted    map[job.ID]*admittedJob
	inflows     map[inflowKey]*inflowRate // of entitled jobs
	pairs       map[Pair]time.Time        // time of the last submission
	maxLeftFree task.Resources            // largest free amounts on a worker after the last pass
	limited     []Pair                    // restricted pairs as of limitedAt
	limitedAt   time.Time
}

// admittedJob is an admitted job that is not recorded yet.
type admittedJob struct {
	waitingWork
	service    string
	until      time.Time
	startsAt   time.Time // as expected; zero if there was no forecast
	returned   bool      // was rejected before
	rejectedAt time.Time // first rejection
}

// inflowKey names the arrivals of queues with a priority on a service.
type inflowKey struct {
	service  string
	priority int
}

// inflowRate is a moving average of arriving work.
type inflowRate struct {
	rate      amounts
	updatedAt time.Time
}

func newAdmissionState(now time.Time) admissionState {
	return admissionState{
		since: now, turnaways: newTurnaways(), admitted: make(map[job.ID]*admittedJob), inflows: make(map[inflowKey]*inflowRate), pairs: make(map[Pair]time.Time),
	}
}

// current returns the average at the given time.
func (r *inflowRate) current(now time.Time) amounts {
	return amounts{}.plus(r.rate, math.Exp2(-now.Sub(r.updatedAt).Seconds()/inflowHalfLife.Seconds()))
}

// add adds arriving work.
func (r *inflowRate) add(now time.Time, work amounts) {
	r.rate, r.updatedAt = r.current(now).plus(work, math.Ln2/inflowHalfLife.Seconds()), now
}

// Admit decides whether a submission that is not recorded yet is accepted, and charges the memory that it
// takes if so. Its spec may be missing. A job that is already known is admitted, since its repeated submission
// must not be rejected.
func (c *Core) Admit(submitted *job.Job, specBytes int) Admission {
	if c.isKnown(submitted.ID) || submitted.Check() != nil {
		return Admission{}
	}
	if a := c.admitMemory(submitted, specBytes); a.Rejected {
		a.KnowsEnded = c.now.Sub(c.admission.since) > finalRetention
		return a
	}
	decision := c.admitByForecast(submitted)
	if decision.Rejected {
		c.held.Withdraw(submitted.ID)
	}
	return decision
}

// admitByForecast decides whether a submission that is not recorded yet can end while its result is of use.
func (c *Core) admitByForecast(submitted *job.Job) Admission {
	a := &c.admission
	q := c.catalog.Queue(submitted.Queue)
	if !c.cfg.Forecast || q == nil {
		return Admission{}
	}
	c.recordPair(Pair{submitted.Queue, submitted.Team})
	candidate := &jobState{Job: submitted, terms: q.Terms(), arrivedAt: c.now}
	candidate.objective = c.objectiveOf(candidate)
	if !c.canForecast(candidate) {
		return Admission{}
	}
	key := submission{submitted.Team, submitted.ID}
	entry := a.turnaways.entries[key]
	if entry != nil && c.now.After(entry.until) {
		a.turnaways.remove(entry)
		entry = nil
	}
	returning := entry != nil && entry.isDue(c.now)
	in, item := c.forecastInput(candidate, returning)
	f := expect(in)
	decision := Admission{}
	switch {
	case in.freeNow:
	case entry != nil && !returning:
		decision = Admission{Rejected: true, Cause: rejectedEarly, RetryAfter: wholeSeconds(entry.from.Sub(c.now))}
	case !f.hopeless:
	case returning && !entry.hasGrown(in.allAhead()):
	default:
		decision = Admission{Rejected: true, Cause: rejectedHopeless}
		if returning {
			decision.Cause = rejectedByBacklog
		}
		// When it returns, it is within the rate of its team.
		later := in
		if in.surplus {
			later, _ = c.forecastInput(candidate, true)
		}
		rejected := turnaway{submission: key, service: candidate.terms.Service, work: in.ownWork, ahead: later.allAhead()}
		decision.RetryAfter = a.turnaways.reject(c.now, rejected, expect(later).excess, c.returnInterval(candidate, in))
	}
	decision.Returned = returning && !decision.Rejected
	if !decision.Rejected {
		c.recordAdmitted(submitted.ID, entry, &admittedJob{
			waitingWork: item, service: candidate.terms.Service, until: c.now.Add(admissionTimeout), startsAt: c.now.Add(f.start), returned: decision.Returned,
		})
	}
	c.logAdmission(candidate, in, f, decision)
	return decision
}

// isKnown reports whether a job was accepted or admitted.
func (c *Core) isKnown(id job.ID) bool {
	_, open := c.jobs[id]
	_, ended := c.finals[id]
	_, admitted := c.admission.admitted[id]
	return open || ended || admitted
}

// canForecast reports whether the end of a new job can be forecast: the owner knows its workers, the
// job runs once and the duration of each step is estimated.
func (c *Core) canForecast(j *jobState) bool {
	if c.now.Sub(c.admission.since) < newOwnerPeriod || c.openUnresolved > 0 || !c.mayPlace() || j.Repeats > 0 || j.objective <= 0 {
		return false
	}
	return !slices.ContainsFunc(j.Steps, func(s job.Step) bool { return s.LongLived || s.Estimate <= 0 })
}

// forecastInput collects what the forecast for a new job is based on. It also returns the job as waiting
// work.
func (c *Core) forecastInput(j *jobState, returning bool) (*forecastInput, waitingWork) {
	b, service := c.currentBacklog(), j.terms.Service
	first := c.firstSteps(j)
	label := first[0].spec.RequiredLabel
	in := &forecastInput{
		service: c.supplyOf(b, supplyKey{service, label}), team: c.limitOf(b, j.Team), inflow: c.inflowOf(service, math.MaxInt), urgentInflow: c.inflowOf(service, j.terms.Priority),
		objective: j.objective, chain: c.remainingChainOf(j), freeNow: slices.ContainsFunc(first, c.canStartNow) || b.isIdle(service),
	}
	in.ownWork = c.totalWork(j)
	if s := first[0]; s.spec.Gang {
		size := amountsOf(taskSize(s.spec).Scale(int64(s.spec.Count)))
		for kind := range size {
			if size[kind] <= in.service.total[kind] { // otherwise it waits for workers that are not usable now
				in.firstSize[kind] = size[kind]
			}
		}
	}
	var promised amounts
	reserved := 0.0
	if !returning {
		promised, reserved = c.admission.turnaways.promised(j.Team, service, c.now, time.Duration(ExpiryFactor*float64(j.objective)))
	}
	if returning {
		reserved = -c.tokenDebt(j.Team)
	}
	in.surplus = !c.hasToken(j.Team, reserved+c.admittedTokens(j.Team))
	own := waitingWork{team: j.Team, label: label, rank: rankOnTime, order: c.placementOrder(first[0]), work: in.ownWork,
		lateAt: first[0].latestStart.Add(j.objective / 2), expiresAt: expiryOf(j)}
	if in.surplus {
		own.rank = rankSurplus
	}
	c.addAhead(in, b, service, own, j.terms.Advice)
	in.ahead.work, in.teamAhead.work = in.ahead.work.plus(promised, 1), in.teamAhead.work.plus(promised, 1)
	return in, own
}

// firstSteps returns the steps of a new job that depend on no other.
func (c *Core) firstSteps(j *jobState) []*stepState {
	var first []*stepState
	for i := range j.Steps {
		if len(j.Steps[i].After) > 0 {
			continue
		}
		s := &stepState{key: job.StepKey{Job: j.ID, Step: i}, job: j, spec: &j.Steps[i], tasks: make([]taskState, j.Steps[i].Count)}
		s.latestStart = c.latestStart(s)
		first = append(first, s)
	}
	return first
}

// remainingChainOf returns the duration of the longest dependency chain of a new job.
func (c *Core) remainingChainOf(j *jobState) time.Duration {
	return slices.Max(c.chainLengths(j))
}

// isIdle reports whether much of the CPU of a service is free.
func (b *backlog) isIdle(service string) bool {
	u := b.capacity[service]
	return float64(u.used) < (1-idleShare)*float64(u.capacity)
}

// addAhead adds the waiting work that precedes a new job. Only work that needs the same label counts
// for a step that needs one, and no team counts for more than its limit lets it use in the meantime.
func (c *Core) addAhead(in *forecastInput, b *backlog, service string, own waitingWork, advice *job.AdvicePolicy) {
	ahead, late := make(map[string]*aheadWork), make(map[string]*aheadWork)
	count := func(of map[string]*aheadWork, w *waitingWork, until, canWait time.Time) {
		sum := of[w.team]
		if sum == nil {
			sum = &aheadWork{}
			of[w.team] = sum
		}
		*sum = sum.plus(c.aheadUntil(w, until, canWait))
	}
	var calls time.Duration
	lastStart := own.expiresAt.Add(-in.chain)
	add := func(w *waitingWork) {
		precedes := cmp.Or(cmp.Compare(w.rank, own.rank), w.order.Compare(own.order)) <= 0
		switch {
		case own.label != "" && w.label != own.label:
		case precedes && own.rank == rankOnTime:
			count(ahead, w, w.lateAt, own.lateAt.Add(-in.objective/2))
			calls += w.adviceCall
		case precedes:
			count(ahead, w, w.expiresAt, lastStart)
			calls += w.adviceCall
		case w.rank == rankLate && w.order.Before(own.order):
			count(late, w, w.expiresAt, lastStart)
		}
	}
	waiting := b.waiting[service]
	for i := range waiting {
		add(&waiting[i])
	}
	for _, a := range c.admission.admitted {
		if a.service == service {
			add(&a.waitingWork)
		}
	}
	useful := ExpiryFactor * in.objective.Seconds()
	if sum := ahead[own.team]; sum != nil {
		in.teamAhead = *sum
	}
	for team, work := range ahead {
		in.ahead = in.ahead.plus(c.withinLimit(b, team, *work, useful))
	}
	for team, work := range late {
		in.lateAhead = in.lateAhead.plus(c.withinLimit(b, team, *work, useful))
	}
	if advice != nil {
		in.adviceWait = calls / time.Duration(c.callProxies(advice.Base))
	}
}

// aheadUntil returns waiting work that precedes a new job until the given time. It perishes if that is
// within half of the time for which the new job can wait. Later, the new job would be the next to perish
// and compete with all that has arrived in the meantime.
func (c *Core) aheadUntil(w *waitingWork, until, canWait time.Time) aheadWork {
	a := aheadWork{work: w.work}
	if until.Sub(c.now) < canWait.Sub(c.now)/2 {
		a.perishing, a.perishedBy = w.work, max(0, until.Sub(c.now))
	}
	return a
}

// withinLimit returns the part of the work of a team that its limit lets it do in some seconds.
func (c *Core) withinLimit(b *backlog, team string, a aheadWork, seconds float64) aheadWork {
	limit := c.limitOf(b, team)
	if limit == nil {
		return a
	}
	for kind := range a.work {
		if limit.total[kind] > 0 {
			a.work[kind] = min(a.work[kind], limit.total[kind]*seconds)
			a.perishing[kind] = min(a.perishing[kind], a.work[kind])
		}
	}
	return a
}

// callProxies returns the number of proxies that can make calls of a duration at the same time.
func (c *Core) callProxies(callDuration time.Duration) int {
	if callDuration >= longCallThreshold {
		return c.maxLongCallProxies()
	}
	return max(1, len(c.proxies))
}

// tokenDebt returns how many tokens in advance the rejected callers of a team may take when they return.
// They return at no more than its rate, but several in the same second.
func (c *Core) tokenDebt(team string) float64 {
	if t := c.catalog.Team(team); t != nil {
		return max(1, t.Weight*burstSeconds)
	}
	return 0
}

// inflowOf returns the resources that entitled jobs take which arrive for queues of a service that are more
// urgent than a priority.
func (c *Core) inflowOf(service string, priority int) amounts {
	var sum amounts
	for key, r := range c.admission.inflows {
		if key.service == service && key.priority < priority {
			sum = sum.plus(r.current(c.now), 1)
		}
	}
	return sum
}

// admittedTokens returns the number of tokens that admitted jobs of a team will take once they are
// recorded.
func (c *Core) admittedTokens(team string) float64 {
	n := 0.0
	for _, a := range c.admission.admitted {
		if a.team == team && a.rank == rankOnTime {
			n++
		}
	}
	return n
}

// returnInterval returns the time between the returns of a team: at the rate of its jobs, or longer if
// its share of the service, while all teams with waiting work are busy, processes such jobs more slowly.
func (c *Core) returnInterval(j *jobState, in *forecastInput) time.Duration {
	weights := map[string]float64{j.Team: c.effectiveWeight(j.Team)}
	for _, w := range c.currentBacklog().waiting[j.terms.Service] {
		weights[w.team] = c.effectiveWeight(w.team)
	}
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	share := weights[j.Team] / sum
	interval := 0.0
	if t := c.catalog.Team(j.Team); t != nil && t.Weight > 0 {
		interval = 1 / t.Weight
	}
	for kind, work := range in.ownWork {
		if total := in.service.total[kind]; total > 0 {
			interval = max(interval, work/(total*share))
		}
	}
	return min(maxReturnDelay, time.Duration(interval*float64(time.Second)))
}

// effectiveWeight returns the weight of a team, 1 if it has none.
func (c *Core) effectiveWeight(team string) float64 {
	if t := c.catalog.Team(team); t != nil && t.Weight > 0 {
		return t.Weight
	}
	return 1
}
