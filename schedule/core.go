package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Config holds the durations and limits of a Core.
type Config struct {
	Lease             time.Duration // lease on a worker, which covers all of its runs
	PollWait          time.Duration // long-poll timeout; a worker reports earlier if a run ends
	StopRetryInterval time.Duration // interval between stop orders for the same run
	UnclearTimeout    time.Duration // wait for a report that shows a run whose start order got no answer, before a stop order is sent
	MinPassInterval   time.Duration // minimum interval between placement passes
	MaxPassInterval   time.Duration // maximum interval between placement passes, since tickets and backoffs expire
	CommitInterval    time.Duration // minimum interval between commits
	RunsPerEpoch      int           // number of run numbers that one owner may use for a task

	PastUseHalfLife time.Duration // half-life of the past use of teams; 0 ignores past use
	JobMemory       int64         // bytes that accepted jobs may take; 0 for no limit
	Forecast        bool          // reject jobs that cannot end while their result is of use
	LearnSpeeds     bool          // learn the speeds of workers and the errors of estimates
}

// DefaultConfig returns the configuration for the limits of the platform.
func DefaultConfig() Config {
	return Config{
		// Twice the duration of a takeover after the owner was killed, so that running tasks
		// survive it. It is also the longest time for which the tasks of a lost worker are blocked.
		Lease: 5 * time.Second,
		// If a report is lost, the ends of runs on its worker go undetected for this long.
		PollWait: 900 * time.Millisecond,
		// A stop order takes 30 ms to another region and back; after ten times that, it counts as lost.
		StopRetryInterval: 300 * time.Millisecond,
		// Counted from the time at which the answer was lost. A report that shows the run within
		// this time makes the stop order unnecessary.
		UnclearTimeout: 150 * time.Millisecond,
		// A tenth of the time from a start order to its answer, so that it adds little latency; a
		// pass over a long queue takes 1 ms.
		MinPassInterval: 8 * time.Millisecond,
		MaxPassInterval: 40 * time.Millisecond,
		// 40 commits per second are a tenth of the store's write capacity.
		CommitInterval: 25 * time.Millisecond,
		RunsPerEpoch:   10_000,
	}
}

// maxClockDrift is the maximum relative rate by which a worker's clock may run slower than this one.
const maxClockDrift = 0.02

// leaseMargin covers the time between the end of a lease and the end of the
// processes that ran under it.
const leaseMargin = 250 * time.Millisecond

// Core is the scheduling state of a partition's owner.
type Core struct {
	cfg     Config
	epoch   int64 // increases with every change of owner; run numbers are derived from it
	catalog *job.Catalog

	jobs          map[job.ID]*jobState
	recurring     map[job.ID]*jobState       // jobs with occurrences that are not active yet
	steps         map[job.StepKey]*stepState // active steps with unfinished tasks
	finals        map[job.ID]endedJob        // jobs whose final state was recorded in this epoch
	inboxRevision int64                      // see ObserveInbox
	pendingJobs   map[string]int             // number of pending jobs, by queue
	usage         map[string]*teamUsage
	window        orderWindow
	pastUse       pastUseState
	held          *holding.Budget[job.ID] // memory of the jobs and of submissions that may be recorded
	memoryLimit   memoryLimit

	workers              map[string]*worker
	firstPolls           int                         // workers that are being polled for the first time
	workerOrder          []*worker                   // sorted by ID; nil if it must be rebuilt
	byFreeCPU            []*worker                   // usable workers with the most free CPU first; nil until needed in the current pass
	capacitySet          map[task.Resources]struct{} // different capacities of the workers; nil if it must be rebuilt
	unsettled            map[*run]struct{}           // runs for which a stop order may have to be sent: unclear, or being stopped
	proxies              map[string]*adviceProxy
	proxyOrder           []*adviceProxy              // sorted by name; nil if it must be rebuilt
	imageSucceededAt     map[string]time.Time        // when a run of an image last succeeded
	failingCounts        map[string]failingCount     // by service
	eligibleShares       map[string]float64          // estimated share of the queried workers that are eligible, by queue
	serviceUsage         map[string]serviceCPU       // by service, as of the last pass
	reservedCPU          map[string]int64            // millicores reserved for gangs, by service
	oversizedGangWaits   map[string]bool             // services on which an oversized gang waits for a reservation in the current pass
	reservedGangs        map[job.StepKey]*stepState  // gangs that have a reservation
	plansMade            int                         // reservation plans made in the current pass
	unresolvedUsageSum   task.Resources              // cached result of unresolvedUsage
	unresolvedUsageValid bool                        // the cached sum is valid for the current event
	gangsAdopted         bool                        // runs of gang members were adopted from a former owner; other members may be missing
	evacuated            map[string]struct{}         // failure domains in which no tasks may start
	learned              estimates                   // speeds of workers and corrections of estimates
	unresolved           map[string]unresolvedWorker // workers on which runs of a former owner may exist
	openUnresolved       int                         // number of unresolved workers that are not closed: any task may run there
	heldBackTasks        map[job.StepKey]int         // number of tasks of each step that may run on closed unresolved workers

	admission admissionState
	backlog   *backlog // for forecasts; nil until the first one

	dirty             []*jobState         // changed since their last commit, oldest first
	unrecordedBegins  []*jobState         // in the order of their begin; see recordBegins
	busyStreams       [CommitStreams]bool // streams with a commit in flight
	rosterDirty       bool
	lastCommit        time.Time
	lastPass          time.Time
	lastPassDuration  time.Duration
	passes            int // number of passes since the last summary
	round             int // number of the current round of passes, see minRoundInterval
	roundStartedAt    time.Time
	summaryLoggedAt   time.Time
	passDue           bool
	placementDisabled bool
	outdated          bool // see SuspendPlacement
	leasesSuspended   bool // see SuspendLeases

	changes         []publishedStatus // latest status changes that are visible to callers
	sequence        uint64            // number of the last status change
	finalsEvictedAt time.Time

	effects []Effect
	now     time.Time
	wall    time.Time
}

