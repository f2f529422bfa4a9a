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

// gain starts owning a partition. None of its workers is used before it has
// reported everything it runs.
func (w *owner) gain(name string, epoch uint64, revision int64) {
	w.lose(name)
	w.partitions[name] = &partition{epoch: epoch, gainedAt: w.now}
	w.allow.Own(name, revision)
	for _, ws := range w.workers {
		if ws.partition == name {
			w.resetWorker(ws)
		}
	}
}

func (w *owner) resetWorker(ws *workerState) {
	ws.rebuilt, ws.syncing, ws.sequence = false, false, 0
	ws.syncAt = w.now
	ws.acks = nil
	ws.leaseEnd = w.now.Add(w.cfg.atLeast(w.cfg.TaskLease))
}

// lose stops owning a partition and forgets its attempts.
func (w *owner) lose(name string) {
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
			w.shares.Finish(w.now, a.team, size)
		}
		delete(w.attempts, id)
		delete(w.outgoing, id)
	}
	w.allow.Disown(name)
	for _, ws := range w.workers {
		if ws.partition == name {
			ws.rebuilt, ws.probing = false, false
			w.cluster.Remove(ws.listed.Name)
			w.monitor.RemoveWorker(ws.listed.Name)
		}
	}
}

// listWorkers takes over the platform's list of workers.
func (w *owner) listWorkers(list []ListedWorker) {
	for _, l := range list {
		ws, known := w.workers[l.Name]
		if !known {
			ws = &workerState{}
			w.workers[l.Name] = ws
		}
		wasLeaving := ws.isLeaving()
		ws.listed = l
		ws.partition = PartitionOf(l.Region, l.Rack, w.cfg.PartitionsPerRegion)
		if !known {
			w.resetWorker(ws)
		}
		w.observeLeaving(ws, wasLeaving)
	}
}

// setDrained follows an operator's order to drain a worker, or the end of it.
func (w *owner) setDrained(name string, drained bool) {
	if drained {
		w.drained[name] = true
		w.event(timeline.Event{Type: timeline.WorkerLeaving, Worker: name, Detail: "drained by an operator"})
	} else {
		delete(w.drained, name)
	}
	if ws, ok := w.workers[name]; ok {
		w.setSchedulable(ws)
	}
}

// isLeaving reports whether the platform's list or the worker itself says that it
// leaves. Both can take it back, since names are used again.
func (ws *workerState) isLeaving() bool { return ws.listed.Leaving || ws.leaving }

// observeLeaving keeps new tasks away from a worker that leaves. Its tasks finish.
func (w *owner) observeLeaving(ws *workerState, wasLeaving bool) {
	if ws.isLeaving() == wasLeaving {
		return
	}
	if ws.isLeaving() {
		w.event(timeline.Event{Type: timeline.WorkerLeaving, Worker: ws.listed.Name, Partition: ws.partition})
	}
	w.setSchedulable(ws)
}

// setSchedulable tells the cluster whether a worker may get new tasks.
func (w *owner) setSchedulable(ws *workerState) {
	if ws.clockAt.IsZero() {
		return
	}
	l := ws.listed
	w.cluster.Upsert(placement.Node{
		Name: l.Name, Rack: l.Rack, FailureDomain: l.FailureDomain, Region: l.Region,
		Partition: ws.partition, Capacity: ws.capacity,
		Schedulable: w.isUsable(ws),
	})
}

// isUsable reports whether a worker may get new tasks.
func (w *owner) isUsable(ws *workerState) bool {
	return ws.rebuilt && !ws.isLeaving() && !w.drained[ws.listed.Name] && !ws.listed.Gone && ws.failures < silentReports &&
		(ws.probing || !w.monitor.IsQuarantined(ws.listed.Name))
}

// silentReports is how many reports in a row may fail before a worker gets no
// new tasks.
const silentReports = 2

// syncWhenDue asks a worker of an owned partition for its report.
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
		After: ws.sequence, Full: !ws.rebuilt || ws.sequence == 0,
		Acknowledge: slices.Clone(ws.acks[:min(len(ws.acks), maxAcknowledge)]),
	}
	if !ws.clockAt.IsZero() {
		sync.BootID, sync.LeaseUntil = ws.bootID, ws.clock+w.cfg.TaskLease
	}
	w.emit(sync)
}

// maxAcknowledge bounds one report when a wave of cancellations ends many tasks.
const maxAcknowledge = 500

// syncDone applies the report of a worker.
func (w *owner) syncDone(e SyncDone) {
	ws, ok := w.workers[e.Sync.Worker]
	part, owned := w.partitions[e.Sync.Partition]
	if !ok || !owned || part.epoch != e.Sync.Epoch || !ws.syncing {
		return
	}
	ws.syncing = false
	ws.syncAt = w.now.Add(w.cfg.SyncInterval)
	if e.Err != nil {
		ws.failures++
		if ws.failures == silentReports {
			w.setSchedulable(ws)
		}
		return
	}
	ws.failures = 0
	w.acknowledged(ws, e.Sync.Acknowledge)
	if ws.bootID != "" && ws.bootID != e.Reply.BootID {
		w.rebooted(ws)
	}
	w.takeReport(ws, part, e)
}

func (w *owner) acknowledged(ws *workerState, done []task.Attempt) {
	ws.acks = slices.DeleteFunc(ws.acks, func(a task.Attempt) bool { return slices.Contains(done, a) })
}

