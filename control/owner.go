package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/fairshare"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// owner is the part of the state that queues attempts and starts them on the workers of the
// partitions that this instance owns.
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
	remoteUsage map[task.Team]task.Resources // resources in use at the other owners

	partitions map[string]*partition
	workers    map[string]*workerState
	attempts   map[task.Attempt]*attempt
	// memory limits the payloads of the attempts.
	memory *holding.Budget[task.Attempt]
	// blocked contains the teams of which none of the first queued tasks could be started. They are
	// skipped until the missing resource may be available again, so that they are not retried on
	// every event.
	blocked           map[task.Team]blockReason
	blockedClearedAt  time.Time
	workersReviewedAt time.Time
	reportsDue        bool // reports to homes have been queued since the last sendReports
	allowancePlanDue  bool // allowance has been refused since the last plan
	draining          bool
	drainedWorkers    map[string]bool            // workers that an operator drains
	tombstones        map[task.Attempt]time.Time // attempts to refuse, with the expiry of each entry
	pendingReports    map[task.Attempt]*pendingReport

	allowanceRefusals uint64 // for the metric
}

// partition is a worker partition that this instance owns.
type partition struct {
	epoch         uint64
	acquiredAt    time.Time
	ready         bool // every task that runs on its workers is known
	capacityKnown bool // every listed worker has reported its capacity since acquiredAt
}

// workerState is the owner's record of one worker.
type workerState struct {
	listed        ListedWorker
	partition     string
	bootID        string
	clock         time.Duration // the worker's clock in its last report
	clockAt       time.Time     // when that report was received; zero before the first one
	sequence      uint64
	capacity      task.Resources
	reconciled    bool      // has sent a full report that was requested after all starts of previous owners had expired
	leaseEnd      time.Time // upper bound of the ends of all task leases granted so far
	syncing       bool      // a sync is in progress
	syncAt        time.Time // when the next sync is due
	failedSyncs   int       // consecutive failed syncs
	leaving       bool      // according to its last report
	awaitingProbe bool      // in quarantine, but may get one task as a probe
	pendingAcks   []task.Attempt
}

// stage is the progress of an attempt at its owner.
type stage uint8

const (
	stageQueued         stage = iota
	stageAwaitingPermit       // until the home has recorded the worker
	stageStarting
	stageUnclear // the worker may have accepted the start; it is being looked up
	stageRunning
	stageFetchingResult // finished; the result is being fetched
	stageEnded          // the outcome is set, but the home has not recorded it yet
)

// attempt is the owner's record of one attempt of a task.
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
	startBy     time.Duration // on the worker's clock
	isProbe     bool          // the attempt is the probe of a worker in quarantine
	queuedAt    time.Time
	startedAt   time.Time
	outcome     task.Outcome // without the result, while that is being fetched
	lookupAt    time.Time    // in stageUnclear: when to look up; in stageAwaitingPermit: when the wait times out
	lookingUp   bool
	stopReason  errkind.Kind // why a stop was ordered; empty if none was ordered
	stopRetryAt time.Time    // when to repeat the stop order
}

// pendingReport is a report that its home has not confirmed.
type pendingReport struct {
	report   AttemptReport
	sendAt   time.Time
	inFlight bool
	isFinal  bool
}

// tombstoneLifetime exceeds the longest possible delay of a call between instances.
const tombstoneLifetime = 10 * time.Minute

// place admits a batch of placements to the queues and refuses the others.
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
	if part.capacityKnown && !w.cluster.FitsOnEmptyNode(p.Spec.Size) {
		return errkind.New(errkind.NeverFits, "no worker of this owner is large enough for %s", p.Spec.Size)
	}
	a := &attempt{placement: p, id: p.Attempt, job: p.Job, index: p.Index, team: p.Spec.Team, class: p.Spec.Class,
		size: p.Spec.Size, partition: p.Partition, queuedAt: w.now}
	if err := w.queues.Push(w.now, w.entryOf(a)); err != nil {
		return err
	}
	if err := w.chargeMemory(a); err != nil {
		w.queues.Remove(a.id)
		return err
	}
	w.attempts[p.Attempt] = a
	delete(w.blocked, a.team)
	w.recordEvent(timeline.Event{Type: timeline.TaskQueued, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Partition: a.partition, Epoch: epoch})
	return nil
}

