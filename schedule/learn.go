package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/speed"
)

// typicalWork returns the duration of the whole work of a task like that of a run on its worker, as shown by
// the tasks of the step that have ended or else by those that run on other workers. It returns 0 if it is not
// known. As the members of a gang may all progress at the rate of the slowest one, a higher speed of the
// worker than that of the others counts only for tasks that have ended.
func typicalWork(r *run) time.Duration {
	if ended, _ := r.step.estimate.runs.Typical(); ended > 0 {
		return scaled(ended, 1/r.worker.relativeSpeed())
	}
	const (
		minCompared = 2
		maxCompared = 32 // bounds the work for a report
	)
	var actual, usual []float64 // on the workers of the others, and on an average one
	for i := range min(len(r.step.tasks), maxCompared) {
		other := r.step.tasks[i].run
		if other == nil || other.worker == r.worker || other.worker.learned.IsDegraded() {
			continue
		}
		if rate, ok := other.measured.Rate(); ok {
			actual = append(actual, 100/rate)
			usual = append(usual, 100/rate*other.worker.relativeSpeed())
		}
	}
	if len(actual) < minCompared {
		return 0
	}
	seconds := max(speed.Median(actual), speed.Median(usual)/r.worker.relativeSpeed())
	return time.Duration(seconds * float64(time.Second))
}

// beginMeasurement begins to measure a run that its worker has accepted at the current time. A run that
// resumes from a checkpoint is measured from its first reported rise on.
func (c *Core) beginMeasurement(r *run) {
	if c.cfg.LearnSpeeds && !r.adopted && !r.resumed && r.measured == (speed.Progress{}) {
		r.measured = speed.StartedAt(c.workerClock(r.worker))
	}
}

// learnProgress learns from the progress in a worker's report, of which the time is taken from the
// worker's clock: reports may be late.
func (c *Core) learnProgress(w *worker, e PollDone) {
	if !c.cfg.LearnSpeeds {
		return
	}
	if w.learned == nil {
		w.learned = &speed.Worker{}
	}
	w.formerReport, w.latestReport = w.latestReport, e.Clock
	if e.Clock < w.formerReport {
		w.formerReport = e.Clock
	}
	w.endsAreRecent = e.Poll.Wait > 0
	for _, report := range e.Running {
		r := w.runs[report.Task]
		switch {
		case r == nil || r.number != report.Run || r.step == nil || r.step.spec.LongLived:
		case w.isCold(c.now):
			r.measured.Taint()
		case r.step.spec.Gang:
			w.learned.Compare(&r.measured, report.Percent, e.Clock, typicalWork(r))
		default:
			w.learned.Observe(&r.measured, report.Percent, e.Clock, typicalWork(r))
		}
	}
	c.updateCondition(w, e.Clock)
}

// updateCondition evaluates whether a worker has suddenly become slow or has recovered.
func (c *Core) updateCondition(w *worker, at time.Duration) {
	change := w.learned.CloseWindow(at)
	switch change {
	case speed.Unchanged:
		return
	case speed.Degraded:
		c.learned.degraded++
	case speed.Recovered, speed.Idle, speed.Accepted:
		c.learned.degraded--
	}
	for _, r := range w.runs {
		switch change {
		case speed.Suspected:
			r.measured.Distrust(at)
		case speed.Degraded:
			r.measured.Distrust(at)
			r.measured.Taint()
		case speed.Accepted:
			r.measured.Reset()
		}
	}
	if change == speed.Suspected {
		return
	}
	c.passDue = true
	c.emit(Decision{Event: "worker_speed", Fields: []any{
		"worker", w.ID, "incarnation", w.Incarnation, "change", change.String(), "share", rounded(w.learned.PaceShare()),
		"speed", rounded(w.relativeSpeed()), "runs", len(w.runs), "degraded", c.learned.degraded,
	}})
}

// forgetSpeed discards what is known of the incarnation of a worker that has ended.
func (c *Core) forgetSpeed(w *worker) {
	if w.learned.IsDegraded() {
		c.learned.degraded--
	}
	w.learned, w.speed, w.latestReport, w.formerReport = nil, 0, 0, 0
}

// learnEnd learns from the end of a run in the latest report of its worker if the run has succeeded. It must
// be called before the run is removed.
func (c *Core) learnEnd(r *run, reason EndReason) {
	if !c.cfg.LearnSpeeds || reason != EndedSucceeded || r.step == nil || r.step.spec.LongLived || r.worker.learned == nil {
		return
	}
	if r.worker.learned.IsDegraded() || r.worker.isCold(c.now) {
		return
	}
	s, w := r.step, r.worker
	// A report that waited for an end arrives with it; any other one may be as late as the last report
	// before it is old.
	maxError := w.latestReport - w.formerReport
	if w.endsAreRecent {
		maxError = 0
	}
	r.measured.EndedAt(w.latestReport, maxError)
	work, ok := r.measured.Work()
	if !ok {
		return
	}
	if s.spec.Gang {
		c.learned.corrections.Add(s.job.Queue, s.spec.Estimate, scaled(work, c.slowestMember(s)))
		return
	}
	c.learned.corrections.Add(s.job.Queue, s.spec.Estimate, scaled(work, w.relativeSpeed()))
	s.estimate.runs.Add(w.ID, w.learned, work, &c.learned.fleet)
	s.estimate.version = 0
}

// slowestMember returns the speed of the slowest worker on which a member of a gang runs.
func (c *Core) slowestMember(s *stepState) float64 {
	slowest := speed.MaxSpeed
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			slowest = min(slowest, r.worker.relativeSpeed())
		}
	}
	return slowest
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// updateFleetSpeed centres the known speeds on their mean and applies them until the next update.
func (c *Core) updateFleetSpeed() {
	if !c.cfg.LearnSpeeds {
		return
	}
	for _, w := range c.sortedWorkers() { // sorted, since the order of a sum affects its rounding
		c.learned.fleet.Add(w.learned)
	}
	c.learned.fleet.Update()
	for _, w := range c.workers {
		w.speed = w.learned.Speed(&c.learned.fleet)
	}
}

// speedSummary returns the fields of the partition's summary that show what was learned.
func (c *Core) speedSummary() []any {
	if !c.cfg.LearnSpeeds {
		return nil
	}
	known, slowest, fastest := 0, 1.0, 1.0
	for _, w := range c.workers {
		if w.learned.Known() {
			known++
			slowest, fastest = min(slowest, w.relativeSpeed()), max(fastest, w.relativeSpeed())
		}
	}
	corrections, lowest, highest := c.learned.corrections.Range()
	return []any{
		"speeds", known, "slowest", rounded(slowest), "fastest", rounded(fastest), "degraded", c.learned.degraded,
		"corrections", corrections, "lowest", rounded(lowest), "highest", rounded(highest),
	}
}

// rounded rounds a ratio to hundredths for the log.
func rounded(x float64) float64 { return float64(int(100*x+0.5)) / 100 }
