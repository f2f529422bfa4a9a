package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// storeAccess is how the store responds to an instance.
type storeAccess int

const (
	storeReachable storeAccess = iota
	storeRefused               // calls fail at once
	storeSilent                // calls get no response
)

// takeoverModel runs the states of several instances in virtual time against a model of the store and
// of the workers. It records every run that starts beside another one of its task, or after the
// recorded success of its task.
type takeoverModel struct {
	t         *testing.T
	now       time.Time
	began     time.Time
	actions   []timedAction
	instances []*modelInstance
	workers   map[string]*modelWorker

	revision    int64 // of the store
	owner       OwnerObserved
	lease       int64 // of the ownership record
	leaseExpiry time.Time
	jobs        map[job.ID]Submission
	finals      map[job.ID]bool
	roster      []schedule.RosterEntry

	runTimes   map[job.ID]time.Duration
	violations []string
	lines      []string // what happened, for failure messages
}

type timedAction struct {
	at time.Time
	do func()
}

type modelInstance struct {
	name          string
	state         *State
	contact       Contact
	followers     followers
	steppedAt     time.Time // when the instance last ran
	store         storeAccess
	delays        map[string]time.Duration // of an order to each worker that the instance reaches
	isPolled      bool                     // an instance that is not modelled polls it as the owner
	frozenUntil   time.Time
	recoveryDelay time.Duration        // additional time to read the records
	replies       map[string]time.Time // sent to each instance
	repliesOf     int64
	pollInterval  time.Duration
	cutFrom       map[string]bool // instances
	pollsNobody   bool            // its polls do not reach the owner
	waiting       []Event         // arrived during the freeze
	readAt        time.Time
}

type modelWorker struct {
	id          string
	fence       int64
	leaseExpiry time.Time
	runs        map[job.TaskKey]*modelRun
	ended       []schedule.EndReport
	polls       []*waitingPoll
}

type modelRun struct {
	number    int
	owner     string
	startedAt time.Time
}

type waitingPoll struct {
	from  *modelInstance
	fence int64
	order schedule.Poll
	sent  time.Time
	until time.Time
}

const (
	modelTTL       = 1200 * time.Millisecond // see instance.DefaultTiming
	modelStoreTrip = 30 * time.Millisecond   // to the store and back
	modelOrderTrip = 5 * time.Millisecond    // to a worker
	modelStep      = 5 * time.Millisecond
)

func newTakeoverModel(t *testing.T, workers ...string) *takeoverModel {
	m := &takeoverModel{t: t, now: time.Unix(1_700_000_000, 0), revision: 5, workers: map[string]*modelWorker{},
		jobs: map[job.ID]Submission{}, finals: map[job.ID]bool{}, runTimes: map[job.ID]time.Duration{}}
	m.began = m.now
	m.owner = OwnerObserved{Revision: 5}
	for _, id := range workers {
		m.workers[id] = &modelWorker{id: id, runs: map[job.TaskKey]*modelRun{}}
	}
	return m
}

// join adds an instance that reaches the store and all workers.
func (m *takeoverModel) join(name string) *modelInstance {
	i := &modelInstance{name: name, state: New(DefaultConfig(Owner{Instance: name, Incarnation: name, Address: name}, 0)), delays: map[string]time.Duration{}}
	for id := range m.workers {
		i.delays[id] = modelOrderTrip
	}
	m.instances = append(m.instances, i)
	m.deliver(i, CatalogRead{catalog(1, 1)})
	m.deliver(i, m.owner)
	return i
}

func (m *takeoverModel) after(d time.Duration, do func()) {
	m.actions = append(m.actions, timedAction{m.now.Add(d), do})
}

func (m *takeoverModel) at() time.Duration { return m.now.Sub(m.began) }

// run advances the virtual time by d.
func (m *takeoverModel) run(d time.Duration) {
	m.runUntil(d, func() bool { return false })
}

