package speed

import (
	"math"
	"slices"
)

const (
	// MinSpeed and MaxSpeed bound every speed.
	MinSpeed = 0.2
	MaxSpeed = 2.0
	// maxSamples is the number of runs from which a speed is estimated. Tasks of a step differ by up to
	// 30%; the median of 24 is accurate to about 5%.
	maxSamples = 24
	// minSamples is the number of runs from which a speed is known. The median of 4 is accurate to about 10%.
	minSamples = 4
)

// Worker estimates the speed of one incarnation of a worker relative to the average worker, and whether
// it is degraded. The zero value has no evidence.
type Worker struct {
	samples [maxSamples]float64 // logarithms of relative speeds, oldest overwritten first
	count   int                 // number of samples so far
	median  float64             // of the samples, as a logarithm
	pace    pace
}

// add adds the speed shown by one run, relative to similar runs on other workers.
func (w *Worker) add(relative float64) {
	if !(relative > 0) || math.IsInf(relative, 0) {
		return
	}
	w.samples[w.count%maxSamples] = math.Log(clamp(relative, MinSpeed/2, MaxSpeed*2))
	w.count++
	n := min(w.count, maxSamples)
	sorted := w.samples
	slices.Sort(sorted[:n])
	w.median = (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Known reports whether there is enough evidence for a speed. It may be called with a nil Worker.
func (w *Worker) Known() bool { return w != nil && w.count >= minSamples }

// Speed returns the speed relative to the average worker, 1 if it is not known. It may be called with a
// nil Worker.
func (w *Worker) Speed(f *Fleet) float64 {
	if !w.Known() {
		return 1
	}
	return clamp(math.Exp(w.median-f.center), MinSpeed, MaxSpeed)
}

// Fleet holds the mean of the logarithms of the workers' speeds. Speeds are compared with those of
// other workers only, so that all of them could otherwise drift together.
type Fleet struct {
	center float64
	sum    float64
	count  int
}

// minCentered is the number of known speeds from which they are centred on their mean.
const minCentered = 6

// Add adds the speed of a worker to the next mean.
func (f *Fleet) Add(w *Worker) {
	if w.Known() {
		f.sum += w.median
		f.count++
	}
}

// Update replaces the mean by that of the speeds added since the last update.
func (f *Fleet) Update() {
	f.center = 0
	if f.count >= minCentered {
		f.center = f.sum / float64(f.count)
	}
	f.sum, f.count = 0, 0
}

func clamp(x, low, high float64) float64 { return max(low, min(high, x)) }
