package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestShortStepsBehindLongCalls guards against short steps that wait behind long advice calls: on an
// instance that is making one, because all instances are, or because their calls name so many workers that
// they are long themselves. The service processes one call of an instance
// at a time. The gangs alone would keep all instances busy.
func TestShortStepsBehindLongCalls(t *testing.T) {
	t.Parallel()
	for _, proxies := range []int{2, 3, 8} {
		for _, perWorker := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(proxies, " proxies, ", perWorker, " per worker"), func(t *testing.T) {
				runShortSteps(t, proxies, perWorker)
			})
		}
	}
}

func runShortSteps(t *testing.T, proxies int, perWorker time.Duration) {
	const (
		duration     = 20 * time.Second
		quickRate    = 1 // jobs per second and proxy
		gangInterval = 200 * time.Millisecond
		// A short call takes up to 1.5 times longCallThreshold, and may wait for maxShortCallBacklog of others.
		maxWait = 400 * time.Millisecond
	)
	s := newSpeedSimulation(newSimulation(t, 31, 40), true)
	long := &job.AdvicePolicy{Base: 500 * time.Millisecond, PerWorker: 7 * time.Millisecond, Valid: adviceValidity}
	short := &job.AdvicePolicy{Base: 15 * time.Millisecond, PerWorker: perWorker, Valid: adviceValidity}
	s.configure(job.NewCatalog(2, 2, []job.Queue{
		{Name: "advised", Service: "calc", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second, Advice: long},
		{Name: "plain", Service: "calc", MaxAttempts: 3, Stretch: 1.5, TargetAllowance: 400 * time.Millisecond, Advice: short},
	}, []job.Service{{Name: "calc"}}, []job.Team{{Name: "blue", Weight: 1000}}))
	for i := range proxies - 2 {
		s.every(500*time.Millisecond, func() { s.dispatch(func(c *Core) { c.ObserveInstance(fmt.Sprint("p", i)) }) })
	}
	var shortCalls, longCalls int
	busyUntil, longUntil, firstCall := map[string]time.Time{}, map[string]time.Time{}, map[job.ID]time.Time{}
	s.adviceDelay = func(e AdviceCall) time.Duration {
		policy := short
		if s.jobs[e.Step.Job].Queue == "advised" {
			policy = long
		}
		// Long calls take up to half longer than expected, which their successors on the proxy would feel.
		took := time.Duration(float64(policy.Base+time.Duration(len(e.Workers))*policy.PerWorker) * (0.8 + 0.7*s.rng.Float64()))
		begin := s.now
		if busyUntil[e.Instance].After(begin) {
			begin = busyUntil[e.Instance]
		}
		if policy == short {
			shortCalls++
			if longUntil[e.Instance].After(s.now) {
				t.Errorf("at %s: a short call waits behind a long one of %s", s.now.Format("05.000"), e.Instance)
			}
		} else {
			longCalls++
			longUntil[e.Instance] = begin.Add(took)
		}
		busyUntil[e.Instance] = begin.Add(took)
		if _, known := firstCall[e.Step.Job]; !known {
			firstCall[e.Step.Job] = busyUntil[e.Instance]
		}
		return busyUntil[e.Instance].Sub(s.now)
	}
	s.run(time.Second)
	s.submitEvery(duration, gangInterval, 0xa0000, "advised", job.Step{Count: 4, Gang: true, Size: task.Resources{CPUMilli: 9_000, MemoryMB: 100}, Estimate: 2 * time.Second}, nil)
	quick := s.submitEvery(duration, time.Second/time.Duration(quickRate*proxies), 0xb0000, "plain", job.Step{Count: 2, Size: task.Resources{CPUMilli: 2_800, MemoryMB: 100}, Estimate: 640 * time.Millisecond}, nil)
	s.run(duration + 2*time.Second)
	var longest time.Duration
	for _, id := range quick {
		at, called := firstCall[id]
		if !called {
			t.Errorf("no advice for %s", id)
			continue
		}
		longest = max(longest, at.Sub(s.jobs[id].AcceptedAt))
	}
	if longest > maxWait {
		t.Errorf("a short step has waited %s for advice, want at most %s", longest, maxWait)
	}
	if longCalls < 10 || shortCalls < len(quick) {
		t.Errorf("%d long and %d short calls, too few for a comparison", longCalls, shortCalls)
	}
	t.Logf("%d long and %d short calls; a short step has waited at most %s", longCalls, shortCalls, longest)
}
