package schedule

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

var (
	randomSeed  = flag.Uint64("schedule.seed", 1, "first seed of TestRandomRuns")
	randomSeeds = flag.Int("schedule.seeds", 40, "number of seeds of TestRandomRuns")
)

// randomRun is a run of the simulation whose jobs, changes and faults are drawn by its seed.
type randomRun struct {
	*simulation
	base       *job.Catalog
	accepting  map[string]job.Terms // queues known to the instances that accept jobs
	removed    map[string]bool      // queues that the configuration lacks
	limit      int64                // of team red, in millicores
	submitted  int
	longLived  map[job.ID]bool
	impossible map[job.ID]bool // jobs that no worker can run
	parts      []string        // what the run consists of, for failure messages
}

const (
	usualLimit = 60_000 // of team red, in millicores
	// maxWait is the longest time after the last fault in which every job that can run must end.
	maxWait = 60 * time.Second
)

// TestRandomRuns guards against jobs that never run, and against tasks that run twice or over a limit,
// in combinations of jobs, changes and faults that the other tests do not list: thousands of tiny tasks,
// long-lived tasks that fail, jobs that no worker can run, limits far below a backlog, queues that are
// removed with jobs waiting, workers that join a full fleet, and random faults.
func TestRandomRuns(t *testing.T) {
	for n := range uint64(*randomSeeds) {
		seed := *randomSeed + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runRandom(t, seed)
		})
	}
}

func runRandom(t *testing.T, seed uint64) {
	const (
		workers       = 12
		jobs          = 60
		spacing       = 100 * time.Millisecond
		injectionTime = 10 * time.Second
		settleTime    = 25 * time.Second // injectionTime and the longest fault
	)
	s := newSimulation(t, seed, workers)
	r := &randomRun{simulation: s, base: s.catalog, limit: usualLimit, accepting: map[string]job.Terms{}, removed: map[string]bool{},
		longLived: map[job.ID]bool{}, impossible: map[job.ID]bool{}}
	r.updateAccepting()
	s.runTimes = map[job.ID]time.Duration{}
	s.isEligible = func(k job.StepKey, worker string) bool { return !r.impossible[k.Job] && isEligible(k, worker) }
	s.endsPerReport = []int{4, 20, 500}[s.rng.IntN(3)]
	s.run(time.Second)
	for i := range jobs {
		s.after(time.Duration(i)*spacing, r.submitUsual)
	}
	for _, name := range slices.Sorted(maps.Keys(randomParts)) {
		if s.rng.IntN(3) == 0 {
			r.inject(name, injectionTime, randomParts[name])
		}
	}
	r.submitHeavy(seed)
	faults := slices.Sorted(maps.Keys(simFaults))
	for range s.rng.IntN(4) {
		name := faults[s.rng.IntN(len(faults))]
		s.faults = append(s.faults, name)
		r.inject(name, injectionTime, func(r *randomRun) { simFaults[name](r.simulation) })
	}
	s.run(settleTime)
	r.checkProgress()
	r.restore()
	for end := s.now.Add(maxWait); s.now.Before(end) && len(s.finals) < len(s.jobs) && !t.Failed(); {
		s.run(time.Second)
	}
	s.run(orderDrainTime)
	s.checkOutcomes()
	if t.Failed() {
		t.Fatalf("seed %d: %q", seed, r.parts)
	}
}

// inject runs a part of the run at a random time.
func (r *randomRun) inject(name string, within time.Duration, do func(*randomRun)) {
	at := time.Duration(r.rng.Int64N(int64(within)))
	r.parts = append(r.parts, fmt.Sprintf("%s at %s", name, at.Round(time.Millisecond)))
	r.after(at, func() { do(r) })
}