// runUntil advances the virtual time until a condition holds, at most by d.
func (m *takeoverModel) runUntil(d time.Duration, condition func() bool) {
	for end := m.now.Add(d); m.now.Before(end) && !condition(); {
		m.now = m.now.Add(modelStep)
		for k := 0; k < len(m.actions); k++ {
			if a := m.actions[k]; !a.at.After(m.now) {
				m.actions = slices.Delete(m.actions, k, k+1)
				a.do()
				k = -1
			}
		}
		m.stepStore()
		for _, id := range slices.Sorted(maps.Keys(m.workers)) {
			m.stepWorker(m.workers[id])
		}
		for _, i := range m.instances {
			m.stepInstance(i)
		}
	}
}

// stepStore removes the ownership record with its lease.
func (m *takeoverModel) stepStore() {
	if m.owner.Found && m.now.After(m.leaseExpiry) {
		m.revision++
		m.owner = OwnerObserved{Revision: m.revision}
		m.log("%s the ownership record expires", m.at())
		m.announceOwner()
	}
}

func (m *takeoverModel) announceOwner() {
	observed := m.owner
	for _, i := range m.instances {
		if i.store == storeReachable {
			m.after(modelStoreTrip/2, func() { m.deliver(i, observed) })
		}
	}
}

func (m *takeoverModel) stepInstance(i *modelInstance) {
	if m.now.Before(i.frozenUntil) {
		return
	}
	m.pollOwner(i)
	waiting := i.waiting
	i.waiting = nil
	m.deliver(i, Tick{})
	for _, e := range waiting {
		m.deliver(i, e)
	}
	if m.now.Sub(i.readAt) < 700*time.Millisecond {
		return
	}
	i.readAt = m.now
	m.readStore(i)
}

// pollOwner records the polls of an instance as the owner by those that take it for the owner. A poll
// contains the owner's clock as of its last reply, which it has sent before a freeze.
func (m *takeoverModel) pollOwner(i *modelInstance) {
	lastReply := i.steppedAt
	i.steppedAt = m.now
	if i.state.core == nil {
		return
	}
	var names []string
	if i.isPolled {
		names = append(names, "peer")
	}
	for _, other := range m.instances {
		if s := other.state.Snapshot(); other != i && !other.pollsNobody && !i.cutFrom[other.name] && s.OwnerFound && s.Owner == i.state.cfg.Self && m.now.After(other.frozenUntil) {
			names = append(names, other.name)
		}
	}
	if i.replies == nil || i.repliesOf != i.state.ownershipRevision {
		i.replies, i.repliesOf = map[string]time.Time{}, i.state.ownershipRevision
	}
	for _, name := range names {
		if i.pollInterval > 0 && m.now.Sub(i.replies[name]) < i.pollInterval {
			continue
		}
		reply := lastReply
		if i.pollInterval > 0 {
			reply = i.replies[name]
		}
		i.replies[name] = m.now
		i.followers.observe(i.state.ownershipRevision, name, m.now, reply)
		if reply.After(i.contact.Request) {
			i.contact.Request = reply
		}
	}
}

// contactOf returns the contact of an instance, as Loop determines it.
func (m *takeoverModel) contactOf(i *modelInstance) Contact {
	contact := i.contact
	if i.state.core != nil && !i.state.isLeaseValid(m.now, contact.Renewal) {
		contact.SilentFollowers = i.followers.silent(i.state.ownershipRevision, m.now.Add(-i.state.cfg.FollowerTimeout))
	}
	return contact
}

// readStore delivers what an instance reads from the store from time to time.
func (m *takeoverModel) readStore(i *modelInstance) {
	switch i.store {
	case storeRefused:
		m.deliver(i, StoreUnavailable{})
	case storeReachable:
		asOf, observed, submissions, revision, ownership := m.now, m.owner, []Submission{}, m.revision, i.state.ownershipRevision
		for id, s := range m.jobs {
			if !m.finals[id] {
				submissions = append(submissions, s)
			}
		}
		m.after(modelStoreTrip, func() {
			m.deliver(i, observed)
			m.deliver(i, StoreSynced{At: asOf})
			m.deliver(i, DirectoryRead{Workers: m.directory(), AsOf: asOf})
			m.deliver(i, JobsObserved{OwnerRevision: ownership, Jobs: submissions, Revision: revision, AsOf: asOf})
		})
	}
}

