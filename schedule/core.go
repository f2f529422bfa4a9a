package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Config has the durations and limits of a Core.
type Config struct {
	Lease           time.Duration // of everything that runs on a worker
	HoldWait        time.Duration // longest wait of a report for an end
	StopRetry       time.Duration // between orders to stop the same run
	UnclearPatience time.Duration // wait for a report that shows an unclear start before it is stopped
	PassInterval    time.Duration // least time between placement passes
	PassEvery       time.Duration // longest time between passes, since tickets expire and rests end
	CommitInterval  time.Duration // least time between commits
	RunsPerEpoch    int           // run numbers that one owner may use for a task
}

// DefaultConfig returns the values that suit the platform's bounds.
func DefaultConfig() Config {
	return Config{
		// Twice the time that a takeover needs after a kill, so that running tasks
		// outlive it; a lost worker costs no more than this.
		Lease: 5 * time.Second,
		// A report that is lost hides the ends on a worker for this long.
		HoldWait: 900 * time.Millisecond,
		// An order crosses regions and back in 30 ms; ten times that is a lost one.
		StopRetry:       300 * time.Millisecond,
		UnclearPatience: 150 * time.Millisecond,
		// A tenth of the time that a start takes to arrive and be answered, so that
		// it adds little; a pass over a long queue costs a millisecond.
		PassInterval: 8 * time.Millisecond,
		PassEvery:    40 * time.Millisecond,
		// 40 commits a second are a tenth of the store's writes.
		CommitInterval: 25 * time.Millisecond,
		RunsPerEpoch:   10_000,
	}
}

// clockDrift is how much slower a worker's clock may run than ours.
const clockDrift = 0.02

// leaseMargin covers the time between the end of a lease and the end of the
// processes that ran under it.
const leaseMargin = 250 * time.Millisecond

// Core is the state of one owner.
type Core struct {
	cfg     Config
	epoch   int64 // rises with every change of owner; run numbers follow it
	catalog *job.Catalog

	jobs    map[job.ID]*jobState
	timed   map[job.ID]*jobState       // that have occurrences to come
	steps   map[job.StepKey]*stepState // that still have tasks to do
	finals  map[job.ID]job.Final       // recorded in this epoch
	waiting map[string]int             // pending jobs by queue
	usage   map[string]*teamUsage

	workers        map[string]*worker
	ordered        []*worker // workers by ID; nil when it has to be made anew
	lanes          map[string]*lane
	laneOrder      []*lane                    // lanes by name; nil when it has to be made anew
	good           map[string]float64         // part of the named workers that may run a step, by queue
	use            map[string]serviceUse      // by service, as of the last pass
	kept           map[string]int64           // thousandths of a core that are kept for gangs, by service
	widerWaits     map[string]bool            // services on which a gang that needs more than the share waits for kept room, in the present pass
	reserved       map[job.StepKey]*stepState // gangs for which room is kept
	plans          int                        // of the present pass
	mayHoldSum     task.Resources             // see mayHold
	mayHoldKnown   bool                       // mayHoldSum is that of the present event
	gangsAdopted   bool                       // members of gangs were taken over, perhaps not all
	unresolved     map[string]unresolved      // workers that a former owner may have left work on
	unresolvedOpen int                        // of these, those on which any task may run
	heldSteps      map[job.StepKey]int        // tasks of a step that may run on the others

	dirty      []*jobState       // changed since their last commit, oldest first
	busyLanes  [CommitLanes]bool // a commit of the lane is under way
	rosterDue  bool
	lastCommit time.Time
	lastPass   time.Time
	passTook   time.Duration // what the last pass took
	passes     int           // since the last summary
	summedAt   time.Time
	passDue    bool
	stopping   bool

	changes  []Status // latest changes that callers may see
	sequence uint64   // of the last one
	sweptAt  time.Time

	effects []Effect
	now     time.Time
	wall    time.Time
}

