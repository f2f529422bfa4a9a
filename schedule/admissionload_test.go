package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// admissionLoad submits jobs to a simulation through instances and callers that behave as those of the
// platform: instances poll the owner for its view, and callers that are rejected retry as told.
type admissionLoad struct {
	*simulation
	demand    func(team string, at time.Duration) float64 // jobs per second
	giveUp    float64                                     // share of the rejected callers that do not retry
	oldViews  bool                                        // one of the instances polls once in 20 s
	began     time.Time
	ended     time.Time
	views     [loadInstances]View
	submitted [loadInstances]map[string]int
	next      map[string]float64
	count     int

	accepted map[job.ID]time.Time
	rejected map[string]int // submissions, by team
	returned int
	again    int // rejected although they returned in time
}

const (
	loadInstances = 8
	loadAttempts  = 5 // of a caller: a first one and four more
	loadWorkers   = 12
	minGain       = 5                 // further jobs that end while they are of use, in percent
	maxLateRatio  = 0.75              // of the shares of accepted jobs that end too late, with and without forecasts
	drain         = 100 * time.Second // callers return after up to a minute
)

// loadTeams are the teams and the jobs per second to which each is entitled: together as many as the
// workers can process.
var loadTeams = []string{"amber", "beige", "coral", "denim"}

const loadRate = 1.75

func newAdmissionLoad(t *testing.T, seed uint64, forecast bool) *admissionLoad {
	l := &admissionLoad{simulation: newSimulation(t, seed, loadWorkers), next: map[string]float64{}, accepted: map[job.ID]time.Time{}, rejected: map[string]int{}}
	var teams []job.Team
	for _, team := range loadTeams {
		teams = append(teams, job.Team{Name: team, Weight: loadRate})
	}
	l.catalog = job.NewCatalog(2, 2, []job.Queue{
		{Name: "first", Service: "calc", Stretch: 2, TargetAllowance: time.Second},
		{Name: "second", Service: "calc", Priority: 1, Stretch: 2, TargetAllowance: time.Second},
	}, []job.Service{{Name: "calc"}}, teams)
	l.forecast = forecast
	l.takeOver()
	for i := range l.views {
		l.submitted[i] = map[string]int{}
		interval := 100 * time.Millisecond
		if l.every(interval, func() { l.poll(i) }); i == 0 {
			l.every(20*time.Second, func() { l.views[0] = l.core.ViewSince("", 0, 0) })
		}
	}
	l.run(5 * time.Second) // the owner is new for a while
	return l
}

// poll lets an instance poll the owner.
func (l *admissionLoad) poll(i int) {
	submitted := l.submitted[i]
	l.submitted[i] = map[string]int{}
	l.dispatch(func(c *Core) {
		for team, n := range submitted {
			c.AddDemand(team, n)
		}
		if i > 0 || !l.oldViews {
			l.views[i] = c.ViewSince("x", l.views[i].Epoch, l.views[i].Sequence)
		}
	})
}

// load submits jobs, first at usual rates, then according to the demand for a time.
func (l *admissionLoad) load(d time.Duration) {
	const warmUp, usual = 10 * time.Second, 0.8
	l.began = l.now.Add(warmUp)
	const interval = 10 * time.Millisecond
	for range (warmUp + d) / interval {
		for _, team := range loadTeams {
			rate := usual * loadRate
			if !l.now.Before(l.began) {
				rate = l.demand(team, l.now.Sub(l.began))
			}
			for l.next[team] += rate * interval.Seconds(); l.next[team] >= 1; l.next[team]-- {
				l.attempt(l.newJob(team), 1)
			}
		}
		l.run(interval)
	}
	l.ended = l.now
	l.run(drain)
}

func (l *admissionLoad) newJob(team string) *job.Job {
	l.count++
	queue := "first"
	if l.count%3 == 0 {
		queue = "second"
	}
	return &job.Job{ID: job.ID(fmt.Sprintf("%016x", l.count)), Queue: queue, Team: team, Steps: []job.Step{
		{Count: 6, Size: task.Resources{CPUMilli: 4000, MemoryMB: 1000}, Estimate: 2 * time.Second},
	}}
}

// attempt submits a job to a random instance.
func (l *admissionLoad) attempt(j *job.Job, number int) {
	i := l.rng.IntN(loadInstances)
	l.submitted[i][j.Team]++
	view := l.views[i]
	if share, limited := view.AdmittedShare[j.Team]; limited && l.rng.Float64() >= share {
		l.reject(j, number, 2*time.Second)
		return
	}
	if !isRestricted(view, j) {
		l.accept(j)
		return
	}
	l.after(l.delay(), func() {
		var decision Admission
		l.dispatch(func(c *Core) { decision = c.Admit(j, len(j.Spec)) })
		switch {
		case !decision.Rejected:
			l.accept(j)
		default:
			if decision.Cause == rejectedByBacklog {
				l.again++
			}
			l.reject(j, number, decision.RetryAfter)
		}
		if decision.Returned {
			l.returned++
		}
	})
}

func isRestricted(v View, j *job.Job) bool {
	for _, p := range v.Restricted {
		if p == (Pair{j.Queue, j.Team}) {
			return true
		}
	}
	return false
}

