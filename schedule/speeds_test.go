package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/speed"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// speedResult is the result of a run of the load in which workers differ in speed.
type speedResult struct {
	gangs, inTime, all int
	gangTime           time.Duration // sum of the times from start to end of the gangs
	endError           time.Duration // mean error of the expected ends
	changes            int           // changes of the condition of a worker
	known              int           // workers of which the speed is known
	wrong              int           // of these, with a speed that is more than a tenth off
	corrections        int
}

// runSpeedLoad runs gangs among small tasks on workers with 0.8, 1.0 and 1.25 times the usual speed. The
// tasks of a step differ by up to 15% from its mean, one in twenty takes three times as long, and the
// estimates are half of the actual durations for small tasks and one and a half times them for gangs.
func runSpeedLoad(t *testing.T, seed uint64, learn bool) speedResult {
	const (
		workers       = 48
		duration      = 40 * time.Second
		smallInterval = 32 * time.Millisecond
		gangInterval  = 900 * time.Millisecond
		smallWork     = 2 * time.Second
		gangWork      = 3 * time.Second
	)
	speeds := []float64{0.8, 1.0, 1.25}
	s := newSpeedSimulation(newSimulation(t, seed, workers), learn)
	for i := range 6 {
		s.every(time.Second, func() { s.dispatch(func(c *Core) { c.ObserveInstance(fmt.Sprint("p", i)) }) })
	}
	n := 0
	for _, w := range s.sortedWorkers() {
		s.setSpeed(w.ID, speeds[n%len(speeds)])
		n++
	}
	means := map[job.ID]time.Duration{}
	rng := rand.New(rand.NewPCG(seed, 7))
	s.speeds.work = func(k job.TaskKey) time.Duration {
		own := rand.New(rand.NewPCG(seed, uint64(k.Index)<<32+uint64(len(k.Job))+idNumber(k.Job)))
		work := float64(means[k.Job]) * (0.85 + 0.3*own.Float64())
		if own.IntN(20) == 0 && s.jobs[k.Job].Queue == "plain" {
			work *= 3
		}
		return time.Duration(work)
	}
	s.run(time.Second)
	estimate := func(mean time.Duration, factor float64) func(job.ID, *job.Step) {
		return func(id job.ID, step *job.Step) {
			means[id] = time.Duration(float64(mean) * (0.7 + 0.6*rng.Float64()))
			step.Estimate = time.Duration(float64(means[id]) * factor)
		}
	}
	small := s.submitEvery(duration, smallInterval, 0xb0000, "plain", job.Step{Count: 5, Size: task.Resources{CPUMilli: 3_500, MemoryMB: 100}}, estimate(smallWork, 0.5))
	gangs := s.submitEvery(duration, gangInterval, 0xa0000, "advised", job.Step{Count: 8, Gang: true, Size: task.Resources{CPUMilli: 9_000, MemoryMB: 100}}, estimate(gangWork, 1.5))
	s.run(duration / 2)
	for range int(duration / 2 / (250 * time.Millisecond)) {
		s.recordExpectedEnds(func(r *run) bool { return !r.step.spec.Gang })
		s.run(250 * time.Millisecond)
	}
	var result speedResult
	for id, w := range s.core.workers {
		if w.learned.Known() {
			result.known++
			if actual := s.workers[id].currentSpeed(); w.relativeSpeed() < 0.9*actual || w.relativeSpeed() > 1.1*actual {
				result.wrong++
			}
		}
	}
	result.corrections, _, _ = s.core.learned.corrections.Range()
	s.finish(time.Minute)
	result.endError, result.changes = s.meanEndError(), len(s.speeds.changes)
	for _, id := range gangs {
		key := job.TaskKey{StepKey: job.StepKey{Job: id}}
		if started := s.starts[key]; len(started) > 0 {
			result.gangs++
			result.gangTime += s.speeds.endedAt[key].Sub(started[len(started)-1])
		}
	}
	for _, id := range append(small, gangs...) {
		result.all++
		end := time.Time{}
		for i := range s.jobs[id].Steps[0].Count {
			if at := s.speeds.endedAt[job.TaskKey{StepKey: job.StepKey{Job: id}, Index: i}]; at.After(end) {
				end = at
			}
		}
		if end.Sub(s.jobs[id].AcceptedAt) <= 2*means[id]+time.Second {
			result.inTime++
		}
	}
	return result
}

func idNumber(id job.ID) uint64 {
	var n uint64
	_, _ = fmt.Sscanf(string(id), "%x", &n) // the IDs of a test are numbers
	return n
}