// New returns a core without jobs. epoch is higher than that of every earlier
// owner. roster lists the workers on which an earlier owner may have left work.
func New(now time.Time, cfg Config, epoch int64, catalog *job.Catalog, roster []Rostered) *Core {
	c := &Core{
		cfg: cfg, epoch: epoch, catalog: catalog, now: now,
		jobs:       make(map[job.ID]*jobState),
		timed:      make(map[job.ID]*jobState),
		steps:      make(map[job.StepKey]*stepState),
		finals:     make(map[job.ID]job.Final),
		waiting:    make(map[string]int),
		usage:      make(map[string]*teamUsage),
		workers:    make(map[string]*worker),
		lanes:      make(map[string]*lane),
		good:       make(map[string]float64),
		use:        make(map[string]serviceUse),
		kept:       make(map[string]int64),
		widerWaits: make(map[string]bool),
		reserved:   make(map[job.StepKey]*stepState),
		unresolved: make(map[string]unresolved),
		heldSteps:  make(map[job.StepKey]int),
	}
	// A former owner renews leases until the first worker refuses its orders,
	// which takes one report at most.
	until := now.Add(scaleDrift(cfg.Lease) + 2*cfg.HoldWait + leaseMargin)
	for _, r := range roster {
		c.holdBack(r, until)
	}
	return c
}

// scaleDrift returns the longest time on our clock that d lasts on a worker's.
func scaleDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDrift))
}

// Begin starts the handling of an event at a monotonic and a wall-clock time.
func (c *Core) Begin(now, wall time.Time) { c.now, c.wall, c.mayHoldKnown = now, wall, false }

// Finish places what can be placed and returns the effects since Begin.
func (c *Core) Finish() []Effect {
	if c.passDue && c.now.Sub(c.lastPass) >= c.passInterval() && !c.stopping {
		c.pass()
	}
	c.maybeCommit()
	out := c.effects
	c.effects = nil
	return out
}

// passInterval grows with the number of steps, whose order has to be found in
// each pass.
func (c *Core) passInterval() time.Duration {
	const perStep = 20 * time.Microsecond // ten times what a step costs in a pass
	return max(c.cfg.PassInterval+time.Duration(len(c.steps))*perStep, passRest*c.passTook)
}

// passRest is how many times the length of the last pass lies between passes, so
// that they take a third of the processor at most.
const passRest = 2

// Took tells how long the last event took from Begin to the end of Finish.
func (c *Core) Took(d time.Duration) {
	if c.lastPass.Equal(c.now) {
		c.passTook = d
	}
}

// SetCatalog puts a newer configuration in force.
func (c *Core) SetCatalog(catalog *job.Catalog) {
	c.catalog = catalog
	c.passDue = true
}

// StopPlacing ends placement: the owner is about to hand over.
func (c *Core) StopPlacing() { c.stopping = true }

// Idle reports whether nothing waits to be recorded.
func (c *Core) Idle() bool {
	return c.busyLanes == [CommitLanes]bool{} && len(c.dirty) == 0 && !c.rosterDue
}

// Tick does what time alone makes due.
func (c *Core) Tick() {
	c.expireUnresolved()
	c.breakPartialGangs()
	for _, w := range c.sortedWorkers() {
		c.tickWorker(w)
	}
	c.startDueOccurrences()
	c.dropSilentLanes()
	if c.now.Sub(c.sweptAt) > finalsKept/10 {
		c.sweptAt = c.now
		c.forgetFinals()
	}
	if c.now.Sub(c.lastPass) >= c.cfg.PassEvery {
		c.passDue = true
	}
	if c.now.Sub(c.summedAt) >= summaryInterval {
		c.summedAt = c.now
		c.summarize()
	}
}

// summaryInterval separates the lines on the state of the whole partition.
const summaryInterval = 2 * time.Second

// summarize logs what the owner has to do and with what.
func (c *Core) summarize() {
	if len(c.jobs) == 0 {
		return
	}
	var capacity, used, kept int64
	for service, u := range c.use {
		capacity, used, kept = capacity+u.capacity, used+u.used, kept+c.kept[service]
	}
	c.emit(Decision{What: "partition", Fields: []any{
		"jobs", len(c.jobs), "steps", len(c.steps), "workers", len(c.workers), "unresolved", len(c.unresolved),
		"cores", capacity / 1000, "used", used / 1000, "kept", kept / 1000, "kept_idle", c.keptIdle() / 1000,
		"lanes", len(c.lanes), "lanes_busy", c.busyLanesShare(), "pass_us", c.passTook.Microseconds(), "passes", c.passes,
	}})
	c.passes = 0
}

// keptIdle returns the thousandths of a core that nothing uses and that are kept
// for gangs.
func (c *Core) keptIdle() int64 {
	var idle int64
	for _, w := range c.workers {
		var claimed int64
		for _, kept := range w.claims {
			claimed += kept.size.CPUMilli
		}
		idle += max(0, min(claimed, w.roomCPU()))
	}
	return idle
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) decide(id job.ID, what string, fields ...any) {
	c.emit(Decision{Job: id, What: what, Fields: fields})
}
