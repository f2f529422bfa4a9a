package queue

import (
	"container/list"
	"math"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// profileBuckets is the number of histogram buckets. They cover run times from 10 ms to 46.6 h; the
	// upper bounds of adjacent buckets differ by a factor of the square root of 2.
	profileBuckets   = 49
	firstBucketBound = 10 * time.Millisecond
	bucketsPerOctave = 2
	// profileDecay is the factor by which each new run reduces the weight of earlier runs. With 0.99,
	// the most recent 100 runs or so dominate.
	profileDecay = 0.99
	// profileMinRuns is the minimum number of observed runs for an estimate.
	profileMinRuns = 3
)

type profileKey struct {
	team    task.Team
	service task.Service
	class   string
}

// profile is an exponentially decayed histogram of run times.
type profile struct {
	key     profileKey
	buckets [profileBuckets]float64
	weight  float64 // weight of the next run; it increases instead of every bucket being scaled down
	total   float64 // sum of the buckets
	runs    int
}

// profiles is a bounded set of profiles with least-recently-used eviction.
type profiles struct {
	limit         int
	quantileLevel float64
	byKey         map[profileKey]*list.Element
	lru           *list.List
}

func newProfiles(limit int, quantile float64) *profiles {
	return &profiles{
		limit:         limit,
		quantileLevel: min(quantile, 1),
		byKey:         map[profileKey]*list.Element{},
		lru:           list.New(),
	}
}

func (p *profiles) observe(key profileKey, run time.Duration) {
	element, known := p.byKey[key]
	if !known {
		element = p.lru.PushFront(&profile{key: key, weight: 1})
		p.byKey[key] = element
		p.enforceLimit()
	}
	p.lru.MoveToFront(element)
	element.Value.(*profile).add(run)
}

// enforceLimit evicts the least recently used profile if the limit is exceeded.
func (p *profiles) enforceLimit() {
	if len(p.byKey) <= p.limit {
		return
	}
	oldest := p.lru.Back()
	p.lru.Remove(oldest)
	delete(p.byKey, oldest.Value.(*profile).key)
}

func (p *profiles) quantile(key profileKey) (time.Duration, bool) {
	element, known := p.byKey[key]
	if !known {
		return 0, false
	}
	return element.Value.(*profile).quantile(p.quantileLevel)
}

func (p *profile) add(run time.Duration) {
	p.buckets[bucketIndex(run)] += p.weight
	p.total += p.weight
	p.runs++
	p.weight /= profileDecay
	if p.weight > 1e100 {
		p.rescale()
	}
}

// rescale divides all weights by the weight of the next run, so that they do not overflow.
func (p *profile) rescale() {
	for i := range p.buckets {
		p.buckets[i] /= p.weight
	}
	p.total /= p.weight
	p.weight = 1
}

func (p *profile) quantile(level float64) (time.Duration, bool) {
	if p.runs < profileMinRuns {
		return 0, false
	}
	remaining := level * p.total
	for i, weight := range p.buckets {
		remaining -= weight
		if remaining <= 0 {
			return bucketUpperBound(i), true
		}
	}
	return bucketUpperBound(profileBuckets - 1), true
}

func bucketIndex(run time.Duration) int {
	if run <= firstBucketBound {
		return 0
	}
	octaves := math.Log2(float64(run) / float64(firstBucketBound))
	return min(int(math.Ceil(octaves*bucketsPerOctave)), profileBuckets-1)
}

// bucketUpperBound returns the longest run time in a bucket.
func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(i)/bucketsPerOctave))
}
