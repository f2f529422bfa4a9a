package speed

import "time"

const (
	// paceWindow is the minimum time over which the progress on a worker is compared with its usual
	// one: reports arrive about once a second.
	paceWindow = 800 * time.Millisecond
	// maxPaceWindow is the age at which a window without enough evidence is discarded.
	maxPaceWindow = 4 * time.Second
	// minPacePoints is the minimum expected progress in a window, in points over all runs, so that the
	// rounding of percentages does not matter.
	minPacePoints = 6
	// slowShare is the share of its usual progress below which a worker is slow in a window, and
	// recoveredShare the one from which a degraded worker has recovered.
	slowShare      = 0.5
	recoveredShare = 0.75
	// slowWindows is the number of successive slow windows, about 2 s, after which a worker is degraded.
	slowWindows = 2
	// idleRecovery is the time without evidence after which a worker no longer counts as degraded. A
	// worker that is avoided may have no runs that would show its recovery.
	idleRecovery = 4 * time.Second
	// maxDegraded is the time after which the reduced speed of a worker counts as its usual one.
	maxDegraded = 30 * time.Second
)

// pace compares the progress on a worker with its usual one. Times are readings of the worker's clock.
type pace struct {
	since            time.Duration // begin of the window; 0 before the first report
	expected, actual float64       // in points over all runs
	own              bool          // a run was compared with its own former rate
	compared         int           // number of runs that were compared with their siblings
	slow             int           // successive slow windows
	degraded         bool
	degradedAt       time.Duration
	evidenceAt       time.Duration // end of the last window with enough evidence
	share            float64       // of the usual progress in that window
}

// Change is a change of a worker's condition.
type Change int

const (
	Unchanged Change = iota
	Suspected        // the worker was slow in one window
	Degraded         // the worker has suddenly become slow
	Recovered        // it has its usual speed again
	Idle             // nothing has shown for some time whether it has recovered
	Accepted         // its reduced speed now counts as its usual one
)

var changeNames = [...]string{"unchanged", "suspected", "degraded", "recovered", "idle", "accepted"}

// String returns the name of the change as used in logs.
func (c Change) String() string { return changeNames[c] }

// IsDegraded reports whether the worker has suddenly become slow and has not recovered. It may be
// called with a nil Worker.
func (w *Worker) IsDegraded() bool { return w != nil && w.pace.degraded }

// PaceShare returns the progress on the worker in the last window as a share of its usual one.
func (w *Worker) PaceShare() float64 { return w.pace.share }

// Observe adds the progress of a run since its last report. typical is the expected duration of a task
// like it on this worker, 0 if it is not known. A run is compared with its own former rate or, while that
// is unknown, with similar tasks if the speed of the worker is known.
func (w *Worker) Observe(p *Progress, percent int, at, typical time.Duration) {
	steady, share := p.steady, 1.0
	rise, over := p.Report(percent, at)
	suspect := w.pace.degraded || w.pace.slow > 0
	if over > 0 {
		switch {
		case steady > 0:
			if expected := p.expectedRise(steady, rise, over); expected > 0 {
				w.pace.own = true
				w.pace.add(expected, float64(rise))
				share = float64(rise) / expected
			}
		default:
			w.compare(p, rise, over, typical)
		}
	}
	p.tainted = p.tainted || w.pace.degraded || share < slowShare && w.pace.slow > 0
	// A slow interval does not change the former rate, with which the next ones are compared.
	if rate, ok := p.Rate(); ok && (steady > 0 && share >= recoveredShare && !p.tainted || steady == 0 && !suspect && at-p.baseAt >= paceWindow) {
		if steady == 0 {
			p.steadyAt = at
		}
		p.steady = rate
	}
}

// Compare is Observe for a run that is compared only with similar tasks: all members of a gang slow down
// if all of them progress at the rate of the slowest one.
func (w *Worker) Compare(p *Progress, percent int, at, typical time.Duration) {
	rise, over := p.Report(percent, at)
	w.compare(p, rise, over, typical)
	p.tainted = p.tainted || w.pace.degraded
}

func (w *Worker) compare(p *Progress, rise int, over, typical time.Duration) {
	if over <= 0 || typical <= 0 || !w.Known() {
		return
	}
	if expected := p.expectedRise(100/typical.Seconds(), rise, over); expected > 0 {
		w.pace.compared++
		w.pace.add(expected, float64(rise))
	}
}

// expectedRise returns the rise to be expected in the last interval at a rate, at most up to the end: the
// member of a gang may be at 100% and wait for the others.
func (p *Progress) expectedRise(rate float64, rise int, over time.Duration) float64 {
	return min(rate*over.Seconds(), float64(100-(p.percent-rise)))
}

func (p *pace) add(expected, actual float64) {
	const maxShare = 1.5 // a run that is faster than before must not hide that others are slow
	p.expected += expected
	p.actual += min(actual, maxShare*expected)
}

// CloseWindow evaluates the progress since the begin of the window, and begins the next one if there
// was enough.
func (w *Worker) CloseWindow(at time.Duration) Change {
	p := &w.pace
	if p.since == 0 || at < p.since {
		p.begin(at)
		return Unchanged
	}
	if at-p.since < paceWindow {
		return Unchanged
	}
	former := p.slow
	// A single run may be the one in twenty that takes three times as long as its siblings.
	if enough := p.expected >= minPacePoints && (p.own || p.compared > 1); enough {
		p.share, p.evidenceAt = p.actual/p.expected, at
		p.begin(at)
		switch {
		case p.share < slowShare:
			p.slow++
		case !p.degraded || p.share >= recoveredShare:
			p.slow = 0
		}
	} else if at-p.since >= maxPaceWindow {
		p.begin(at)
		p.slow = 0
	}
	switch {
	case !p.degraded && p.slow >= slowWindows:
		p.degraded, p.degradedAt = true, at
		return Degraded
	case !p.degraded && p.slow > former:
		return Suspected
	case !p.degraded:
		return Unchanged
	case p.slow == 0 && p.evidenceAt > p.degradedAt && p.share >= recoveredShare:
		p.degraded = false
		return Recovered
	case at-p.evidenceAt >= idleRecovery:
		p.degraded, p.slow = false, 0
		return Idle
	case at-p.degradedAt >= maxDegraded:
		*w = Worker{}
		return Accepted
	}
	return Unchanged
}

func (p *pace) begin(at time.Duration) {
	p.since, p.expected, p.actual, p.own, p.compared = at, 0, 0, false, 0
}

// Distrust discards the former rate of a run on a worker that is suspected or found degraded if it became
// known only since the speed may have fallen. Other runs are compared with their own former rates further
// on.
func (p *Progress) Distrust(at time.Duration) {
	const falling = 2 * time.Second // a window and the time between two reports
	if at-p.steadyAt < falling {
		p.steady = 0
	}
}

// Taint marks a run on a worker that was degraded or otherwise slow for a time: its duration says nothing
// about the usual speed of the worker.
func (p *Progress) Taint() { p.tainted = true }

// Reset restarts the measurement of a run at its last report, since its rate has changed for good.
func (p *Progress) Reset() {
	p.steady, p.basePercent, p.baseAt, p.risenAt = 0, p.percent, p.at, p.at
}
