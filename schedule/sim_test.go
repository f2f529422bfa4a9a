package schedule

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// simulation runs a Core in virtual time against workers, a store and an advice
// service that follow the rules of the real ones, with faults drawn from a seed.
// It judges every start as an outside observer would.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	queue   timers
	order   int
	catalog *job.Catalog

	core     *Core
	fence    int64
	records  map[job.ID]*record
	finals   map[job.ID]job.Final
	roster   []string
	workers  map[string]*simWorker
	jobs     map[job.ID]*job.Job
	cancels  map[job.ID]time.Time
	storeOff bool

	// What an observer has seen of each task.
	running   map[job.TaskKey]*simRun
	done      map[job.TaskKey]bool        // an end was confirmed
	succeeded map[job.TaskKey]bool        // an end was listed
	failed    map[job.TaskKey][]time.Time // ends that were confirmed
	starts    map[job.TaskKey][]time.Time
	history   map[job.TaskKey][]string // for the message of a failure
	usage     map[string]task.Resources

	loseOrders float64 // part of the orders whose answer is lost
	late       bool    // lost orders may be carried out late
	faults     []string
}

type record struct {
	job      *job.Job
	progress *job.Progress
}

type simWorker struct {
	Worker
	gone     bool // cut off: no order arrives, runs go on
	dead     bool
	fence    int64
	clock0   time.Time
	leaseEnd time.Time
	runs     map[job.TaskKey]*simRun
	stopped  map[job.TaskKey]int // highest run stopped or ended
	ended    []EndReport
	endedAt  []time.Time // by number
	lapsedAt time.Time   // when it last had no lease
	number   uint64
	failAll  bool
	waiting  func() // a hold that waits for an end
}

type simRun struct {
	key    job.TaskKey
	number int
	worker *simWorker
	size   task.Resources
	team   string
	since  time.Time
	over   bool
}

type timer struct {
	at    time.Time
	order int
	do    func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].order < q[b].order
	}
	return q[a].at.Before(q[b].at)
}
func (q timers) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any     { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

const simAdvice = 2 * time.Second

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		records: map[job.ID]*record{}, finals: map[job.ID]job.Final{}, workers: map[string]*simWorker{},
		jobs: map[job.ID]*job.Job{}, cancels: map[job.ID]time.Time{}, running: map[job.TaskKey]*simRun{},
		done: map[job.TaskKey]bool{}, succeeded: map[job.TaskKey]bool{}, failed: map[job.TaskKey][]time.Time{}, starts: map[job.TaskKey][]time.Time{}, history: map[job.TaskKey][]string{}, usage: map[string]task.Resources{},
	}
	policy := &job.AdvicePolicy{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, Valid: simAdvice}
	s.catalog = job.NewCatalog(1, 1, []job.Queue{
		{Name: "advised", Service: "calc", MaxAttempts: 3, Stretch: 2, Target: time.Second, Advice: policy},
		{Name: "plain", Service: "calc", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, []job.Service{{Name: "calc"}}, []job.Team{
		{Name: "red", Weight: 100, Limit: task.Resources{CPUMilli: 60_000, MemoryMB: 1 << 20}}, {Name: "blue", Weight: 100},
	})
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		s.workers[id] = s.newLife(Worker{ID: id, Born: 1, Address: id, Service: "calc", Rack: fmt.Sprint("r", i/4),
			Labels: []string{"a", fmt.Sprint("r", i/4)}, Capacity: task.Resources{CPUMilli: 32_000, MemoryMB: 128 << 10}})
	}
	s.every(10*time.Millisecond, func() { s.input(func(c *Core) { c.Tick() }) })
	s.every(100*time.Millisecond, s.lapse)
	s.every(700*time.Millisecond, func() {
		listed := s.listed()
		s.input(func(c *Core) { c.Directory(listed) })
	})
	s.takeOver()
	return s
}

func (s *simulation) newLife(w Worker) *simWorker {
	return &simWorker{Worker: w, clock0: s.now.Add(-time.Hour), leaseEnd: s.now, runs: map[job.TaskKey]*simRun{}, stopped: map[job.TaskKey]int{}}
}

func (s *simulation) sorted() []*simWorker {
	return slices.SortedFunc(maps.Values(s.workers), func(a, b *simWorker) int { return strings.Compare(a.ID, b.ID) })
}

