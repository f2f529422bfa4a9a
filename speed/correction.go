package speed

import (
	"math"
	"math/bits"
	"time"
)

const (
	// MinCorrection and MaxCorrection bound every correction: estimates are off by half.
	MinCorrection = 0.4
	MaxCorrection = 2.5
	// minCorrected is the number of runs from which a correction applies.
	minCorrected = 8
	// correctionWeight is the weight of a run in a correction, which thus covers about 40 runs.
	correctionWeight = 0.025
	// maxDeviation bounds the effect of one run on a correction, as a logarithm: a task that takes three
	// times as long as others counts like one that takes 1.4 times as long.
	maxDeviation = 0.35
	// maxClasses is the number of pairs of queue and size class that are kept.
	maxClasses = 256
	// publishedStep is the change from which a correction is published, as a logarithm: 5%.
	publishedStep = 0.05
)

// Corrections holds the typical ratio of the actual to the estimated duration of tasks, by queue and
// size class.
type Corrections struct {
	classes map[class]*correction
	uses    uint64
	version int
}

// class is the key of a correction: estimates of a similar size are wrong in a similar way.
type class struct {
	queue string
	size  int // binary logarithm of the estimate in milliseconds
}

type correction struct {
	runs      int
	ratio     float64 // logarithm
	published float64 // logarithm, as last returned
	lastUse   uint64
}

func classOf(queue string, estimate time.Duration) class {
	return class{queue, bits.Len64(uint64(max(0, estimate.Milliseconds())))}
}

// Add adds the duration of a successful run, converted to that on an average worker.
func (c *Corrections) Add(queue string, estimate, actual time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	key := classOf(queue, estimate)
	e := c.classes[key]
	if e == nil {
		if c.classes == nil {
			c.classes = make(map[class]*correction)
		}
		if len(c.classes) >= maxClasses {
			c.evict()
		}
		e = &correction{}
		c.classes[key] = e
	}
	c.uses++
	e.lastUse = c.uses
	e.runs++
	// The bounded deviations approach a value between the mean and the median. The first runs have a
	// higher weight, so that the correction does not begin at the neutral value.
	deviation := clamp(math.Log(actual.Seconds()/estimate.Seconds())-e.ratio, -maxDeviation, maxDeviation)
	e.ratio += max(correctionWeight, 1/math.Sqrt(float64(e.runs))/2) * deviation
	if e.runs >= minCorrected && math.Abs(e.ratio-e.published) >= publishedStep {
		e.published = e.ratio
		c.version++
	}
}

// evict removes the class that has been without a run for the longest time.
func (c *Corrections) evict() {
	var oldest class
	found := false
	for key, e := range c.classes {
		if !found || e.lastUse < c.classes[oldest].lastUse {
			oldest, found = key, true
		}
	}
	delete(c.classes, oldest)
}

// Factor returns the correction of an estimate, 1 if it is not known.
func (c *Corrections) Factor(queue string, estimate time.Duration) float64 {
	e := c.classes[classOf(queue, estimate)]
	if e == nil {
		return 1
	}
	return clamp(math.Exp(e.published), MinCorrection, MaxCorrection)
}

// Apply returns the corrected estimate.
func (c *Corrections) Apply(queue string, estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * c.Factor(queue, estimate))
}

// Version changes with every change of a correction.
func (c *Corrections) Version() int { return c.version }

// Range returns the number of corrections other than 1, the lowest and the highest one.
func (c *Corrections) Range() (n int, low, high float64) {
	low, high = 1, 1
	for _, e := range c.classes {
		if e.published != 0 {
			n++
			factor := clamp(math.Exp(e.published), MinCorrection, MaxCorrection)
			low, high = min(low, factor), max(high, factor)
		}
	}
	return n, low, high
}