func (m *takeoverModel) directory() []schedule.Worker {
	var out []schedule.Worker
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		out = append(out, worker(id))
	}
	return out
}

// deliver applies an event at an instance. While the instance is frozen, outcomes of orders and requests
// wait, and calls to the store are taken to time out.
func (m *takeoverModel) deliver(i *modelInstance, e Event) {
	if m.now.Before(i.frozenUntil) {
		switch e.(type) {
		case ScheduleOutcome, RequestReceived:
			i.waiting = append(i.waiting, e)
		}
		return
	}
	i.state.SetContact(m.contactOf(i))
	for _, effect := range i.state.Apply(m.now, m.now, e) {
		m.execute(i, effect)
	}
}

func (m *takeoverModel) execute(i *modelInstance, effect Effect) {
	switch e := effect.(type) {
	case Log:
		switch e.Event {
		case "ownership_won", "ownership_ready", "ownership_ended", "former_lease_over", "placement":
			m.log("%s %s: %s %v", m.at(), i.name, e.Event, e.Fields)
		}
	case Campaign:
		m.callStore(i, func() { m.campaign(i) })
	case Recover:
		m.callStore(i, func() { m.recover(i, e) })
	case Renew:
		sentAt := m.now
		m.callStore(i, func() {
			if !m.owner.Found || m.lease != e.Lease {
				m.after(modelStoreTrip/2, func() { m.deliver(i, RenewDone{Lease: e.Lease, Gone: true}) })
				return
			}
			m.leaseExpiry = m.now.Add(modelTTL)
			i.contact.Renewal = sentAt
		})
	case Resign:
		m.callStore(i, func() {
			if m.owner.Found && m.lease == e.Lease {
				m.leaseExpiry = m.now
			}
		})
	case CommitRecords:
		m.callStore(i, func() { m.commit(i, e) })
	case Order:
		m.order(i, e)
	}
}

// callStore executes a call to the store, unless it is refused or gets no response.
func (m *takeoverModel) callStore(i *modelInstance, do func()) {
	m.after(modelStoreTrip/2, func() {
		if i.store == storeReachable {
			do()
		}
	})
}

func (m *takeoverModel) campaign(i *modelInstance) {
	done := CampaignDone{}
	if !m.owner.Found {
		m.revision++
		m.lease = m.revision
		m.leaseExpiry = m.now.Add(modelTTL)
		m.owner = OwnerObserved{Found: true, Owner: i.state.cfg.Self, Revision: m.revision}
		done = CampaignDone{Won: true, Revision: m.revision, Lease: m.lease, GrantedAt: m.now.Add(-modelStoreTrip / 2)}
		m.announceOwner()
	}
	m.after(modelStoreTrip/2, func() { m.deliver(i, done) })
}

func (m *takeoverModel) recover(i *modelInstance, e Recover) {
	recovery := Recovery{ReadRevision: m.revision, Roster: m.roster, Workers: m.directory(), AsOf: m.now}
	for id, s := range m.jobs {
		if !m.finals[id] {
			recovery.Jobs = append(recovery.Jobs, schedule.RecordedJob{Job: s.Job})
		}
	}
	m.after(modelStoreTrip/2+i.recoveryDelay, func() {
		m.deliver(i, StoreSynced{At: recovery.AsOf})
		m.deliver(i, Recovered{Revision: e.OwnerRevision, State: recovery})
	})
}

func (m *takeoverModel) commit(i *modelInstance, e CommitRecords) {
	done := Committed{Commit: e.Commit, OwnerRevision: e.OwnerRevision, Lost: m.owner.Revision != e.OwnerRevision}
	if !done.Lost {
		m.revision++
		done.Sequence = m.revision
		if e.Commit.Roster != nil {
			m.roster = e.Commit.Roster
		}
		for _, change := range e.Commit.Changes {
			if change.Final != nil {
				m.finals[change.Job] = true
				m.log("%s %s: the success of %s is recorded", m.at(), i.name, change.Job)
			}
		}
	}
	m.after(modelStoreTrip/2, func() { m.deliver(i, done) })
}

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