// TestLearnSpeeds guards against gangs that are slowed down by one slow member, jobs that are late because
// of the speeds of their workers, plans with wrong ends, wrong speeds, and healthy workers that count as
// degraded, on a nearly full fleet of workers with different speeds and with estimates that are off by half.
func TestLearnSpeeds(t *testing.T) {
	t.Parallel()
	var off, on speedResult
	for _, seed := range []uint64{1, 2, 3} {
		off.add(runSpeedLoad(t, seed, false))
		on.add(runSpeedLoad(t, seed, true))
	}
	t.Logf("without learning: %+v", off)
	t.Logf("with learning: %+v", on)
	if on.gangTime/time.Duration(on.gangs) > 9*off.gangTime/time.Duration(off.gangs)/10 {
		t.Errorf("gangs take %s in total, want less than nine tenths of %s", on.gangTime, off.gangTime)
	}
	if on.inTime <= off.inTime {
		t.Errorf("%d jobs end in time, want more than %d", on.inTime, off.inTime)
	}
	if on.endError > off.endError/2 {
		t.Errorf("the expected ends are off by %s, want less than half of %s", on.endError/3, off.endError/3)
	}
	if on.known < 3*48 || on.wrong > on.known/20 || on.corrections == 0 {
		t.Errorf("%d speeds known, %d of them wrong, %d corrections", on.known, on.wrong, on.corrections)
	}
	if on.changes > 0 || off.known > 0 {
		t.Errorf("%d workers counted as degraded, none is; %d speeds known without learning", on.changes, off.known)
	}
}

func (r *speedResult) add(x speedResult) {
	r.gangs, r.inTime, r.all, r.gangTime = r.gangs+x.gangs, r.inTime+x.inTime, r.all+x.all, r.gangTime+x.gangTime
	r.endError, r.changes, r.known, r.wrong = r.endError+x.endError, r.changes+x.changes, r.known+x.known, r.wrong+x.wrong
	r.corrections += x.corrections
}

// TestSpeedPreference guards against late steps on slow workers, fast workers that are used up by steps
// with slack, gangs on workers of different speeds, and gangs that wait for ever because workers are degraded.
func TestSpeedPreference(t *testing.T) {
	submit := func(c *Core, id job.ID, age time.Duration, step job.Step) map[string]int {
		step.Size, step.Estimate = task.Resources{CPUMilli: 16_000}, time.Second
		c.Accept(&job.Job{ID: id, Queue: "slack", Team: "t", Steps: []job.Step{step}})
		s := c.steps[job.StepKey{Job: id}]
		s.latestStart = s.latestStart.Add(-age)
		return startsOf(c)
	}
	for _, test := range []struct {
		name string
		age  time.Duration
		step job.Step
		want string
	}{
		{"about to be late", 9 * time.Second, job.Step{Count: 1}, "map[w02:1]"},
		{"slack", 0, job.Step{Count: 1}, "map[w00:1]"},
		{"gang", 0, job.Step{Count: 4, Gang: true}, "map[w02:2 w05:2]"},
	} {
		c, _ := newSpeedFleet(6)
		if got := fmt.Sprint(submit(c, "1", test.age, test.step)); got != test.want {
			t.Errorf("%s: starts on %s, want %s", test.name, got, test.want)
		}
	}
	c, now := newSpeedFleet(5)
	w := c.workers["w00"]
	w.learned = degradedWorker()
	c.learned.degraded = 1
	if got := submit(c, "1", 0, job.Step{Count: 9, Gang: true}); len(got) > 0 {
		t.Errorf("the gang has started on %v at once, although a worker is degraded", got)
	}
	now = now.Add(1500 * time.Millisecond)
	c.Begin(now, now)
	c.passDue = true
	if got := startsOf(c); got["w00"] == 0 {
		t.Errorf("the gang has started on %v after 1.5 s, want also on the degraded worker", got)
	}
}

// startsOf runs a pass and returns the number of starts on each worker.
func startsOf(c *Core) map[string]int {
	starts := map[string]int{}
	for _, e := range c.Finish() {
		if start, ok := e.(Start); ok {
			starts[start.Worker]++
		}
	}
	return starts
}

// newSpeedFleet returns a Core with idle workers of 0.8, 1.0 and 1.25 times the usual speed in turn, and with
// a queue without advice in which a job has a slack of nine times its estimate and 1 s.
func newSpeedFleet(workers int) (*Core, time.Time) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultConfig()
	cfg.LearnSpeeds = true
	c := New(now, cfg, 1, job.NewCatalog(1, 1, []job.Queue{{Name: "slack", Service: "s", Stretch: 10, TargetAllowance: time.Second}}, []job.Service{{Name: "s"}}, nil), nil)
	c.Begin(now, now)
	var listed []Worker
	for i := range workers {
		listed = append(listed, Worker{ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Address: "a", Service: "s", Capacity: task.Resources{CPUMilli: 32_000}})
	}
	c.SetDirectory(listed)
	for i, w := range c.sortedWorkers() {
		w.fenced, w.recordedOpen, w.speed = true, true, []float64{0.8, 1, 1.25}[i%3]
	}
	return c, now
}

