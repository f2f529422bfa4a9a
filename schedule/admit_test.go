package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// newBusyOwner returns a simulation of 4 workers with a backlog of jobs of team blue for 35 s. The teams
// are entitled to 100 jobs per second.
func newBusyOwner(t *testing.T) *simulation {
	s := newSimulation(t, 3, 4)
	s.forecast = true
	s.takeOver()
	s.run(newOwnerPeriod + time.Second)
	for i := range 90 {
		s.submit(shortJob(i, "plain", "blue"))
	}
	s.run(time.Second)
	return s
}

// shortJob returns a job whose result is of use for 15 s.
func shortJob(n int, queue, team string) *job.Job {
	return &job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: queue, Team: team, Steps: []job.Step{
		{Count: 6, Size: task.Resources{CPUMilli: 4000, MemoryMB: 1000}, Estimate: 2 * time.Second},
	}}
}

func (s *simulation) admit(j *job.Job) (decision Admission) {
	s.dispatch(func(c *Core) { decision = c.Admit(j, len(j.Spec)) })
	return decision
}

// TestAdmitHopeless guards against jobs that are accepted although they end too late, and against the
// rejection of those that the same backlog does not concern.
func TestAdmitHopeless(t *testing.T) {
	s := newBusyOwner(t)
	if d := s.admit(shortJob(1000, "plain", "blue")); !d.Rejected || d.RetryAfter < time.Second || d.RetryAfter%time.Second != 0 {
		t.Errorf("behind a backlog of 35 s: %+v, want a rejection with whole seconds", d)
	}
	longer := shortJob(1001, "plain", "blue")
	longer.Steps[0].Estimate = 40 * time.Second
	if d := s.admit(longer); d.Rejected {
		t.Errorf("a job that is of use for 4 minutes is rejected: %+v", d)
	}
	if d := s.admit(shortJob(5, "plain", "blue")); d.Rejected {
		t.Errorf("a job that was accepted before is rejected: %+v", d)
	}
	if pairs := s.core.restrictedPairs(); len(pairs) != 1 || pairs[0] != (Pair{"plain", "blue"}) {
		t.Errorf("restricted pairs are %v, want only the one with the backlog", pairs)
	}
}

// TestAdmitWhileFree guards against rejections while workers that suit the job stand free: a backlog may
// wait for something else than capacity.
func TestAdmitWhileFree(t *testing.T) {
	s := newSimulation(t, 3, 4)
	s.forecast = true
	s.isEligible = func(k job.StepKey, worker string) bool { return worker < "w02" }
	s.takeOver()
	s.run(newOwnerPeriod + time.Second)
	occupying := shortJob(999, "plain", "blue")
	occupying.Steps[0].Count, occupying.Steps[0].RequiredLabel = 1, "r0"
	s.submit(occupying) // so that not everything is idle
	for i := range 160 {
		s.submit(shortJob(i, "advised", "blue"))
	}
	s.run(2 * time.Second)
	if d := s.admit(shortJob(1000, "plain", "blue")); d.Rejected {
		t.Errorf("%+v although two workers are free", d)
	}
	wide := shortJob(1001, "plain", "blue")
	wide.Steps[0].Count = 32
	if d := s.admit(wide); !d.Rejected {
		t.Errorf("%+v although only half of its tasks fit on the free workers", d)
	}
}

// TestRepeatedRequests guards against callers that gain by repeating a request or by using many IDs: a
// request before its time gets the same answer, and the return times of a team are handed out at its
// rate.
func TestRepeatedRequests(t *testing.T) {
	s := newBusyOwner(t)
	first := s.admit(shortJob(1000, "plain", "blue"))
	perSecond, previous := map[time.Time]int{}, time.Duration(0)
	for i := range 2000 {
		d := s.admit(shortJob(2000+i, "plain", "blue"))
		if !d.Rejected || d.RetryAfter < previous {
			t.Fatalf("ID %d: %+v, the one before may return after %s", i, d, previous)
		}
		previous = d.RetryAfter
	}
	a := &s.core.admission
	for _, e := range a.turnaways.entries {
		perSecond[e.from]++
	}
	// 128 cores process 2.7 jobs of 48 core-seconds per second.
	for at, n := range perSecond {
		if n > 4 {
			t.Errorf("%d callers return at %s, want at most 4", n, at)
		}
	}
	if len(a.turnaways.entries) > maxTeamTurnaways || len(perSecond) < 5 {
		t.Errorf("%d entries at %d times", len(a.turnaways.entries), len(perSecond))
	}
	for range 20 {
		s.run(first.RetryAfter / 100)
		if d := s.admit(shortJob(1000, "plain", "blue")); !d.Rejected || d.Cause != rejectedEarly || d.RetryAfter > first.RetryAfter {
			t.Fatalf("repeated: %+v, first %+v", d, first)
		}
	}
}