// randomParts are the parts of a random run beside the usual jobs and the faults.
var randomParts = map[string]func(r *randomRun){
	"tiny tasks": func(r *randomRun) {
		for range 1 + r.rng.IntN(3) {
			r.submitStep("plain", "blue", job.Step{Count: 200 + r.rng.IntN(600), Size: task.Resources{CPUMilli: 50},
				Estimate: time.Duration(100+r.rng.IntN(900)) * time.Millisecond})
		}
	},
	"long-lived tasks": func(r *randomRun) {
		r.submitFailingOnce(2+r.rng.IntN(2*len(r.workers)-1), 2, 2_800, time.Duration(100+r.rng.IntN(5000))*time.Millisecond)
	},
	"full fleet": func(r *randomRun) {
		r.submitFailingOnce(len(r.workers), 1, 30_000, time.Hour)
		r.after(time.Duration(1+r.rng.IntN(6))*time.Second, r.addWorkers)
	},
	"workers added": (*randomRun).addWorkers,
	"limit lowered": func(r *randomRun) {
		r.setLimit(usualLimit / 100)
		for range 300 {
			r.submitStep("plain", "red", job.Step{Count: 1, Size: task.Resources{CPUMilli: 2_800}, Estimate: 600 * time.Millisecond})
		}
		if r.rng.IntN(2) == 0 {
			r.after(time.Duration(4+r.rng.IntN(5))*time.Second, func() { r.setLimit(usualLimit) })
		}
	},
	"impossible jobs": func(r *randomRun) {
		step := job.Step{Count: 1 + r.rng.IntN(3), Size: task.Resources{CPUMilli: 2_800}, Estimate: 600 * time.Millisecond, Gang: r.rng.IntN(2) == 0}
		queue := "plain"
		switch r.rng.IntN(3) {
		case 0:
			step.RequiredLabel = "none"
		case 1:
			step.Size.CPUMilli = 33_000
		case 2:
			queue = "advised"
		}
		for range 30 + r.rng.IntN(300) {
			if j := r.submitStep(queue, "blue", step); j != nil {
				r.impossible[j.ID] = true
			}
		}
	},
	"queue removed": func(r *randomRun) {
		queue := []string{"plain", "advised"}[r.rng.IntN(2)]
		r.setRemoved(queue, true)
		if r.rng.IntN(2) == 0 {
			r.after(time.Duration(1+r.rng.IntN(6))*time.Second, func() { r.setRemoved(queue, false) })
		}
	},
	"owner with another clock": func(r *randomRun) {
		for range 3 {
			offset := time.Duration(r.rng.IntN(4000)-2000) * time.Millisecond
			r.after(time.Duration(r.rng.IntN(3000))*time.Millisecond, func() {
				r.wallOffset = offset
				r.takeOver()
			})
		}
	},
	"recurring job": func(r *randomRun) {
		j := r.newJob("plain", "blue")
		if j == nil {
			return
		}
		j.Repeats, j.FirstAt, j.Interval = 3+r.rng.IntN(8), r.now.Add(time.Second), time.Duration(400+r.rng.IntN(1000))*time.Millisecond
		j.Steps = []job.Step{{Count: 6, Size: task.Resources{CPUMilli: 2_000}, Estimate: 300 * time.Millisecond}}
		r.submit(j)
	},
}

// newJob returns a job without steps that an instance accepts, or nil if it does not know the queue.
func (r *randomRun) newJob(queue, team string) *job.Job {
	terms, known := r.accepting[queue]
	if !known {
		return nil
	}
	r.submitted++
	return &job.Job{ID: job.ID(fmt.Sprintf("%015x%x", r.submitted, r.rng.IntN(16))), Queue: queue, Team: team, Spec: "work", Terms: &terms}
}

func (r *randomRun) submitStep(queue, team string, step job.Step) *job.Job {
	j := r.newJob(queue, team)
	if j != nil {
		j.Steps = []job.Step{step}
		r.submit(j)
	}
	return j
}

// submitUsual submits a job of a kind that is common in deployments and may cancel it later.
func (r *randomRun) submitUsual() {
	drawn := r.randomJob(0)
	j := r.newJob(drawn.Queue, drawn.Team)
	if j == nil {
		return
	}
	j.Spec, j.Steps = drawn.Spec, drawn.Steps
	r.submit(j)
	if r.rng.IntN(15) == 0 {
		r.after(time.Duration(r.rng.IntN(1500))*time.Millisecond, func() { r.cancel(j.ID) })
	}
}

// submitFailingOnce submits a long-lived job whose tasks fail after the given time, and then run on.
func (r *randomRun) submitFailingOnce(tasks, perWorker int, cpuMilli int64, failAfter time.Duration) {
	j := r.newJob("plain", "blue")
	if j == nil {
		return
	}
	j.Spec = "fail"
	j.Steps = []job.Step{{Count: tasks, AntiAffinity: perWorker, Size: task.Resources{CPUMilli: cpuMilli}, LongLived: true}}
	r.longLived[j.ID], r.runTimes[j.ID] = true, failAfter
	r.after(failAfter, func() { r.runTimes[j.ID] = time.Hour })
	r.submit(j)
}