func (w *simWorker) sortedRuns() []*simRun {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *simRun) int { return compareTasks(a.key, b.key) })
}

func (s *simulation) listed() []Worker {
	var out []Worker
	for _, w := range s.workers {
		if !w.dead {
			out = append(out, w.Worker)
		}
	}
	slices.SortFunc(out, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// takeOver replaces the owner by one that knows only what is recorded.
func (s *simulation) takeOver() {
	s.fence++
	s.core = New(s.now, DefaultConfig(), s.fence, s.catalog, s.roster)
	s.input(func(c *Core) {
		c.SeeLane("i1")
		c.SeeLane("i2")
		for _, id := range sortedIDs(s.records) {
			r := s.records[id]
			_, cancelled := s.cancels[id]
			c.Inherit(Known{Job: r.job, Progress: s.reread(r.progress), Cancelled: cancelled})
		}
		c.Directory(s.listed())
	})
}

// reread returns what a new owner decodes of a record.
func (s *simulation) reread(p *job.Progress) *job.Progress {
	if p == nil {
		return nil
	}
	encoded, err := job.Encode(p)
	if err != nil {
		s.t.Fatal(err)
	}
	decoded, err := job.Decode[job.Progress](encoded)
	if err != nil {
		s.t.Fatal(err)
	}
	return decoded
}

func sortedIDs[V any](m map[job.ID]V) []job.ID {
	ids := make([]job.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, timer{at: s.now.Add(d), order: s.order, do: do})
}

func (s *simulation) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) && !s.t.Failed() {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// input passes an event to the present owner and carries out what it decides.
func (s *simulation) input(event func(*Core)) {
	core, fence := s.core, s.fence
	core.Begin(s.now, s.now)
	core.SeeLane("i1")
	core.SeeLane("i2")
	event(core)
	for _, e := range core.Finish() {
		s.carryOut(core, fence, e)
	}
}

// reply passes an outcome to the core that asked, unless it was replaced.
func (s *simulation) reply(core *Core, d time.Duration, event func(*Core)) {
	s.after(d, func() {
		if s.core == core {
			s.input(event)
		}
	})
}

func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.rng.IntN(14)) * time.Millisecond
}

func (s *simulation) carryOut(core *Core, fence int64, e Effect) {
	switch e := e.(type) {
	case Hold:
		s.after(s.delay(), func() { s.hold(core, fence, e) })
	case Start:
		s.deliver(core, func() Verdict { return s.start(fence, e) }, func(c *Core, v Verdict) { c.StartDone(StartDone{Start: e, Verdict: v}) })
	case Stop:
		s.deliver(core, func() Verdict { return s.stop(fence, e) }, func(c *Core, v Verdict) { c.StopDone(StopDone{Stop: e, Verdict: v}) })
	case Ask:
		s.reply(core, 50*time.Millisecond, func(c *Core) {
			tickets := map[string]string{}
			for _, w := range e.Workers {
				if isGood(e.Step, w) {
					tickets[w] = fmt.Sprint(s.now.UnixNano())
				}
			}
			c.AskDone(AskDone{Ask: e, Tickets: tickets, Valid: simAdvice})
		})
	case Commit:
		s.commit(core, e)
	}
}

// isGood is what the advice service knows: about half of the workers may run a
// step, always the same.
func isGood(k job.StepKey, worker string) bool {
	return (len(worker)+int(worker[2])+int(k.Job[15]))%2 == 0
}

func (s *simulation) commit(core *Core, e Commit) {
	if s.storeOff {
		s.after(50*time.Millisecond, func() { s.commit(core, e) })
		return
	}
	s.after(20*time.Millisecond, func() {
		if s.core != core {
			return // the conditions of ownership fail
		}
		for _, change := range e.Changes {
			if change.Final != nil {
				s.finals[change.Job] = *change.Final
				delete(s.records, change.Job)
			} else {
				s.records[change.Job].progress = change.Progress
				s.note(job.TaskKey{StepKey: job.StepKey{Job: change.Job}}, "recorded %+v", *change.Progress)
			}
		}
		if e.Roster != nil {
			s.roster = e.Roster
		}
		s.reply(core, 5*time.Millisecond, func(c *Core) { c.CommitDone(CommitDone{Commit: e}) })
	})
}