// TestReturnInTime guards against a caller that waits as told and is rejected again or placed behind
// first-time callers of its team, and against precedence that is unbounded in time or belongs to another
// team.
func TestReturnInTime(t *testing.T) {
	s := newBusyOwner(t)
	rejected, other, late := shortJob(1000, "plain", "blue"), shortJob(1001, "plain", "blue"), shortJob(1002, "plain", "blue")
	retryAfter := s.admit(rejected).RetryAfter
	for _, j := range []*job.Job{other, late} {
		retryAfter = max(retryAfter, s.admit(j).RetryAfter)
	}
	s.run(retryAfter)
	for i := range 40 {
		s.submit(shortJob(1200+i, "plain", "blue"))
	}
	s.run(10 * time.Millisecond)
	stolen := *other
	stolen.Team = "red"
	if d := s.admit(&stolen); d.Returned {
		t.Errorf("another team returns with the ID of a rejected job: %+v", d)
	}
	d := s.admit(rejected)
	if d.Rejected || !d.Returned {
		t.Fatalf("%+v after %s, want admitted", d, retryAfter)
	}
	newcomer := shortJob(1100, "plain", "blue")
	s.submit(newcomer)
	s.run(10 * time.Millisecond)
	s.submit(rejected)
	place := map[job.ID]int{}
	for i, step := range s.core.waitingSteps() {
		place[step.key.Job] = i
	}
	if len(place) < 10 || place[rejected.ID] >= place[newcomer.ID] {
		t.Errorf("the returned job is in place %d, behind a newcomer in place %d", place[rejected.ID], place[newcomer.ID])
	}
	for i := range 200 {
		s.submit(shortJob(1300+i, "plain", "blue"))
	}
	if d := s.admit(other); !d.Rejected || d.Cause != rejectedByBacklog {
		t.Errorf("%+v although the backlog has grown", d)
	}
	s.run(6 * time.Second) // the window is 4 s
	if d := s.admit(late); d.Returned {
		t.Errorf("precedence lasts longer than 4 s: %+v", d)
	}
}

// TestExchangePlaces guards against a returned job that delays other teams: it only exchanges places with
// a job of its team that is at least as large.
func TestExchangePlaces(t *testing.T) {
	s := newBusyOwner(t)
	rejectedAt := s.now
	s.run(100 * time.Millisecond)
	smaller, equal, returned := shortJob(1000, "plain", "blue"), shortJob(1001, "plain", "blue"), shortJob(1002, "plain", "blue")
	smaller.Steps[0].Count = 5
	for _, j := range []*job.Job{smaller, shortJob(1003, "plain", "red"), equal, returned} {
		s.submit(j)
		s.run(100 * time.Millisecond)
	}
	c := s.core
	c.Begin(s.now, s.now)
	c.exchangePlaces(c.jobs[returned.ID], rejectedAt)
	for _, j := range c.jobs {
		want := time.Duration(0)
		switch j.ID {
		case returned.ID:
			want = 100 * time.Millisecond
		case equal.ID:
			want = -100 * time.Millisecond
		}
		if j.precedence != want {
			t.Errorf("job %s is placed earlier by %s, want %s", j.ID, j.precedence, want)
		}
	}
}

// TestReturnWithinRate guards against a team that gains more than its rate by rejected callers: their
// tokens are taken in advance, so that first-time callers are beyond the rate for as long.
func TestReturnWithinRate(t *testing.T) {
	s := newBusyOwner(t)
	c := s.core
	c.Begin(s.now, s.now)
	u := c.teamUsage("blue")
	u.tokens, u.refilledAt = 0, s.now
	debt := c.tokenDebt("blue")
	granted := 0
	for granted < 10_000 && !c.takeToken("blue", -debt) {
		granted++
	}
	if float64(granted) > debt || granted == 0 {
		t.Errorf("%d tokens were taken in advance, want at most %g", granted, debt)
	}
	s.now = s.now.Add(time.Second) // 100 tokens
	c.Begin(s.now, s.now)
	if !c.takeToken("blue", 0) {
		t.Error("a first-time caller gets a token that was taken in advance")
	}
}