// degradedWorker returns the estimator of a worker of which the only run has fallen to a fifth of its rate.
func degradedWorker() *speed.Worker {
	w, p := &speed.Worker{}, speed.StartedAt(time.Second)
	for at, percent := time.Second, 0; percent < 100 && !w.IsDegraded(); at += time.Second {
		w.Observe(&p, percent, at, 0)
		w.CloseWindow(at)
		if percent += 4; percent < 50 {
			percent += 16
		}
	}
	return w
}

// TestBackfillOnSlowWorker guards against a task that backfills reserved capacity on a worker that is too
// slow to end it before the gang starts, and against an uncorrected estimate.
func TestBackfillOnSlowWorker(t *testing.T) {
	c, now := newSpeedFleet(3)
	c.Accept(&job.Job{ID: "1", Queue: "slack", Team: "t", Steps: []job.Step{{Count: 1, Estimate: time.Second}}})
	s := c.steps[job.StepKey{Job: "1"}]
	ready := now.Add(3300 * time.Millisecond) // backfillMargin times the estimate, and a tenth
	if s.endsBefore(c.workers["w00"], ready, now) || !s.endsBefore(c.workers["w01"], ready, now) {
		t.Error("the task may not backfill on the usual worker only")
	}
	for range 20 {
		c.learned.corrections.Add("slack", time.Second, 2*time.Second)
	}
	c.refreshEstimate(s)
	if s.endsBefore(c.workers["w02"], ready, now) {
		t.Error("a task that takes twice its estimate may backfill")
	}
	for i := range 4 {
		s.estimate.runs.Add(fmt.Sprint(i), nil, 3*time.Second, &c.learned.fleet)
	}
	s.estimate.version = 0
	if c.refreshEstimate(s); c.durationOn(s, c.workers["w01"]) != 3*time.Second {
		t.Errorf("a task is expected to take %s, want 3 s as the other tasks of its step", c.durationOn(s, c.workers["w01"]))
	}
	if got := c.objectiveOf(s.job); got < 18*time.Second {
		t.Errorf("the objective is %s, want about 10 times the corrected estimate of 2 s", got)
	}
}

// TestGangSiblings guards against workers that count as slow because a gang progresses at the rate of its
// slowest member, and against one slow member that is not noticed.
func TestGangSiblings(t *testing.T) {
	c, _ := newSpeedFleet(5)
	c.workers["w04"].speed = 0.4
	c.Accept(&job.Job{ID: "1", Queue: "slack", Team: "t", Steps: []job.Step{{Count: 5, Gang: true, Estimate: time.Second}}})
	s := c.steps[job.StepKey{Job: "1"}]
	for i, w := range c.sortedWorkers() {
		c.start(s, i, w, 1, "")
	}
	report := func(rate func(i int, w *worker) float64) {
		for i, w := range c.sortedWorkers() {
			r := s.tasks[i].run
			r.measured = speed.StartedAt(time.Second)
			r.measured.Report(int(10*rate(i, w)), 11*time.Second)
		}
	}
	share := func(i int) float64 { // of the progress to be expected
		rate, _ := s.tasks[i].run.measured.Rate()
		return rate * typicalWork(s.tasks[i].run).Seconds() / 100
	}
	report(func(int, *worker) float64 { return 4 })
	for i := range s.tasks {
		if got := share(i); got < 0.9 {
			t.Errorf("at the rate of the slowest member, member %d makes %.2f of the expected progress", i, got)
		}
	}
	report(func(i int, w *worker) float64 {
		if i == 1 {
			return 2
		}
		return 10 * w.relativeSpeed()
	})
	if slow, steady := share(1), share(4); slow > 0.3 || steady < 0.9 {
		t.Errorf("the slow member makes %.2f of the expected progress, a steadily slow one %.2f", slow, steady)
	}
	for i := range s.tasks {
		s.tasks[i].run.measured = speed.StartedAt(11 * time.Second)
	}
	for n := range 12 { // all members slow down, since one of them does
		for i, w := range c.sortedWorkers() {
			c.learnProgress(w, PollDone{Clock: time.Duration(12+n) * time.Second, Running: []RunReport{{Task: s.tasks[i].run.task, Run: 1, Percent: min(40, 10*n) + 2*n}}})
		}
	}
	if c.learned.degraded > 0 {
		t.Errorf("%d workers count as degraded", c.learned.degraded)
	}
}
