package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// forEachTeamCount runs a benchmark for each number of teams.
func forEachTeamCount(b *testing.B, run func(b *testing.B, s *Shares, teams []task.Team)) {
	for _, count := range []int{6, 30, 97} {
		b.Run(fmt.Sprintf("teams=%d", count), func(b *testing.B) {
			s := newShares(0)
			var teams []task.Team
			for i := range count {
				team := task.Team(fmt.Sprintf("team-%02d", i))
				teams = append(teams, team)
				s.SetWeight(team, float64(1+i%5))
				s.AddUsage(start, team, task.Resources{CPUMilli: int64(i * 100), Slots: 1})
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, teams)
		})
	}
}

// BenchmarkOrder measures a full sort of all teams after one start.
func BenchmarkOrder(b *testing.B) {
	forEachTeamCount(b, func(b *testing.B, s *Shares, teams []task.Team) {
		for i := range b.N {
			now := start.Add(time.Duration(i) * time.Millisecond)
			s.AddUsage(now, teams[0], task.Resources{Slots: 1})
			s.Order(now, teams)
		}
	})
}

// BenchmarkReorder measures the incremental reordering after one start.
func BenchmarkReorder(b *testing.B) {
	forEachTeamCount(b, func(b *testing.B, s *Shares, teams []task.Team) {
		for range b.N {
			s.AddUsage(start, teams[0], task.Resources{Slots: 1})
			s.Reorder(start, teams)
		}
	})
}
