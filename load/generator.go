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
	// floodLoad is the additional load of the flooding team during the flood, as
	// a fraction of the capacity.
	floodLoad = 1.0
	// burstAmplitude is the amplitude of the arrival rate of a team, as a fraction
	// of its mean.
	burstAmplitude = 0.5
	// declaredRunSigma is the standard deviation of the log of the error of
	// declared run times. With 1.4, about a quarter of them are wrong by a factor
	// of 5 or more.
	declaredRunSigma = 1.4
	// initialArrivalWindow is the time over which the jobs in progress at the
	// start of a run arrive. Shares and waiting times exclude it.
	initialArrivalWindow = 5 * time.Second
)

// origin is the start of virtual time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one arrival: a task, or a gang of tasks.
type job struct {
	attempt         task.Attempt
	team            int
	profile         *profile
	size            task.Resources
	count           int
	runTime         time.Duration
	declaredRunTime time.Duration
	keyID           string
	arrived         time.Time
	started         time.Time
	members         []task.Attempt
	ended           bool
}

func (j *job) endTimeIfStarted(start time.Time) time.Time { return start.Add(j.runTime) }

func (j *job) totalSize() task.Resources { return j.size.Scale(int64(j.count)) }

// team is one customer in the generated load.
type team struct {
	name       task.Team
	weight     float64
	demand     float64 // offered load divided by the entitled share
	burstPhase float64 // phase offset of the bursts, in periods
}

// newTeams returns teams with different weights and demands. The weighted mean
// of the demands is 1.
func newTeams(count int) []team {
	weights := []float64{1, 2, 1, 4}
	demands := []float64{1.5, 0.6, 1, 0.9, 1.2}
	teams := make([]team, count)
	weightSum, demandSum := 0.0, 0.0
	for i := range teams {
		teams[i] = team{
			name:       task.Team(fmt.Sprintf("team-%02d", i)),
			weight:     weights[i%len(weights)],
			demand:     demands[i%len(demands)],
			burstPhase: float64(i) / float64(count),
		}
		weightSum += teams[i].weight
		demandSum += teams[i].weight * teams[i].demand
	}
	for i := range teams {
		teams[i].demand *= weightSum / demandSum
	}
	return teams
}

// arrivalStream generates the arrivals of one team and one kind of work, in order
// of time.
type arrivalStream struct {
	random   *rand.Rand
	team     int
	profile  *profile
	rate     float64 // mean arrivals per second
	next     time.Duration
	jobCount int
}

// generator merges the arrival streams of all teams.
type generator struct {
	cfg             Config
	teams           []team
	streams         streamHeap
	initialJobs     []*job  // jobs in progress when the run begins
	floodRateFactor float64 // factor on the rate of the flooding team during the flood
}

type streamHeap []*arrivalStream

func (s streamHeap) Len() int           { return len(s) }
func (s streamHeap) Less(i, j int) bool { return s[i].next < s[j].next }
func (s streamHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *streamHeap) Push(x any)        { *s = append(*s, x.(*arrivalStream)) }
func (s *streamHeap) Pop() any          { panic("load: arrival streams are endless and never removed") }

func newGenerator(cfg Config, teams []team, capacity task.Resources) *generator {
	g := &generator{cfg: cfg, teams: teams}
	workPerJob, rateScale := estimateLoad(cfg, capacity)
	weightSum := 0.0
	for i := range teams {
		weightSum += teams[i].weight
	}
	for i := range teams {
		share := teams[i].weight * teams[i].demand / weightSum
		if i == 0 {
			g.floodRateFactor = 1 + floodLoad/(share*cfg.Load)
		}
		for k := range profiles {
			stream := &arrivalStream{
				random:  rand.New(rand.NewPCG(cfg.Seed, uint64(1000+i*len(profiles)+k))),
				team:    i,
				profile: &profiles[k],
				rate:    rateScale * share * profiles[k].loadFraction / workPerJob[k].dominantShare,
			}
			g.warmUp(stream)
			g.streams = append(g.streams, stream)
		}
	}
	heap.Init(&g.streams)
	g.spreadInitialJobs()
	return g
}

