package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// shape describes the work of one kind.
type shape struct {
	kind     task.Kind
	urgency  task.Urgency
	work     float64 // part of the offered work
	deadline time.Duration
	review   time.Duration
	members  int // most members of a gang
	sizes    []task.Resources
	longest  time.Duration // bound on the run time
	run      func(*rand.Rand) time.Duration
}

// shapes mix short requests with heavy-tailed runs. A fifth of what runs at any
// time is meant to be services.
var shapes = []shape{
	{
		kind: task.Answer, urgency: task.Urgent, work: 0.15, deadline: 10 * time.Second,
		sizes: []task.Resources{
			{CPUMilli: 500, MemoryMB: 1024, Slots: 1, Connections: 2},
			{CPUMilli: 2000, MemoryMB: 4096, Slots: 1, Connections: 4},
		},
		longest: time.Minute,
		run:     logNormal(400*time.Millisecond, 1),
	},
	{
		kind: task.Durable, urgency: task.Normal, work: 0.2,
		sizes: []task.Resources{
			{CPUMilli: 1000, MemoryMB: 2048, Slots: 1, Connections: 1},
			{CPUMilli: 3300, MemoryMB: 9000, Slots: 1, Connections: 1},
		},
		longest: 10 * time.Minute,
		run:     logNormal(8*time.Second, 1.2),
	},
	{
		kind: task.AtMostOnce, urgency: task.Normal, work: 0.05, deadline: 5 * time.Minute,
		sizes:   []task.Resources{{CPUMilli: 1000, MemoryMB: 2048, Slots: 1, Connections: 1}},
		longest: 5 * time.Minute,
		run:     logNormal(5*time.Second, 1),
	},
	{
		kind: task.Batch, urgency: task.Background, work: 0.35, review: 30 * time.Minute,
		sizes: []task.Resources{
			{CPUMilli: 4000, MemoryMB: 8192, Slots: 1},
			{CPUMilli: 8000, MemoryMB: 65536, Slots: 2},
			{CPUMilli: 2000, MemoryMB: 16384, Slots: 1, Accelerators: 1},
		},
		longest: time.Hour,
		run:     pareto(15*time.Second, 1.3),
	},
	{
		kind: task.Gang, urgency: task.Background, work: 0.1, members: 8,
		sizes: []task.Resources{
			{CPUMilli: 4000, MemoryMB: 16384, Slots: 1},
			{CPUMilli: 4000, MemoryMB: 16384, Slots: 1, Accelerators: 2},
		},
		longest: time.Hour,
		run:     pareto(30*time.Second, 1.5),
	},
	{
		kind: task.LongLived, urgency: task.Normal, work: 0.15,
		sizes:   []task.Resources{{CPUMilli: 2000, MemoryMB: 8192, Slots: 1, Connections: 16}},
		longest: 4 * time.Hour,
		run:     logNormal(10*time.Minute, 0.8),
	},
}

func logNormal(median time.Duration, sigma float64) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*random.NormFloat64()))
	}
}

func pareto(shortest time.Duration, alpha float64) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		factor := math.Pow(1-random.Float64(), -1/alpha)
		return time.Duration(min(float64(shortest)*factor, float64(math.MaxInt64)/2))
	}
}

// draw fills in the size, the count and the run time of a job.
func (s *shape) draw(random *rand.Rand, j *job) {
	j.size = s.sizes[random.IntN(len(s.sizes))]
	j.count = 1
	if s.members > 0 {
		j.count = 2 + random.IntN(s.members-1)
	}
	j.run = min(s.run(random), s.longest)
}

// work is mean work per job: run time times a part of the capacity, in seconds.
type work struct {
	dominant  float64
	resources [4]float64 // processors, memory, accelerators, slots
}

// meanWork estimates the work of a job. The sample is large because the tail
// carries much of the mean.
func (s *shape) meanWork(random *rand.Rand, capacity task.Resources) work {
	const samples = 20_000
	var mean work
	for range samples {
		var j job
		s.draw(random, &j)
		seconds := j.run.Seconds() / samples
		mean.dominant += j.total().DominantShare(capacity) * seconds
		for r, value := range parts(j.total(), capacity) {
			mean.resources[r] += value * seconds
		}
	}
	return mean
}

// parts returns the part that an amount takes of each resource.
func parts(size, capacity task.Resources) [4]float64 {
	return [4]float64{
		part(size.CPUMilli, capacity.CPUMilli), part(size.MemoryMB, capacity.MemoryMB),
		part(size.Accelerators, capacity.Accelerators), part(size.Slots, capacity.Slots),
	}
}

func part(of, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(of) / float64(whole)
}