// New returns a Core without jobs. The epoch must be higher than that of every former owner. The
// roster lists the workers on which runs of a former owner may exist.
func New(now time.Time, cfg Config, epoch int64, catalog *job.Catalog, roster []RosterEntry) *Core {
	c := &Core{
		cfg: cfg, epoch: epoch, catalog: catalog, now: now,
		held:               holding.New[job.ID](holding.Limits{Bytes: cfg.JobMemory, Allowances: true}),
		memoryLimit:        memoryLimit{cfg.JobMemory, now},
		jobs:               make(map[job.ID]*jobState),
		recurring:          make(map[job.ID]*jobState),
		steps:              make(map[job.StepKey]*stepState),
		finals:             make(map[job.ID]endedJob),
		pendingJobs:        make(map[string]int),
		usage:              make(map[string]*teamUsage),
		workers:            make(map[string]*worker),
		unsettled:          make(map[*run]struct{}),
		proxies:            make(map[string]*adviceProxy),
		imageSucceededAt:   make(map[string]time.Time),
		failingCounts:      make(map[string]failingCount),
		eligibleShares:     make(map[string]float64),
		serviceUsage:       make(map[string]serviceCPU),
		reservedCPU:        make(map[string]int64),
		oversizedGangWaits: make(map[string]bool),
		reservedGangs:      make(map[job.StepKey]*stepState),
		unresolved:         make(map[string]unresolvedWorker),
		heldBackTasks:      make(map[job.StepKey]int),
		window:             orderWindow{size: maxOrderWindow, startsByStep: make(map[job.StepKey]int)},
		admission:          newAdmissionState(now),
		round:              1, roundStartedAt: now,
	}
	c.initPastUse()
	// A former owner may grant leases until its authority has ended (see cell.Config), or until the
	// first worker rejects its orders, which takes at most the duration of one poll.
	leaseExpiry := now.Add(maxLocalDuration(cfg.Lease) + 2*cfg.PollWait + leaseMargin)
	for _, r := range roster {
		c.addUnresolved(r, leaseExpiry)
	}
	return c
}

// maxLocalDuration returns the maximum time that may pass on the local clock while d passes on a
// worker's clock.
func maxLocalDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// Begin starts the handling of an event at the given monotonic and wall-clock times.
func (c *Core) Begin(now, wall time.Time) { c.now, c.wall, c.unresolvedUsageValid = now, wall, false }

// Finish runs a placement pass and a commit if they are due and returns the effects since Begin.
func (c *Core) Finish() []Effect {
	if c.passDue && c.now.Sub(c.lastPass) >= c.passInterval() && c.mayPlace() {
		c.placementPass()
		if c.cfg.Forecast {
			c.recordLeftCapacity()
		}
	}
	c.commitIfDue()
	out := c.effects
	c.effects = nil
	return out
}

// passInterval returns the current minimum interval between passes. It grows with the number of
// steps, since each pass sorts them.
func (c *Core) passInterval() time.Duration {
	const perStep = 20 * time.Microsecond // ten times the cost of a step in a pass
	return max(c.cfg.MinPassInterval+time.Duration(len(c.steps))*perStep, passIntervalFactor*c.lastPassDuration)
}

// passIntervalFactor is the minimum interval between passes as a multiple of the duration of the last
// pass, so that passes use at most a third of a processor.
const passIntervalFactor = 2

// RecordProcessingTime records the processing time of the last event, from Begin to the end of Finish.
func (c *Core) RecordProcessingTime(d time.Duration) {
	if c.lastPass.Equal(c.now) {
		c.lastPassDuration = d
	}
}

// SetCatalog applies a newer configuration.
func (c *Core) SetCatalog(catalog *job.Catalog) {
	c.catalog = catalog
	c.passDue = true
}

// DisablePlacement disables placement before the owner hands over the partition. Past use is recorded at
// once, so that the handover loses none.
func (c *Core) DisablePlacement() {
	c.placementDisabled = true
	c.pastUse.recordedAt = time.Time{}
}

// SuspendPlacement suspends placement while the owner's knowledge is outdated, or resumes it.
func (c *Core) SuspendPlacement(outdated bool) { c.outdated = outdated }

