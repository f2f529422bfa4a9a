package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// workerFor returns the worker if it accepts an order with the given fencing token, and otherwise the
// verdict of the rejection.
func (s *simulation) workerFor(fence int64, to Target) (*simWorker, Verdict) {
	w := s.workers[to.Worker]
	switch {
	case w == nil || w.dead || w.partitioned:
		return nil, Unclear
	case to.Incarnation != 0 && to.Incarnation != w.Incarnation:
		return nil, OtherIncarnation
	case fence < w.fence:
		return nil, Fenced
	}
	w.fence = fence
	return w, Accepted
}

func (s *simulation) extendLease(w *simWorker, end time.Duration) {
	at := w.clockOrigin.Add(end)
	if limit := s.now.Add(10 * time.Second); at.After(limit) {
		at = limit
	}
	if at.After(w.leaseEnd) {
		w.leaseEnd = at
	}
}

func (s *simulation) pollWorker(core *Core, fence int64, order Poll) {
	w, v := s.workerFor(fence, order.Target)
	sent := s.now
	if v == OtherIncarnation {
		incarnation := s.workers[order.Worker].Incarnation
		s.reply(core, s.delay(), func(c *Core) {
			c.PollDone(PollDone{Poll: order, Verdict: v, SentAt: sent, Incarnation: incarnation})
		})
		return
	}
	if v != Accepted {
		s.reply(core, time.Second, func(c *Core) { c.PollDone(PollDone{Poll: order, Verdict: v, SentAt: sent}) })
		return
	}
	if order.LeaseEnd > 0 {
		s.extendLease(w, order.LeaseEnd)
	}
	for _, e := range w.ended {
		if e.Number > order.Confirmed || w.leaseExpiredAt.After(w.endedAt[e.Number-1]) {
			continue // an end before the expiry of the lease does not count
		}
		s.logEvent(e.Task, "end %d of %s confirmed by owner %d", e.Number, w.ID, fence)
		switch e.Reason {
		case EndedSucceeded:
			s.done[e.Task] = true
			s.checkNotRestarted(e.Task, w.endedAt[e.Number-1])
		case EndedFailed:
			s.failed[e.Task] = append(s.failed[e.Task], w.endedAt[e.Number-1])
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e EndReport) bool { return e.Number <= order.Confirmed })
	answered := false
	answer := func() {
		if answered || w.dead || s.workers[w.ID] != w {
			return
		}
		answered = true
		report := PollDone{Poll: order, SentAt: sent, Clock: s.now.Sub(w.clockOrigin), Incarnation: w.Incarnation,
			Ended: slices.Clone(w.ended[:min(len(w.ended), s.endsPerReport)]), Partial: len(w.ended) >= s.endsPerReport}
		for _, r := range w.sortedRuns() {
			report.Running = append(report.Running, s.reportRun(r))
		}
		delay := s.delay()
		if s.reportDelay > 0 {
			delay += time.Duration(s.rng.Int64N(int64(s.reportDelay)))
		}
		s.reply(core, delay, func(c *Core) { c.PollDone(report) })
	}
	if len(w.ended) > 0 || order.Wait == 0 {
		answer()
		return
	}
	w.answerPoll = answer
	s.after(order.Wait, answer)
	s.after(order.Wait+time.Second, func() {
		if !answered {
			answered = true
			s.reply(core, 0, func(c *Core) { c.PollDone(PollDone{Poll: order, Verdict: Unclear, SentAt: sent}) })
		}
	})
}

func (s *simulation) startRun(fence int64, e Start) Verdict {
	w, v := s.workerFor(fence, e.Target)
	if v != Accepted {
		return v
	}
	if w.unhealthy {
		return Unhealthy
	}
	if e.Run <= w.stopped[e.Task] {
		return Outdated
	}
	if s.jobs[e.Task.Job].Queue == "advised" && e.Ticket == "" {
		return TicketRejected
	}
	if w.clockOrigin.Add(e.LeaseEnd).Before(s.now) {
		return LeaseExpired
	}
	if r := w.runs[e.Task]; r != nil {
		if r.number == e.Run {
			return Accepted
		}
		return Outdated
	}
	s.extendLease(w, e.LeaseEnd)
	j := s.jobs[e.Task.Job]
	spec := j.Steps[e.Task.Step]
	r := &simRun{key: e.Task, number: e.Run, worker: w, size: spec.Size, team: j.Team, startedAt: s.now}
	s.checkStart(r, j)
	w.runs[e.Task] = r
	s.running[e.Task] = r
	s.startedOn = append(s.startedOn, simStart{worker: w.ID, at: s.now, gang: spec.Gang})
	s.usage[r.team] = s.usage[r.team].Add(r.size)
	reason := EndedSucceeded
	if w.failAll || strings.HasPrefix(j.Spec, "fail") {
		reason = EndedFailed
	}
	if spec.Gang {
		s.after(3*time.Second, func() { s.checkGangTimeout(r, spec.Count) })
	}
	if s.speeds.progress {
		s.beginWork(r, e, reason)
		return Accepted
	}
	runTime, given := s.runTimes[j.ID]
	if !given {
		runTime = spec.Estimate + time.Duration(s.rng.IntN(300))*time.Millisecond
	}
	s.after(runTime, func() {
		if spec.Gang && !s.isGangComplete(r, spec.Count) && reason == EndedSucceeded {
			return // the run ends when the gang is stopped or its members did not start in time
		}
		s.endRun(r, reason)
	})
	return Accepted
}

