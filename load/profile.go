package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// profile describes the jobs of one kind of work.
type profile struct {
	kind         task.Kind
	urgency      task.Urgency
	loadFraction float64 // fraction of the offered load
	deadline     time.Duration
	reviewAfter  time.Duration
	maxGangSize  int // 0 for jobs of a single task
	sizes        []task.Resources
	maxRunTime   time.Duration // upper limit of drawn run times
	drawRunTime  func(*rand.Rand) time.Duration
}

// profiles mixes short requests with jobs of heavy-tailed run times. The load
// fractions are intended to make services about a fifth of the running work.
var profiles = []profile{
	{
		kind: task.Answer, urgency: task.Urgent, loadFraction: 0.15, deadline: 10 * time.Second,
		sizes: []task.Resources{
			{CPUMilli: 500, MemoryMB: 1024, Slots: 1, Connections: 2},
			{CPUMilli: 2000, MemoryMB: 4096, Slots: 1, Connections: 4},
		},
		maxRunTime:  time.Minute,
		drawRunTime: logNormal(400*time.Millisecond, 1),
	},
	{
		kind: task.Durable, urgency: task.Normal, loadFraction: 0.2,
		sizes: []task.Resources{
			{CPUMilli: 1000, MemoryMB: 2048, Slots: 1, Connections: 1},
			{CPUMilli: 3300, MemoryMB: 9000, Slots: 1, Connections: 1},
		},
		maxRunTime:  10 * time.Minute,
		drawRunTime: logNormal(8*time.Second, 1.2),
	},
	{
		kind: task.AtMostOnce, urgency: task.Normal, loadFraction: 0.05, deadline: 5 * time.Minute,
		sizes:       []task.Resources{{CPUMilli: 1000, MemoryMB: 2048, Slots: 1, Connections: 1}},
		maxRunTime:  5 * time.Minute,
		drawRunTime: logNormal(5*time.Second, 1),
	},
	{
		kind: task.Batch, urgency: task.Background, loadFraction: 0.35, reviewAfter: 30 * time.Minute,
		sizes: []task.Resources{
			{CPUMilli: 4000, MemoryMB: 8192, Slots: 1},
			{CPUMilli: 8000, MemoryMB: 65536, Slots: 2},
			{CPUMilli: 2000, MemoryMB: 16384, Slots: 1, Accelerators: 1},
		},
		maxRunTime:  time.Hour,
		drawRunTime: pareto(15*time.Second, 1.3),
	},
	{
		kind: task.Gang, urgency: task.Background, loadFraction: 0.1, maxGangSize: 8,
		sizes: []task.Resources{
			{CPUMilli: 4000, MemoryMB: 16384, Slots: 1},
			{CPUMilli: 4000, MemoryMB: 16384, Slots: 1, Accelerators: 2},
		},
		maxRunTime:  time.Hour,
		drawRunTime: pareto(30*time.Second, 1.5),
	},
	{
		kind: task.LongLived, urgency: task.Normal, loadFraction: 0.15,
		sizes:       []task.Resources{{CPUMilli: 2000, MemoryMB: 8192, Slots: 1, Connections: 16}},
		maxRunTime:  4 * time.Hour,
		drawRunTime: logNormal(10*time.Minute, 0.8),
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

// draw samples the size, the task count and the run time of a job.
func (p *profile) draw(random *rand.Rand, j *job) {
	j.size = p.sizes[random.IntN(len(p.sizes))]
	j.count = 1
	if p.maxGangSize > 0 {
		j.count = 2 + random.IntN(p.maxGangSize-1)
	}
	j.runTime = min(p.drawRunTime(random), p.maxRunTime)
}

// normalizedWork is the mean work per job: run time times the used fraction of
// the capacity, in seconds.
type normalizedWork struct {
	dominantShare float64
	resources     [4]float64 // processors, memory, accelerators, slots
}

// meanWork estimates the mean work of a job. The sample is large because the
// heavy tail contributes much of the mean.
func (p *profile) meanWork(random *rand.Rand, capacity task.Resources) normalizedWork {
	const samples = 20_000
	var mean normalizedWork
	for range samples {
		var j job
		p.draw(random, &j)
		seconds := j.runTime.Seconds() / samples
		mean.dominantShare += j.totalSize().DominantShare(capacity) * seconds
		for r, value := range utilization(j.totalSize(), capacity) {
			mean.resources[r] += value * seconds
		}
	}
	return mean
}

// utilization returns, for each resource, size as a fraction of the capacity.
func utilization(size, capacity task.Resources) [4]float64 {
	return [4]float64{
		fraction(size.CPUMilli, capacity.CPUMilli), fraction(size.MemoryMB, capacity.MemoryMB),
		fraction(size.Accelerators, capacity.Accelerators), fraction(size.Slots, capacity.Slots),
	}
}

func fraction(amount, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(amount) / float64(total)
}