// deliver delivers an order, which may be lost, and its answer, which may be too.
func (s *simulation) deliver(core *Core, order func() Verdict, answer func(*Core, Verdict)) {
	if s.rng.Float64() < s.loseOrders {
		if s.late && s.rng.IntN(2) == 0 {
			s.after(time.Duration(2+s.rng.IntN(9))*time.Second, func() { order() })
		} else if s.rng.IntN(2) == 0 {
			s.after(s.delay(), func() { order() })
		}
		s.reply(core, 700*time.Millisecond, func(c *Core) { answer(c, Unclear) })
		return
	}
	s.after(s.delay(), func() {
		v := order()
		if v == Unclear {
			s.reply(core, 700*time.Millisecond, func(c *Core) { answer(c, v) })
			return
		}
		s.reply(core, s.delay(), func(c *Core) { answer(c, v) })
	})
}

// reach returns the worker that an order arrives at, or the verdict without one.
func (s *simulation) reach(fence int64, to Target) (*simWorker, Verdict) {
	w := s.workers[to.Worker]
	switch {
	case w == nil || w.dead || w.gone:
		return nil, Unclear
	case to.Born != 0 && to.Born != w.Born:
		return nil, OtherLife
	case fence < w.fence:
		return nil, Fenced
	}
	w.fence = fence
	return w, Accepted
}

func (s *simulation) extend(w *simWorker, end time.Duration) {
	at := w.clock0.Add(end)
	if limit := s.now.Add(10 * time.Second); at.After(limit) {
		at = limit
	}
	if at.After(w.leaseEnd) {
		w.leaseEnd = at
	}
}

func (s *simulation) hold(core *Core, fence int64, h Hold) {
	w, v := s.reach(fence, h.Target)
	sent := s.now
	if v != Accepted {
		s.reply(core, time.Second, func(c *Core) { c.HoldDone(HoldDone{Hold: h, Verdict: v, SentAt: sent}) })
		return
	}
	if h.LeaseEnd > 0 {
		s.extend(w, h.LeaseEnd)
	}
	for _, e := range w.ended {
		if e.Number > h.Confirmed || w.lapsedAt.After(w.endedAt[e.Number-1]) {
			continue // an end from before a lapse of the lease does not count
		}
		s.note(e.Task, "end %d of %s confirmed by owner %d", e.Number, w.ID, fence)
		switch e.How {
		case EndedDone:
			s.done[e.Task] = true
		case EndedFailed:
			s.failed[e.Task] = append(s.failed[e.Task], w.endedAt[e.Number-1])
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e EndReport) bool { return e.Number <= h.Confirmed })
	answered := false
	answer := func() {
		if answered || w.dead || s.workers[w.ID] != w {
			return
		}
		answered = true
		report := HoldDone{Hold: h, SentAt: sent, Clock: s.now.Sub(w.clock0), Born: w.Born, Ended: slices.Clone(w.ended)}
		for _, r := range w.sortedRuns() {
			report.Running = append(report.Running, RunReport{Task: r.key, Run: r.number})
		}
		s.reply(core, s.delay(), func(c *Core) { c.HoldDone(report) })
	}
	if len(w.ended) > 0 || h.Wait == 0 {
		answer()
		return
	}
	w.waiting = answer
	s.after(h.Wait, answer)
	s.after(h.Wait+time.Second, func() {
		if !answered {
			answered = true
			s.reply(core, 0, func(c *Core) { c.HoldDone(HoldDone{Hold: h, Verdict: Unclear, SentAt: sent}) })
		}
	})
}

