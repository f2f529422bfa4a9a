package speed

import "time"

const (
	// minSpanPoints is the minimum rise in percent from which a rate is calculated: percentages are
	// whole numbers, so that the error of a rise is up to one point.
	minSpanPoints = 8
	// minSpan is the minimum time from which a rate is calculated, so that the latency of an order or a
	// report, about 20 ms, is below a tenth of it.
	minSpan = 250 * time.Millisecond
	// minPause is the minimum time, and minStall the minimum expected rise in points, during which an
	// unchanged percentage counts as a pause of the run: a worker may update percentages only once a second.
	minPause = 1500 * time.Millisecond
	minStall = 5
)

// Progress measures the rate of one run, in percentage points of its whole work per second. Times are
// readings of the worker's clock.
type Progress struct {
	began       bool // measuring has begun at basePercent and baseAt
	tainted     bool // the worker was degraded during the run
	basePercent int
	baseAt      time.Duration
	percent     int // of the last report
	reported    bool
	risenAt     time.Duration // report of the last rise
	countedAt   time.Duration // up to this report, intervals were returned
	at          time.Duration // of the last report
	steady      float64       // rate before a possible fall of the worker's speed; 0 if unknown
	steadyAt    time.Duration // when steady was first known
}

// StartedAt returns the measurement of a run that began at 0%.
func StartedAt(at time.Duration) Progress {
	return Progress{began: true, reported: true, baseAt: at, risenAt: at, countedAt: at, at: at}
}

// Report adds a report of the run's progress, and returns the rise and the time that it took. An interval
// without a rise is returned together with the next one, unless it is long, since a worker may update
// percentages only once a second. Reports that are out of range, repeated or older than the last one are ignored.
//
// A run that resumes from a checkpoint, or that was found running, is measured from its first rise on:
// it does not begin at 0%, and restoring the checkpoint takes time in which it makes no progress.
func (p *Progress) Report(percent int, at time.Duration) (rise int, over time.Duration) {
	if percent < 0 || percent > 100 || (p.reported && (percent < p.percent || at <= p.at)) {
		return 0, 0
	}
	if !p.reported {
		p.reported, p.percent, p.at = true, percent, at
		return 0, 0
	}
	rise, over = percent-p.percent, at-p.countedAt
	switch {
	case !p.began && rise > 0:
		p.began, p.basePercent, p.baseAt, p.risenAt, p.countedAt = true, percent, at, at, at
		rise, over = 0, 0 // part of the time may have been the pause
	case !p.began:
		rise, over = 0, 0
	case rise > 0:
		points, span := float64(p.percent-p.basePercent), p.risenAt-p.baseAt
		if stall := p.at - p.risenAt; stall >= minPause && points*stall.Seconds() >= minStall*span.Seconds() {
			p.baseAt += stall // a pause
		}
		p.risenAt, p.countedAt = at, at
	case over < minPause:
		over = 0
	default:
		p.countedAt = at
	}
	p.percent, p.at = percent, at
	return rise, over
}

// Rate returns the mean rate so far, without pauses. It returns false if it is not known.
func (p *Progress) Rate() (rate float64, ok bool) {
	points, span := p.percent-p.basePercent, p.at-p.baseAt
	if !p.began || points < minSpanPoints || span < minSpan {
		return 0, false
	}
	return float64(points) / span.Seconds(), true
}

// Remaining returns the expected time from a reading of the worker's clock to the end of the run. It
// returns false if the rate is not known.
func (p *Progress) Remaining(now time.Duration) (time.Duration, bool) {
	rate, ok := p.Rate()
	if p.steady > rate {
		rate = p.steady // a fall of the worker's speed lasts for seconds, and then the run goes on as before
	}
	if !ok {
		return 0, false
	}
	left := time.Duration(float64(100-p.percent) / rate * float64(time.Second))
	return max(0, left-max(0, now-p.at)), true
}

// EndedAt adds the successful end of the run, of which the time is known up to the given error. The
// end is ignored if the error is a large share of the time since the measurement began.
func (p *Progress) EndedAt(at, maxError time.Duration) {
	const maxErrorShare = 0.15 // less than the difference between tasks of a step
	if p.began && float64(maxError) <= maxErrorShare*float64(at-p.baseAt) {
		p.Report(100, at)
	}
}

// Work returns the duration of the whole work of the run on its worker, without pauses. It returns
// false if it is not known or if the worker was degraded during the run.
func (p *Progress) Work() (time.Duration, bool) {
	const minPoints = 30 // a shorter part says little about the whole
	rate, ok := p.Rate()
	if !ok || p.tainted || p.percent-p.basePercent < minPoints {
		return 0, false
	}
	return time.Duration(100 / rate * float64(time.Second)), true
}
