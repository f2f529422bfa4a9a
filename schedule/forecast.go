package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// forecastInterval is the resolution of a forecast; the ends of runs are known no better.
	forecastInterval = 250 * time.Millisecond
	// forecastIntervals is the number of intervals of a forecast. Beyond their end, jobs with
	// objectives of some seconds are of no use.
	forecastIntervals = 240
	// forecastHorizon is the expected start of work that does not start within the intervals.
	forecastHorizon = forecastIntervals * forecastInterval
	// minSupplyShare is the least share of a supply that remains for work behind a continuous inflow of
	// more urgent work, so that an overestimate of the inflow does not shut out a queue.
	minSupplyShare = 0.05
	// hopelessMargin is the share of its objective by which the expected end of a job must exceed the
	// time until which its result is of use for the job to be rejected.
	hopelessMargin = 0.1
	// resourceKinds is the number of resources that a forecast considers.
	resourceKinds = 3
)

// amounts are amounts of CPU (millicores), memory (MB) and accelerators, or their products with
// seconds.
type amounts [resourceKinds]float64

func amountsOf(r task.Resources) amounts {
	return amounts{float64(r.CPUMilli), float64(r.MemoryMB), float64(r.Accelerators)}
}

// plus returns a + factor*b.
func (a amounts) plus(b amounts, factor float64) amounts {
	for i := range a {
		a[i] += factor * b[i]
	}
	return a
}

// covers reports whether a is at least as large as b in every resource.
func (a amounts) covers(b amounts) bool {
	for i := range a {
		if a[i] < b[i] {
			return false
		}
	}
	return true
}

// supply is the capacity that becomes free over time: of the workers that suit a job, or below the
// limit of a team.
type supply struct {
	free  amounts                    // now
	ends  [forecastIntervals]amounts // released in each interval, by runs that end
	total amounts                    // 0 for a resource that is not limited
}

// release adds the resources that are expected to become free after a time.
func (s *supply) release(after time.Duration, size amounts) {
	if i := int(max(0, after) / forecastInterval); i < forecastIntervals {
		s.ends[i] = s.ends[i].plus(size, 1)
	}
}

// inflow is the work that arrives in the future and precedes a job.
type inflow struct {
	rate   amounts       // resources that it takes continuously
	from   time.Duration // since when it precedes the job
	urgent amounts       // part of it that precedes the job until then, too
}

// waitFor returns the time until the supply of one resource has covered an amount of work, given in
// resource-seconds, and has the given size free at a time. It is forecastHorizon if it does not.
func (s *supply) waitFor(kind int, work, size float64, in inflow) time.Duration {
	if s.total[kind] <= 0 || work <= 0 && size <= s.free[kind] {
		return 0
	}
	free, covered := s.free[kind], 0.0
	for i := range forecastIntervals {
		at := time.Duration(i) * forecastInterval
		free += s.ends[i][kind]
		step := in.leave(kind, free, at) * forecastInterval.Seconds()
		if covered+step >= work && free >= size {
			if step <= 0 {
				return at
			}
			return at + time.Duration(max(0, work-covered)/step*float64(forecastInterval))
		}
		covered += step
	}
	return forecastHorizon
}

// covered returns how much work of one resource the supply covers within a time.
func (s *supply) covered(kind int, within time.Duration, in inflow) float64 {
	free, covered := s.free[kind], 0.0
	for i := range forecastIntervals {
		at := time.Duration(i) * forecastInterval
		if at >= within {
			break
		}
		free += s.ends[i][kind]
		covered += in.leave(kind, free, at) * min(forecastInterval, within-at).Seconds()
	}
	return covered
}

// leave returns what the inflow leaves of an amount of a resource at a time.
func (in inflow) leave(kind int, free float64, at time.Duration) float64 {
	free = max(0, free)
	taken := in.urgent[kind]
	if at >= in.from {
		taken = in.rate[kind]
	}
	return max(free-taken, minSupplyShare*free)
}

// aheadWork is work that precedes a job, in resource-seconds.
type aheadWork struct {
	work       amounts
	perishing  amounts       // part of it that no longer precedes the job after perishedBy if it has not started
	perishedBy time.Duration // before the job itself would be too late
}

// plus returns the sum of two amounts of work.
func (a aheadWork) plus(b aheadWork) aheadWork {
	return aheadWork{a.work.plus(b.work, 1), a.perishing.plus(b.perishing, 1), max(a.perishedBy, b.perishedBy)}
}

