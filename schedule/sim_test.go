package schedule

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// simulation runs a Core in virtual time against simulated workers, a simulated store and a simulated
// advice service, which have the semantics of the real ones. Faults are random but reproducible by a
// seed. Every start of a run is checked independently of the Core.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	timers     timers
	timerCount int
	catalog    *job.Catalog

	core        *Core
	fence       int64
	records     map[job.ID]*record
	finals      map[job.ID]job.Final
	roster      []RosterEntry
	workers     map[string]*simWorker
	jobs        map[job.ID]*job.Job
	cancels     map[job.ID]time.Time
	storeDown   bool
	pendingJobs int // jobs that a test will submit later

	// State of each task as observed from outside the Core.
	running   map[job.TaskKey]*simRun
	done      map[job.TaskKey]bool        // a successful end was confirmed by an owner
	succeeded map[job.TaskKey]bool        // a run succeeded on its worker
	failed    map[job.TaskKey][]time.Time // end times of the failed runs that an owner confirmed
	starts    map[job.TaskKey][]time.Time
	begun     map[job.ID]bool // a task of the job has started
	shown     shownToCallers
	startedOn []simStart               // every start, in order
	history   map[job.TaskKey][]string // events, for failure messages
	usage     map[string]task.Resources

	stoppedRuns int // number of stop orders that met a run

	startsInFlight, stopsInFlight int    // orders of the current owner without an answer
	onOrder                       func() // called after each event of the owner; may be nil

	formerCatalog      *job.Catalog // still in force until formerCatalogUntil
	formerCatalogUntil time.Time

	pastUseHalfLife time.Duration   // configuration of the owners
	pastUse         *pastuse.Record // recorded past use
	withoutOwner    bool            // no instance is the owner

	wallOffset    time.Duration            // of the owner's time of day
	endsPerReport int                      // maximum number of ends in a report
	runTimes      map[job.ID]time.Duration // of the tasks of a job, if not about as long as estimated
	orderLossRate float64                  // share of the orders whose answer is lost
	lateOrders    bool                     // lost orders may be executed late
	reportDelay   time.Duration            // by which reports of workers are late at most
	faults        []string
	onAdviceCall  func(AdviceCall) // called for each advice call; may be nil
	forecast      bool             // Config.Forecast of the next owner
	jobMemory     int64            // Config.JobMemory of the next owner

	forecastErrors []time.Duration // see ForecastChecked

	speeds simSpeeds // of the workers

	adviceLatency time.Duration
	adviceDelay   func(AdviceCall) time.Duration          // if latencies differ; may be nil
	isEligible    func(k job.StepKey, worker string) bool // of the advice service
}

type record struct {
	job      *job.Job
	progress *job.Progress
}

type simWorker struct {
	Worker
	partitioned    bool // orders do not arrive, but runs continue
	dead           bool // not running and not listed
	fence          int64
	clockOrigin    time.Time
	leaseEnd       time.Time
	runs           map[job.TaskKey]*simRun
	stopped        map[job.TaskKey]int // highest run number stopped or ended
	ended          []EndReport
	endedAt        []time.Time // by number
	leaseExpiredAt time.Time   // when it last had no valid lease
	lastEndNumber  uint64
	failAll        bool
	unhealthy      bool    // refuses start orders
	answerPoll     func()  // answers a poll that waits for an end
	speed          float64 // 0 for the usual one
}

// simStart is the start of a run on a worker.
type simStart struct {
	worker string
	at     time.Time
	gang   bool
}

type simRun struct {
	key       job.TaskKey
	number    int
	worker    *simWorker
	size      task.Resources
	team      string
	startedAt time.Time
	ended     bool
	simWork
}

type timer struct {
	at       time.Time
	sequence int
	do       func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].sequence < q[b].sequence
	}
	return q[a].at.Before(q[b].at)
}
func (q timers) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any     { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

const adviceValidity = 2 * time.Second

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), adviceLatency: 50 * time.Millisecond, isEligible: isEligible, endsPerReport: 500,
		records: map[job.ID]*record{}, finals: map[job.ID]job.Final{}, workers: map[string]*simWorker{},
		jobs: map[job.ID]*job.Job{}, cancels: map[job.ID]time.Time{}, running: map[job.TaskKey]*simRun{},
		done: map[job.TaskKey]bool{}, succeeded: map[job.TaskKey]bool{}, failed: map[job.TaskKey][]time.Time{}, starts: map[job.TaskKey][]time.Time{}, begun: map[job.ID]bool{}, history: map[job.TaskKey][]string{}, usage: map[string]task.Resources{},
	}
	policy := &job.AdvicePolicy{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, Valid: adviceValidity}
	s.catalog = job.NewCatalog(1, 1, []job.Queue{
		{Name: "advised", Service: "calc", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second, Advice: policy},
		{Name: "plain", Service: "calc", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second},
	}, []job.Service{{Name: "calc"}}, []job.Team{
		{Name: "red", Weight: 100, Limit: task.Resources{CPUMilli: 60_000, MemoryMB: 1 << 20}}, {Name: "blue", Weight: 100},
	})
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		s.workers[id] = s.newWorker(Worker{ID: id, Incarnation: 1, Address: id, Service: "calc", Rack: fmt.Sprint("r", i/4),
			Labels: []string{"a", fmt.Sprint("r", i/4)}, Capacity: task.Resources{CPUMilli: 32_000, MemoryMB: 128 << 10}})
	}
	s.every(10*time.Millisecond, func() { s.dispatch(func(c *Core) { c.Tick() }) })
	s.every(100*time.Millisecond, s.expireLeases)
	s.every(100*time.Millisecond, s.checkPending)
	s.every(100*time.Millisecond, s.checkMemory)
	s.every(700*time.Millisecond, func() {
		listed := s.listed()
		s.dispatch(func(c *Core) { c.SetDirectory(listed) })
	})
	s.takeOver()
	return s
}