// attemptMemory is an upper bound of the memory of an attempt without its payload, in bytes.
const attemptMemory = 2000

// chargeMemory charges the memory of a new attempt, or refuses the attempt if there is none. Its home tries
// another partition, or tells the caller that it was not run.
func (w *owner) chargeMemory(a *attempt) *errkind.Error {
	spec := &a.placement.Spec
	from, bytes := holding.Source{Queue: string(spec.Service), Team: string(spec.Team)}, attemptMemory+int64(len(spec.Payload))
	verdict := w.memory.Admit(w.now, a.id, from, bytes)
	if !verdict.Admitted {
		return errkind.New(errkind.Overloaded, "the memory for queued work is exhausted (%s)", verdict.Cause).WithRetryAfter(verdict.RetryAfter)
	}
	w.memory.Hold(w.now, a.id, from, bytes)
	w.memory.Expire(w.now)
	return nil
}

// forget deletes an attempt and returns its memory.
func (w *owner) forget(a *attempt) {
	delete(w.attempts, a.id)
	w.memory.Release(w.now, a.id)
}

// withdraw removes the attempts that are queued or await a permit, and confirms that they have not
// run. Attempts that may be running are stopped, and their outcome is reported later.
func (w *owner) withdraw(token uint64, req WithdrawRequest) {
	var reply WithdrawReply
	for _, id := range req.Attempts {
		a, known := w.attempts[id]
		switch {
		case req.OnlyQueued && (!known || a.stage != stageQueued):
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

// discard deletes an attempt that provably has not run. From now on its placement is refused.
func (w *owner) discard(a *attempt) {
	w.failProbe(a)
	w.forget(a)
	w.tombstones[a.id] = w.now.Add(tombstoneLifetime)
	w.recordEvent(timeline.Event{Type: timeline.TaskNotRun, Team: a.team, Task: a.id.Task, Attempt: a.id.Number, Partition: a.partition})
}

// lookup reports the state of attempts to a home that has no current status of them.
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
	if item.AtMostOnce && item.Worker == "" {
		// The start was never permitted, so no owner can have sent it.
		w.tombstones[item.Attempt] = w.now.Add(tombstoneLifetime)
		return LookupNotRun
	}
	if !part.ready {
		return LookupPending
	}
	w.tombstones[item.Attempt] = w.now.Add(tombstoneLifetime)
	if item.AtMostOnce {
		return w.lookupAtMostOnce(item)
	}
	return LookupEnded
}

// resendReport queues a report that the requesting home may not have received: a home that took over
// the shard has no report that an attempt is running.
func (w *owner) resendReport(a *attempt) {
	if r, ok := w.pendingReports[a.id]; ok {
		r.sendAt = w.now
	} else if a.stage == stageRunning {
		w.reportsDue = true
		w.pendingReports[a.id] = &pendingReport{report: w.reportOf(a, nil), sendAt: w.now}
	}
}

// lookupAtMostOnce returns the state of at-most-once work that was permitted on one worker. Only a
// report from the same boot that does not list the attempt proves that it has not run.
func (w *owner) lookupAtMostOnce(item LookupItem) LookupState {
	worker, ok := w.workers[item.Worker]
	if !ok || worker.bootID != item.BootID {
		return LookupEnded
	}
	if !worker.reconciled {
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
	worker, ok := w.workers[a.worker]
	if !ok {
		return
	}
	a.stopRetryAt = w.now.Add(w.cfg.CallTimeout)
	w.emit(StopTask{Worker: a.worker, Address: worker.listed.Address, Epoch: w.epochOf(a.partition),
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

// release releases the worker capacity and the allowance that are reserved for an attempt.
func (w *owner) release(a *attempt) {
	if _, size, ok := w.cluster.Release(a.id); ok {
		w.allowances.Release(w.now, a.team, a.partition, size)
		w.shares.SubtractUsage(w.now, a.team, size)
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
	a.placement.Spec.Payload = nil
	w.memory.Resize(w.now, a.id, attemptMemory)
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
