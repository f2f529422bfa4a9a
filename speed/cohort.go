package speed

import (
	"slices"
	"time"
)

const (
	// maxCohort is the number of runs that are compared with each other.
	maxCohort = 32
	// minSiblings is the minimum number of runs on other workers with which a run is compared.
	minSiblings = 2
	// minTypical is the number of runs from which the typical duration of a task is known.
	minTypical = 4
)

// Cohort compares the runs of similar tasks: those of one step. It is evaluated once all of its runs
// have ended, or when it is full: runs that end first are shorter or on faster workers, so that a
// comparison with these alone would be wrong. The zero value is an empty cohort.
type Cohort struct {
	runs      []cohortRun
	evaluated int           // the first ones of the runs were evaluated
	typical   time.Duration // on an average worker; 0 if not known
}

type cohortRun struct {
	worker *Worker
	id     string
	work   time.Duration // duration of the whole work on its worker
}

// Add adds the whole work of a run that has ended on a worker.
func (h *Cohort) Add(id string, worker *Worker, work time.Duration, fleet *Fleet) {
	if work <= 0 {
		return
	}
	if len(h.runs) == maxCohort {
		h.Evaluate(fleet)
		h.runs = append(h.runs[:0], h.runs[maxCohort/2:]...)
		h.evaluated = len(h.runs)
	}
	h.runs = append(h.runs, cohortRun{worker: worker, id: id, work: work})
	if len(h.runs) >= minTypical {
		h.typical = time.Duration(Median(h.normalised("", fleet)))
	}
}

// Typical returns the typical duration of a task on an average worker, and from how many runs it is
// known. It returns 0 if it is not known.
func (h *Cohort) Typical() (time.Duration, int) {
	if h == nil {
		return 0, 0
	}
	return h.typical, len(h.runs)
}

// Evaluate adds the relative speeds shown by the runs to their workers.
func (h *Cohort) Evaluate(fleet *Fleet) {
	type sample struct {
		worker *Worker
		speed  float64
	}
	var samples []sample
	for _, r := range h.runs[h.evaluated:] {
		others := h.normalised(r.id, fleet)
		if len(others) < minSiblings {
			continue
		}
		samples = append(samples, sample{r.worker, Median(others) / float64(r.work)})
	}
	h.evaluated = len(h.runs)
	for _, s := range samples { // after all comparisons, so that their order has no effect
		s.worker.add(s.speed)
	}
}

// normalised returns the durations that the runs on other workers than the given one would have on an
// average worker.
func (h *Cohort) normalised(except string, fleet *Fleet) []float64 {
	out := make([]float64, 0, len(h.runs))
	for _, r := range h.runs {
		if r.id != except {
			out = append(out, float64(r.work)*r.worker.Speed(fleet))
		}
	}
	return out
}

// Median sorts the values, of which there must be at least one, and returns their median.
func Median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