// SuspendLeases suspends everything that grants leases to workers while another instance may have taken
// over, or resumes it: no tasks start, and the leases of running tasks are not renewed.
func (c *Core) SuspendLeases(suspended bool) { c.leasesSuspended = suspended }

// mayPlace reports whether tasks may start.
func (c *Core) mayPlace() bool { return !c.placementDisabled && !c.outdated && !c.leasesSuspended }

// AllCommitted reports whether there is nothing to commit and no commit in flight.
func (c *Core) AllCommitted() bool {
	return c.busyStreams == [CommitStreams]bool{} && len(c.dirty) == 0 && !c.rosterDirty && !c.isPastUseDue()
}

// Tick performs the actions that are due at the current time.
func (c *Core) Tick() {
	c.expireUnresolved()
	c.stopPartialGangs()
	for _, w := range c.sortedWorkers() {
		c.tickWorker(w)
	}
	c.sendDueStops()
	c.tickPastUse()
	c.activateDueOccurrences()
	c.recordBegins()
	c.removeSilentProxies()
	c.expireAdmissions()
	c.held.Expire(c.now)
	if c.now.Sub(c.finalsEvictedAt) > finalRetention/10 {
		c.finalsEvictedAt = c.now
		c.evictFinals()
		c.evictImages()
	}
	if c.now.Sub(c.lastPass) >= c.cfg.MaxPassInterval {
		c.passDue = true
	}
	if c.now.Sub(c.summaryLoggedAt) >= summaryInterval {
		c.summaryLoggedAt = c.now
		c.updateFleetSpeed()
		c.emit(HeldMemory{c.held.Stats()})
		c.logSummary()
	}
}

// summaryInterval is the interval between log entries on the state of the partition.
const summaryInterval = 2 * time.Second

// logSummary logs the load and the capacity of the partition.
func (c *Core) logSummary() {
	if len(c.jobs) == 0 {
		return
	}
	var capacity, used, reserved int64
	for service, u := range c.serviceUsage {
		capacity, used, reserved = capacity+u.capacity, used+u.used, reserved+c.reservedCPU[service]
	}
	pending, unanswered := c.countWaitingJobs()
	held := c.held.Stats()
	c.emit(Decision{Event: "partition", Fields: append([]any{
		"jobs", len(c.jobs), "pending", pending, "unanswered", unanswered, "steps", len(c.steps), "workers", len(c.workers), "unresolved", len(c.unresolved),
		"held_back", c.heldBackSteps(), "memory_kb", held.Bytes >> 10, "memory_limit_kb", held.Limit >> 10,
		"cores", capacity / 1000, "used", used / 1000, "kept", reserved / 1000, "kept_idle", c.reservedIdleCPU() / 1000, "stranded", c.strandedCPU() / 1000,
		"lanes", len(c.proxies), "lanes_busy", c.busyProxyShare(), "pass_us", c.lastPassDuration.Microseconds(), "passes", c.passes,
	}, c.speedSummary()...)})
	c.passes = 0
}

// reservedIdleCPU returns the millicores that are reserved for gangs and not in use.
func (c *Core) reservedIdleCPU() int64 {
	var idle int64
	for _, w := range c.workers {
		var claimed int64
		for _, gangClaim := range w.claims {
			claimed += gangClaim.size.CPUMilli
		}
		idle += max(0, min(claimed, w.freeCPU()))
	}
	return idle
}

// strandedCPU returns the free and unreserved millicores of the usable workers on which no waiting
// task fits because it needs more CPU or memory than is free there.
func (c *Core) strandedCPU() int64 {
	smallest := make(map[string]task.Resources) // of the waiting tasks, by service
	for _, s := range c.steps {
		if !s.ready || !s.hasUnplaced() {
			continue
		}
		size := taskSize(s.spec)
		if least, found := smallest[s.job.terms.Service]; found {
			size = task.Resources{CPUMilli: min(size.CPUMilli, least.CPUMilli), MemoryMB: min(size.MemoryMB, least.MemoryMB)}
		}
		smallest[s.job.terms.Service] = size
	}
	var stranded int64
	for _, w := range c.workers {
		size, waiting := smallest[w.Service]
		if !waiting || !c.isUsable(w) {
			continue
		}
		free := w.Capacity.Sub(w.used)
		for _, reserved := range w.claims {
			free = free.Sub(reserved.size)
		}
		if free.CPUMilli > 0 && (size.CPUMilli > free.CPUMilli || size.MemoryMB > free.MemoryMB) {
			stranded += free.CPUMilli
		}
	}
	return stranded
}

// heldBackSteps returns the number of ready steps that wait only for the reports of workers of a
// former owner.
func (c *Core) heldBackSteps() int {
	n := 0
	for _, s := range c.steps {
		if s.ready && s.hasUnplaced() && c.isHeldBack(s) {
			n++
		}
	}
	return n
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) logDecision(id job.ID, event string, fields ...any) {
	c.emit(Decision{Job: id, Event: event, Fields: fields})
}
