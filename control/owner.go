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
	allowances  *allowance.Table
	holds       func(unit string) (epoch uint64, ok bool)
	termEnd     func(unit string) time.Time
	keys        keyChecks
	remoteUsage map[task.Team]task.Resources // used at the other owners

	partitions map[string]*partition
	workers    map[string]*workerState
	attempts   map[task.Attempt]*attempt
	// blocked holds the teams of which none of the first queued tasks could be started, so that
	// they are not retried on every event. A team is retried when what it lacks may have become
	// available.
	blocked           map[task.Team]blockReason
	blockedClearedAt  time.Time
	workersReviewedAt time.Time
	reportsDue        bool // there are unsent reports to homes
	allowancePlanDue  bool // an allowance was refused since the last allowance plan
	draining          bool
	drainedWorkers    map[string]bool            // workers that are drained by an operator
	tombstones        map[task.Attempt]time.Time // attempts to refuse, with the time after which the entry is removed
	pendingReports    map[task.Attempt]*pendingReport

	allowanceRefusals uint64 // for the metric
}

// partition is a worker partition that this instance owns.
type partition struct {
	epoch         uint64
	acquiredAt    time.Time
	ready         bool
	capacityKnown bool // every listed worker has reported its capacity since acquiredAt
}

// workerState is the owner's view of one worker.
type workerState struct {
	listed        ListedWorker
	partition     string
	bootID        string
	clock         time.Duration // of the worker at its last report
	clockAt       time.Time     // when that report was received
	sequence      uint64
	capacity      task.Resources
	reconciled    bool      // a full report was requested after the last start of a former owner had expired
	leaseEnd      time.Time // no lease granted so far lasts longer
	syncing       bool
	syncAt        time.Time
	failedSyncs   int  // consecutive failed syncs
	leaving       bool // according to its own report
	awaitingProbe bool // in quarantine, and open to one task as a probe
	pendingAcks   []task.Attempt
}

// stage is the progress of an attempt at its owner.
type stage uint8

const (
	stageQueued         stage = iota
	stageAwaitingPermit       // waits for its home to record the worker
	stageStarting
	stageUnclear // the worker may have accepted the start; it is being looked up
	stageRunning
	stageFetchingResult // finished, the result is being read
	stageEnded          // has its outcome, which the home has not recorded yet
)

// attempt is one attempt at this owner.
type attempt struct {
	placement   Placement
	id          task.Attempt
	job         ledger.JobKey
	index       int
	team        task.Team
	class       string
	size        task.Resources
	partition   string
	stage       stage
	worker      string
	bootID      string
	startBy     time.Duration // in the worker's clock
	isProbe     bool          // of a worker in quarantine
	queuedAt    time.Time
	startedAt   time.Time
	outcome     task.Outcome // while its result is being read
	lookupAt    time.Time
	lookingUp   bool
	stopReason  errkind.Kind // why a stop was ordered; empty if none was
	stopRetryAt time.Time    // when to repeat the stop order
}

// pendingReport is a report that its home has not confirmed.
type pendingReport struct {
	report   AttemptReport
	sendAt   time.Time
	inFlight bool
	isFinal  bool
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
		return errkind.New(errkind.Cancelled, "attempt %s has already been withdrawn or refused", p.Attempt)
	}
	if w.draining {
		return errkind.New(errkind.Draining, "the owner of partition %s is draining", p.Partition)
	}
	part, owned := w.partitions[p.Partition]
	epoch, holds := w.holds(p.Partition)
	if !owned || !holds || epoch != p.Epoch || part.epoch != epoch {
		return errkind.New(errkind.NoOwner, "this instance does not own partition %s under epoch %d", p.Partition, p.Epoch)
	}
	if part.capacityKnown && !w.cluster.EverFits(p.Spec.Size) {
		return errkind.New(errkind.NeverFits, "no worker of this owner is large enough for %s", p.Spec.Size)
	}
	a := &attempt{placement: p, id: p.Attempt, job: p.Job, index: p.Index, team: p.Spec.Team, class: p.Spec.Class,
		size: p.Spec.Size, partition: p.Partition, queuedAt: w.now}
	if err := w.queues.Push(w.now, w.entryOf(a)); err != nil {
		return err
	}
	w.attempts[p.Attempt] = a
	delete(w.blocked, a.team)
	w.recordEvent(timeline.Event{Type: timeline.TaskQueued, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Partition: a.partition, Epoch: epoch})
	return nil
}

