package fairshare

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"pgregory.net/rapid"
)

// segment is an interval of constant usage of a team; it ends where the next one starts.
type segment struct {
	from time.Time
	used task.Resources
}

// history is a reference implementation of Shares that computes shares from the entire usage history.
type history struct {
	halfLife time.Duration
	weights  map[task.Team]float64
	local    map[task.Team]task.Resources
	remote   map[task.Team]task.Resources
	segments map[task.Team][]segment
}

// record starts a new segment with the current usage of a team.
func (h *history) record(now time.Time, team task.Team) {
	h.segments[team] = append(h.segments[team], segment{now, h.local[team].Add(h.remote[team])})
}

// decayed returns the dominant share of the usage integrated over time, with a weight that halves
// with each half-life into the past.
func (h *history) decayed(now time.Time, team task.Team) float64 {
	var sum [4]float64
	for i, s := range h.segments[team] {
		to := now
		if i+1 < len(h.segments[team]) {
			to = h.segments[team][i+1].from
		}
		weight := h.weightAt(now, to) - h.weightAt(now, s.from)
		for r, amount := range toVector(s.used) {
			sum[r] += amount * weight
		}
	}
	share := 0.0
	for r, capacity := range toVector(total) {
		share = max(share, sum[r]/capacity)
	}
	return share
}

func (h *history) weightAt(now, at time.Time) float64 {
	return math.Exp2(-float64(now.Sub(at)) / float64(h.halfLife))
}

func (h *history) weightedShare(now time.Time, team task.Team) float64 {
	current := h.local[team].Add(h.remote[team]).DominantShare(total)
	return (current + h.decayed(now, team)) / h.weights[team]
}

// TestSharesEqualHistory guards against decayed usage that depends on how often it is read, and
// against an order other than by weighted share.
func TestSharesEqualHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []task.Team{"a", "b", "c", "d"}
		h := &history{
			halfLife: time.Duration(rapid.IntRange(1, 600).Draw(t, "half-life")) * time.Second,
			weights:  map[task.Team]float64{}, local: map[task.Team]task.Resources{},
			remote: map[task.Team]task.Resources{}, segments: map[task.Team][]segment{},
		}
		s := newShares(h.halfLife)
		for _, team := range teams {
			h.weights[team] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			s.SetWeight(team, h.weights[team])
		}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(weightedShareMaxAge * time.Duration(rapid.IntRange(0, 600).Draw(t, "ticks")))
			applyRandomStep(t, s, h, now, rapid.SampledFrom(teams).Draw(t, "team"))
			compareWithHistory(t, s, h, now, teams)
		}
	})
}

func applyRandomStep(t *rapid.T, s *Shares, h *history, now time.Time, team task.Team) {
	size := task.Resources{
		CPUMilli: rapid.Int64Range(0, 5000).Draw(t, "cpu"), Slots: rapid.Int64Range(0, 5).Draw(t, "slots"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
	}
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0, 1:
		s.AddUsage(now, team, size)
		h.local[team] = h.local[team].Add(size)
	case 2:
		size = size.Min(h.local[team])
		s.SubtractUsage(now, team, size)
		h.local[team] = h.local[team].Sub(size)
	case 3:
		s.SetRemoteUsage(now, team, size)
		h.remote[team] = size
	}
	h.record(now, team)
}

func compareWithHistory(t *rapid.T, s *Shares, h *history, now time.Time, teams []task.Team) {
	for _, team := range teams {
		got, want := s.ShareOf(now, team), h.decayed(now, team)
		if math.Abs(got.Decayed-want) > 1e-9 {
			t.Fatalf("decayed share of %s = %v, want %v", team, got.Decayed, want)
		}
	}
	order := s.Order(now, slices.Clone(teams))
	for i := 1; i < len(order); i++ {
		before, after := h.weightedShare(now, order[i-1]), h.weightedShare(now, order[i])
		if c := cmp.Compare(before, after); c > 0 && before-after > 1e-9 {
			t.Fatalf("%s with weighted share %v comes before %s with %v", order[i-1], before, order[i], after)
		}
	}
}
