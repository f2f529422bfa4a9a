package load

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// roundInterval is the time between scheduling rounds. It models the batching
	// of the control loop, which handles all pending events together.
	roundInterval = 10 * time.Millisecond
	// expiryInterval is the time between checks for jobs past their deadline.
	expiryInterval = 100 * time.Millisecond
	sampleInterval = time.Second
	// withdrawalCount is the number of key withdrawals in a run. Each ends all
	// waiting and running jobs of a team under one key.
	withdrawalCount = 4
)

// completionHeap orders the running jobs by end time.
type completionHeap []*job

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endTime().Before(h[j].endTime()) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *completionHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

func (j *job) endTime() time.Time { return j.endTimeIfStarted(j.started) }

// withdrawal is the withdrawal of one key of a team.
type withdrawal struct {
	at   time.Time
	team int
	key  string
}

// simulation is the state of one run.
type simulation struct {
	cfg         Config
	teams       []team
	generator   *generator
	scheduler   scheduler
	running     completionHeap
	withdrawals []withdrawal
	recorder    *recorder
	roundNeeded bool // an event since the last round may allow further starts
}

// Run simulates the policy of cfg.
func Run(cfg Config) (Result, error) {
	if err := cfg.Validate(); err != nil {
		return Result{}, err
	}
	if cfg.Load == 0 {
		cfg.Load = DefaultLoad
	}
	nodes := newFleet(cfg.Workers)
	teams := newTeams(cfg.Teams)
	capacity := totalCapacity(nodes)
	s := &simulation{
		cfg:         cfg,
		teams:       teams,
		generator:   newGenerator(cfg, teams, capacity),
		scheduler:   newScheduler(cfg, teams, nodes),
		withdrawals: newWithdrawals(cfg),
		recorder:    newRecorder(teams, capacity),
	}
	s.simulate()
	return s.recorder.result(cfg), nil
}

// newWithdrawals spreads the withdrawals over the second half of the run. The
// first is at the middle of the run and affects the flooding team during its
// flood, when its queue is full.
func newWithdrawals(cfg Config) []withdrawal {
	random := rand.New(rand.NewPCG(cfg.Seed, 2))
	var withdrawals []withdrawal
	for i := range withdrawalCount {
		progress := 0.5 + 0.45*float64(i)/withdrawalCount
		w := withdrawal{at: origin.Add(time.Duration(progress * float64(cfg.Duration))), key: "key-0"}
		if i > 0 {
			w.team = random.IntN(cfg.Teams)
		}
		withdrawals = append(withdrawals, w)
	}
	return withdrawals
}

func (s *simulation) simulate() {
	end := origin.Add(s.cfg.Duration)
	nextExpiry, nextSample := origin, origin
	for now := origin.Add(roundInterval); !now.After(end); now = now.Add(roundInterval) {
		s.handleEvents(now)
		if !now.Before(nextExpiry) {
			s.expireJobs(now)
			nextExpiry = nextExpiry.Add(expiryInterval)
		}
		if s.roundNeeded {
			s.runRound(now)
		}
		if !now.Before(nextSample) && now.Sub(origin) > initialArrivalWindow {
			s.recorder.sample(now)
			nextSample = nextSample.Add(sampleInterval)
		}
	}
}

// handleEvents handles the completions, arrivals and withdrawals up to now, with
// completions and arrivals in order of time.
func (s *simulation) handleEvents(now time.Time) {
	for {
		arrival := s.generator.nextArrival()
		switch {
		case len(s.running) > 0 && !s.running[0].endTime().After(now) && !s.running[0].endTime().After(arrival):
			s.handleCompletion(heap.Pop(&s.running).(*job))
		case !arrival.After(now):
			s.handleArrival(now, s.generator.nextJob())
		case len(s.withdrawals) > 0 && !s.withdrawals[0].at.After(now):
			s.withdrawKey(now, s.withdrawals[0])
			s.withdrawals = s.withdrawals[1:]
		default:
			return
		}
	}
}

func (s *simulation) handleArrival(now time.Time, j *job) {
	begin := time.Now()
	err := s.scheduler.enqueue(now, j)
	s.recorder.addEventTime(time.Since(begin))
	s.recorder.recordArrival(j, err)
	s.roundNeeded = s.roundNeeded || err == nil
}

func (s *simulation) handleCompletion(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.release(j.endTime(), j)
	s.scheduler.observeRunTime(j)
}

func (s *simulation) release(now time.Time, j *job) {
	begin := time.Now()
	s.scheduler.release(now, j)
	s.recorder.addEventTime(time.Since(begin))
	s.recorder.recordEnd(j)
	s.roundNeeded = true
}

func (s *simulation) expireJobs(now time.Time) {
	begin := time.Now()
	expired := s.scheduler.expire(now)
	s.recorder.addEventTime(time.Since(begin))
	for _, j := range expired {
		s.recorder.recordExpiry(j)
	}
}

// withdrawKey cancels the waiting jobs under a key and stops the running ones.
func (s *simulation) withdrawKey(now time.Time, w withdrawal) {
	begin := time.Now()
	removed := s.scheduler.removeKey(now, w.team, w.key)
	s.recorder.recordWithdrawal(time.Since(begin), len(removed))
	for _, j := range removed {
		s.recorder.recordCancellation(j)
	}
	for _, j := range s.running {
		if !j.ended && j.team == w.team && j.keyID == w.key {
			j.ended = true
			s.release(now, j)
		}
	}
}

func (s *simulation) runRound(now time.Time) {
	s.roundNeeded = false
	begin := time.Now()
	var started []*job
	searches := s.scheduler.runRound(now, func(j *job) { started = append(started, j) })
	s.recorder.recordRound(time.Since(begin), searches, len(started))
	for _, j := range started {
		j.started = now
		heap.Push(&s.running, j)
		s.recorder.recordStart(now, j)
	}
}
