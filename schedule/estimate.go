package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/speed"
)

// estimates holds what is learned about the speeds of workers and the errors of estimates. It is lost
// with the owner; a new one learns it again from the runs that end.
type estimates struct {
	fleet       speed.Fleet
	corrections speed.Corrections
	degraded    int // number of degraded workers
}

// stepEstimate is the expected duration of a task of a step.
type stepEstimate struct {
	expected time.Duration // on an average worker; 0 for the caller's estimate
	version  int           // of the corrections from which it was calculated, plus 1; 0 if it is outdated
	runs     speed.Cohort  // runs that have ended

	avoidsDegradedSince time.Time // since when a gang has waited only because workers are degraded
}

// estimatedDuration returns the expected duration of a task of a step on an average worker.
func (c *Core) estimatedDuration(j *jobState, step *job.Step) time.Duration {
	if !c.cfg.LearnSpeeds {
		return step.Estimate
	}
	return c.learned.corrections.Apply(j.Queue, step.Estimate)
}

// durationOn returns the expected duration of a task of a step on a worker.
func (c *Core) durationOn(s *stepState, w *worker) time.Duration {
	return s.durationOn(w)
}

func (s *stepState) durationOn(w *worker) time.Duration {
	return scaled(s.expectedDuration(), 1/w.relativeSpeed())
}

// expectedDuration returns the expected duration of a task of the step on an average worker.
func (s *stepState) expectedDuration() time.Duration {
	if s.estimate.expected > 0 {
		return s.estimate.expected
	}
	return s.spec.Estimate
}

// relativeSpeed returns the learned speed of a worker, 1 if it is not known.
func (w *worker) relativeSpeed() float64 {
	if w.speed == 0 {
		return 1
	}
	return w.speed
}

// refreshEstimate recalculates the expected duration of the tasks of a step: that of the tasks that have
// ended, if they are at least as many as those that run, since the shortest ones end first; or else the
// corrected estimate.
func (c *Core) refreshEstimate(s *stepState) {
	if !c.cfg.LearnSpeeds || s.estimate.version == c.learned.corrections.Version()+1 {
		return
	}
	s.estimate.version = c.learned.corrections.Version() + 1
	typical, runs := s.estimate.runs.Typical()
	if typical > 0 && 2*runs >= s.runsOrdered {
		s.estimate.expected = typical
	} else {
		s.estimate.expected = c.estimatedDuration(s.job, s.spec)
	}
}

// minPointsForRate is the share of its work in percent from which a run is expected to go on at its
// mean rate so far.
const minPointsForRate = 10

// learnedRemaining returns the expected remaining time of a run from its measured rate or, for a run that
// did not begin at 0%, from its progress. It returns false if neither is known or to be learned.
func (c *Core) learnedRemaining(r *run) (time.Duration, bool) {
	if !c.cfg.LearnSpeeds || r.percent < minPointsForRate {
		return 0, false
	}
	d, ok := r.measured.Remaining(c.workerClock(r.worker))
	switch {
	case !ok && (r.resumed || r.adopted):
		left := float64(100-min(100, r.percent)) / 100
		return max(0, scaled(c.durationOn(r.step, r.worker), left)-c.now.Sub(r.progressedAt)), true
	case !ok:
		return 0, false
	}
	if r.worker.learned.IsDegraded() {
		d = degradedRemaining(d, r.worker.learned.PaceShare())
	}
	return d, true
}

// degradedRemaining returns the time for work that takes d at the usual speed of a worker, if it goes on
// at the given share of that for assumedDegraded.
func degradedRemaining(d time.Duration, share float64) time.Duration {
	const assumedDegraded = 3 * time.Second // workers are degraded for some seconds
	share = max(share, speed.MinSpeed/2)
	if d < time.Duration(share*float64(assumedDegraded)) {
		return time.Duration(float64(d) / share)
	}
	return d + time.Duration((1-share)*float64(assumedDegraded))
}
