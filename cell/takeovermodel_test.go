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
