package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// acquirePartition starts the ownership of a partition. A worker of it gets no tasks before it has
// reported every task that it runs.
func (w *owner) acquirePartition(name string, epoch uint64, revision int64) {
	w.dropPartition(name)
	w.partitions[name] = &partition{epoch: epoch, acquiredAt: w.now}
	w.allowances.AddPartition(name, revision)
	for _, worker := range w.workers {
		if worker.partition == name {
			w.resetWorker(worker)
		}
	}
}

func (w *owner) resetWorker(worker *workerState) {
	worker.reconciled, worker.syncing, worker.sequence = false, false, 0
	worker.syncAt = w.now
	worker.pendingAcks = nil
	worker.leaseEnd = w.now.Add(w.cfg.withClockError(w.cfg.TaskLease))
}

// dropPartition ends the ownership of a partition and drops its attempts.
func (w *owner) dropPartition(name string) {
	if _, owned := w.partitions[name]; !owned {
		return
	}
	delete(w.partitions, name)
	for id, a := range w.attempts {
		if a.partition != name {
			continue
		}
		if a.stage == stageQueued {
			w.queues.Remove(id)
		}
		if _, size, ok := w.cluster.Release(id); ok {
			w.shares.SubtractUsage(w.now, a.team, size)
		}
		w.forget(a)
		delete(w.pendingReports, id)
	}
	w.allowances.RemovePartition(name)
	for _, worker := range w.workers {
		if worker.partition == name {
			worker.reconciled, worker.awaitingProbe = false, false
			w.cluster.Remove(worker.listed.Name)
			w.monitor.RemoveWorker(worker.listed.Name)
		}
	}
}

// applyWorkerList applies the workers of the platform's instance list.
func (w *owner) applyWorkerList(list []ListedWorker) {
	for _, listed := range list {
		worker, known := w.workers[listed.Name]
		if !known {
			worker = &workerState{}
			w.workers[listed.Name] = worker
		}
		wasLeaving := worker.isLeaving()
		worker.listed = listed
		worker.partition = PartitionOf(listed.Region, listed.Rack, w.cfg.PartitionsPerRegion)
		if !known {
			w.resetWorker(worker)
		}
		w.observeLeaving(worker, wasLeaving)
	}
}

// setDrained starts or ends the drain of a worker that an operator ordered.
func (w *owner) setDrained(name string, drained bool) {
	if drained {
		w.drainedWorkers[name] = true
		w.recordEvent(timeline.Event{Type: timeline.WorkerLeaving, Worker: name, Detail: "drained by an operator"})
	} else {
		delete(w.drainedWorkers, name)
	}
	if worker, ok := w.workers[name]; ok {
		w.updateNode(worker)
	}
}

// isLeaving reports whether the worker is leaving according to the platform's list or its own
// report. Both can be revoked, because names are reused.
func (s *workerState) isLeaving() bool { return s.listed.Leaving || s.leaving }

// observeLeaving excludes a worker that has begun to leave from new tasks, or readmits one that no
// longer leaves. Tasks that are already on the worker continue.
func (w *owner) observeLeaving(worker *workerState, wasLeaving bool) {
	if worker.isLeaving() == wasLeaving {
		return
	}
	if worker.isLeaving() {
		w.recordEvent(timeline.Event{Type: timeline.WorkerLeaving, Worker: worker.listed.Name, Partition: worker.partition})
	}
	w.updateNode(worker)
}

// updateNode updates the placement node of a worker that has reported, including whether the worker
// may get new tasks.
func (w *owner) updateNode(worker *workerState) {
	if worker.clockAt.IsZero() {
		return
	}
	listed := worker.listed
	w.cluster.Upsert(placement.Node{
		Name: listed.Name, Rack: listed.Rack, FailureDomain: listed.FailureDomain, Region: listed.Region,
		Partition: worker.partition, Capacity: worker.capacity,
		Schedulable: w.isUsable(worker),
	})
}

// isUsable reports whether a worker may get new tasks.
func (w *owner) isUsable(worker *workerState) bool {
	return worker.reconciled && !worker.isLeaving() && !w.drainedWorkers[worker.listed.Name] && !worker.listed.Gone && worker.failedSyncs < maxFailedSyncs &&
		(worker.awaitingProbe || !w.monitor.IsQuarantined(worker.listed.Name))
}

// maxFailedSyncs is the number of consecutive failed syncs after which a worker gets no new tasks.
const maxFailedSyncs = 2

