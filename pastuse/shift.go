package pastuse

import (
	"math"
	"time"
)

const (
	// minUseOfEqual is the use, as a fraction of an equal share of all teams, as which less use counts.
	// A team that was idle for hours thereby counts as a light user and not as one without use.
	minUseOfEqual = 0.25
	// maxRatio is the ratio of the highest to the lowest use from which on the lowest counts as higher.
	// With it, a team with little use, which may be waiting for its limit, does not hide the difference
	// between two teams with much use.
	maxRatio = 8
)

// Entry is a team in a comparison.
type Entry struct {
	Use    float64 // see TeamUse
	Weight float64 // the lowest one of the others counts if it is not positive and finite
	Shift  time.Duration
}

// Compare sets the shift of each entry. It is 0 for the team with the lowest use relative to its weight
// and grows with the logarithm of the ratio to it, up to maxShift at maxRatio. teams is the number of
// all teams, of which an equal share is derived.
func Compare(entries []Entry, teams int, maxShift time.Duration) {
	var sum, lowestWeight float64
	valid := 0
	for _, e := range entries {
		if isWeight(e.Weight) {
			sum += e.Weight
			valid++
			if lowestWeight == 0 || e.Weight < lowestWeight {
				lowestWeight = e.Weight
			}
		}
	}
	mean := 1.0
	if valid > 0 {
		mean = sum / float64(valid)
	} else {
		lowestWeight = 1
	}
	// Relative to the mean weight, the use is on the scale of a share again.
	relative := func(e *Entry) float64 {
		weight := e.Weight
		if !isWeight(weight) {
			weight = lowestWeight
		}
		return max(e.Use*mean/weight, minUseOfEqual/float64(max(1, teams)))
	}
	lowest, highest := math.Inf(1), 0.0
	for i := range entries {
		use := relative(&entries[i])
		lowest, highest = min(lowest, use), max(highest, use)
	}
	lowest = max(lowest, highest/maxRatio)
	for i := range entries {
		octaves := max(0, math.Log2(relative(&entries[i])/lowest))
		entries[i].Shift = time.Duration(min(1, octaves/math.Log2(maxRatio)) * float64(maxShift))
	}
}

func isWeight(w float64) bool { return w > 0 && !math.IsInf(w, 0) }
