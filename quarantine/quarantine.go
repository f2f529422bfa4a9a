package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Defaults of Config.
const (
	DefaultWindow      = 10 * time.Minute
	DefaultMinClasses  = 2
	DefaultMinWorkers  = 3
	DefaultMaxFraction = 0.1
	DefaultProbeAfter  = 30 * time.Second
	DefaultProbeLimit  = 10 * time.Minute
)

// MaxPenalty is the highest penalty of a worker, equal to the limit in package placement.
const MaxPenalty = 3

const (
	// maxFailures is the maximum number of failures that are kept per worker and per job.
	maxFailures = 16
	// maxJobs is the maximum number of jobs that are tracked; the least recently failed ones are
	// evicted first.
	maxJobs = 8192
)

// Config configures a Monitor. Zero values take the defaults.
type Config struct {
	Window      time.Duration // age up to which an outcome counts
	MinClasses  int           // classes that must fail on a worker and succeed elsewhere
	MinWorkers  int           // workers on which a job must fail
	MaxFraction float64       // fraction of a partition's workers that may be quarantined
	ProbeAfter  time.Duration // delay before the first probe; doubles after each failed probe
	ProbeLimit  time.Duration // maximum delay between probes
}

// Class identifies a kind of work whose tasks are comparable.
type Class struct {
	Team    task.Team
	Service task.Service
	Name    string
}

// Outcome is the result of one attempt on a worker. Results that are evidence about neither the
// worker nor the job, such as a cancellation, are not reported.
type Outcome struct {
	Worker    string
	Class     Class
	Job       task.ID // the same for all attempts and, in a gang, for all members
	Succeeded bool
}

// Monitor detects faulty workers and jobs. It is not safe for concurrent use.
type Monitor struct {
	cfg        Config
	workers    map[string]*worker
	partitions map[string]*partition
	classes    map[Class]*classHistory
	jobs       jobHistory
}

// partition counts the workers of one worker partition, to which the quarantine cap applies.
type partition struct {
	workers     int
	quarantined int
}

// New returns a monitor without workers.
func New(cfg Config) *Monitor {
	setDefault(&cfg.Window, DefaultWindow)
	setDefault(&cfg.MinClasses, DefaultMinClasses)
	setDefault(&cfg.MinWorkers, DefaultMinWorkers)
	setDefault(&cfg.MaxFraction, DefaultMaxFraction)
	setDefault(&cfg.ProbeAfter, DefaultProbeAfter)
	setDefault(&cfg.ProbeLimit, DefaultProbeLimit)
	return &Monitor{
		cfg:        cfg,
		workers:    map[string]*worker{},
		partitions: map[string]*partition{},
		classes:    map[Class]*classHistory{},
		jobs:       newJobHistory(),
	}
}

