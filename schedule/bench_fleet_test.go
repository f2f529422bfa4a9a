package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// fleets are the numbers of workers and waiting jobs of the benchmarks: those of a large deployment,
// and of one whose owner serves 3,000 workers.
var fleets = []struct{ workers, jobs int }{{350, 100}, {350, 400}, {3000, 2400}}

// BenchmarkPassOverFullFleet measures a pass over a backlog with valid tickets on fully used workers,
// as in a burst. Passes that take longer than a few milliseconds leave capacity unused.
func BenchmarkPassOverFullFleet(b *testing.B) {
	for _, fleet := range fleets {
		b.Run(fmt.Sprint(fleet.workers, "x", fleet.jobs), func(b *testing.B) {
			c, now := newFullFleet(fleet.workers, fleet.jobs)
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

// newFullFleet returns a Core with the given number of workers, of which nine tenths have no free
// capacity, and of waiting jobs, whose tickets are valid.
func newFullFleet(count, jobs int) (*Core, time.Time) {
	c, now := newBacklog(0)
	var workers []Worker
	for i := range count {
		workers = append(workers, Worker{ID: fmt.Sprintf("x%03d", i), Incarnation: 1, Address: "a", Service: "s", Rack: fmt.Sprint("r", i/20), Capacity: task.Resources{CPUMilli: 32000, MemoryMB: 128 << 10}})
	}
	c.SetDirectory(workers)
	running := &job.Job{ID: "00000000000f0000", Queue: "open", Team: "t0", Steps: []job.Step{{Count: count * 8, Size: task.Resources{CPUMilli: 3700, MemoryMB: 12000}, Estimate: 3 * time.Second}}}
	c.Accept(running)
	s := c.steps[job.StepKey{Job: running.ID}]
	for i, w := range c.sortedWorkers() {
		w.fenced, w.recordedOpen = true, true
		if !w.listed {
			continue
		}
		for k := range 8 - i%10/9 { // on a tenth of the workers, one more task fits
			c.start(s, i%count*8+k, w, 1, "")
		}
	}
	for i := range jobs {
		j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "gangs", Team: fmt.Sprint("t", i%20)}
		j.Steps = []job.Step{{Count: 25, Size: task.Resources{CPUMilli: 3500, MemoryMB: 13000}, Estimate: 2 * time.Second}}
		if i%4 == 0 {
			j.Steps[0] = job.Step{Count: 20, Gang: true, Size: task.Resources{CPUMilli: 9000, MemoryMB: 18000}, Estimate: 4 * time.Second}
		}
		c.Accept(j)
		grantTickets(c, c.steps[job.StepKey{Job: j.ID}], i)
	}
	for i := range count / 10 {
		c.ObserveInstance(fmt.Sprint("x", i))
	}
	c.effects = nil
	return c, now
}

// dropAdviceCalls discards the advice calls in flight.
func dropAdviceCalls(c *Core) {
	for _, proxy := range c.proxies {
		proxy.inFlight, proxy.longCalls, proxy.lastSeenAt = 0, 0, c.now
	}
	for _, s := range c.steps {
		s.advice.proxy = nil
	}
}

// grantTickets adds valid tickets for a third of 350 workers to a step.
func grantTickets(c *Core, s *stepState, offset int) {
	s.advice.queried, s.advice.tickets = make(map[string]int64), make(map[string]ticket)
	const named = 350
	workers := c.sortedWorkers()
	for i := range min(named, len(workers)) {
		w := workers[(i+offset)%len(workers)]
		s.advice.queried[w.ID] = w.Incarnation
		if (i+offset)%3 == 0 {
			s.advice.tickets[w.ID] = ticket{text: "x", incarnation: w.Incarnation, expiresAt: c.now.Add(time.Second)}
			s.advice.expiresAt = c.now.Add(time.Second)
		}
	}
}

// BenchmarkTickFullFleet measures a tick with about eight runs on each worker. An owner ticks 100
// times per second.
func BenchmarkTickFullFleet(b *testing.B) {
	for _, fleet := range fleets[1:] {
		b.Run(fmt.Sprint(fleet.workers), func(b *testing.B) {
			c, now := newFullFleet(fleet.workers, fleet.jobs)
			for _, w := range c.workers {
				w.polling = true
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c.Begin(now, now)
				c.lastPass, c.summaryLoggedAt = now, now
				c.Tick()
				c.effects = c.effects[:0]
			}
		})
	}
}

// BenchmarkReportFullFleet measures the handling of one report of a worker with eight runs.
func BenchmarkReportFullFleet(b *testing.B) {
	c, now := newFullFleet(350, 400)
	w := c.workers["x000"]
	e := PollDone{Poll: Poll{Target: w.target()}, Incarnation: 1}
	for _, r := range sortedRunsOf(w) {
		e.Running = append(e.Running, RunReport{Task: r.task, Run: r.number, Percent: 10})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		c.Begin(now, now)
		e.SentAt = now
		c.PollDone(e)
		c.effects = c.effects[:0]
	}
}
