package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// backfillDepth is the number of queued tasks of a team that are tried at each partition when the
// first ones do not fit. Backfill lets small tasks overtake a large one; the limit avoids a scan of
// the entire queue.
const backfillDepth = 8

// blockReason is the resource that the first queued tasks of a team lack.
type blockReason uint8

const (
	blockedOnCapacity  blockReason = iota + 1 // free capacity on a worker
	blockedOnAllowance                        // allowance of the team
)

// unblockInterval limits how long a team stays blocked if no event unblocks it, for example when
// keys become fresh again.
const unblockInterval = 200 * time.Millisecond

// unblock unblocks the teams that may be able to start tasks after the end of a task of the given
// team: that team, and every team that lacked capacity.
func (w *owner) unblock(team task.Team) {
	delete(w.blocked, team)
	for other, reason := range w.blocked {
		if reason == blockedOnCapacity {
			delete(w.blocked, other)
		}
	}
}

// schedulableTeams returns the teams with queued tasks that are not blocked.
func (w *owner) schedulableTeams() []task.Team {
	if w.now.Sub(w.blockedClearedAt) >= unblockInterval {
		w.blockedClearedAt = w.now
		clear(w.blocked)
	}
	return slices.DeleteFunc(w.queues.Teams(), func(t task.Team) bool { return w.blocked[t] != 0 })
}

// schedule starts queued tasks, in the fair-share order of their teams, until no further task fits.
func (w *owner) schedule() {
	w.expireQueued()
	teams := w.schedulableTeams()
	for len(teams) > 0 {
		w.shares.Order(w.now, teams)
		placed := false
		for i := 0; i < len(teams); {
			if w.startNext(teams[i]) {
				placed = true
				break
			}
			teams = append(teams[:i], teams[i+1:]...)
		}
		if !placed {
			return
		}
	}
}

// startNext starts the first queued task of a team that fits, or the gang of that task. It reports
// whether the queue has changed: a task was started, or an entry without an attempt was removed.
func (w *owner) startNext(team task.Team) bool {
	w.blocked[team] = blockedOnCapacity
	tried := make(map[string]int, len(w.partitions))
	exhausted := 0 // number of partitions at which backfillDepth tasks were tried
	for skip := 0; exhausted < len(w.partitions); skip++ {
		entry := w.queues.EntryAt(w.now, team, skip)
		if entry == nil {
			return false
		}
		// The depth is counted per partition, because each one has its own capacity and allowance:
		// tasks that cannot start at one partition must not block those of the others.
		if tried[entry.Partition] == backfillDepth {
			continue
		}
		tried[entry.Partition]++
		if tried[entry.Partition] == backfillDepth {
			exhausted++
		}
		a, ok := w.attempts[entry.Attempt]
		if !ok {
			w.queues.Remove(entry.Attempt)
			delete(w.blocked, team)
			return true
		}
		if a.placement.GangSize > 1 {
			if w.startGang(a) {
				delete(w.blocked, team)
				return true
			}
			continue
		}
		if worker, found := w.findWorker(a); found && w.reserve(a, worker) {
			w.launch(a)
			delete(w.blocked, team)
			return true
		}
	}
	return false
}

// acquireAllowance acquires allowance for tasks that fit on workers. If the allowance is too small,
// the team is blocked and an allowance plan is requested.
func (w *owner) acquireAllowance(a *attempt, size task.Resources) bool {
	if w.allowances.Acquire(w.now, a.team, a.partition, size) {
		return true
	}
	w.allowanceRefusals++
	w.allowancePlanDue = true
	w.blocked[a.team] = blockedOnAllowance
	return false
}

func (w *owner) placementRequest(a *attempt) placement.Request {
	req := placement.Request{Size: a.size, Partition: a.partition}
	if !a.placement.Spec.Kind.MayRetry() {
		req.ExcludedNodes = w.workersAwaitingProbe()
	}
	if a.placement.Spec.Kind == task.LongLived {
		req.SpreadKey = string(a.team) + "/" + string(a.placement.Spec.Service)
	}
	return req
}

// findWorker returns a worker on which an attempt may be started now.
func (w *owner) findWorker(a *attempt) (string, bool) {
	if !w.holdsPartition(a.partition) || !w.isKeyValid(a) {
		return "", false
	}
	return w.cluster.Find(w.placementRequest(a))
}

// holdsPartition reports whether this instance holds a partition. That is sufficient for starts,
// which need not wait until every worker has reported: workers that have not reported are not
// schedulable, and the entire allowance counts as in use until all have reported.
func (w *owner) holdsPartition(name string) bool {
	part, ok := w.partitions[name]
	if !ok {
		return false
	}
	epoch, holds := w.holds(name)
	return holds && epoch == part.epoch
}

// isKeyValid reports whether an attempt may start under its key. While this instance cannot
// determine whether the key was withdrawn, the attempt stays queued.
func (w *owner) isKeyValid(a *attempt) bool {
	key := KeyRef{a.team, a.placement.Spec.KeyID}
	return key.ID == "" || w.keys.areFresh() && !w.keys.isWithdrawn(key)
}

// reserve acquires allowance and reserves capacity on a worker for an attempt.
func (w *owner) reserve(a *attempt, worker string) bool {
	if !w.acquireAllowance(a, a.size) {
		return false
	}
	if !w.reserveWorker(a, worker) {
		w.allowances.Release(w.now, a.team, a.partition, a.size)
		return false
	}
	return true
}