func setDefault[T int | float64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// AddWorker adds a worker. It is a no-op if the worker is already in the same partition. A worker
// that moves to another partition loses its history.
func (m *Monitor) AddWorker(name, partitionName string) {
	if w, known := m.workers[name]; known {
		if w.partition == m.partitionOf(partitionName) {
			return
		}
		m.RemoveWorker(name)
	}
	p := m.partitionOf(partitionName)
	p.workers++
	m.workers[name] = &worker{name: name, partition: p}
}

// RemoveWorker removes a worker and its history, for example because it was restarted.
func (m *Monitor) RemoveWorker(name string) {
	w, known := m.workers[name]
	if !known {
		return
	}
	w.partition.workers--
	if w.quarantined {
		w.partition.quarantined--
	}
	delete(m.workers, name)
}

// Verdict is the conclusion from an outcome.
type Verdict struct {
	WorkerBad bool // the worker was quarantined because of this outcome
	JobBad    bool // the job is faulty and should not be retried
}

// Observe records one outcome. Outcomes on unknown workers are ignored.
func (m *Monitor) Observe(now time.Time, o Outcome) Verdict {
	w, known := m.workers[o.Worker]
	if !known {
		return Verdict{}
	}
	c := m.classOf(o.Class)
	if o.Succeeded {
		c.recordSuccess(now, o.Worker)
		w.recordSuccess(now, o)
		m.jobs.recordSuccess(o.Job)
		return Verdict{}
	}
	w.recordFailure(now, o)
	m.jobs.recordFailure(now, o, m.cfg.Window)
	verdict := Verdict{JobBad: m.IsJobBad(now, o.Job)}
	if !verdict.JobBad && m.isWorkerFaulty(now, w) {
		verdict.WorkerBad = m.quarantine(now, w)
	}
	return verdict
}

// IsJobBad reports whether a job failed on at least MinWorkers workers on which other work succeeds.
// Failures on quarantined workers do not count.
func (m *Monitor) IsJobBad(now time.Time, id task.ID) bool {
	j, known := m.jobs.byID[id]
	if !known {
		return false
	}
	counted := 0
	for _, f := range j.failures {
		w, known := m.workers[f.worker]
		if !known || w.quarantined || m.isOutsideWindow(now, f.at) {
			continue
		}
		if !w.lastSuccess.IsZero() && !m.isOutsideWindow(now, w.lastSuccess) {
			counted++
		}
	}
	return counted >= m.cfg.MinWorkers
}

// IsQuarantined reports whether a worker is in quarantine.
func (m *Monitor) IsQuarantined(name string) bool {
	w, known := m.workers[name]
	return known && w.quarantined
}

// Penalty returns the placement penalty of a worker. It rises with the first failures, before
// quarantine, because a worker on which every task fails immediately always has free capacity and
// would attract all the work.
func (m *Monitor) Penalty(now time.Time, name string) int {
	w, known := m.workers[name]
	if !known {
		return 0
	}
	since := now.Add(-m.cfg.Window)
	penalty := 0
	for _, f := range w.failures {
		if m.isOutsideWindow(now, f.at) || w.succeededSince(f.class, f.at) || m.jobs.failedElsewhere(f.job, name, since) {
			continue
		}
		runsElsewhere := m.classOf(f.class).runsElsewhere(name, since)
		if runsElsewhere || f.at.After(w.lastSuccess) {
			penalty++
		}
	}
	return min(penalty, MaxPenalty)
}

// Review quarantines the workers that were found faulty while the cap was reached, those with the
// most failures first, and returns their names.
func (m *Monitor) Review(now time.Time) []string {
	var faulty []*worker
	for _, w := range m.workers {
		if !w.quarantined && len(w.failures) > 0 && m.isWorkerFaulty(now, w) {
			faulty = append(faulty, w)
		}
	}
	slices.SortFunc(faulty, compareFailureCount)
	var names []string
	for _, w := range faulty {
		if m.quarantine(now, w) {
			names = append(names, w.name)
		}
	}
	return names
}

// isWorkerFaulty reports whether at least MinClasses classes fail on a worker that succeed on
// others. The failure of a job that also failed elsewhere is attributed to the job.
func (m *Monitor) isWorkerFaulty(now time.Time, w *worker) bool {
	since := now.Add(-m.cfg.Window)
	var classes []Class
	for _, f := range w.failures {
		if m.isOutsideWindow(now, f.at) || w.succeededSince(f.class, f.at) || m.jobs.failedElsewhere(f.job, w.name, since) {
			continue
		}
		if !m.classOf(f.class).runsElsewhere(w.name, since) {
			continue
		}
		if !slices.Contains(classes, f.class) {
			classes = append(classes, f.class)
		}
	}
	return len(classes) >= m.cfg.MinClasses
}

// quarantine quarantines a worker unless the cap of its partition is reached.
func (m *Monitor) quarantine(now time.Time, w *worker) bool {
	if w.quarantined || w.partition.quarantined >= m.quarantineCap(w.partition) {
		return false
	}
	w.quarantined = true
	w.partition.quarantined++
	w.probeDelay = m.cfg.ProbeAfter
	w.probeAt = now.Add(w.probeDelay)
	return true
}

// quarantineCap returns how many workers of a partition may be quarantined. It is at least 1, so
// that a faulty worker in a small partition can be quarantined.
func (m *Monitor) quarantineCap(p *partition) int {
	return max(1, int(math.Ceil(m.cfg.MaxFraction*float64(p.workers))))
}

func (m *Monitor) isOutsideWindow(now, at time.Time) bool { return now.Sub(at) > m.cfg.Window }

func (m *Monitor) partitionOf(name string) *partition {
	p, known := m.partitions[name]
	if !known {
		p = &partition{}
		m.partitions[name] = p
	}
	return p
}