// addWorkers adds six empty workers.
func (r *randomRun) addWorkers() {
	for range 6 {
		next := r.workers["w00"].Worker
		next.ID = fmt.Sprintf("w%02d", len(r.workers))
		next.Address, next.Incarnation = next.ID, 1
		r.workers[next.ID] = r.newWorker(next)
	}
}

func (r *randomRun) setLimit(cpuMilli int64) {
	r.limit = cpuMilli
	r.applyConfiguration()
}

// setRemoved removes a queue or puts it back. The instances that accept jobs learn of it after the owner.
func (r *randomRun) setRemoved(queue string, removed bool) {
	r.removed[queue] = removed
	r.applyConfiguration()
	r.after(300*time.Millisecond, r.updateAccepting)
}

func (r *randomRun) updateAccepting() {
	for _, name := range []string{"advised", "plain"} {
		delete(r.accepting, name)
		if q := r.catalog.Queue(name); q != nil {
			r.accepting[name] = q.Terms()
		}
	}
}

func (r *randomRun) applyConfiguration() {
	var queues []job.Queue
	for _, name := range []string{"advised", "plain"} {
		if !r.removed[name] {
			queues = append(queues, *r.base.Queue(name))
		}
	}
	next := r.catalog.Revision + 1
	r.configure(job.NewCatalog(next, next, queues, []job.Service{{Name: "calc"}}, []job.Team{
		{Name: "red", Weight: 100, Limit: task.Resources{CPUMilli: r.limit, MemoryMB: 1 << 20}}, {Name: "blue", Weight: 100},
	}))
}

// checkProgress checks that every job that can run ends, and that all long-lived tasks run, although
// other jobs cannot.
func (r *randomRun) checkProgress() {
	for end := r.now.Add(maxWait); r.now.Before(end) && len(r.unfinished()) > 0 && !r.t.Failed(); {
		r.run(time.Second)
	}
	for _, id := range r.unfinished() {
		if !r.hasCapacity(r.jobs[id]) {
			continue
		}
		r.t.Errorf("job %s has not ended: %s", id, r.core.describe(id))
	}
	for _, id := range slices.Sorted(maps.Keys(r.longLived)) {
		step := r.jobs[id].Steps[0]
		if n := r.runningTasks(id); n < step.Count && r.hasCapacity(r.jobs[id]) {
			r.t.Errorf("%d of %d long-lived tasks run: %s", n, step.Count, r.core.describe(id))
		}
	}
}

// hasCapacity reports whether the free capacity suffices twice over for a task, or a gang, of each step.
func (r *randomRun) hasCapacity(j *job.Job) bool {
	for i, step := range j.Steps {
		need, fits := 2, 0
		if step.Gang {
			need = 2 * step.Count
		}
		for _, w := range r.workers {
			if w.dead || j.Queue == "advised" && !isEligible(job.StepKey{Job: j.ID, Step: i}, w.ID) {
				continue
			}
			free, most := w.Capacity, need
			if step.AntiAffinity > 0 {
				most = step.AntiAffinity
			}
			for _, other := range w.runs {
				free = free.Sub(other.size)
				if other.key.StepKey == (job.StepKey{Job: j.ID, Step: i}) && step.AntiAffinity > 0 {
					most--
				}
			}
			fits += fitCount(step.Size, free, most)
		}
		if fits < need {
			return false
		}
	}
	return true
}

// unfinished returns the jobs that can run and have not ended.
func (r *randomRun) unfinished() []job.ID {
	var out []job.ID
	for _, id := range sortedIDs(r.records) {
		if !r.longLived[id] && !r.impossible[id] && (r.limit == usualLimit || r.jobs[id].Team != "red") {
			out = append(out, id)
		}
	}
	return out
}

// restore raises the limit, puts the queues back and cancels the jobs that do not end by themselves.
func (r *randomRun) restore() {
	clear(r.removed)
	r.setLimit(usualLimit)
	for _, jobs := range []map[job.ID]bool{r.longLived, r.impossible} {
		for _, id := range slices.Sorted(maps.Keys(jobs)) {
			r.cancel(id)
		}
	}
}
