package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/speed"
)

// BenchmarkPassWithSpeeds measures the pass of BenchmarkPassOverFullFleet with learned speeds.
func BenchmarkPassWithSpeeds(b *testing.B) {
	for _, fleet := range fleets {
		b.Run(fmt.Sprint(fleet.workers, "x", fleet.jobs), func(b *testing.B) {
			c, now := newFullFleet(fleet.workers, fleet.jobs)
			c.cfg.LearnSpeeds = true
			for i, w := range c.sortedWorkers() {
				w.learned, w.speed = &speed.Worker{}, []float64{0.8, 1, 1.25}[i%3]
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(replanInterval)
				c.Begin(now, now)
				dropAdviceCalls(c)
				c.passDue, c.lastPass = true, time.Time{}
				c.Finish()
			}
		})
	}
}

// BenchmarkReportWithSpeeds measures the handling of a report of which the progress is learned.
func BenchmarkReportWithSpeeds(b *testing.B) {
	c, now := newFullFleet(350, 400)
	c.cfg.LearnSpeeds = true
	w := c.workers["x000"]
	e := PollDone{Poll: Poll{Target: w.target()}, Incarnation: 1}
	for _, r := range sortedRunsOf(w) {
		e.Running = append(e.Running, RunReport{Task: r.task, Run: r.number, Percent: 10})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		c.Begin(now, now)
		e.SentAt, e.Clock = now, e.Clock+time.Microsecond
		c.PollDone(e)
		c.effects = c.effects[:0]
	}
}
