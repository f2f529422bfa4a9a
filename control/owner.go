package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/fairshare"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// owner is the part of the state that starts tasks on the workers of its
// partitions.
type owner struct {
	*outbox
	cfg         *Config
	routing     *routing
	cluster     *placement.Cluster
	shares      *fairshare.Shares
	queues      *queue.Queues
	monitor     *quarantine.Monitor
	allow       *allowance.Table
	holds       func(unit string) (epoch uint64, ok bool)
	termEnd     func(unit string) time.Time
	keys        keyChecks
	remoteTeams map[task.Team]task.Resources // used at the other owners

	partitions map[string]*partition
	workers    map[string]*workerState
	attempts   map[task.Attempt]*attempt
	// blocked holds the teams none of whose first waiting tasks could be started,
	// so that they are not tried again with every event. They are tried again when
	// something that they lack may have become available.
	blocked        map[task.Team]lack
	unblockedAt    time.Time
	reviewedAt     time.Time
	reportsDue     bool // news for homes has not been sent
	lacksAllowance bool // an allowance was refused since the last plan
	draining       bool
	drained        map[string]bool            // workers that an operator drains
	tombstones     map[task.Attempt]time.Time // refused for good, until the time given
	outgoing       map[task.Attempt]*outgoingReport

	refusedAllowance uint64 // for the metric
}

// partition is a worker partition that this instance owns.
type partition struct {
	epoch    uint64
	gainedAt time.Time
	ready    bool
	sized    bool // every listed worker has reported its capacity since gainedAt
}

// workerState is what the owner knows of one worker.
type workerState struct {
	listed    ListedWorker
	partition string
	bootID    string
	clock     time.Duration // of the worker at its last report
	clockAt   time.Time     // when that report was received
	sequence  uint64
	capacity  task.Resources
	rebuilt   bool      // a full report came late enough after the owner took over
	leaseEnd  time.Time // no lease granted so far lasts longer
	syncing   bool
	syncAt    time.Time
	failures  int  // reports in a row that failed
	leaving   bool // by its own report
	probing   bool // in quarantine, and open for one task
	acks      []task.Attempt
}

// stage is how far an attempt has come at its owner.
type stage uint8

const (
	stageQueued stage = iota
	stagePermit       // waits for its home to record the worker
	stageStarting
	stageUnclear // the start may have happened: being looked up
	stageRunning
	stageFetching // finished, the result is being read
	stageEnded    // has its outcome, which the home has not recorded yet
)

// attempt is one attempt at this owner.
type attempt struct {
	placement Placement
	id        task.Attempt
	job       ledger.JobKey
	index     int
	team      task.Team
	class     string
	size      task.Resources
	partition string
	stage     stage
	worker    string
	bootID    string
	startBy   time.Duration // in the worker's clock
	isProbe   bool          // of a worker in quarantine
	queuedAt  time.Time
	startedAt time.Time
	outcome   task.Outcome // while its result is being read
	lookupAt  time.Time
	looking   bool
	stopping  errkind.Kind // why a stop was asked for; empty if none was
	stopAt    time.Time    // when to ask again
}

// outgoingReport is news for a home that it has not confirmed.
type outgoingReport struct {
	report AttemptReport
	sendAt time.Time
	sent   bool
	isEnd  bool
}

const tombstoneLifetime = 10 * time.Minute // longer than any call between instances can be delayed

// place admits a batch of tasks to the queues.
func (w *owner) place(token uint64, req PlaceRequest) {
	reply := PlaceReply{Refusals: make([]*errkind.Error, len(req.Placements))}
	for i, p := range req.Placements {
		if err := w.admit(p); err != nil {
			reply.Refusals[i] = err
			w.tombstones[p.Attempt] = w.now.Add(tombstoneLifetime)
		}
	}
	w.reply(token, reply)
	w.schedule()
}

func (w *owner) admit(p Placement) *errkind.Error {
	if _, known := w.attempts[p.Attempt]; known {
		return nil
	}
	if _, refused := w.tombstones[p.Attempt]; refused {
		return errkind.New(errkind.Cancelled, "attempt %s was withdrawn before", p.Attempt)
	}
	if w.draining {
		return errkind.New(errkind.Draining, "this owner is draining")
	}
	part, owned := w.partitions[p.Partition]
	epoch, holds := w.holds(p.Partition)
	if !owned || !holds || epoch != p.Epoch || part.epoch != epoch {
		return errkind.New(errkind.NoOwner, "partition %s is not owned here with epoch %d", p.Partition, p.Epoch)
	}
	if part.sized && !w.cluster.EverFits(p.Spec.Size) {
		return errkind.New(errkind.NeverFits, "no worker of this owner has room for %s", p.Spec.Size)
	}
	a := &attempt{placement: p, id: p.Attempt, job: p.Job, index: p.Index, team: p.Spec.Team, class: p.Spec.Class,
		size: p.Spec.Size, partition: p.Partition, queuedAt: w.now}
	if err := w.queues.Push(w.now, w.entryOf(a)); err != nil {
		return err
	}
	w.attempts[p.Attempt] = a
	delete(w.blocked, a.team)
	w.event(timeline.Event{Type: timeline.TaskQueued, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Partition: a.partition, Epoch: epoch})
	return nil
}

