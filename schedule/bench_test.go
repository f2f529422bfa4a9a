package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// BenchmarkPassOverBacklog measures one pass over a long queue, as after a takeover under overload.
func BenchmarkPassOverBacklog(b *testing.B) {
	for _, jobs := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			c, now := newBacklog(jobs)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(c.passInterval())
				c.Begin(now, now)
				c.passDue = true
				c.Finish()
			}
		})
	}
}

// BenchmarkTick measures a tick with a backlog of 1,000 jobs.
func BenchmarkTick(b *testing.B) {
	c, now := newBacklog(1000)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Begin(now, now)
		c.lastPass = now
		c.Tick()
		c.effects = nil
	}
}

// newBacklog returns a Core with 60 idle workers and the given number of waiting jobs, a tenth of
// which are gangs.
func newBacklog(jobs int) (*Core, time.Time) {
	now := time.Unix(1_000_000, 0)
	queues := []job.Queue{
		{Name: "gangs", Service: "s", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second, Advice: &job.AdvicePolicy{Base: 500 * time.Millisecond, PerWorker: 7 * time.Millisecond, Valid: 2 * time.Second}},
		{Name: "small", Service: "s", MaxAttempts: 3, Stretch: 1.5, TargetAllowance: 400 * time.Millisecond, Advice: &job.AdvicePolicy{Base: 7 * time.Millisecond, Valid: 2 * time.Second}},
	}
	c := New(now, DefaultConfig(), 1, job.NewCatalog(1, 1, queues, []job.Service{{Name: "s"}}, nil), nil)
	c.Begin(now, now)
	var workers []Worker
	for i := range 60 {
		workers = append(workers, Worker{ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Address: "a", Service: "s", Rack: fmt.Sprint("r", i/8), Capacity: task.Resources{CPUMilli: 32000, MemoryMB: 128 << 10}})
	}
	c.SetDirectory(workers)
	for _, w := range c.workers {
		w.fenced, w.recordedOpen = true, true
	}
	for i := range 8 {
		c.ObserveInstance(fmt.Sprint("i", i))
	}
	for i := range jobs {
		j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "small", Team: fmt.Sprint("t", i%6)}
		j.Steps = []job.Step{{Count: 2, Size: task.Resources{CPUMilli: 2800, MemoryMB: 8000}, Estimate: 640 * time.Millisecond}}
		if i%10 == 0 {
			j.Queue = "gangs"
			j.Steps[0] = job.Step{Count: 8, Gang: true, Size: task.Resources{CPUMilli: 9000, MemoryMB: 30000}, Estimate: 5 * time.Second}
		}
		c.Accept(j)
	}
	c.effects = nil
	return c, now
}