// reserveWorker reserves capacity on a worker for an attempt whose allowance is acquired.
func (w *owner) reserveWorker(a *attempt, worker string) bool {
	if !w.cluster.Reserve(worker, a.id, a.size) {
		return false
	}
	a.worker = worker
	w.startProbe(a)
	w.shares.AddUsage(w.now, a.team, a.size)
	w.cluster.SetSpread(a.id, w.placementRequest(a).SpreadKey)
	w.recordEvent(timeline.Event{Type: timeline.TaskReserved, Team: a.team, Task: a.id.Task, Attempt: a.id.Number,
		Worker: worker, Partition: a.partition, Epoch: w.epochOf(a.partition), Size: &a.size})
	return true
}

// launch removes an attempt with a reservation from its queue and starts it. For at-most-once work
// a permit is first requested from its home.
func (w *owner) launch(a *attempt) {
	w.queues.Remove(a.id)
	w.queues.ObserveStart(w.now, a.team, a.placement.Age+w.now.Sub(a.queuedAt))
	worker := w.workers[a.worker]
	a.bootID = worker.bootID
	if a.placement.Spec.Kind.MayRetry() {
		w.sendStart(a, worker)
		return
	}
	a.stage = stageAwaitingPermit
	a.lookupAt = w.now.Add(w.cfg.CallTimeout * 2)
	w.requestPermit(a)
}

func (w *owner) requestPermit(a *attempt) {
	home, _, ok := w.routing.ownerOf(shardOf(a.job, w.cfg.RequestShards))
	if !ok {
		return
	}
	w.emit(Send{To: home, SentAt: w.now, Timeout: w.cfg.CallTimeout,
		Request: PermitRequest{Attempt: a.id, Job: a.job, Index: a.index, Worker: a.worker, BootID: a.bootID}})
}

// permitDone starts an attempt of at-most-once work whose permit is granted. Without an explicit
// grant the attempt is not started and is completed as not run.
func (w *owner) permitDone(req PermitRequest, reply PeerReply, err error) {
	a, ok := w.attempts[req.Attempt]
	if !ok || a.stage != stageAwaitingPermit {
		return
	}
	worker := w.workers[a.worker]
	if err == nil && reply.(PermitReply).Granted && worker != nil && worker.bootID == req.BootID && w.holdsPartition(a.partition) && w.isKeyValid(a) {
		w.sendStart(a, worker)
		return
	}
	w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NoOwner)})
	w.schedule()
}

// sendStart sends the start order of an attempt to its worker. The order expires at a time on the
// worker's clock, which is extrapolated from the last report of the worker, so that the order is
// never accepted later than this instance assumes.
func (w *owner) sendStart(a *attempt, worker *workerState) {
	spec := &a.placement.Spec
	a.stage = stageStarting
	a.startedAt = w.now
	a.startBy = worker.clock + w.now.Sub(worker.clockAt) + w.startValidity(a.partition)
	wait := w.cfg.CallTimeout / 2
	if spec.Kind == task.Answer && !spec.Deadline.IsZero() {
		wait = max(wait, spec.Deadline.Sub(w.now))
	}
	w.emit(StartTask{
		Worker: a.worker, Address: worker.listed.Address, Partition: a.partition, Epoch: w.epochOf(a.partition),
		Attempt: a.id, Job: a.job, Index: a.index, Team: a.team, Class: a.class, Size: a.size,
		Command: spec.Command, Payload: spec.Payload, LongLived: spec.Kind == task.LongLived,
		BootID: worker.bootID, StartBy: a.startBy, LeaseUntil: worker.clock + w.cfg.TaskLease, OutcomeWait: wait,
		WaitTime: a.placement.Age + w.now.Sub(a.queuedAt),
	})
	w.recordEvent(timeline.Event{Type: timeline.TaskStartSent, Team: a.team, Task: a.id.Task, Attempt: a.id.Number,
		Worker: a.worker, Partition: a.partition, Epoch: w.epochOf(a.partition), Size: &a.size, KeyID: spec.KeyID})
}

// startValidity returns how long a start order may be in transit. This is limited by the end of the
// term of the partition, after which another instance may own the partition.
func (w *owner) startValidity(partition string) time.Duration {
	return max(0, min(w.cfg.StartValidity, w.termEnd(partition).Sub(w.now)))
}

// startGang starts either all members of a gang or none. It returns false until every member has
// been placed here and all of them fit.
func (w *owner) startGang(a *attempt) bool {
	members := w.gangOf(a)
	if len(members) < a.placement.GangSize || !w.holdsPartition(a.partition) || !w.isKeyValid(a) {
		return false
	}
	workers, ok := w.cluster.FindGang(w.placementRequest(a), len(members))
	if !ok || !w.acquireAllowance(a, a.size.Scale(int64(len(members)))) {
		return false
	}
	for i, m := range members {
		if !w.reserveWorker(m, workers[i]) {
			w.releaseGang(members, i)
			return false
		}
	}
	for _, m := range members {
		w.launch(m)
	}
	return true
}

// releaseGang returns the allowance of all members of a gang and releases the reserved worker
// capacity. reserved is the number of leading members that have a reservation.
func (w *owner) releaseGang(members []*attempt, reserved int) {
	for _, m := range members[:reserved] {
		w.release(m)
	}
	for _, m := range members[reserved:] {
		w.allowances.Release(w.now, m.team, m.partition, m.size)
	}
}

// gangOf returns the queued members of the gang of an attempt.
func (w *owner) gangOf(a *attempt) []*attempt {
	var members []*attempt
	for _, m := range w.attempts {
		if m.job == a.job && m.stage == stageQueued && m.partition == a.partition {
			members = append(members, m)
		}
	}
	return members
}

// expireQueued completes the queued tasks whose deadline has passed as not run.
func (w *owner) expireQueued() {
	for _, entry := range w.queues.RemoveExpired(w.now) {
		if a, ok := w.attempts[entry.Attempt]; ok {
			w.complete(a, task.Outcome{State: task.NotRun, Reason: string(errkind.DeadlineExceeded)})
		}
	}
}
