package queue

import (
	"container/list"
	"math"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	// profileBuckets covers run times from 10 ms to 48 h; the bounds of a
	// bucket differ by a factor of the square root of 2.
	profileBuckets   = 49
	shortestRun      = 10 * time.Millisecond
	bucketsPerOctave = 2
	// profileDecay is the weight that earlier runs keep with each new one, so
	// that the last hundred or so decide.
	profileDecay = 0.99
	// profileMinimum is the number of runs below which nothing is predicted.
	profileMinimum = 3
)

type profileKey struct {
	team    task.Team
	service task.Service
	class   string
}

// profile is a decayed histogram of run times.
type profile struct {
	key     profileKey
	buckets [profileBuckets]float64
	weight  float64 // of the next run; grows instead of scaling every bucket down
	total   float64
	runs    int
}

// profiles keeps a bounded number of profiles and forgets the one that was not
// observed for longest.
type profiles struct {
	limit    int
	part     float64
	byKey    map[profileKey]*list.Element
	byRecent *list.List
}

func newProfiles(limit int, quantile float64) *profiles {
	return &profiles{
		limit:    limit,
		part:     min(quantile, 1),
		byKey:    map[profileKey]*list.Element{},
		byRecent: list.New(),
	}
}

func (p *profiles) observe(key profileKey, run time.Duration) {
	element, known := p.byKey[key]
	if !known {
		element = p.byRecent.PushFront(&profile{key: key, weight: 1})
		p.byKey[key] = element
		p.forget()
	}
	p.byRecent.MoveToFront(element)
	element.Value.(*profile).add(run)
}

func (p *profiles) forget() {
	if len(p.byKey) <= p.limit {
		return
	}
	oldest := p.byRecent.Back()
	p.byRecent.Remove(oldest)
	delete(p.byKey, oldest.Value.(*profile).key)
}

func (p *profiles) quantile(key profileKey) (time.Duration, bool) {
	element, known := p.byKey[key]
	if !known {
		return 0, false
	}
	return element.Value.(*profile).quantile(p.part)
}

func (p *profile) add(run time.Duration) {
	p.buckets[bucketOf(run)] += p.weight
	p.total += p.weight
	p.runs++
	p.weight /= profileDecay
	if p.weight > 1e100 {
		p.rescale()
	}
}

func (p *profile) rescale() {
	for i := range p.buckets {
		p.buckets[i] /= p.weight
	}
	p.total /= p.weight
	p.weight = 1
}

func (p *profile) quantile(part float64) (time.Duration, bool) {
	if p.runs < profileMinimum {
		return 0, false
	}
	left := part * p.total
	for i, weight := range p.buckets {
		left -= weight
		if left <= 0 {
			return bucketEnd(i), true
		}
	}
	return bucketEnd(profileBuckets - 1), true
}

func bucketOf(run time.Duration) int {
	if run <= shortestRun {
		return 0
	}
	octaves := math.Log2(float64(run) / float64(shortestRun))
	return min(int(math.Ceil(octaves*bucketsPerOctave)), profileBuckets-1)
}

// bucketEnd returns the longest run time of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(shortestRun) * math.Exp2(float64(i)/bucketsPerOctave))
}