// isGangComplete reports whether all members of the gang of a run are running with its run number.
func (s *simulation) isGangComplete(r *simRun, count int) bool {
	for i := range count {
		other := s.running[job.TaskKey{StepKey: r.key.StepKey, Index: i}]
		if other == nil || other.number != r.number {
			return false
		}
	}
	return true
}

// checkGangTimeout ends a gang member whose other members did not start in time.
func (s *simulation) checkGangTimeout(r *simRun, count int) {
	if r.ended || s.isGangComplete(r, count) {
		return
	}
	if len(s.faults) == 0 {
		s.t.Errorf("gang member %s run %d waited 3 s for the other members", r.key, r.number)
	}
	s.endRun(r, EndedGangTimeout)
}

func (s *simulation) endRun(r *simRun, reason EndReason) {
	if r.ended {
		return
	}
	s.removeRun(r)
	w := r.worker
	w.stopped[r.key] = max(w.stopped[r.key], r.number)
	w.lastEndNumber++
	w.ended = append(w.ended, EndReport{Number: w.lastEndNumber, Task: r.key, Run: r.number, Reason: reason})
	w.endedAt = append(w.endedAt, s.now)
	s.logEvent(r.key, "run %d %s as end %d of %s", r.number, reason, w.lastEndNumber, w.ID)
	if reason == EndedSucceeded {
		s.succeeded[r.key] = true
	}
	if w.answerPoll != nil {
		s.after(0, w.answerPoll)
		w.answerPoll = nil
	}
	spec := s.jobs[r.key.Job].Steps[r.key.Step]
	if !spec.Gang {
		return
	}
	memberReason := EndedGangBroken
	if reason == EndedSucceeded {
		memberReason = EndedSucceeded
	}
	for i := range spec.Count {
		if other := s.running[job.TaskKey{StepKey: r.key.StepKey, Index: i}]; other != nil && other.number == r.number {
			s.endRun(other, memberReason)
		}
	}
}

func (s *simulation) removeRun(r *simRun) {
	r.ended = true
	delete(r.worker.runs, r.key)
	if s.running[r.key] == r {
		delete(s.running, r.key)
	}
	s.usage[r.team] = s.usage[r.team].Sub(r.size)
}

func (s *simulation) stopRun(fence int64, e Stop) Verdict {
	w, v := s.workerFor(fence, e.Target)
	if v != Accepted {
		return v
	}
	r := w.runs[e.Task]
	if r != nil && r.number <= e.Run {
		s.stoppedRuns++
		s.after(time.Duration(s.rng.IntN(900))*time.Millisecond, func() { s.endRun(r, EndedStopped) })
	}
	w.stopped[e.Task] = max(w.stopped[e.Task], e.Run)
	return Accepted
}

// expireLeases ends the runs on workers whose lease has expired.
func (s *simulation) expireLeases() {
	for _, w := range s.sortedWorkers() {
		if w.leaseEnd.After(s.now) {
			continue
		}
		w.leaseExpiredAt = s.now
		for _, r := range w.sortedRuns() {
			s.endRun(r, EndedLeaseExpired)
		}
	}
}

// restart stops a worker and starts a new incarnation of it after the given time. It has no effect on
// a worker that is not running.
func (s *simulation) restart(id string, down time.Duration) {
	w := s.workers[id]
	if w.dead {
		return
	}
	for _, r := range w.runs {
		s.removeRun(r)
	}
	w.dead = true
	s.after(down, func() {
		next := w.Worker
		next.Incarnation++
		s.workers[id] = s.newWorker(next)
	})
}