// waitBehind returns the time until the supply has covered the work ahead, and the part of it that has
// perished instead.
func (s *supply) waitBehind(a aheadWork, size amounts, in inflow) (wait time.Duration, perished amounts) {
	wait = s.wait(a.work, size, in)
	if wait <= a.perishedBy || a.perishing == (amounts{}) {
		return wait, perished
	}
	for kind := range perished {
		if s.total[kind] > 0 {
			perished[kind] = max(0, a.perishing[kind]-s.covered(kind, a.perishedBy, in))
		}
	}
	return max(min(wait, a.perishedBy), s.wait(a.work.plus(perished, -1), size, in)), perished
}

// wait returns the time until the supplies of all resources have covered an amount of work and have the
// given size free.
func (s *supply) wait(work, size amounts, in inflow) time.Duration {
	longest := time.Duration(0)
	for kind := range resourceKinds {
		if work[kind] > 0 || size[kind] > 0 {
			longest = max(longest, s.waitFor(kind, work[kind], size[kind], in))
		}
	}
	return longest
}

// forecastInput is what a forecast for a new job is based on. All times count from now.
type forecastInput struct {
	service, team *supply   // team is nil if the team has no limit
	ahead         aheadWork // precedes the job while it can be on time
	lateAhead     aheadWork // also precedes it once it is late
	teamAhead     aheadWork // part of the work ahead that counts against the limit of its team
	inflow        amounts   // resources that future arrivals take which precede the job once it is late
	urgentInflow  amounts   // part of the inflow that is of more urgent queues and precedes the job at once
	surplus       bool      // the job is beyond the rate of its team, so that the inflow precedes it at once
	freeNow       bool      // suitable workers are free for its first tasks, and nothing ahead of it uses them
	adviceWait    time.Duration

	firstSize amounts       // of the tasks of its first steps that must start together
	ownWork   amounts       // of all of its tasks
	chain     time.Duration // duration of its longest dependency chain
	objective time.Duration
}

// allAhead returns all work that may precede the job.
func (in *forecastInput) allAhead() amounts { return in.ahead.work.plus(in.lateAhead.work, 1) }

// forecast is the expected course of a new job.
type forecast struct {
	start, end time.Duration // from now
	useful     time.Duration // time until which its result is of use
	hopeless   bool          // it ends clearly later
	excess     time.Duration // by how much the start is too late
}

// expect returns the forecast for a new job. It is lenient: it does not count future arrivals as
// long as the job may precede them, and assumes that capacity is used without gaps.
func expect(in *forecastInput) forecast {
	f := forecast{useful: time.Duration(ExpiryFactor * float64(in.objective))}
	if !in.freeNow {
		f.start = in.start()
	}
	// All of its work must be done, whatever precedes it.
	processing := in.service.wait(in.ownWork, amounts{}, inflow{from: forecastHorizon})
	if in.team != nil {
		processing = max(processing, in.team.wait(in.ownWork, amounts{}, inflow{from: forecastHorizon}))
	}
	f.end = max(f.start+in.chain, processing)
	if limit := f.useful + time.Duration(hopelessMargin*float64(in.objective)); f.end > limit && !in.freeNow {
		f.hopeless = true
		f.excess = f.end - limit
	}
	return f
}

// start returns the expected start of a job that cannot start at once.
func (in *forecastInput) start() time.Duration {
	arrivals := inflow{rate: in.inflow, from: forecastHorizon, urgent: in.urgentInflow}
	if in.surplus {
		arrivals.from = 0
	}
	start, perished := in.service.waitBehind(in.ahead, in.firstSize, arrivals)
	// Once it is late, other late work and the arrivals that can be on time precede it (see rank).
	lateFrom := max(0, in.objective*3/2-in.chain)
	if !in.surplus && start > lateFrom {
		arrivals.from = lateFrom
		ahead := in.lateAhead
		ahead.work = ahead.work.plus(in.ahead.work, 1)
		ahead.perishing = ahead.perishing.plus(perished, 1)
		start, _ = in.service.waitBehind(ahead, in.firstSize, arrivals)
		start = max(lateFrom, start)
	}
	if in.team != nil {
		behindTeam, _ := in.team.waitBehind(in.teamAhead, in.firstSize, inflow{from: forecastHorizon})
		start = max(start, behindTeam)
	}
	return max(start, in.adviceWait)
}