// withdraw takes attempts back. Those that wait are proved not run; those that
// may run are asked to stop, and their end is reported.
func (w *owner) withdraw(token uint64, req WithdrawRequest) {
	var reply WithdrawReply
	for _, id := range req.Attempts {
		a, known := w.attempts[id]
		switch {
		case req.OnlyWaiting && (!known || a.stage != stageQueued):
		case !known:
			w.tombstones[id] = w.now.Add(tombstoneLifetime)
		case a.stage == stageQueued:
			w.queues.Remove(id)
			w.discard(a)
			reply.NotRun = append(reply.NotRun, id)
		case a.stage == stagePermit:
			w.release(a)
			w.discard(a)
			reply.NotRun = append(reply.NotRun, id)
		default:
			w.stop(a, req.Reason)
		}
	}
	w.reply(token, reply)
	w.schedule()
}

// discard forgets an attempt that is proved not run, and refuses it from now on.
func (w *owner) discard(a *attempt) {
	w.endProbe(a)
	delete(w.attempts, a.id)
	w.tombstones[a.id] = w.now.Add(tombstoneLifetime)
	w.event(timeline.Event{Type: timeline.TaskNotRun, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Partition: a.partition})
}

// lookup answers a home that does not know what became of its attempts.
func (w *owner) lookup(token uint64, req LookupRequest) {
	reply := LookupReply{States: make([]LookupState, len(req.Attempts))}
	for i, item := range req.Attempts {
		reply.States[i] = w.lookupOne(req.Partition, item)
	}
	w.reply(token, reply)
}

func (w *owner) lookupOne(name string, item LookupItem) LookupState {
	if a, known := w.attempts[item.Attempt]; known {
		w.reportAgain(a)
		return LookupKnown
	}
	part, owned := w.partitions[name]
	if epoch, holds := w.holds(name); !owned || !holds || part.epoch != epoch {
		return LookupPending
	}
	if item.Once && item.Worker == "" {
		// Never permitted, so no owner can have started it.
		w.tombstones[item.Attempt] = w.now.Add(tombstoneLifetime)
		return LookupNotRun
	}
	if !part.ready {
		return LookupPending
	}
	w.tombstones[item.Attempt] = w.now.Add(tombstoneLifetime)
	if item.Once {
		return w.lookupOnce(item)
	}
	return LookupEnded
}

// reportAgain tells a home that asks what it may have missed: a home that took
// over does not know that an attempt runs.
func (w *owner) reportAgain(a *attempt) {
	if r, ok := w.outgoing[a.id]; ok {
		r.sendAt = w.now
	} else if a.stage == stageRunning {
		w.reportsDue = true
		w.outgoing[a.id] = &outgoingReport{report: w.reportOf(a, nil), sendAt: w.now}
	}
}

// lookupOnce answers for at-most-once work that was permitted on one worker. It
// is proved not run only by a report of the same boot that does not list it.
func (w *owner) lookupOnce(item LookupItem) LookupState {
	ws, ok := w.workers[item.Worker]
	if !ok || ws.bootID != item.BootID {
		return LookupEnded
	}
	if !ws.rebuilt {
		return LookupPending
	}
	return LookupNotRun
}

// stop asks the worker of an attempt to stop it. It is asked again until the
// end is seen.
func (w *owner) stop(a *attempt, reason errkind.Kind) {
	if a.stage == stageFetching || a.stage == stageEnded {
		return
	}
	if a.stopping == "" {
		a.stopping = reason
		w.event(timeline.Event{Type: timeline.TaskStopped, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Kind: string(reason)})
	}
	ws, ok := w.workers[a.worker]
	if !ok {
		return
	}
	a.stopAt = w.now.Add(w.cfg.CallTimeout)
	w.emit(StopTask{Worker: a.worker, Address: ws.listed.Address, Epoch: w.epochOf(a.partition),
		BootID: a.bootID, Attempt: a.id, Reason: reason, RefuseUntil: a.startBy, Checkpoint: a.stopping == errkind.OverLimit})
}

func (w *owner) entryOf(a *attempt) queue.Entry {
	spec := &a.placement.Spec
	return queue.Entry{
		Attempt: a.id, Team: spec.Team, Service: spec.Service, Class: spec.Class, Kind: spec.Kind, Urgency: spec.Urgency,
		Size: spec.Size, DeclaredRun: spec.DeclaredRun, Deadline: spec.Deadline, ReviewBy: spec.ReviewBy,
		KeyID: spec.KeyID, Partition: a.partition, EnqueuedAt: w.now,
	}
}

func (w *owner) epochOf(name string) uint64 {
	if p, ok := w.partitions[name]; ok {
		return p.epoch
	}
	return 0
}

// release gives back what an attempt had reserved.
func (w *owner) release(a *attempt) {
	if _, size, ok := w.cluster.Release(a.id); ok {
		w.allow.Return(w.now, a.team, a.partition, size)
		w.shares.Finish(w.now, a.team, size)
		w.unblock(a.team)
	}
}

// end sets the outcome of an attempt and queues the report to its home.
func (w *owner) end(a *attempt, outcome task.Outcome) {
	if a.stage == stageEnded {
		return
	}
	w.release(a)
	w.endProbe(a)
	a.stage = stageEnded
	outcome.Attempt = a.id
	outcome.Worker = a.worker
	w.reportsDue = true
	w.outgoing[a.id] = &outgoingReport{report: w.reportOf(a, &outcome), sendAt: w.now, isEnd: true}
	if outcome.State == task.Finished && outcome.RunTime > 0 {
		w.queues.ObserveRun(a.team, a.placement.Spec.Service, a.class, outcome.RunTime)
	}
}

func (w *owner) reportOf(a *attempt, outcome *task.Outcome) AttemptReport {
	return AttemptReport{Attempt: a.id, Job: a.job, Index: a.index, Worker: a.worker, Outcome: outcome}
}