// withdraw removes attempts that are queued or await a permit, which proves that they have not run.
// Attempts that may be running are stopped, and their outcome is reported.
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
		case a.stage == stageAwaitingPermit:
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

// discard drops an attempt that is proved not run, and refuses it from now on.
func (w *owner) discard(a *attempt) {
	w.failProbe(a)
	delete(w.attempts, a.id)
	w.tombstones[a.id] = w.now.Add(tombstoneLifetime)
	w.recordEvent(timeline.Event{Type: timeline.TaskNotRun, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Partition: a.partition})
}

// lookup answers a home that has no current status of its attempts.
func (w *owner) lookup(token uint64, req LookupRequest) {
	reply := LookupReply{States: make([]LookupState, len(req.Attempts))}
	for i, item := range req.Attempts {
		reply.States[i] = w.lookupOne(req.Partition, item)
	}
	w.reply(token, reply)
}

func (w *owner) lookupOne(name string, item LookupItem) LookupState {
	if a, known := w.attempts[item.Attempt]; known {
		w.resendReport(a)
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
		return w.lookupAtMostOnce(item)
	}
	return LookupEnded
}

// resendReport sends a report that the asking home may have missed: a home that took over has not
// been told that an attempt is running.
func (w *owner) resendReport(a *attempt) {
	if r, ok := w.pendingReports[a.id]; ok {
		r.sendAt = w.now
	} else if a.stage == stageRunning {
		w.reportsDue = true
		w.pendingReports[a.id] = &pendingReport{report: w.reportOf(a, nil), sendAt: w.now}
	}
}

// lookupAtMostOnce answers for at-most-once work that was permitted on one worker. Only a report of
// the same boot that does not list the attempt proves that it has not run.
func (w *owner) lookupAtMostOnce(item LookupItem) LookupState {
	ws, ok := w.workers[item.Worker]
	if !ok || ws.bootID != item.BootID {
		return LookupEnded
	}
	if !ws.reconciled {
		return LookupPending
	}
	return LookupNotRun
}

// stop orders the worker of an attempt to stop it. The order is repeated until the attempt is
// reported as ended.
func (w *owner) stop(a *attempt, reason errkind.Kind) {
	if a.stage == stageFetchingResult || a.stage == stageEnded {
		return
	}
	if a.stopReason == "" {
		a.stopReason = reason
		w.recordEvent(timeline.Event{Type: timeline.TaskStopped, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Worker: a.worker, Kind: string(reason)})
	}
	ws, ok := w.workers[a.worker]
	if !ok {
		return
	}
	a.stopRetryAt = w.now.Add(w.cfg.CallTimeout)
	w.emit(StopTask{Worker: a.worker, Address: ws.listed.Address, Epoch: w.epochOf(a.partition),
		BootID: a.bootID, Attempt: a.id, Reason: reason, RefuseUntil: a.startBy, Checkpoint: a.stopReason == errkind.OverLimit})
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

// release returns the worker capacity and the allowance that an attempt has reserved.
func (w *owner) release(a *attempt) {
	if _, size, ok := w.cluster.Release(a.id); ok {
		w.allowances.Return(w.now, a.team, a.partition, size)
		w.shares.Finish(w.now, a.team, size)
		w.unblock(a.team)
	}
}

// complete sets the outcome of an attempt and queues the report to its home.
func (w *owner) complete(a *attempt, outcome task.Outcome) {
	if a.stage == stageEnded {
		return
	}
	w.release(a)
	w.failProbe(a)
	a.stage = stageEnded
	outcome.Attempt = a.id
	outcome.Worker = a.worker
	w.reportsDue = true
	w.pendingReports[a.id] = &pendingReport{report: w.reportOf(a, &outcome), sendAt: w.now, isFinal: true}
	if outcome.State == task.Finished && outcome.RunTime > 0 {
		w.queues.ObserveRun(a.team, a.placement.Spec.Service, a.class, outcome.RunTime)
	}
}

func (w *owner) reportOf(a *attempt, outcome *task.Outcome) AttemptReport {
	return AttemptReport{Attempt: a.id, Job: a.job, Index: a.index, Worker: a.worker, Outcome: outcome}
}