// record records a job whose task runs for the given time, as the instance that accepts it does.
func (m *takeoverModel) record(id job.ID, runTime time.Duration) Submission {
	m.revision++
	m.jobs[id] = submission(id, m.revision)
	m.runTimes[id] = runTime
	return m.jobs[id]
}

// notify notifies an instance, as the owner, of a recorded job.
func (m *takeoverModel) notify(i *modelInstance, s Submission) {
	m.after(modelOrderTrip, func() { m.deliver(i, RequestReceived{Token: 1, Request: Submit{s}}) })
}

// startOwner runs the model until an instance is the owner and its workers accept tasks.
func (m *takeoverModel) startOwner(i *modelInstance) {
	m.t.Helper()
	m.run(2 * time.Second)
	if !i.state.Snapshot().IsOwner {
		m.t.Fatal("the first instance is not the owner")
	}
}

// startSuccessor runs the model until an instance is the owner.
func (m *takeoverModel) startSuccessor(i *modelInstance) {
	m.t.Helper()
	m.runUntil(5*time.Second, i.state.isReady)
	if !i.state.isReady() {
		m.t.Fatal("no successor")
	}
}

func (s *State) isReady() bool { return s.core != nil }

func (m *takeoverModel) log(format string, args ...any) {
	m.lines = append(m.lines, fmt.Sprintf(format, args...))
}

// reportViolations fails the test if there was a violation, and logs what happened before it.
func (m *takeoverModel) reportViolations() {
	m.t.Helper()
	if len(m.violations) > 0 {
		m.t.Log(strings.Join(m.lines, "\n"))
	}
	for _, v := range m.violations {
		m.t.Error(v)
	}
}

// TestJobAcceptedByFormerOwner guards against a job that two owners start: the former one, which is cut
// off from the store, and its successor, both notified of the job by instances.
func TestJobAcceptedByFormerOwner(t *testing.T) {
	const cutOff = time.Duration(0)
	for _, c := range []struct {
		name           string
		store          storeAccess
		former         []string      // workers that the former owner reaches
		successorDelay time.Duration // of an order of the successor to w1
		runTime        time.Duration
		formerDelay    time.Duration // from the notice to the successor to that to the former owner
	}{
		{"all workers reached, store refuses", storeRefused, []string{"w1", "w2"}, modelOrderTrip, 3 * time.Second, 0},
		{"60 ms to a worker, store refuses", storeRefused, []string{"w1", "w2"}, 60 * time.Millisecond, 3 * time.Second, 0},
		{"60 ms to a worker, store silent", storeSilent, []string{"w1", "w2"}, 60 * time.Millisecond, 3 * time.Second, 0},
		{"300 ms to a worker, store refuses", storeRefused, []string{"w1", "w2"}, 300 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond},
		{"successor cut off from a worker, store refuses", storeRefused, []string{"w1", "w2"}, cutOff, 3 * time.Second, 200 * time.Millisecond},
		{"successor cut off from a worker, store silent", storeSilent, []string{"w1", "w2"}, cutOff, 3 * time.Second, 200 * time.Millisecond},
		{"successor cut off from a worker, after the success", storeRefused, []string{"w1", "w2"}, cutOff, 50 * time.Millisecond, 300 * time.Millisecond},
		{"each reaches one worker, store refuses", storeRefused, []string{"w1"}, cutOff, 3 * time.Second, time.Second},
		{"each reaches one worker, store silent", storeSilent, []string{"w1"}, cutOff, 3 * time.Second, time.Second},
		{"each reaches one worker, after the success", storeRefused, []string{"w1"}, cutOff, 100 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The time from the last read of the owner to the cut decides how long it goes on.
			for phase := time.Duration(0); phase < 700*time.Millisecond && !t.Failed(); phase += 50 * time.Millisecond {
				m := newTakeoverModel(t, "w1", "w2")
				former := m.join("e1")
				m.startOwner(former)
				successor := m.join("e2")
				former.isPolled = true
				successor.delays["w1"] = c.successorDelay
				if c.successorDelay == cutOff {
					delete(successor.delays, "w1")
				}
				m.run(time.Second + phase)
				former.store = c.store
				for id := range m.workers {
					if !slices.Contains(c.former, id) {
						delete(former.delays, id)
					}
				}
				m.startSuccessor(successor)
				submitted := m.record("00000000000000a1", c.runTime)
				m.notify(successor, submitted)
				m.after(c.formerDelay, func() { m.notify(former, submitted) })
				m.run(10 * time.Second)
				m.reportViolations()
			}
		})
	}
}

