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

// MaxPenalty is the highest penalty of a worker, the one of package placement.
const MaxPenalty = 3

const (
	// failuresKept bounds the failures remembered for each worker and job.
	failuresKept = 16
	// jobsKept bounds the jobs remembered; the ones that failed longest ago go
	// first.
	jobsKept = 8192
)

// Config configures a Monitor. Zero values take the defaults.
type Config struct {
	Window      time.Duration // how long an outcome counts
	MinClasses  int           // classes that must fail on a worker and run elsewhere
	MinWorkers  int           // workers on which a job must fail
	MaxFraction float64       // part of a partition that may be in quarantine
	ProbeAfter  time.Duration // wait before the first probe; doubles with each that fails
	ProbeLimit  time.Duration // longest wait between probes
}

// Class names a kind of work whose tasks can be compared.
type Class struct {
	Team    task.Team
	Service task.Service
	Name    string
}

// Outcome is the end of one attempt on a worker. Outcomes that say nothing
// about the worker or the job, such as a cancellation, are not reported.
type Outcome struct {
	Worker    string
	Class     Class
	Job       task.ID // the same for every attempt and, for gangs, every member
	Succeeded bool
}

// Monitor judges workers and jobs. It is not safe for concurrent use.
type Monitor struct {
	cfg        Config
	workers    map[string]*worker
	partitions map[string]*partition
	classes    map[Class]*class
	jobs       jobs
}

// partition counts the workers that share a cap.
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
		classes:    map[Class]*class{},
		jobs:       newJobs(),
	}
}

func setDefault[T int | float64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// AddWorker makes a worker known. It changes nothing if the worker is known in
// the same partition.
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

// RemoveWorker forgets a worker, for example because it was restarted.
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

// Verdict says what an outcome proved.
type Verdict struct {
	WorkerBad bool // the worker went into quarantine with this outcome
	JobBad    bool // the job is at fault and is not worth another attempt
}

// Observe takes one outcome into account.
func (m *Monitor) Observe(now time.Time, o Outcome) Verdict {
	w, known := m.workers[o.Worker]
	if !known {
		return Verdict{}
	}
	c := m.classOf(o.Class)
	if o.Succeeded {
		c.succeededOn(now, o.Worker)
		w.succeeded(now, o)
		m.jobs.succeeded(o.Job)
		return Verdict{}
	}
	w.failed(now, o)
	m.jobs.failed(now, o, m.cfg.Window)
	verdict := Verdict{JobBad: m.IsJobBad(now, o.Job)}
	if !verdict.JobBad && m.isWorkerBad(now, w) {
		verdict.WorkerBad = m.quarantine(now, w)
	}
	return verdict
}

// IsJobBad reports whether a job failed on enough workers on which other work
// succeeds. Failures on workers in quarantine do not count against it.
func (m *Monitor) IsJobBad(now time.Time, id task.ID) bool {
	j, known := m.jobs.byID[id]
	if !known {
		return false
	}
	counted := 0
	for _, f := range j.failures {
		w, known := m.workers[f.worker]
		if !known || w.quarantined || m.isOld(now, f.at) {
			continue
		}
		if !w.lastSuccess.IsZero() && !m.isOld(now, w.lastSuccess) {
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

// Penalty returns how much later than others a worker is to be chosen. It rises
// with the first failures, since a worker that fails everything at once is
// always free and would draw all the work.
func (m *Monitor) Penalty(now time.Time, name string) int {
	w, known := m.workers[name]
	if !known {
		return 0
	}
	since := now.Add(-m.cfg.Window)
	penalty := 0
	for _, f := range w.failures {
		if m.isOld(now, f.at) || w.hasSucceededSince(f.class, f.at) || m.jobs.failedElsewhere(f.job, name, since) {
			continue
		}
		runsElsewhere := m.classOf(f.class).runsElsewhere(name, since)
		if runsElsewhere || f.at.After(w.lastSuccess) {
			penalty++
		}
	}
	return min(penalty, MaxPenalty)
}

// Review puts workers into quarantine that were found bad while the cap was
// reached, the worst first, and returns their names.
func (m *Monitor) Review(now time.Time) []string {
	var bad []*worker
	for _, w := range m.workers {
		if !w.quarantined && len(w.failures) > 0 && m.isWorkerBad(now, w) {
			bad = append(bad, w)
		}
	}
	slices.SortFunc(bad, worseFirst)
	var names []string
	for _, w := range bad {
		if m.quarantine(now, w) {
			names = append(names, w.name)
		}
	}
	return names
}

// isWorkerBad reports whether enough classes fail on a worker that run on
// others. A failure of a job that failed elsewhere too is the job's own.
func (m *Monitor) isWorkerBad(now time.Time, w *worker) bool {
	since := now.Add(-m.cfg.Window)
	var classes []Class
	for _, f := range w.failures {
		if m.isOld(now, f.at) || w.hasSucceededSince(f.class, f.at) || m.jobs.failedElsewhere(f.job, w.name, since) {
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

// quarantine takes a worker out of service unless the cap of its partition is
// reached.
func (m *Monitor) quarantine(now time.Time, w *worker) bool {
	if w.quarantined || w.partition.quarantined >= m.capOf(w.partition) {
		return false
	}
	w.quarantined = true
	w.partition.quarantined++
	w.probeWait = m.cfg.ProbeAfter
	w.probeAt = now.Add(w.probeWait)
	return true
}

// capOf returns how many workers of a partition may be in quarantine. A small
// partition may always lose one, or a bad worker there would never be stopped.
func (m *Monitor) capOf(p *partition) int {
	return max(1, int(math.Ceil(m.cfg.MaxFraction*float64(p.workers))))
}

func (m *Monitor) isOld(now, at time.Time) bool { return now.Sub(at) > m.cfg.Window }

func (m *Monitor) partitionOf(name string) *partition {
	p, known := m.partitions[name]
	if !known {
		p = &partition{}
		m.partitions[name] = p
	}
	return p
}