// estimateLoad returns the mean work of a job of each profile, and the factor with
// which the rates have to be multiplied so that the bottleneck resource is
// offered the configured load.
func estimateLoad(cfg Config, capacity task.Resources) (workPerJob []normalizedWork, rateScale float64) {
	var offered [4]float64
	for k := range profiles {
		w := profiles[k].meanWork(rand.New(rand.NewPCG(cfg.Seed, uint64(k))), capacity)
		for r := range offered {
			offered[r] += profiles[k].loadFraction * w.resources[r] / w.dominantShare
		}
		workPerJob = append(workPerJob, w)
	}
	return workPerJob, cfg.Load / slices.Max(offered[:])
}

// warmUp advances a stream to the origin and keeps the jobs that would still be
// running then, with their remaining run time. Without them, the cluster would
// never fill up in a run that is shorter than the longest jobs.
func (g *generator) warmUp(stream *arrivalStream) {
	stream.next = -stream.profile.maxRunTime
	g.advance(stream)
	for stream.next < 0 {
		j := g.drawJob(stream)
		if remaining := j.endTimeIfStarted(j.arrived).Sub(origin); remaining > 0 {
			j.runTime = remaining
			g.initialJobs = append(g.initialJobs, j)
		}
		g.advance(stream)
	}
}

// spreadInitialJobs spreads the arrivals of the initial jobs over
// initialArrivalWindow, so that they do not exceed the queue limits.
func (g *generator) spreadInitialJobs() {
	random := rand.New(rand.NewPCG(g.cfg.Seed, 3))
	random.Shuffle(len(g.initialJobs), func(i, k int) {
		g.initialJobs[i], g.initialJobs[k] = g.initialJobs[k], g.initialJobs[i]
	})
	for i, j := range g.initialJobs {
		j.arrived = origin.Add(initialArrivalWindow * time.Duration(i) / time.Duration(len(g.initialJobs)))
	}
}

// nextArrival returns the time of the next arrival.
func (g *generator) nextArrival() time.Time {
	next := origin.Add(g.streams[0].next)
	if len(g.initialJobs) > 0 && !g.initialJobs[0].arrived.After(next) {
		return g.initialJobs[0].arrived
	}
	return next
}

// nextJob removes and returns the next job to arrive.
func (g *generator) nextJob() *job {
	stream := g.streams[0]
	if len(g.initialJobs) > 0 && !g.initialJobs[0].arrived.After(origin.Add(stream.next)) {
		j := g.initialJobs[0]
		g.initialJobs = g.initialJobs[1:]
		return j
	}
	j := g.drawJob(stream)
	g.advance(stream)
	heap.Fix(&g.streams, 0)
	return j
}

// drawJob returns the job of the current arrival of a stream.
func (g *generator) drawJob(stream *arrivalStream) *job {
	j := &job{team: stream.team, profile: stream.profile, arrived: origin.Add(stream.next)}
	stream.jobCount++
	j.attempt = task.Attempt{Task: task.ID(fmt.Sprintf("%s/%s/%d", g.teams[stream.team].name, stream.profile.kind, stream.jobCount)), Number: 1}
	stream.profile.draw(stream.random, j)
	j.declaredRunTime = time.Duration(float64(j.runTime) * math.Exp(declaredRunSigma*stream.random.NormFloat64()))
	j.keyID = fmt.Sprint("key-", stream.random.IntN(keysPerTeam))
	return j
}

// advance draws the time of the next arrival of an inhomogeneous Poisson process
// by thinning a process of the highest rate.
func (g *generator) advance(stream *arrivalStream) {
	highest := stream.rate * (1 + burstAmplitude)
	if stream.team == 0 {
		highest *= g.floodRateFactor
	}
	for {
		stream.next += time.Duration(stream.random.ExpFloat64() / highest * float64(time.Second))
		if stream.random.Float64()*highest < stream.rate*g.rateFactor(stream.team, stream.next) {
			return
		}
	}
}

// rateFactor returns the arrival rate of a team at a time, divided by its mean.
// The first team floods the cluster during the middle fifth of the run.
func (g *generator) rateFactor(team int, elapsed time.Duration) float64 {
	progress := float64(elapsed) / float64(g.cfg.Duration)
	factor := 1 + burstAmplitude*math.Sin(2*math.Pi*(2*progress+g.teams[team].burstPhase))
	if team == 0 && progress >= 0.4 && progress < 0.6 {
		factor *= g.floodRateFactor
	}
	return factor
}