// syncWhenDue starts a sync with a worker of an owned partition if one is due.
func (w *owner) syncWhenDue(worker *workerState) {
	part, owned := w.partitions[worker.partition]
	if !owned || worker.syncing || worker.listed.Gone || w.now.Before(worker.syncAt) {
		return
	}
	if _, holds := w.holds(worker.partition); !holds {
		return
	}
	worker.syncing = true
	sync := SyncWorker{
		Worker: worker.listed.Name, Address: worker.listed.Address, Partition: worker.partition, Epoch: part.epoch,
		AfterSequence: worker.sequence, Full: !worker.reconciled || worker.sequence == 0,
		Acknowledge: slices.Clone(worker.pendingAcks[:min(len(worker.pendingAcks), maxAcksPerSync)]),
	}
	if !worker.clockAt.IsZero() {
		sync.BootID, sync.LeaseUntil = worker.bootID, worker.clock+w.cfg.TaskLease
	}
	w.emit(sync)
}

// maxAcksPerSync limits the acknowledgements in one sync: a burst of cancellations can end many
// tasks at once.
const maxAcksPerSync = 500

// syncDone applies the result of a sync with a worker.
func (w *owner) syncDone(e SyncDone) {
	worker, ok := w.workers[e.Sync.Worker]
	part, owned := w.partitions[e.Sync.Partition]
	if !ok || !owned || part.epoch != e.Sync.Epoch || !worker.syncing {
		return
	}
	worker.syncing = false
	worker.syncAt = w.now.Add(w.cfg.SyncInterval)
	if e.Err != nil {
		worker.failedSyncs++
		if worker.failedSyncs == maxFailedSyncs {
			w.updateNode(worker)
		}
		return
	}
	worker.failedSyncs = 0
	w.removeAcks(worker, e.Sync.Acknowledge)
	if worker.bootID != "" && worker.bootID != e.Reply.BootID {
		w.workerRebooted(worker)
	}
	w.applyReport(worker, part, e)
}

func (w *owner) removeAcks(worker *workerState, done []task.Attempt) {
	worker.pendingAcks = slices.DeleteFunc(worker.pendingAcks, func(a task.Attempt) bool { return slices.Contains(done, a) })
}

func (w *owner) applyReport(worker *workerState, part *partition, e SyncDone) {
	r := e.Reply
	firstReport := worker.clockAt.IsZero()
	worker.bootID, worker.clock, worker.clockAt, worker.sequence = r.BootID, r.Clock, w.now, r.Sequence
	worker.leaseEnd = w.now.Add(w.cfg.withClockError(w.cfg.TaskLease))
	wasLeaving := worker.isLeaving()
	worker.leaving = r.Leaving
	w.observeLeaving(worker, wasLeaving)
	if firstReport {
		worker.syncAt = w.now // leases could not be renewed before, since the worker's clock was unknown
	}
	worker.capacity = r.Capacity
	w.monitor.AddWorker(worker.listed.Name, worker.partition)
	for _, t := range r.Tasks {
		w.applyListedTask(worker, t)
	}
	if r.Full {
		w.endMissing(worker, e)
		if e.SentAt.After(w.previousOwnerStartsExpireAt(part)) && !worker.reconciled {
			worker.reconciled = true
		}
	}
	w.updateNode(worker)
}

// previousOwnerStartsExpireAt returns the time after which a worker can no longer accept a start
// order of a previous owner. A partition in its first epoch has no previous owner.
func (w *owner) previousOwnerStartsExpireAt(part *partition) time.Time {
	if part.epoch <= 1 {
		return part.acquiredAt.Add(-time.Nanosecond)
	}
	return part.acquiredAt.Add(w.cfg.withClockError(w.cfg.StartValidity))
}

// applyListedTask applies one task of a worker's report. An attempt of which this owner has no
// record was started by a previous one and is adopted. If it has ended and there is a tombstone for
// it, it is only acknowledged.
func (w *owner) applyListedTask(worker *workerState, r TaskReport) {
	a, known := w.attempts[r.Attempt]
	if !known {
		if _, ended := w.tombstones[r.Attempt]; ended && r.Outcome != nil {
			if !slices.Contains(worker.pendingAcks, r.Attempt) {
				worker.pendingAcks = append(worker.pendingAcks, r.Attempt)
			}
			return
		}
		a = w.adopt(worker, r)
		if a == nil {
			return
		}
	}
	if a.worker != worker.listed.Name {
		return
	}
	w.applyTaskReport(a, r)
}

