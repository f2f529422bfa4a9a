package schedule

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// simJobMemory is the memory for accepted jobs in runs with jobs that take much of it.
const simJobMemory = 3 << 20

// heavySteps returns the steps of a job that takes much memory and little of the workers: many steps with long
// texts, many tasks, or occurrences that overlap.
func heavySteps(rng *rand.Rand, j *job.Job, now time.Time) {
	small := job.Step{Count: 1, Size: task.Resources{CPUMilli: 20}, Estimate: 100 * time.Millisecond}
	switch rng.IntN(3) {
	case 0:
		for range 20 + rng.IntN(job.MaxSteps-20) {
			s := small
			s.Affinity, s.Image = job.ShortText(strings.Repeat("r", 500+rng.IntN(500))), job.ShortText(strings.Repeat("i", 500+rng.IntN(500)))
			j.Steps = append(j.Steps, s)
		}
	case 1:
		small.Count = 300 + rng.IntN(900)
		j.Steps = []job.Step{small}
	default:
		small.Count = 2 + rng.IntN(30)
		j.Steps = []job.Step{small, small}
		j.Repeats, j.FirstAt, j.Interval = 10+rng.IntN(30), now, time.Duration(rng.IntN(50))*time.Millisecond
	}
}

// submitHeavy submits jobs that take much memory, as a crowd of clients does, and checks the decisions. It draws from
// a generator of its own, so that the other parts of a run do not depend on it.
func (r *randomRun) submitHeavy(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	if rng.IntN(2) == 0 {
		return
	}
	r.parts = append(r.parts, "memory-heavy jobs")
	r.jobMemory = simJobMemory
	r.core.held.SetLimit(simJobMemory)
	submit := func() {
		j := r.newJob("plain", []string{"red", "blue"}[rng.IntN(2)])
		if j == nil {
			return
		}
		heavySteps(rng, j, r.now)
		var a Admission
		r.dispatch(func(c *Core) {
			before := c.held.Stats()
			a = c.Admit(j, len(j.Spec))
			if after := c.held.Stats(); !a.Rejected && after.Bytes > simJobMemory {
				r.t.Errorf("job %s was admitted, %+v became %+v", j.ID, before, after)
			}
		})
		switch {
		case a.Rejected && a.RetryAfter < time.Second:
			r.t.Errorf("job %s was rejected with %+v", j.ID, a)
		case !a.Rejected && rng.IntN(10) > 0: // some are not recorded
			r.after(time.Duration(rng.IntN(200))*time.Millisecond, func() { r.submit(j) })
		}
	}
	for range 1 + rng.IntN(3) {
		begin := time.Duration(rng.IntN(8000)) * time.Millisecond
		for range 10 + rng.IntN(40) {
			r.after(begin, submit)
			begin += time.Duration(rng.IntN(60)) * time.Millisecond
		}
	}
}

// checkMemory checks that the budget has the charge of each job that the owner knows, and no other.
func (s *simulation) checkMemory() {
	want := holding.Stats{Limit: s.core.held.Limit(), Jobs: len(s.core.jobs) + len(s.core.finals)}
	for _, j := range s.core.jobs {
		want.Bytes += j.memory()
	}
	want.Bytes += int64(len(s.core.finals)) * endedMemory
	got := s.core.held.Stats()
	if got.Bytes-got.Reserved != want.Bytes || got.Reserved == 0 && got.Jobs != want.Jobs {
		s.t.Errorf("at %s: %+v are charged, want %+v without the reserved part", s.now.Format("05.000"), got, want)
	}
}
