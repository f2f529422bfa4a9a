package load

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	keysPerTeam = 4
	// floodLoad is what the flooding team adds during the flood, as a part of
	// the capacity.
	floodLoad = 1.0
	// burstDepth is how far the rate of a team swings around its mean.
	burstDepth = 0.5
	// declaredSigma makes declared run times wrong by a factor of 5 or more in
	// about a quarter of the jobs.
	declaredSigma = 1.4
	// initialSpread is the time over which the jobs in progress at the start of
	// a run arrive. It is left out of the measures.
	initialSpread = 5 * time.Second
)

// origin is the start of virtual time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one unit of arrival: a task, or a gang of tasks.
type job struct {
	attempt  task.Attempt
	team     int
	shape    *shape
	size     task.Resources
	count    int
	run      time.Duration
	declared time.Duration
	key      string
	arrived  time.Time
	started  time.Time
	members  []task.Attempt
	ended    bool
}

func (j *job) endsAfter(start time.Time) time.Time { return start.Add(j.run) }

func (j *job) total() task.Resources { return j.size.Scale(int64(j.count)) }

// team is a customer of the generated load.
type team struct {
	name   task.Team
	weight float64
	demand float64 // offered work over entitled share
	phase  float64 // of its bursts
}

// newTeams gives teams different weights and demands. The demands average to 1
// over the weights.
func newTeams(count int) []team {
	weights := []float64{1, 2, 1, 4}
	demands := []float64{1.5, 0.6, 1, 0.9, 1.2}
	teams := make([]team, count)
	weightSum, demandSum := 0.0, 0.0
	for i := range teams {
		teams[i] = team{
			name:   task.Team(fmt.Sprintf("team-%02d", i)),
			weight: weights[i%len(weights)],
			demand: demands[i%len(demands)],
			phase:  float64(i) / float64(count),
		}
		weightSum += teams[i].weight
		demandSum += teams[i].weight * teams[i].demand
	}
	for i := range teams {
		teams[i].demand *= weightSum / demandSum
	}
	return teams
}

// stream is the arrivals of one kind of work of one team, in order of time.
type stream struct {
	random *rand.Rand
	team   int
	shape  *shape
	rate   float64 // mean arrivals per second
	next   time.Duration
	count  int
}

// source merges the streams of all teams.
type source struct {
	cfg         Config
	teams       []team
	streams     streams
	initial     []*job  // what is in progress when the run begins
	floodFactor float64 // rate of the flooding team during the flood over its mean
}

type streams []*stream

func (s streams) Len() int           { return len(s) }
func (s streams) Less(i, j int) bool { return s[i].next < s[j].next }
func (s streams) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *streams) Push(x any)        { *s = append(*s, x.(*stream)) }
func (s *streams) Pop() any          { panic("streams never end") }

func newSource(cfg Config, teams []team, capacity task.Resources) *source {
	s := &source{cfg: cfg, teams: teams}
	works, scale := offeredWork(cfg, capacity)
	weightSum := 0.0
	for i := range teams {
		weightSum += teams[i].weight
	}
	for i := range teams {
		share := teams[i].weight * teams[i].demand / weightSum
		if i == 0 {
			s.floodFactor = 1 + floodLoad/(share*cfg.Load)
		}
		for k := range shapes {
			st := &stream{
				random: rand.New(rand.NewPCG(cfg.Seed, uint64(1000+i*len(shapes)+k))),
				team:   i,
				shape:  &shapes[k],
				rate:   scale * share * shapes[k].work / works[k].dominant,
			}
			s.warmUp(st)
			s.streams = append(s.streams, st)
		}
	}
	heap.Init(&s.streams)
	s.spreadInitial()
	return s
}

// offeredWork returns the mean work of a job of each shape, and the factor with
// which the rates have to be multiplied so that the resource that is asked for
// most is asked for at the configured load.
func offeredWork(cfg Config, capacity task.Resources) (works []work, scale float64) {
	var offered [4]float64
	for k := range shapes {
		w := shapes[k].meanWork(rand.New(rand.NewPCG(cfg.Seed, uint64(k))), capacity)
		for r := range offered {
			offered[r] += shapes[k].work * w.resources[r] / w.dominant
		}
		works = append(works, w)
	}
	return works, cfg.Load / slices.Max(offered[:])
}

// warmUp runs a stream up to the origin and keeps the jobs that would still
// run then, for the rest of their time. Without them, a run that is shorter
// than the longest jobs would see a cluster that never fills.
func (s *source) warmUp(st *stream) {
	st.next = -st.shape.longest
	s.advance(st)
	for st.next < 0 {
		j := s.draw(st)
		if rest := j.endsAfter(j.arrived).Sub(origin); rest > 0 {
			j.run = rest
			s.initial = append(s.initial, j)
		}
		s.advance(st)
	}
}

// spreadInitial lets the initial jobs arrive over a short time, so that they do
// not meet the bound of the queues.
func (s *source) spreadInitial() {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 3))
	random.Shuffle(len(s.initial), func(i, k int) {
		s.initial[i], s.initial[k] = s.initial[k], s.initial[i]
	})
	for i, j := range s.initial {
		j.arrived = origin.Add(initialSpread * time.Duration(i) / time.Duration(len(s.initial)))
	}
}

// peek returns when the next job arrives.
func (s *source) peek() time.Time {
	next := origin.Add(s.streams[0].next)
	if len(s.initial) > 0 && !s.initial[0].arrived.After(next) {
		return s.initial[0].arrived
	}
	return next
}

// take returns the next job.
func (s *source) take() *job {
	st := s.streams[0]
	if len(s.initial) > 0 && !s.initial[0].arrived.After(origin.Add(st.next)) {
		j := s.initial[0]
		s.initial = s.initial[1:]
		return j
	}
	j := s.draw(st)
	s.advance(st)
	heap.Fix(&s.streams, 0)
	return j
}

// draw returns the job of the present arrival of a stream.
func (s *source) draw(st *stream) *job {
	j := &job{team: st.team, shape: st.shape, arrived: origin.Add(st.next)}
	st.count++
	j.attempt = task.Attempt{Task: task.ID(fmt.Sprintf("%s/%s/%d", s.teams[st.team].name, st.shape.kind, st.count)), Number: 1}
	st.shape.draw(st.random, j)
	j.declared = time.Duration(float64(j.run) * math.Exp(declaredSigma*st.random.NormFloat64()))
	j.key = fmt.Sprint("key-", st.random.IntN(keysPerTeam))
	return j
}

// advance draws the time of the next arrival by thinning a stream of the
// highest rate.
func (s *source) advance(st *stream) {
	highest := st.rate * (1 + burstDepth)
	if st.team == 0 {
		highest *= s.floodFactor
	}
	for {
		st.next += time.Duration(st.random.ExpFloat64() / highest * float64(time.Second))
		if st.random.Float64()*highest < st.rate*s.factorAt(st.team, st.next) {
			return
		}
	}
}

// factorAt returns the rate of a team at a time over its mean. The first team
// floods the cluster during the middle fifth of the run.
func (s *source) factorAt(number int, at time.Duration) float64 {
	part := float64(at) / float64(s.cfg.Duration)
	factor := 1 + burstDepth*math.Sin(2*math.Pi*(2*part+s.teams[number].phase))
	if number == 0 && part >= 0.4 && part < 0.6 {
		factor *= s.floodFactor
	}
	return factor
}