// TestAdmitWithoutForecast guards against a stop of the owner by a submission that cannot be forecast, and
// against its rejection.
func TestAdmitWithoutForecast(t *testing.T) {
	s := newBusyOwner(t)
	unknown, noEstimate, longLived, recurring := shortJob(1000, "none", "blue"), shortJob(1001, "plain", "blue"), shortJob(1002, "plain", "blue"), shortJob(1003, "plain", "blue")
	noEstimate.Steps[0].Estimate = 0
	longLived.Steps[0].LongLived = true
	recurring.Repeats = 3
	badStep := shortJob(1004, "plain", "blue")
	badStep.Steps[0].After = []int{7}
	negative := shortJob(1005, "plain", "blue")
	negative.Steps[0].Estimate = -time.Hour
	for _, j := range []*job.Job{unknown, noEstimate, longLived, recurring, badStep, negative, {ID: "x", Queue: "plain"}, {}} {
		if d := s.admit(j); d.Rejected {
			t.Errorf("job %+v: %+v", j, d)
		}
	}
	noTeam := shortJob(1006, "plain", "unknown")
	s.admit(noTeam) // either decision is right
	s.takeOver()
	s.run(time.Second)
	if d := s.admit(shortJob(1007, "plain", "blue")); d.Rejected {
		t.Errorf("a new owner rejects: %+v", d)
	}
	if pairs := s.core.restrictedPairs(); len(pairs) > 0 {
		t.Errorf("a new owner restricts %v", pairs)
	}
}

// TestForecastError guards against forecasts whose error nobody sees.
func TestForecastError(t *testing.T) {
	s := newBusyOwner(t)
	j := shortJob(1000, "plain", "blue")
	j.Steps[0].Estimate = 30 * time.Second
	if d := s.admit(j); d.Rejected {
		t.Fatalf("rejected: %+v", d)
	}
	s.submit(j)
	state := s.core.jobs[j.ID]
	if state.expectedAt.IsZero() {
		t.Fatal("the forecast was not kept")
	}
	s.run(2 * time.Minute)
	key := job.TaskKey{StepKey: job.StepKey{Job: j.ID}}
	if len(s.starts[key]) == 0 {
		t.Fatal("the job has not started")
	}
	if len(s.forecastErrors) != 1 {
		t.Fatalf("the errors of %d forecasts were reported, want 1", len(s.forecastErrors))
	}
	if off := s.starts[key][0].Sub(state.expectedAt); (off-s.forecastErrors[0]).Abs() > 20*time.Millisecond || off.Abs() > 5*time.Second {
		t.Errorf("the job started %s later than forecast, reported are %s", off, s.forecastErrors[0])
	}
}

// TestUnansweredOrdersAhead guards against forecasts, and thus return times, that do not count tasks whose start orders got no
// answer: they have to start again before the jobs that arrive later.
func TestUnansweredOrdersAhead(t *testing.T) {
	s := newSimulation(t, 3, 2)
	s.forecast = true
	s.takeOver()
	s.run(newOwnerPeriod)
	const silent = "w01"
	s.workers[silent].Service = "other" // so that the first job fills the other worker
	s.run(time.Second)
	occupying := shortJob(1, "plain", "red")
	occupying.Steps[0].Count, occupying.Steps[0].Estimate = 8, 10*time.Second
	s.submit(occupying)
	s.run(time.Second)
	s.workers[silent].Service = "calc"
	s.run(time.Second)
	s.workers[silent].partitioned = true
	unanswered := shortJob(2, "plain", "blue")
	unanswered.Steps[0].Count, unanswered.Steps[0].Estimate = 8, 20*time.Second
	s.submit(unanswered)
	for range 30 {
		s.run(100 * time.Millisecond)
		if s.core.steps[job.StepKey{Job: unanswered.ID}].runsOrdered < 8 {
			continue
		}
		if s.core.workers[silent].silent {
			break
		}
	}
	if len(s.core.jobs[unanswered.ID].runs) != 8 || s.begun[unanswered.ID] {
		t.Fatalf("the orders are not unanswered: %s", s.core.describe(unanswered.ID))
	}
	s.run(200 * time.Millisecond)
	const minWait = 20 * time.Second // the work of the unanswered tasks on the other worker
	if wait := s.core.expectedWait(s.catalog.Queue("plain"), "blue"); wait < minWait {
		t.Errorf("a new job is expected to wait for %s, want at least %s", wait, minWait)
	}
	next := shortJob(3, "plain", "blue")
	next.Steps = unanswered.Steps
	s.admit(next)
	if start := s.core.admission.admitted[next.ID].startsAt.Sub(s.now); start < minWait {
		t.Errorf("a job behind the unanswered tasks is expected to start after %s, want at least %s", start, minWait)
	}
}
