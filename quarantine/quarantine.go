package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Defaults of Config.
const (
	DefaultWindow            = 10 * time.Minute
	DefaultMinClasses        = 2
	DefaultMinWorkers        = 3
	DefaultMaxFraction       = 0.1
	DefaultInitialProbeDelay = 30 * time.Second
	DefaultMaxProbeDelay     = 10 * time.Minute
)

// MaxPenalty is the highest penalty of a worker, equal to placement.MaxPenalty.
const MaxPenalty = 3

const (
	// maxFailures is the maximum number of recorded failures per worker and per job.
	maxFailures = 16
	// maxJobs is the maximum number of tracked jobs; the least recently failed one is evicted first.
	maxJobs = 8192
)

// Config configures a Monitor. Zero values take the defaults.
type Config struct {
	Window            time.Duration // maximum age of the outcomes that are evaluated
	MinClasses        int           // minimum number of classes that fail on a faulty worker but succeed elsewhere
	MinWorkers        int           // minimum number of workers on which a faulty job fails
	MaxFraction       float64       // maximum fraction of a partition's workers that are quarantined, rounded up
	InitialProbeDelay time.Duration // delay before the first probe; doubled after each failed probe
	MaxProbeDelay     time.Duration // maximum delay between probes
}

// Class identifies a class of comparable tasks.
type Class struct {
	Team    task.Team
	Service task.Service
	Name    string
}

// Outcome is the result of one attempt on a worker. A result that is evidence neither about the
// worker nor about the job, such as a cancellation, must not be reported.
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

// partition counts the workers of one worker partition. The quarantine cap applies per partition.
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
	setDefault(&cfg.InitialProbeDelay, DefaultInitialProbeDelay)
	setDefault(&cfg.MaxProbeDelay, DefaultMaxProbeDelay)
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

// AddWorker adds a worker. It has no effect if the worker is already in the partition. If the worker
// is in another partition, it moves to the new one and its history is deleted.
func (m *Monitor) AddWorker(name, partitionName string) {
	if w, known := m.workers[name]; known {
		if w.partition == m.getOrCreatePartition(partitionName) {
			return
		}
		m.RemoveWorker(name)
	}
	p := m.getOrCreatePartition(partitionName)
	p.workers++
	m.workers[name] = &worker{name: name, partition: p}
}

// RemoveWorker removes a worker and its history, for example after a restart of the worker.
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

// Verdict is the result of Observe.
type Verdict struct {
	WorkerQuarantined bool // the worker was quarantined because of this outcome
	JobFaulty         bool // the job is faulty and should not be retried
}

// Observe records one outcome, and quarantines its worker if it is faulty and the cap permits it.
// Outcomes on unknown workers are ignored.
func (m *Monitor) Observe(now time.Time, o Outcome) Verdict {
	w, known := m.workers[o.Worker]
	if !known {
		return Verdict{}
	}
	c := m.getOrCreateClass(o.Class)
	if o.Succeeded {
		c.recordSuccess(now, o.Worker)
		w.recordSuccess(now, o)
		m.jobs.recordSuccess(o.Job)
		return Verdict{}
	}
	w.recordFailure(now, o)
	m.jobs.recordFailure(now, o, m.cfg.Window)
	verdict := Verdict{JobFaulty: m.IsJobFaulty(now, o.Job)}
	if !verdict.JobFaulty && m.isWorkerFaulty(now, w) {
		verdict.WorkerQuarantined = m.quarantine(now, w)
	}
	return verdict
}

// IsJobFaulty reports whether a job failed on at least MinWorkers workers on which other work
// succeeds. Failures on quarantined workers are excluded.
func (m *Monitor) IsJobFaulty(now time.Time, id task.ID) bool {
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

// IsQuarantined reports whether a worker is quarantined.
func (m *Monitor) IsQuarantined(name string) bool {
	w, known := m.workers[name]
	return known && w.quarantined
}

// Penalty returns the placement penalty of a worker. It increases with the first failures, before the
// worker is quarantined: a worker on which every task fails immediately always has free capacity, and
// would otherwise attract all the work.
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
		succeededElsewhere := m.getOrCreateClass(f.class).succeededElsewhere(name, since)
		if succeededElsewhere || f.at.After(w.lastSuccess) {
			penalty++
		}
	}
	return min(penalty, MaxPenalty)
}

// QuarantineDeferred quarantines, as far as the cap permits, the workers that are faulty but were not
// quarantined earlier because of the cap, in descending order of their number of failures. It returns
// the names of the workers that it quarantined.
func (m *Monitor) QuarantineDeferred(now time.Time) []string {
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

// isWorkerFaulty reports whether at least MinClasses classes that succeed on other workers fail on
// this one. The failure of a job that also failed elsewhere is attributed to the job.
func (m *Monitor) isWorkerFaulty(now time.Time, w *worker) bool {
	since := now.Add(-m.cfg.Window)
	var classes []Class
	for _, f := range w.failures {
		if m.isOutsideWindow(now, f.at) || w.succeededSince(f.class, f.at) || m.jobs.failedElsewhere(f.job, w.name, since) {
			continue
		}
		if !m.getOrCreateClass(f.class).succeededElsewhere(w.name, since) {
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
	w.probeDelay = m.cfg.InitialProbeDelay
	w.probeAt = now.Add(w.probeDelay)
	return true
}

// quarantineCap returns how many workers of a partition may be quarantined. It is at least 1, so
// that a faulty worker in a small partition can be quarantined.
func (m *Monitor) quarantineCap(p *partition) int {
	return max(1, int(math.Ceil(m.cfg.MaxFraction*float64(p.workers))))
}

func (m *Monitor) isOutsideWindow(now, at time.Time) bool { return now.Sub(at) > m.cfg.Window }

func (m *Monitor) getOrCreatePartition(name string) *partition {
	p, known := m.partitions[name]
	if !known {
		p = &partition{}
		m.partitions[name] = p
	}
	return p
}