func (s *simulation) newWorker(w Worker) *simWorker {
	return &simWorker{Worker: w, clockOrigin: s.now.Add(-time.Hour), leaseEnd: s.now, runs: map[job.TaskKey]*simRun{}, stopped: map[job.TaskKey]int{}}
}

func (s *simulation) sortedWorkers() []*simWorker {
	return slices.SortedFunc(maps.Values(s.workers), func(a, b *simWorker) int { return strings.Compare(a.ID, b.ID) })
}

func (w *simWorker) sortedRuns() []*simRun {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *simRun) int { return compareTasks(a.key, b.key) })
}

func (s *simulation) listed() []Worker {
	var out []Worker
	for _, w := range s.workers {
		if !w.dead {
			out = append(out, w.Worker)
		}
	}
	slices.SortFunc(out, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// configure changes the configuration.
func (s *simulation) configure(catalog *job.Catalog) {
	distribution := 3 * time.Second // longest time until a configuration is in force everywhere
	if s.lateOrders {
		distribution = orderDrainTime // an order that a worker executes late is not judged
	}
	s.formerCatalog, s.formerCatalogUntil = s.catalog, s.now.Add(distribution)
	s.catalog = catalog
	s.dispatch(func(c *Core) { c.SetCatalog(catalog) })
}

// takeOver replaces the owner by a new one, which loads the recorded state.
func (s *simulation) takeOver() {
	s.fence++
	s.startsInFlight, s.stopsInFlight = 0, 0
	cfg := DefaultConfig()
	cfg.PastUseHalfLife = s.pastUseHalfLife
	cfg.LearnSpeeds = s.speeds.learn
	cfg.Forecast = s.forecast
	cfg.JobMemory = s.jobMemory
	s.core = New(s.now, cfg, s.fence, s.catalog, s.roster)
	s.dispatch(func(c *Core) {
		c.RestorePastUse(s.pastUse)
		c.ObserveInstance("i1")
		c.ObserveInstance("i2")
		for _, id := range sortedIDs(s.records) {
			r := s.records[id]
			_, cancelled := s.cancels[id]
			c.RestoreJob(RecordedJob{Job: r.job, Progress: s.reencode(r.progress), Cancelled: cancelled})
		}
		c.SetDirectory(s.listed())
	})
}

// reencode returns the progress as a new owner decodes it from the store.
func (s *simulation) reencode(p *job.Progress) *job.Progress {
	if p == nil {
		return nil
	}
	encoded, err := job.Encode(p)
	if err != nil {
		s.t.Fatal(err)
	}
	decoded, err := job.Decode[job.Progress](encoded)
	if err != nil {
		s.t.Fatal(err)
	}
	return decoded
}

func sortedIDs[V any](m map[job.ID]V) []job.ID {
	ids := make([]job.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *simulation) after(d time.Duration, do func()) {
	s.timerCount++
	heap.Push(&s.timers, timer{at: s.now.Add(d), sequence: s.timerCount, do: do})
}

func (s *simulation) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

// run advances the virtual time by d.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.timers) > 0 && !s.timers[0].at.After(end) && !s.t.Failed() {
		next := heap.Pop(&s.timers).(timer)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// dispatch passes an event to the current owner and executes its effects.
func (s *simulation) dispatch(event func(*Core)) {
	core, fence := s.core, s.fence
	if s.withoutOwner {
		return
	}
	core.Begin(s.now, s.now.Add(s.wallOffset))
	core.ObserveInstance("i1")
	core.ObserveInstance("i2")
	event(core)
	for _, e := range core.Finish() {
		s.execute(core, fence, e)
	}
	if s.onOrder != nil {
		s.onOrder()
	}
}

// tickFormer lets a former owner act on what it knows. It receives no replies.
func (s *simulation) tickFormer(former *Core, fence int64) {
	if s.core == former {
		return
	}
	former.Begin(s.now, s.now)
	former.Tick()
	for _, e := range former.Finish() {
		s.execute(former, fence, e)
	}
}

// reply passes an event to the given core after a delay, unless the core was replaced.
func (s *simulation) reply(core *Core, d time.Duration, event func(*Core)) {
	s.after(d, func() {
		if s.core == core {
			s.dispatch(event)
		}
	})
}

func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.rng.IntN(14)) * time.Millisecond
}

func (s *simulation) execute(core *Core, fence int64, e Effect) {
	switch e := e.(type) {
	case Poll:
		s.after(s.delay(), func() { s.pollWorker(core, fence, e) })
	case Start:
		s.startsInFlight++
		s.deliver(core, func() Verdict { return s.startRun(fence, e) }, func(c *Core, v Verdict) {
			s.startsInFlight--
			c.StartDone(StartDone{Start: e, Verdict: v})
		})
	case Stop:
		s.stopsInFlight++
		s.deliver(core, func() Verdict { return s.stopRun(fence, e) }, func(c *Core, v Verdict) {
			s.stopsInFlight--
			c.StopDone(StopDone{Stop: e, Verdict: v})
		})
	case AdviceCall:
		if s.onAdviceCall != nil {
			s.onAdviceCall(e)
		}
		latency := s.adviceLatency
		if s.adviceDelay != nil {
			latency = s.adviceDelay(e)
		}
		s.reply(core, latency, func(c *Core) {
			tickets := map[string]string{}
			for _, w := range e.Workers {
				if s.isEligible(e.Step, w) {
					tickets[w] = fmt.Sprint(s.now.UnixNano())
				}
			}
			c.AdviceCallDone(AdviceCallDone{Call: e, Tickets: tickets, Validity: adviceValidity})
		})
	case Commit:
		s.commit(core, e)
	case Decision:
		s.speeds.observe(s.now, e)
	case ForecastChecked:
		s.forecastErrors = append(s.forecastErrors, e.Error)
	}
}

// isEligible reports whether the simulated advice service allows a worker to run a step: about half of
// the workers may, always the same ones for a job.
func isEligible(k job.StepKey, worker string) bool {
	return (len(worker)+int(worker[2])+int(k.Job[15]))%2 == 0
}

func (s *simulation) commit(core *Core, e Commit) {
	if s.storeDown {
		s.after(50*time.Millisecond, func() { s.commit(core, e) })
		return
	}
	s.after(20*time.Millisecond, func() {
		if s.core != core || s.withoutOwner {
			return // the transaction fails, since another owner has taken over
		}
		for _, change := range e.Changes {
			if change.Final != nil {
				s.finals[change.Job] = *change.Final
				delete(s.records, change.Job)
			} else {
				s.records[change.Job].progress = change.Progress
				s.logEvent(job.TaskKey{StepKey: job.StepKey{Job: change.Job}}, "recorded %+v", *change.Progress)
			}
		}
		if e.Roster != nil {
			s.roster = e.Roster
		}
		if e.PastUse != nil {
			s.pastUse = e.PastUse
		}
		s.reply(core, 5*time.Millisecond, func(c *Core) { c.CommitDone(CommitDone{Commit: e}) })
	})
}

// deliver delivers an order and its answer. With probability orderLossRate the answer is lost, and
// the order may be lost or, with lateOrders, delayed.
func (s *simulation) deliver(core *Core, order func() Verdict, answer func(*Core, Verdict)) {
	if s.rng.Float64() < s.orderLossRate {
		if s.lateOrders && s.rng.IntN(2) == 0 {
			s.after(time.Duration(2+s.rng.IntN(9))*time.Second, func() { order() })
		} else if s.rng.IntN(2) == 0 {
			s.after(s.delay(), func() { order() })
		}
		s.reply(core, 700*time.Millisecond, func(c *Core) { answer(c, Unclear) })
		return
	}
	s.after(s.delay(), func() {
		v := order()
		if v == Unclear {
			s.reply(core, 700*time.Millisecond, func(c *Core) { answer(c, v) })
			return
		}
		s.reply(core, s.delay(), func(c *Core) { answer(c, v) })
	})
}

func (s *simulation) submit(j *job.Job) {
	s.jobs[j.ID] = j
	s.pendingJobs = max(0, s.pendingJobs-1)
	j.AcceptedAt = s.now
	s.records[j.ID] = &record{job: j}
	s.dispatch(func(c *Core) { c.Accept(j) })
}

// cancel records the cancellation of a job and passes it to the owner.
func (s *simulation) cancel(id job.ID) {
	if _, open := s.records[id]; open {
		s.cancels[id] = s.now
		s.dispatch(func(c *Core) { c.Cancel(id, 0) })
	}
}
