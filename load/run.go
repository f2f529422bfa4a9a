package load

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// tick is the time between scheduling rounds, as a control loop takes all
	// events that have come in together.
	tick = 10 * time.Millisecond
	// expiryInterval is the time between looks for work past its deadline.
	expiryInterval = 100 * time.Millisecond
	sampleInterval = time.Second
	// cancelWaves is the number of times that a team withdraws everything
	// under one key.
	cancelWaves = 4
)

// ends is the running jobs by the time of their end.
type ends []*job

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].endsAt().Before(e[j].endsAt()) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(*job)) }
func (e *ends) Pop() any {
	last := len(*e) - 1
	j := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return j
}

func (j *job) endsAt() time.Time { return j.endsAfter(j.started) }

// wave is one withdrawal of a key.
type wave struct {
	at   time.Time
	team int
	key  string
}

// run is one simulation.
type run struct {
	cfg       Config
	teams     []team
	source    *source
	scheduler scheduler
	running   ends
	waves     []wave
	measure   *measure
	changed   bool // since the last round
}

// Run simulates one policy.
func Run(cfg Config) (Result, error) {
	if err := cfg.Validate(); err != nil {
		return Result{}, err
	}
	if cfg.Load == 0 {
		cfg.Load = DefaultLoad
	}
	nodes := newFleet(cfg.Workers)
	teams := newTeams(cfg.Teams)
	capacity := capacityOf(nodes)
	r := &run{
		cfg:       cfg,
		teams:     teams,
		source:    newSource(cfg, teams, capacity),
		scheduler: newScheduler(cfg, teams, nodes),
		waves:     newWaves(cfg),
		measure:   newMeasure(teams, capacity),
	}
	r.simulate()
	return r.measure.result(cfg), nil
}

// newWaves spreads the waves over the run; the first hits the flooding team
// during the flood, when its queue is full.
func newWaves(cfg Config) []wave {
	random := rand.New(rand.NewPCG(cfg.Seed, 2))
	var waves []wave
	for i := range cancelWaves {
		part := 0.5 + 0.45*float64(i)/cancelWaves
		w := wave{at: origin.Add(time.Duration(part * float64(cfg.Duration))), key: "key-0"}
		if i > 0 {
			w.team = random.IntN(cfg.Teams)
		}
		waves = append(waves, w)
	}
	return waves
}

func (r *run) simulate() {
	end := origin.Add(r.cfg.Duration)
	expiry, sample := origin, origin
	for now := origin.Add(tick); !now.After(end); now = now.Add(tick) {
		r.takeEvents(now)
		if !now.Before(expiry) {
			r.expire(now)
			expiry = expiry.Add(expiryInterval)
		}
		if r.changed {
			r.round(now)
		}
		if !now.Before(sample) && now.Sub(origin) > initialSpread {
			r.measure.sample(now)
			sample = sample.Add(sampleInterval)
		}
	}
}

// takeEvents handles what has happened up to now in the order of time.
func (r *run) takeEvents(now time.Time) {
	for {
		arrival := r.source.peek()
		switch {
		case len(r.running) > 0 && !r.running[0].endsAt().After(now) && !r.running[0].endsAt().After(arrival):
			r.finish(heap.Pop(&r.running).(*job))
		case !arrival.After(now):
			r.arrive(now, r.source.take())
		case len(r.waves) > 0 && !r.waves[0].at.After(now):
			r.cancel(now, r.waves[0])
			r.waves = r.waves[1:]
		default:
			return
		}
	}
}

func (r *run) arrive(now time.Time, j *job) {
	begin := time.Now()
	err := r.scheduler.push(now, j)
	r.measure.spent(time.Since(begin))
	r.measure.arrived(j, err)
	r.changed = r.changed || err == nil
}

func (r *run) finish(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	r.release(j.endsAt(), j)
	r.scheduler.observeRun(j)
}

func (r *run) release(now time.Time, j *job) {
	begin := time.Now()
	r.scheduler.finished(now, j)
	r.measure.spent(time.Since(begin))
	r.measure.ended(j)
	r.changed = true
}

func (r *run) expire(now time.Time) {
	begin := time.Now()
	expired := r.scheduler.expire(now)
	r.measure.spent(time.Since(begin))
	for _, j := range expired {
		r.measure.expired(j)
	}
}

// cancel withdraws a key: what waits under it is removed, and what runs is
// stopped.
func (r *run) cancel(now time.Time, w wave) {
	begin := time.Now()
	removed := r.scheduler.removeKey(now, w.team, w.key)
	r.measure.wave(time.Since(begin), len(removed))
	for _, j := range removed {
		r.measure.cancelled(j)
	}
	for _, j := range r.running {
		if !j.ended && j.team == w.team && j.key == w.key {
			j.ended = true
			r.release(now, j)
		}
	}
}

func (r *run) round(now time.Time) {
	r.changed = false
	begin := time.Now()
	var started []*job
	finds := r.scheduler.round(now, func(j *job) { started = append(started, j) })
	r.measure.round(time.Since(begin), finds, len(started))
	for _, j := range started {
		j.started = now
		heap.Push(&r.running, j)
		r.measure.started(now, j)
	}
}