func (s *simulation) start(fence int64, e Start) Verdict {
	w, v := s.reach(fence, e.Target)
	if v != Accepted {
		return v
	}
	if e.Run <= w.stopped[e.Task] {
		return Outdated
	}
	if w.clock0.Add(e.LeaseEnd).Before(s.now) {
		return LeaseOver
	}
	if r := w.runs[e.Task]; r != nil {
		if r.number == e.Run {
			return Accepted
		}
		return Outdated
	}
	s.extend(w, e.LeaseEnd)
	j := s.jobs[e.Task.Job]
	spec := j.Steps[e.Task.Step]
	r := &simRun{key: e.Task, number: e.Run, worker: w, size: spec.Size, team: j.Team, since: s.now}
	s.judgeStart(r, j)
	w.runs[e.Task] = r
	s.running[e.Task] = r
	s.usage[r.team] = s.usage[r.team].Add(r.size)
	how := EndedDone
	if w.failAll || strings.HasPrefix(j.Spec, "fail") {
		how = EndedFailed
	}
	if spec.Gang {
		s.after(3*time.Second, func() { s.checkAlone(r, spec.Count) })
	}
	s.after(spec.Estimate+time.Duration(s.rng.IntN(300))*time.Millisecond, func() {
		if spec.Gang && !s.gangTogether(r, spec.Count) && how == EndedDone {
			return // it ends when the gang is broken up, or alone
		}
		s.end(r, how)
	})
	return Accepted
}

func (s *simulation) gangTogether(r *simRun, count int) bool {
	for i := range count {
		other := s.running[job.TaskKey{StepKey: r.key.StepKey, Index: i}]
		if other == nil || other.number != r.number {
			return false
		}
	}
	return true
}

func (s *simulation) checkAlone(r *simRun, count int) {
	if r.over || s.gangTogether(r, count) {
		return
	}
	if len(s.faults) == 0 {
		s.t.Errorf("gang: %s run %d waited 3 s for the others", r.key, r.number)
	}
	s.end(r, EndedAlone)
}

// judgeStart checks what must hold whenever a task starts.
func (s *simulation) judgeStart(r *simRun, j *job.Job) {
	fault := func(format string, args ...any) {
		s.t.Errorf("at %s: start of %s run %d on %s: %s", s.now.Format("05.000"), r.key, r.number, r.worker.ID, fmt.Sprintf(format, args...))
	}
	if other := s.running[r.key]; other != nil {
		fault("runs already on %s as run %d", other.worker.ID, other.number)
	}
	if s.done[r.key] {
		fault("its success was confirmed")
	}
	used := r.size
	for _, o := range r.worker.runs {
		used = used.Add(o.size)
	}
	if !used.Fits(r.worker.Capacity) {
		fault("the worker holds %s of %s", used, r.worker.Capacity)
	}
	if limit := s.catalog.Team(j.Team).Limit; !limit.IsZero() && s.usage[j.Team].Add(r.size).CPUMilli > limit.CPUMilli {
		fault("team %s has %s running", j.Team, s.usage[j.Team])
	}
	for _, earlier := range j.Steps[r.key.Step].After {
		for i := range j.Steps[earlier].Count {
			if key := (job.TaskKey{StepKey: job.StepKey{Job: j.ID, Step: earlier}, Index: i}); !s.succeeded[key] {
				fault("%s has not succeeded", key)
			}
		}
	}
	if at, cancelled := s.cancels[j.ID]; cancelled && s.now.Sub(at) > 3*time.Second && !s.late {
		fault("its job was cancelled %s ago", s.now.Sub(at))
	}
	s.starts[r.key] = append(s.starts[r.key], s.now)
	s.note(r.key, "run %d starts on %s", r.number, r.worker.ID)
}

func (s *simulation) end(r *simRun, how Ending) {
	if r.over {
		return
	}
	s.remove(r)
	w := r.worker
	w.stopped[r.key] = max(w.stopped[r.key], r.number)
	w.number++
	w.ended = append(w.ended, EndReport{Number: w.number, Task: r.key, Run: r.number, How: how})
	w.endedAt = append(w.endedAt, s.now)
	s.note(r.key, "run %d %s as end %d of %s", r.number, how, w.number, w.ID)
	if how == EndedDone {
		s.succeeded[r.key] = true
	}
	if w.waiting != nil {
		s.after(0, w.waiting)
		w.waiting = nil
	}
	spec := s.jobs[r.key.Job].Steps[r.key.Step]
	if !spec.Gang {
		return
	}
	rest := EndedBroken
	if how == EndedDone {
		rest = EndedDone
	}
	for i := range spec.Count {
		if o := s.running[job.TaskKey{StepKey: r.key.StepKey, Index: i}]; o != nil && o.number == r.number {
			s.end(o, rest)
		}
	}
}

func (s *simulation) remove(r *simRun) {
	r.over = true
	delete(r.worker.runs, r.key)
	if s.running[r.key] == r {
		delete(s.running, r.key)
	}
	s.usage[r.team] = s.usage[r.team].Sub(r.size)
}