func (w *owner) adopt(worker *workerState, r TaskReport) *attempt {
	job, index, ok := ledger.ParseTaskID(r.Attempt.Task)
	if !ok {
		return nil
	}
	a := &attempt{id: r.Attempt, job: job, index: index, team: r.Team, class: r.Class, size: r.Size,
		partition: worker.partition, worker: worker.listed.Name, bootID: worker.bootID, stage: stageStarting, startedAt: w.now}
	w.attempts[a.id] = a
	if r.Outcome == nil {
		w.cluster.ForceReserve(a.worker, a.id, a.size)
		w.allowances.AddRunning(w.now, a.team, a.partition, a.size)
		w.shares.AddUsage(w.now, a.team, a.size)
	}
	return a
}

// endMissing ends the running attempts that were started before a full report was requested and are
// absent from it.
func (w *owner) endMissing(worker *workerState, e SyncDone) {
	listed := make(map[task.Attempt]bool, len(e.Reply.Tasks))
	for _, t := range e.Reply.Tasks {
		listed[t.Attempt] = true
	}
	for _, a := range w.attempts {
		if a.worker == worker.listed.Name && a.stage == stageRunning && a.startedAt.Before(e.SentAt) && !listed[a.id] {
			w.attemptLost(a)
		}
	}
}

// workerRebooted ends every attempt that was on a worker before its reboot.
func (w *owner) workerRebooted(worker *workerState) {
	w.recordEvent(timeline.Event{Type: timeline.WorkerLost, Worker: worker.listed.Name, Partition: worker.partition, Detail: "rebooted"})
	worker.pendingAcks = nil
	worker.sequence = 0
	for _, a := range w.attempts {
		if a.worker == worker.listed.Name && isOnWorker(a.stage) {
			w.attemptLost(a)
		}
	}
}

// isOnWorker reports whether an attempt in this stage may exist on its worker.
func isOnWorker(s stage) bool {
	return s == stageStarting || s == stageUnclear || s == stageRunning || s == stageFetchingResult
}

// endExpired ends the attempts on an unresponsive worker whose task leases must all have expired.
func (w *owner) endExpired(worker *workerState) {
	if _, owned := w.partitions[worker.partition]; !owned || !w.now.After(worker.leaseEnd) || worker.failedSyncs == 0 {
		return
	}
	ended := 0
	for _, a := range w.attempts {
		if a.worker == worker.listed.Name && isOnWorker(a.stage) {
			w.attemptLost(a)
			ended++
		}
	}
	if ended > 0 {
		w.recordEvent(timeline.Event{Type: timeline.WorkerLost, Worker: worker.listed.Name, Partition: worker.partition, Detail: "silent"})
	}
}

// markReady marks the partitions whose running tasks are all known: the starts of a previous owner
// have expired, and each worker has reported, is gone, or holds only expired task leases.
func (w *owner) markReady() {
	for name, part := range w.partitions {
		if part.ready {
			continue
		}
		ready := w.now.After(w.previousOwnerStartsExpireAt(part))
		for _, worker := range w.workers {
			if worker.partition == name && !worker.reconciled && !worker.listed.Gone && !w.now.After(worker.leaseEnd) {
				ready = false
			}
		}
		if ready && w.hasWorkers(name) {
			part.ready = true
			w.allowances.MarkRebuilt(name)
		}
	}
}

// markCapacityKnown marks the partitions whose workers have all reported their capacity. Tasks that
// were queued before and fit on none of the workers are completed as not run.
func (w *owner) markCapacityKnown() {
	for name, part := range w.partitions {
		if part.capacityKnown || !w.haveAllReported(name) {
			continue
		}
		part.capacityKnown = true
		for _, a := range w.attempts {
			if a.partition == name && a.stage == stageQueued && !w.cluster.FitsOnEmptyNode(a.size) {
				w.queues.Remove(a.id)
				w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NeverFits)})
			}
		}
	}
}

// haveAllReported reports whether every listed worker of a partition has reported since this
// instance acquired the partition. Until then a task that fits on none of the workers that have
// reported may fit on another one.
func (w *owner) haveAllReported(name string) bool {
	for _, worker := range w.workers {
		if worker.partition == name && !worker.listed.Gone && !worker.reconciled {
			return false
		}
	}
	return w.hasWorkers(name)
}

func (w *owner) hasWorkers(name string) bool {
	for _, worker := range w.workers {
		if worker.partition == name {
			return true
		}
	}
	return false
}
