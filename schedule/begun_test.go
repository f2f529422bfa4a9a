package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// shownToCallers is what an instance that follows the owner shows to callers.
type shownToCallers struct {
	core     *Core // that the states are of
	sequence uint64
	states   map[job.ID]job.State
	since    map[job.ID]time.Time // since when a job is shown as running by this owner while the store answers
	recorded map[job.ID]bool      // the begin must be recorded
}

// beginRecordTime is the time from the begin of a job until it is recorded, if the store answers.
const beginRecordTime = beginRecordDelay + 500*time.Millisecond

// follow requests the changes of the states, as an instance does.
func (s *simulation) follow() {
	f := &s.shown
	epoch := s.core.epoch
	if f.core != s.core {
		epoch = 0
	}
	v := s.core.ViewSince("i1", epoch, f.sequence)
	if v.Full {
		f.states = make(map[job.ID]job.State)
	}
	if v.Full || s.storeDown {
		f.since = make(map[job.ID]time.Time)
	}
	if f.recorded == nil {
		f.recorded = make(map[job.ID]bool)
	}
	for _, change := range v.Changes {
		f.states[change.Job] = change.State
	}
	f.core, f.sequence = s.core, v.Sequence
}

// checkBegin checks that a job which was shown as running for beginRecordTime is never shown as pending
// again.
func (s *simulation) checkBegin(id job.ID, state job.State) {
	f := &s.shown
	if state == job.Pending && f.recorded[id] {
		s.t.Errorf("at %s: job %s is shown as pending again: %s", s.now.Format("05.000"), id, s.core.describe(id))
	}
	if state != job.Running || s.storeDown {
		return
	}
	if _, known := f.since[id]; !known {
		f.since[id] = s.now
	}
	if s.now.Sub(f.since[id]) > beginRecordTime {
		f.recorded[id] = true
	}
}

// checkPending checks that the counts of pending jobs match their states, and that callers are shown a job
// as running if and only if workers have shown that it has begun.
func (s *simulation) checkPending() {
	if s.withoutOwner {
		return
	}
	s.follow()
	s.checkBacklog()
	pending, surplus := make(map[string]int), make(map[string]int)
	for id, j := range s.core.jobs {
		state, _, _, _ := s.core.StateOf(id)
		if followed := s.shown.states[id]; followed != state {
			s.t.Errorf("at %s: job %s is shown as %s by an instance and as %s by the owner", s.now.Format("05.000"), id, followed, state)
		}
		s.checkBegin(id, state)
		if state == job.Running && !s.begun[id] {
			s.t.Errorf("at %s: job %s is shown as running and has not begun: %s", s.now.Format("05.000"), id, s.core.describe(id))
		}
		for r := range j.runs {
			if state == job.Pending && r.state == runRunning {
				s.t.Errorf("at %s: job %s is shown as pending while %s runs", s.now.Format("05.000"), id, r.task)
			}
		}
		if j.state != job.Pending {
			continue
		}
		pending[j.Queue]++
		if j.surplus {
			surplus[j.Team]++
		}
	}
	for queue, n := range s.core.pendingJobs {
		if n != pending[queue] {
			s.t.Errorf("at %s: %d jobs of queue %s count as pending, want %d", s.now.Format("05.000"), n, queue, pending[queue])
		}
	}
	for team, u := range s.core.usage {
		if u.surplusPending != surplus[team] {
			s.t.Errorf("at %s: %d surplus jobs of team %s count as pending, want %d", s.now.Format("05.000"), u.surplusPending, team, surplus[team])
		}
	}
}

// checkBacklog checks that the backlog, on which forecasts and return times are based, contains the tasks that
// have not started on any worker, except for those whose start order may still be answered.
func (s *simulation) checkBacklog() {
	const answerTime = time.Second
	want, got := make(map[string]float64), make(map[string]float64)
	for _, step := range s.core.steps {
		if step.spec.LongLived || s.now.Before(step.notBefore) {
			continue
		}
		for i := range step.tasks {
			t := &step.tasks[i]
			isOrdered := t.run != nil && s.now.Sub(t.run.startedAt) <= answerTime
			if !t.done && !isOrdered && len(s.starts[job.TaskKey{StepKey: step.key, Index: i}]) == 0 {
				want[step.job.Team] += s.core.workOf(step.job, step.spec, 1)[0]
			}
		}
	}
	s.core.backlog = nil
	for _, waiting := range s.core.currentBacklog().waiting {
		for _, w := range waiting {
			got[w.team] += w.work[0]
		}
	}
	s.core.backlog = nil
	const rounding = 1 // millicore-second
	for team, work := range want {
		if got[team] < work-rounding {
			s.t.Errorf("at %s: the backlog has %.0f millicore-seconds of team %s, but %.0f have not started", s.now.Format("05.000"), got[team], team, work)
		}
	}
}