// TestOwnerCutOffWithPeer guards against a task that two owners run: the former one, cut off from the
// store together with a worker and an instance that polls it, and its successor, which takes the
// leases of that worker for expired.
func TestOwnerCutOffWithPeer(t *testing.T) {
	const wholeWorker = 1000 // millicores
	for _, c := range []struct {
		name     string
		store    storeAccess
		isPolled bool          // by an instance that is cut off as well
		blocked  bool          // the task waits for other tasks at the time of the cut
		peerLag  time.Duration // after which the instance learns of the successor; 0 if it does not
	}{
		{"running task, store refuses", storeRefused, true, false, 0},
		{"running task, store silent", storeSilent, true, false, 0},
		{"waiting task, store refuses", storeRefused, true, true, 0},
		{"waiting task, store silent", storeSilent, true, true, 0},
		{"running task, peer lags by 0.5 s", storeRefused, true, false, 500 * time.Millisecond},
		{"running task, peer lags by 1 s", storeRefused, true, false, time.Second},
		{"running task, peer lags by 1.5 s", storeRefused, true, false, 1500 * time.Millisecond},
		{"running task, peer lags by 2 s", storeRefused, true, false, 2 * time.Second},
		{"running task, no peer", storeRefused, false, false, 0},
		{"waiting task, no peer", storeRefused, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTakeoverModel(t, "w1", "w2")
			former := m.join("e1")
			m.startOwner(former)
			successor := m.join("e2")
			former.isPolled = true
			m.run(time.Second)
			if c.blocked {
				for _, id := range []job.ID{"00000000000000b1", "00000000000000b2"} {
					s := m.record(id, 12*time.Second)
					s.Job.Steps[0].Size.CPUMilli = wholeWorker
					m.notify(former, s)
				}
				m.run(500 * time.Millisecond)
			}
			s := m.record("00000000000000a1", 20*time.Second)
			s.Job.Steps[0].Size.CPUMilli = wholeWorker
			m.notify(former, s)
			m.run(time.Second)
			former.store, former.isPolled = c.store, c.isPolled
			delete(former.delays, "w2")
			delete(successor.delays, "w1")
			if c.peerLag > 0 {
				m.startSuccessor(successor)
				m.run(c.peerLag)
				former.isPolled = false
			}
			m.run(25 * time.Second)
			m.reportViolations()
		})
	}
}

// TestThawedOwnerRenewsLeases guards against an owner that wakes up after a freeze, takes polls of other
// instances that have waited meanwhile for recent contact, and renews a lease that its successor takes
// for expired.
func TestThawedOwnerRenewsLeases(t *testing.T) {
	for _, c := range []struct {
		name     string
		store    storeAccess // after the freeze
		isPolled bool        // a poll has waited during the freeze
	}{
		{"store reachable", storeReachable, true},
		{"store refuses", storeRefused, true},
		{"store silent", storeSilent, true},
		{"no poll has waited", storeReachable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for freeze := 1500 * time.Millisecond; freeze < 6*time.Second && !t.Failed(); freeze += 100 * time.Millisecond {
				m := newTakeoverModel(t, "w1", "w2")
				former := m.join("e1")
				m.startOwner(former)
				successor := m.join("e2")
				former.isPolled = true
				m.run(time.Second)
				m.notify(former, m.record("00000000000000a1", 20*time.Second))
				m.run(time.Second)
				delete(successor.delays, "w1")
				former.frozenUntil, former.store, former.isPolled = m.now.Add(freeze), c.store, c.isPolled
				m.log("%s e1 is frozen for %s", m.at(), freeze)
				m.run(15 * time.Second)
				m.reportViolations()
			}
		})
	}
}