func (s *simulation) stop(fence int64, e Stop) Verdict {
	w, v := s.reach(fence, e.Target)
	if v != Accepted {
		return v
	}
	r := w.runs[e.Task]
	if r != nil && r.number <= e.Run {
		s.after(time.Duration(s.rng.IntN(900))*time.Millisecond, func() { s.end(r, EndedStopped) })
	}
	w.stopped[e.Task] = max(w.stopped[e.Task], e.Run)
	return Accepted
}

// lapse ends what runs without a lease.
func (s *simulation) lapse() {
	for _, w := range s.sorted() {
		if w.leaseEnd.After(s.now) {
			continue
		}
		w.lapsedAt = s.now
		for _, r := range w.sortedRuns() {
			s.end(r, EndedLapsed)
		}
	}
}

// crash restarts a worker under its ID.
func (s *simulation) crash(id string, down time.Duration) {
	w := s.workers[id]
	for _, r := range w.runs {
		s.remove(r)
	}
	w.dead = true
	s.after(down, func() {
		next := w.Worker
		next.Born++
		s.workers[id] = s.newLife(next)
	})
}

func (s *simulation) submit(j *job.Job) {
	s.jobs[j.ID] = j
	j.AcceptedAt = s.now
	s.records[j.ID] = &record{job: j}
	s.input(func(c *Core) { c.Accept(j) })
}

// cancel records a cancellation; a caller is told at once.
func (s *simulation) cancel(id job.ID) {
	if _, open := s.records[id]; open {
		s.cancels[id] = s.now
		s.input(func(c *Core) { c.Cancel(id, 0) })
	}
}

// finish checks that every job ends, and as it must.
func (s *simulation) finish(within time.Duration) {
	s.run(within)
	s.judgeAttempts()
	for _, id := range sortedIDs(s.jobs) {
		final, ended := s.finals[id]
		want := job.Completed
		if strings.HasPrefix(s.jobs[id].Spec, "fail") {
			want = job.Failed
		}
		_, cancelled := s.cancels[id]
		switch {
		case !ended:
			s.t.Errorf("job %s has not ended: %s", id, s.core.describe(id))
		case cancelled:
		case final.State != want && !s.mayFail():
			s.t.Errorf("job %s is %s, want %s", id, final.State, want)
		}
	}
}

// judgeAttempts checks that nothing started after as many failed runs as its
// queue allows, of those whose ends were confirmed at any time.
func (s *simulation) judgeAttempts() {
	for key, starts := range s.starts {
		for _, at := range starts {
			before := 0
			for _, failed := range s.failed[key] {
				if failed.Before(at) {
					before++
				}
			}
			if before >= 3 {
				s.t.Errorf("%s started at %s after %d failed runs: %s", key, at.Format("05.000"), before, strings.Join(s.history[key], "; "))
			}
		}
	}
}

func (s *simulation) note(key job.TaskKey, format string, args ...any) {
	s.history[key] = append(s.history[key], s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// mayFail reports whether a worker that fails everything may have used up the
// attempts of a sound job.
func (s *simulation) mayFail() bool {
	return slices.ContainsFunc(s.faults, func(f string) bool { return strings.HasPrefix(f, "fail") })
}

// describe tells what a job waits for.
func (c *Core) describe(id job.ID) string {
	j := c.jobs[id]
	if j == nil {
		return "unknown"
	}
	text := fmt.Sprintf("state %s, remaining %d, version %d, recorded %d, runs %d, unresolved %d;", j.state, j.remaining, j.version, j.recorded, len(j.runs), len(c.unresolved))
	for _, s := range c.steps {
		if s.job != j {
			continue
		}
		text += fmt.Sprintf(" step %s ready %v left %d gang %v notes %q asked %d tickets %d lane %v;", s.key, s.ready, s.left, s.spec.Gang, s.notes, len(s.advice.asked), len(s.advice.tickets), s.advice.lane != nil)
		for i := range s.tasks {
			if r := s.tasks[i].run; r != nil {
				text += fmt.Sprintf(" task %d run %d on %s state %d;", i, r.number, r.worker.ID, r.state)
			}
		}
	}
	return text
}
