package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

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