// TestCancelledBeforeBegin guards against a waiting job that is shown as running from its cancellation until
// that is recorded, which takes as long as an outage of the store.
func TestCancelledBeforeBegin(t *testing.T) {
	s := newSimulation(t, 23, 1)
	s.run(time.Second)
	const id = job.ID("00000000000000c0")
	s.submit(&job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{
		{Count: 1, Size: task.Resources{CPUMilli: 33_000}, Estimate: time.Second}, // larger than the worker
	}})
	s.run(time.Second)
	s.storeDown = true
	s.cancel(id)
	s.run(time.Second)
	if state, _, _, _ := s.core.StateOf(id); state != job.Pending {
		t.Errorf("the job is shown as %s and has not begun", state)
	}
	s.storeDown = false
	s.run(time.Second)
	if s.finals[id].State != job.Cancelled {
		t.Error("the cancellation is not recorded")
	}
}

// TestLostStartOrders guards against jobs that count as running although their start orders were lost or
// refused (review/10).
func TestLostStartOrders(t *testing.T) {
	const jobs = 16
	for _, c := range []struct {
		name string
		fail func(w *simWorker)
	}{
		{"worker is silent", func(w *simWorker) { w.partitioned = true }},
		{"worker refuses", func(w *simWorker) { w.unhealthy = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 21, 12)
			s.run(time.Second)
			const full, last = "00000000000000c0", "w11"
			s.workers[last].Service = "other" // so that the tasks fill the other workers
			s.run(time.Second)
			s.runTimes = map[job.ID]time.Duration{full: time.Hour}
			s.submitLongLived(full, 11, 1, 31_000)
			s.run(time.Second)
			s.workers[last].Service = "calc"
			s.run(time.Second)
			c.fail(s.workers[last])
			var ids []job.ID
			for i := range jobs {
				id := job.ID(fmt.Sprintf("%016x", 0xc100+i))
				ids = append(ids, id)
				s.submit(&job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{
					{Count: 1, Size: task.Resources{CPUMilli: 2_000}, Estimate: time.Second},
				}})
			}
			ordered := 0
			for range 80 {
				s.run(100 * time.Millisecond)
				for _, id := range ids {
					if s.core.steps[job.StepKey{Job: id}].runsOrdered > 0 {
						ordered++
					}
					if state, _, _, _ := s.core.StateOf(id); state != job.Pending {
						t.Fatalf("%s is shown as %s and has not begun", id, state)
					}
				}
				if n := s.core.ViewSince("i1", 0, 0).PendingJobs["plain"]; n != jobs {
					t.Fatalf("%d jobs count as pending, want %d", n, jobs)
				}
			}
			if ordered == 0 {
				t.Error("no start order was sent")
			}
			s.workers[last] = s.newWorker(Worker{ID: last, Incarnation: 2, Address: last, Service: "calc", Rack: "r2", Capacity: s.workers["w00"].Capacity})
			s.run(4 * time.Second)
			for _, id := range ids {
				if s.finals[id].State != job.Completed {
					t.Errorf("%s has not ended: %s", id, s.core.describe(id))
				}
			}
			if n := s.core.ViewSince("i1", 0, 0).PendingJobs["plain"]; n != 0 {
				t.Errorf("%d jobs count as pending at the end", n)
			}
		})
	}
}

// TestBegunOnLostWorker guards against a job that is shown as pending again after a takeover because the
// only worker that has shown its begin is lost.
func TestBegunOnLostWorker(t *testing.T) {
	s := newSimulation(t, 24, 2)
	s.run(time.Second)
	const id = job.ID("00000000000000c0")
	s.runTimes = map[job.ID]time.Duration{id: time.Hour}
	s.submit(&job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{
		{Count: 1, Size: task.Resources{CPUMilli: 20_000}, Estimate: time.Minute},
	}})
	s.run(beginRecordTime + time.Second)
	for _, w := range s.sortedWorkers() {
		w.dead = true
	}
	s.takeOver()
	s.run(time.Second)
	if state, _, _, _ := s.core.StateOf(id); state != job.Running {
		t.Errorf("the job is shown as %s", state)
	}
	if n := s.core.ViewSince("i1", 0, 0).PendingJobs["plain"]; n != 0 {
		t.Errorf("%d jobs count as pending", n)
	}
}

// TestBegunBeforeTakeover guards against a job that counts as pending after a takeover although its
// record says that it has begun.
func TestBegunBeforeTakeover(t *testing.T) {
	s := newSimulation(t, 22, 2)
	s.run(time.Second)
	const id = job.ID("00000000000000c0")
	s.submit(&job.Job{ID: id, Queue: "plain", Team: "blue", Spec: "work", Steps: []job.Step{
		{Count: 1, Size: task.Resources{CPUMilli: 2_000}, Estimate: 100 * time.Millisecond},
		{Count: 1, Size: task.Resources{CPUMilli: 33_000}, Estimate: time.Second, After: []int{0}},
	}})
	s.run(time.Second)
	s.takeOver()
	if state, _, _, _ := s.core.StateOf(id); state != job.Running {
		t.Errorf("the job is shown as %s", state)
	}
}
