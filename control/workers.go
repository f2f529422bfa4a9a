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
	for _, ws := range w.workers {
		if ws.partition == name {
			w.resetWorker(ws)
		}
	}
}

func (w *owner) resetWorker(ws *workerState) {
	ws.reconciled, ws.syncing, ws.sequence = false, false, 0
	ws.syncAt = w.now
	ws.pendingAcks = nil
	ws.leaseEnd = w.now.Add(w.cfg.withClockError(w.cfg.TaskLease))
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
		delete(w.attempts, id)
		delete(w.pendingReports, id)
	}
	w.allowances.RemovePartition(name)
	for _, ws := range w.workers {
		if ws.partition == name {
			ws.reconciled, ws.awaitingProbe = false, false
			w.cluster.Remove(ws.listed.Name)
			w.monitor.RemoveWorker(ws.listed.Name)
		}
	}
}

// applyWorkerList applies the workers of the platform's instance list.
func (w *owner) applyWorkerList(list []ListedWorker) {
	for _, listed := range list {
		ws, known := w.workers[listed.Name]
		if !known {
			ws = &workerState{}
			w.workers[listed.Name] = ws
		}
		wasLeaving := ws.isLeaving()
		ws.listed = listed
		ws.partition = PartitionOf(listed.Region, listed.Rack, w.cfg.PartitionsPerRegion)
		if !known {
			w.resetWorker(ws)
		}
		w.observeLeaving(ws, wasLeaving)
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
	if ws, ok := w.workers[name]; ok {
		w.updateNode(ws)
	}
}

// isLeaving reports whether the worker is leaving according to the platform's list or its own
// report. Both can be revoked, because names are reused.
func (ws *workerState) isLeaving() bool { return ws.listed.Leaving || ws.leaving }

// observeLeaving excludes a worker that has begun to leave from new tasks, or readmits one that no
// longer leaves. Tasks that are already on the worker continue.
func (w *owner) observeLeaving(ws *workerState, wasLeaving bool) {
	if ws.isLeaving() == wasLeaving {
		return
	}
	if ws.isLeaving() {
		w.recordEvent(timeline.Event{Type: timeline.WorkerLeaving, Worker: ws.listed.Name, Partition: ws.partition})
	}
	w.updateNode(ws)
}

// updateNode updates the placement node of a worker that has reported, including whether the worker
// may get new tasks.
func (w *owner) updateNode(ws *workerState) {
	if ws.clockAt.IsZero() {
		return
	}
	listed := ws.listed
	w.cluster.Upsert(placement.Node{
		Name: listed.Name, Rack: listed.Rack, FailureDomain: listed.FailureDomain, Region: listed.Region,
		Partition: ws.partition, Capacity: ws.capacity,
		Schedulable: w.isUsable(ws),
	})
}

// isUsable reports whether a worker may get new tasks.
func (w *owner) isUsable(ws *workerState) bool {
	return ws.reconciled && !ws.isLeaving() && !w.drainedWorkers[ws.listed.Name] && !ws.listed.Gone && ws.failedSyncs < maxFailedSyncs &&
		(ws.awaitingProbe || !w.monitor.IsQuarantined(ws.listed.Name))
}

// maxFailedSyncs is the number of consecutive failed syncs after which a worker gets no new tasks.
const maxFailedSyncs = 2

// syncWhenDue starts a sync with a worker of an owned partition if one is due.
func (w *owner) syncWhenDue(ws *workerState) {
	part, owned := w.partitions[ws.partition]
	if !owned || ws.syncing || ws.listed.Gone || w.now.Before(ws.syncAt) {
		return
	}
	if _, holds := w.holds(ws.partition); !holds {
		return
	}
	ws.syncing = true
	sync := SyncWorker{
		Worker: ws.listed.Name, Address: ws.listed.Address, Partition: ws.partition, Epoch: part.epoch,
		After: ws.sequence, Full: !ws.reconciled || ws.sequence == 0,
		Acknowledge: slices.Clone(ws.pendingAcks[:min(len(ws.pendingAcks), maxAcksPerSync)]),
	}
	if !ws.clockAt.IsZero() {
		sync.BootID, sync.LeaseUntil = ws.bootID, ws.clock+w.cfg.TaskLease
	}
	w.emit(sync)
}

// maxAcksPerSync limits the acknowledgements in one sync: a burst of cancellations can end many
// tasks at once.
const maxAcksPerSync = 500

// syncDone applies the result of a sync with a worker.
func (w *owner) syncDone(e SyncDone) {
	ws, ok := w.workers[e.Sync.Worker]
	part, owned := w.partitions[e.Sync.Partition]
	if !ok || !owned || part.epoch != e.Sync.Epoch || !ws.syncing {
		return
	}
	ws.syncing = false
	ws.syncAt = w.now.Add(w.cfg.SyncInterval)
	if e.Err != nil {
		ws.failedSyncs++
		if ws.failedSyncs == maxFailedSyncs {
			w.updateNode(ws)
		}
		return
	}
	ws.failedSyncs = 0
	w.removeAcks(ws, e.Sync.Acknowledge)
	if ws.bootID != "" && ws.bootID != e.Reply.BootID {
		w.workerRebooted(ws)
	}
	w.applyReport(ws, part, e)
}

func (w *owner) removeAcks(ws *workerState, done []task.Attempt) {
	ws.pendingAcks = slices.DeleteFunc(ws.pendingAcks, func(a task.Attempt) bool { return slices.Contains(done, a) })
}

func (w *owner) applyReport(ws *workerState, part *partition, e SyncDone) {
	r := e.Reply
	firstReport := ws.clockAt.IsZero()
	ws.bootID, ws.clock, ws.clockAt, ws.sequence = r.BootID, r.Clock, w.now, r.Sequence
	ws.leaseEnd = w.now.Add(w.cfg.withClockError(w.cfg.TaskLease))
	wasLeaving := ws.isLeaving()
	ws.leaving = r.Leaving
	w.observeLeaving(ws, wasLeaving)
	if firstReport {
		ws.syncAt = w.now // leases could not be renewed before, since the worker's clock was unknown
	}
	ws.capacity = r.Capacity
	w.monitor.AddWorker(ws.listed.Name, ws.partition)
	for _, t := range r.Tasks {
		w.applyListedTask(ws, t)
	}
	if r.Full {
		w.endMissing(ws, e)
		if e.SentAt.After(w.previousOwnerStartsExpireAt(part)) && !ws.reconciled {
			ws.reconciled = true
		}
	}
	w.updateNode(ws)
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
func (w *owner) applyListedTask(ws *workerState, r TaskReport) {
	a, known := w.attempts[r.Attempt]
	if !known {
		if _, ended := w.tombstones[r.Attempt]; ended && r.Outcome != nil {
			if !slices.Contains(ws.pendingAcks, r.Attempt) {
				ws.pendingAcks = append(ws.pendingAcks, r.Attempt)
			}
			return
		}
		a = w.adopt(ws, r)
		if a == nil {
			return
		}
	}
	if a.worker != ws.listed.Name {
		return
	}
	w.applyTaskReport(a, r)
}

func (w *owner) adopt(ws *workerState, r TaskReport) *attempt {
	job, index, ok := ledger.ParseTaskID(r.Attempt.Task)
	if !ok {
		return nil
	}
	a := &attempt{id: r.Attempt, job: job, index: index, team: r.Team, class: r.Class, size: r.Size,
		partition: ws.partition, worker: ws.listed.Name, bootID: ws.bootID, stage: stageStarting, startedAt: w.now}
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
func (w *owner) endMissing(ws *workerState, e SyncDone) {
	listed := make(map[task.Attempt]bool, len(e.Reply.Tasks))
	for _, t := range e.Reply.Tasks {
		listed[t.Attempt] = true
	}
	for _, a := range w.attempts {
		if a.worker == ws.listed.Name && a.stage == stageRunning && a.startedAt.Before(e.SentAt) && !listed[a.id] {
			w.attemptLost(a)
		}
	}
}

// workerRebooted ends every attempt that was on a worker before its reboot.
func (w *owner) workerRebooted(ws *workerState) {
	w.recordEvent(timeline.Event{Type: timeline.WorkerLost, Worker: ws.listed.Name, Partition: ws.partition, Detail: "rebooted"})
	ws.pendingAcks = nil
	ws.sequence = 0
	for _, a := range w.attempts {
		if a.worker == ws.listed.Name && isOnWorker(a.stage) {
			w.attemptLost(a)
		}
	}
}

// isOnWorker reports whether an attempt in this stage may exist on its worker.
func isOnWorker(s stage) bool {
	return s == stageStarting || s == stageUnclear || s == stageRunning || s == stageFetchingResult
}

// endExpired ends the attempts on an unresponsive worker whose task leases must all have expired.
func (w *owner) endExpired(ws *workerState) {
	if _, owned := w.partitions[ws.partition]; !owned || !w.now.After(ws.leaseEnd) || ws.failedSyncs == 0 {
		return
	}
	ended := 0
	for _, a := range w.attempts {
		if a.worker == ws.listed.Name && isOnWorker(a.stage) {
			w.attemptLost(a)
			ended++
		}
	}
	if ended > 0 {
		w.recordEvent(timeline.Event{Type: timeline.WorkerLost, Worker: ws.listed.Name, Partition: ws.partition, Detail: "silent"})
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
		for _, ws := range w.workers {
			if ws.partition == name && !ws.reconciled && !ws.listed.Gone && !w.now.After(ws.leaseEnd) {
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
	for _, ws := range w.workers {
		if ws.partition == name && !ws.listed.Gone && !ws.reconciled {
			return false
		}
	}
	return w.hasWorkers(name)
}

func (w *owner) hasWorkers(name string) bool {
	for _, ws := range w.workers {
		if ws.partition == name {
			return true
		}
	}
	return false
}
