package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// order sends an order to a worker and delivers its outcome.
func (m *takeoverModel) order(i *modelInstance, e Order) {
	sent := m.now
	answer := func(event any) {
		m.deliver(i, ScheduleOutcome{OwnerRevision: e.Fence, Event: event})
	}
	var target schedule.Target
	var execute func(w *modelWorker)
	var lost func()
	switch order := e.Effect.(type) {
	case schedule.Poll:
		target = order.Target
		execute = func(w *modelWorker) { m.poll(i, w, e.Fence, order, sent) }
		lost = func() {
			m.after(order.Wait+400*time.Millisecond, func() { answer(schedule.PollDone{Poll: order, Verdict: schedule.Unclear, SentAt: sent}) })
		}
	case schedule.Start:
		target = order.Target
		execute = func(w *modelWorker) {
			verdict := m.start(i, w, e.Fence, order)
			m.after(modelOrderTrip, func() { answer(schedule.StartDone{Start: order, Verdict: verdict}) })
		}
		lost = func() {
			m.after(700*time.Millisecond, func() { answer(schedule.StartDone{Start: order, Verdict: schedule.Unclear}) })
		}
	case schedule.Stop:
		target = order.Target
		execute = func(w *modelWorker) {
			verdict := m.stop(w, e.Fence, order)
			m.after(modelOrderTrip, func() { answer(schedule.StopDone{Stop: order, Verdict: verdict}) })
		}
		lost = func() {
			m.after(700*time.Millisecond, func() { answer(schedule.StopDone{Stop: order, Verdict: schedule.Unclear}) })
		}
	default:
		return
	}
	delay, reached := i.delays[target.Worker]
	if !reached {
		lost()
		return
	}
	m.after(delay, func() { execute(m.workers[target.Worker]) })
}

func (m *takeoverModel) poll(i *modelInstance, w *modelWorker, fence int64, order schedule.Poll, sent time.Time) {
	if fence < w.fence {
		m.after(modelOrderTrip, func() {
			m.deliver(i, ScheduleOutcome{OwnerRevision: fence, Event: schedule.PollDone{Poll: order, Verdict: schedule.Fenced, SentAt: sent}})
		})
		return
	}
	w.fence = fence
	w.extendLease(m.began, order.LeaseEnd)
	w.ended = slices.DeleteFunc(w.ended, func(e schedule.EndReport) bool { return e.Number <= order.Confirmed })
	w.polls = append(w.polls, &waitingPoll{from: i, fence: fence, order: order, sent: sent, until: m.now.Add(order.Wait)})
	m.stepWorker(w)
}

// extendLease extends the lease to a reading of the worker's clock, which is an hour at the beginning.
func (w *modelWorker) extendLease(began time.Time, end time.Duration) {
	if expiry := began.Add(end - time.Hour); end > 0 && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

// stepWorker ends the runs that are due and answers polls.
func (m *takeoverModel) stepWorker(w *modelWorker) {
	for key, r := range w.runs {
		runTime, reason := m.runTimes[key.Job], schedule.EndReason("")
		switch {
		case m.now.After(w.leaseExpiry):
			reason = schedule.EndedLeaseExpired
		case m.now.Sub(r.startedAt) >= runTime:
			reason = schedule.EndedSucceeded
		}
		if reason != "" {
			m.end(w, key, r, reason)
		}
	}
	w.polls = slices.DeleteFunc(w.polls, func(p *waitingPoll) bool {
		if m.now.Before(p.until) && len(w.ended) == 0 {
			return false
		}
		report := schedule.PollDone{Poll: p.order, SentAt: p.sent, Clock: time.Hour + m.now.Sub(m.began), Incarnation: 1, Ended: slices.Clone(w.ended)}
		for key, r := range w.runs {
			report.Running = append(report.Running, schedule.RunReport{Task: key, Run: r.number})
		}
		m.after(modelOrderTrip, func() { m.answerPoll(p, report) })
		return true
	})
}

// answerPoll delivers a report. A frozen instance is taken to find the call timed out when it wakes.
func (m *takeoverModel) answerPoll(p *waitingPoll, report schedule.PollDone) {
	if _, reached := p.from.delays[p.order.Worker]; !reached || m.now.Before(p.from.frozenUntil) {
		report = schedule.PollDone{Poll: p.order, Verdict: schedule.Unclear, SentAt: p.sent}
	}
	m.deliver(p.from, ScheduleOutcome{OwnerRevision: p.fence, Event: report})
}

func (m *takeoverModel) end(w *modelWorker, key job.TaskKey, r *modelRun, reason schedule.EndReason) {
	m.log("%s %s: run %d of %s, by %s, ends: %s", m.at(), w.id, r.number, key, r.owner, reason)
	delete(w.runs, key)
	w.ended = append(w.ended, schedule.EndReport{Number: uint64(len(w.ended) + 1), Task: key, Run: r.number, Reason: reason})
}

func (m *takeoverModel) start(i *modelInstance, w *modelWorker, fence int64, order schedule.Start) schedule.Verdict {
	if fence < w.fence {
		return schedule.Fenced
	}
	w.fence = fence
	w.extendLease(m.began, order.LeaseEnd)
	m.log("%s %s: run %d of %s starts, by %s", m.at(), w.id, order.Run, order.Task, i.name)
	for _, other := range m.workers {
		if r := other.runs[order.Task]; r != nil {
			m.violate("two runs at once: run %d of %s starts on %s, by %s, while run %d by %s is on %s", order.Run, order.Task, w.id, i.name, r.number, r.owner, other.id)
		}
	}
	if m.finals[order.Task.Job] {
		m.violate("run %d of %s starts on %s, by %s, after its recorded success", order.Run, order.Task, w.id, i.name)
	}
	w.runs[order.Task] = &modelRun{number: order.Run, owner: i.name, startedAt: m.now}
	return schedule.Accepted
}

func (m *takeoverModel) violate(format string, args ...any) {
	m.violations = append(m.violations, m.at().String()+" "+fmt.Sprintf(format, args...))
}

func (m *takeoverModel) stop(w *modelWorker, fence int64, order schedule.Stop) schedule.Verdict {
	if fence < w.fence {
		return schedule.Fenced
	}
	w.fence = fence
	if r := w.runs[order.Task]; r != nil && r.number <= order.Run {
		m.end(w, order.Task, r, schedule.EndedStopped)
	}
	return schedule.Accepted
}