func (l *admissionLoad) reject(j *job.Job, number int, retryAfter time.Duration) {
	l.rejected[j.Team]++
	if number < loadAttempts && l.rng.Float64() >= l.giveUp {
		l.after(retryAfter+2*l.delay(), func() { l.attempt(j, number+1) })
	}
}

// accept records a job and passes it to the owner.
func (l *admissionLoad) accept(j *job.Job) {
	l.after(2*l.delay(), func() {
		l.accepted[j.ID] = l.now
		l.submit(j)
	})
}

// loadResult counts the accepted jobs.
type loadResult struct {
	accepted, useful, late, onTime int
	usefulDuring                   int // of use, ended by the end of the load
	returned, again                int
	usefulOf                       map[string]int
}

func (l *admissionLoad) result() loadResult {
	r := loadResult{usefulOf: map[string]int{}}
	const objective = 5 * time.Second // twice 2 s, and 1 s
	for id, at := range l.accepted {
		r.accepted++
		ended, done := l.endedAt(id)
		took := ended.Sub(at)
		if !done || took > ExpiryFactor*objective {
			r.late++
			continue
		}
		r.useful++
		r.usefulOf[l.jobs[id].Team]++
		if ended.Before(l.ended) {
			r.usefulDuring++
		}
		if took <= objective {
			r.onTime++
		}
	}
	return r
}

func (r loadResult) lateShare() float64 { return float64(r.late) / float64(r.accepted) }

// endedAt returns when the last task of a job succeeded.
func (l *admissionLoad) endedAt(id job.ID) (at time.Time, done bool) {
	for i := range l.jobs[id].Steps[0].Count {
		key := job.TaskKey{StepKey: job.StepKey{Job: id}, Index: i}
		if !l.succeeded[key] {
			return at, false
		}
		if starts := l.starts[key]; starts[len(starts)-1].Add(2300 * time.Millisecond).After(at) {
			at = starts[len(starts)-1].Add(2300 * time.Millisecond)
		}
	}
	return at, true
}

// TestAdmissionLoads guards against jobs that are accepted although they end too late to be of use, and
// against a team that takes the work of others, under the loads that early rejection addresses.
func TestAdmissionLoads(t *testing.T) {
	t.Parallel()
	constant := func(factor float64) func(string, time.Duration) float64 {
		return func(string, time.Duration) float64 { return factor * loadRate }
	}
	for _, c := range []struct {
		name   string
		demand func(team string, at time.Duration) float64
		set    func(*admissionLoad)
	}{
		{name: "swing", demand: func(_ string, at time.Duration) float64 {
			if at%(30*time.Second) < 15*time.Second {
				return 1.8 * loadRate
			}
			return 0.9 * loadRate
		}},
		{name: "burst", demand: constant(2)},
		{name: "one team", demand: func(team string, _ time.Duration) float64 {
			if team == loadTeams[0] {
				return 7 * loadRate
			}
			return loadRate
		}},
		{name: "give up", demand: constant(2), set: func(l *admissionLoad) { l.giveUp = 0.5 }},
		{name: "takeover", demand: constant(2), set: func(l *admissionLoad) { l.after(20*time.Second, l.takeOver) }},
		{name: "old views", demand: constant(2), set: func(l *admissionLoad) { l.oldViews = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var results [2]loadResult
			for i, forecast := range []bool{false, true} {
				l := newAdmissionLoad(t, 7, forecast)
				l.demand = c.demand
				if c.set != nil {
					c.set(l)
				}
				l.load(40 * time.Second)
				r := l.result()
				r.returned, r.again = l.returned, l.again
				results[i] = r
				t.Logf("forecast %v: submitted %d, accepted %d, of use %d (%d during the load), late %d, on time %d, by team %v, rejected %v, returned %d, rejected again %d",
					forecast, l.count, r.accepted, r.useful, r.usefulDuring, r.late, r.onTime, r.usefulOf, l.rejected, l.returned, l.again)
				if n := len(l.forecastErrors); n > 0 {
					slices.Sort(l.forecastErrors)
					t.Logf("%d jobs started later than forecast by %s (median), %s (first and last twentieth)",
						n, l.forecastErrors[n/2], []time.Duration{l.forecastErrors[n/20], l.forecastErrors[n-1-n/20]})
				}
			}
			without, with := results[0], results[1]
			if with.returned == 0 || with.again*10 > with.returned {
				// The backlog may have grown since, as in the second swing.
				t.Errorf("%d callers were admitted when they returned in time at another instance and %d rejected again, want at most a tenth", with.returned, with.again)
			}
			if with.useful*100 < without.useful*(100+minGain) {
				t.Errorf("%d jobs ended while they were of use, without forecasts %d: want %d %% more", with.useful, without.useful, minGain)
			}
			if lateShare, former := with.lateShare(), without.lateShare(); lateShare > maxLateRatio*former {
				t.Errorf("%.3f of the accepted jobs ended too late, without forecasts %.3f: want at most %.2f of it", lateShare, former, maxLateRatio)
			}
			for _, team := range loadTeams[1:] {
				if with.usefulOf[team] < without.usefulOf[team] {
					t.Errorf("%d jobs of team %s ended while they were of use, without forecasts %d", with.usefulOf[team], team, without.usefulOf[team])
				}
			}
		})
	}
}
