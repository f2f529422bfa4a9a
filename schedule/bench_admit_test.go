package schedule

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures decisions about submissions and views with restricted pairs in a burst. The
// owner decides about some hundred submissions per second, and builds the backlog 20 times per second.
func BenchmarkAdmit(b *testing.B) {
	for _, fleet := range fleets {
		for _, interval := range []time.Duration{0, backlogInterval} {
			b.Run(fmt.Sprint(fleet.workers, "x", fleet.jobs, "/every_", interval), func(b *testing.B) {
				c, now := newFullFleet(fleet.workers, fleet.jobs)
				c.cfg.Forecast = true
				c.admission.since = now.Add(-time.Minute)
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					now = now.Add(interval)
					c.Begin(now, now)
					n++
					j := shortJob(1_000_000+n, "gangs", fmt.Sprint("t", n%20))
					c.Admit(j, len(j.Spec))
					if interval > 0 {
						c.restrictedPairs()
					}
					if len(c.admission.admitted) > 100 {
						clear(c.admission.admitted)
					}
					c.effects = nil
				}
			})
		}
	}
}
