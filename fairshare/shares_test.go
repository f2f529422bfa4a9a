package fairshare

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"pgregory.net/rapid"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	total = task.Resources{CPUMilli: 100_000, MemoryMB: 100_000, Accelerators: 10, Slots: 100, Connections: 1000}
)

func newShares(halfLife time.Duration) *Shares {
	s := New(Config{HalfLife: halfLife})
	s.SetCapacity(total)
	return s
}

// TestOrderUsesDominantShare guards against underestimating the share of a team that uses much of one
// resource and little of the others.
func TestOrderUsesDominantShare(t *testing.T) {
	s := newShares(0)
	s.AddUsage(start, "accelerated", task.Resources{Accelerators: 5})
	s.AddUsage(start, "processors", task.Resources{CPUMilli: 40_000, MemoryMB: 40_000, Slots: 40})
	got := s.Order(start, []task.Team{"accelerated", "processors", "idle"})
	if want := []task.Team{"idle", "processors", "accelerated"}; !slices.Equal(got, want) {
		t.Errorf("order = %v, want %v", got, want)
	}
}

// TestUsageIsProportionalToWeights guards against weights being ignored: if each start is given to the
// first team in the order, usage converges to the proportions of the weights.
func TestUsageIsProportionalToWeights(t *testing.T) {
	s := newShares(0)
	teams := []task.Team{"one", "two", "five"}
	s.SetWeight("two", 2)
	s.SetWeight("five", 5)
	now := start
	for range 80 {
		now = now.Add(time.Second)
		s.AddUsage(now, s.Order(now, teams)[0], task.Resources{Slots: 1})
	}
	for team, want := range map[task.Team]float64{"one": 0.1, "two": 0.2, "five": 0.5} {
		got := s.ShareOf(now, team)
		if math.Abs(got.Current-want) > 0.021 || math.Abs(got.Entitled-want/0.8) > 1e-9 {
			t.Errorf("share of %s = %+v, want about %v", team, got, want)
		}
	}
}

// TestUsageDecaysByHalf guards against past usage being discarded immediately or never decaying.
func TestUsageDecaysByHalf(t *testing.T) {
	s := newShares(time.Minute)
	size := task.Resources{CPUMilli: 80_000}
	s.AddUsage(start, "a", size)
	finishedAt := start.Add(time.Minute)
	if got := s.ShareOf(finishedAt, "a").Decayed; math.Abs(got-0.4) > 1e-9 {
		t.Errorf("decayed share after usage of 0.8 for one half-life = %v, want 0.4", got)
	}
	s.SubtractUsage(finishedAt, "a", size)
	if got := s.ShareOf(finishedAt.Add(time.Minute), "a"); math.Abs(got.Decayed-0.2) > 1e-9 || got.Current != 0 {
		t.Errorf("share one half-life after the usage ended = %+v, want 0.2 decayed and 0 current", got)
	}
	got := s.Order(finishedAt.Add(time.Minute), []task.Team{"a", "b"})
	if got[0] != "b" {
		t.Errorf("order = %v, want the team without past usage first", got)
	}
}

// TestOrderIncludesRemoteUsage guards against an owner that counts only the usage in its own
// partitions.
func TestOrderIncludesRemoteUsage(t *testing.T) {
	s := newShares(0)
	s.AddUsage(start, "local", task.Resources{Slots: 10})
	s.SetRemoteUsage(start, "remote", task.Resources{Slots: 20})
	if got := s.Order(start, []task.Team{"remote", "local"}); got[0] != "local" {
		t.Errorf("order = %v, want the team with less usage first", got)
	}
	s.SetRemoteUsage(start, "remote", task.Resources{})
	if got := s.Order(start, []task.Team{"local", "remote"}); got[0] != "remote" {
		t.Errorf("order after the remote usage ended = %v, want that team first", got)
	}
}

// TestReorderEqualsOrder guards against incremental reordering after a start giving a different
// result than a full sort.
func TestReorderEqualsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShares(time.Minute)
		var teams []task.Team
		for i := range rapid.IntRange(1, 30).Draw(t, "teams") {
			team := task.Team(fmt.Sprintf("t%02d", i))
			teams = append(teams, team)
			s.SetWeight(team, rapid.Float64Range(0.5, 4).Draw(t, "weight"))
			s.SetRemoteUsage(start, team, task.Resources{Slots: rapid.Int64Range(0, 20).Draw(t, "slots")})
		}
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "elapsed")))
		s.Order(now, teams)
		for range 20 {
			size := task.Resources{CPUMilli: rapid.Int64Range(0, 30_000).Draw(t, "cpu")}
			s.AddUsage(now, teams[0], size)
			s.Reorder(now, teams)
			want := s.Order(now, slices.Clone(teams))
			if !slices.Equal(teams, want) {
				t.Fatalf("Reorder = %v, Order = %v", teams, want)
			}
		}
	})
}

// TestShareOfHasNoSideEffects guards against a query for an unknown or removed team reducing the
// entitlement of the others.
func TestShareOfHasNoSideEffects(t *testing.T) {
	s := newShares(0)
	s.SetWeight("a", 2)
	s.SetWeight("gone", 2)
	s.AddUsage(start, "gone", task.Resources{Slots: 1})
	s.RemoveTeam("gone")
	if got := s.ShareOf(start, "gone"); got.Current == 0 {
		t.Error("a team was removed while it still had usage")
	}
	s.SubtractUsage(start, "gone", task.Resources{Slots: 1})
	s.RemoveTeam("gone")
	if got := s.ShareOf(start, "unknown"); got != (Share{}) {
		t.Errorf("share of an unknown team = %+v, want the zero Share", got)
	}
	if got := s.ShareOf(start, "a").Entitled; got != 1 {
		t.Errorf("entitled share of the only team = %v, want 1", got)
	}
}
