package load

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPolicies compares the policies on the same loads, with one seed for
// each iteration. It reports the worst share error, the waiting times of answer
// requests of all teams except the flooding one, and the time per start.
func BenchmarkPolicies(b *testing.B) {
	for _, teams := range []int{6, 97} {
		for _, policy := range Policies {
			b.Run(fmt.Sprintf("teams=%d/%s", teams, policy), func(b *testing.B) {
				var worst, p50, p99, cost float64
				for i := range b.N {
					r, err := Run(Config{
						Seed: uint64(i + 1), Teams: teams, Workers: 50, Duration: 10 * time.Minute, Policy: policy,
					})
					if err != nil {
						b.Fatal(err)
					}
					worst += r.WorstShareError
					p50 += r.KindsOfOthers[0].P50.Seconds()
					p99 += r.KindsOfOthers[0].P99.Seconds()
					cost += float64(r.Cost.PerStart)
				}
				n := float64(b.N)
				b.ReportMetric(worst/n, "worst-share-error")
				b.ReportMetric(p50/n, "answer-p50-s")
				b.ReportMetric(p99/n, "answer-p99-s")
				b.ReportMetric(cost/n, "ns/start")
			})
		}
	}
}