func (w *owner) takeReport(ws *workerState, part *partition, e SyncDone) {
	r := e.Reply
	firstReport := ws.clockAt.IsZero()
	ws.bootID, ws.clock, ws.clockAt, ws.sequence = r.BootID, r.Clock, w.now, r.Sequence
	ws.leaseEnd = w.now.Add(w.cfg.atLeast(w.cfg.TaskLease))
	wasLeaving := ws.isLeaving()
	ws.leaving = r.Leaving
	w.observeLeaving(ws, wasLeaving)
	if firstReport {
		ws.syncAt = w.now // the leases could not be renewed without a reading of the clock
	}
	ws.capacity = r.Capacity
	w.monitor.AddWorker(ws.listed.Name, ws.partition)
	for _, t := range r.Tasks {
		w.takeTask(ws, t)
	}
	if r.Full {
		w.endMissing(ws, e)
		if e.SentAt.After(w.settledAt(part)) && !ws.rebuilt {
			ws.rebuilt = true
		}
	}
	w.setSchedulable(ws)
}

// settledAt returns when no start of a former owner can be accepted any more. A
// partition that had no owner before has none.
func (w *owner) settledAt(part *partition) time.Time {
	if part.epoch <= 1 {
		return part.gainedAt.Add(-time.Nanosecond)
	}
	return part.gainedAt.Add(w.cfg.atLeast(w.cfg.StartValidity))
}

// takeTask applies one line of a report. An attempt that this owner does not
// know was started by a former one and is adopted.
func (w *owner) takeTask(ws *workerState, r TaskReport) {
	a, known := w.attempts[r.Attempt]
	if !known {
		if _, ended := w.tombstones[r.Attempt]; ended && r.Outcome != nil {
			if !slices.Contains(ws.acks, r.Attempt) {
				ws.acks = append(ws.acks, r.Attempt)
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
	w.apply(a, r)
}

func (w *owner) adopt(ws *workerState, r TaskReport) *attempt {
	job, index, ok := ledger.ParseID(r.Attempt.Task)
	if !ok {
		return nil
	}
	a := &attempt{id: r.Attempt, job: job, index: index, team: r.Team, class: r.Class, size: r.Size,
		partition: ws.partition, worker: ws.listed.Name, bootID: ws.bootID, stage: stageStarting, startedAt: w.now}
	w.attempts[a.id] = a
	if r.Outcome == nil {
		w.cluster.Assume(a.worker, a.id, a.size)
		w.allow.Count(w.now, a.team, a.partition, a.size)
		w.shares.Start(w.now, a.team, a.size)
	}
	return a
}

// endMissing ends the attempts that a full report does not list though they had
// been seen running before the report was asked for.
func (w *owner) endMissing(ws *workerState, e SyncDone) {
	listed := make(map[task.Attempt]bool, len(e.Reply.Tasks))
	for _, t := range e.Reply.Tasks {
		listed[t.Attempt] = true
	}
	for _, a := range w.attempts {
		if a.worker == ws.listed.Name && a.stage == stageRunning && a.startedAt.Before(e.SentAt) && !listed[a.id] {
			w.lost(a)
		}
	}
}

// rebooted ends everything that ran on a worker before it started anew.
func (w *owner) rebooted(ws *workerState) {
	w.event(timeline.Event{Type: timeline.WorkerLost, Worker: ws.listed.Name, Partition: ws.partition, Detail: "rebooted"})
	ws.acks = nil
	ws.sequence = 0
	for _, a := range w.attempts {
		if a.worker == ws.listed.Name && isOnWorker(a.stage) {
			w.lost(a)
		}
	}
}

func isOnWorker(s stage) bool {
	return s == stageStarting || s == stageUnclear || s == stageRunning || s == stageFetching
}

// endSilent ends the attempts on a worker that has not reported for so long that
// every lease it could have has ended.
func (w *owner) endSilent(ws *workerState) {
	if _, owned := w.partitions[ws.partition]; !owned || !w.now.After(ws.leaseEnd) || ws.failures == 0 {
		return
	}
	ended := 0
	for _, a := range w.attempts {
		if a.worker == ws.listed.Name && isOnWorker(a.stage) {
			w.lost(a)
			ended++
		}
	}
	if ended > 0 {
		w.event(timeline.Event{Type: timeline.WorkerLost, Worker: ws.listed.Name, Partition: ws.partition, Detail: "silent"})
	}
}

// markReady notes the partitions of which everything that runs is known: each
// worker has reported, or cannot run anything any more.
func (w *owner) markReady() {
	for name, part := range w.partitions {
		if part.ready {
			continue
		}
		ready := w.now.After(w.settledAt(part))
		for _, ws := range w.workers {
			if ws.partition == name && !ws.rebuilt && !ws.listed.Gone && !w.now.After(ws.leaseEnd) {
				ready = false
			}
		}
		if ready && w.hasWorkers(name) {
			part.ready = true
			w.allow.Rebuilt(name)
		}
	}
}

// markSized notes the partitions whose workers have all reported their capacity,
// and refuses what was queued before and is larger than any of them.
func (w *owner) markSized() {
	for name, part := range w.partitions {
		if part.sized || !w.isSized(name) {
			continue
		}
		part.sized = true
		for _, a := range w.attempts {
			if a.partition == name && a.stage == stageQueued && !w.cluster.EverFits(a.size) {
				w.queues.Remove(a.id)
				w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NeverFits)})
			}
		}
	}
}

// isSized reports whether every listed worker of a partition has reported since
// this instance took the partition over. Until then a task that fits none of the
// workers known so far may fit another one.
func (w *owner) isSized(name string) bool {
	for _, ws := range w.workers {
		if ws.partition == name && !ws.listed.Gone && !ws.rebuilt {
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
