package control

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// lookAhead is how many waiting tasks of a team are tried at each partition when
// the first ones do not fit. It lets small work pass a large task without a try of
// the whole queue.
const lookAhead = 8

// lack says what the first waiting tasks of a team could not be started for.
type lack uint8

const (
	lackRoom      lack = iota + 1 // on a worker
	lackAllowance                 // of the team's limit
)

// unblockInterval bounds how long a team stays blocked by something that no
// event tells of, such as keys that become fresh again.
const unblockInterval = 200 * time.Millisecond

// unblock has the teams tried again that the end of a task of one team may help:
// that team, and every team that lacked room.
func (w *owner) unblock(team task.Team) {
	delete(w.blocked, team)
	for other, lacks := range w.blocked {
		if lacks == lackRoom {
			delete(w.blocked, other)
		}
	}
}

// waitingTeams returns the teams with waiting tasks that are not blocked.
func (w *owner) waitingTeams() []task.Team {
	if w.now.Sub(w.unblockedAt) >= unblockInterval {
		w.unblockedAt = w.now
		clear(w.blocked)
	}
	return slices.DeleteFunc(w.queues.Teams(), func(t task.Team) bool { return w.blocked[t] != 0 })
}

// schedule starts what can be started, neediest team first, until nothing more
// fits.
func (w *owner) schedule() {
	w.expireQueued()
	teams := w.waitingTeams()
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

// startNext starts the first waiting task of a team that fits. It reports
// whether one was started.
func (w *owner) startNext(team task.Team) bool {
	w.blocked[team] = lackRoom
	tried := make(map[string]int, len(w.partitions))
	full := 0 // partitions at which enough tasks were tried
	for skip := 0; full < len(w.partitions); skip++ {
		entry := w.queues.Next(w.now, team, skip)
		if entry == nil {
			return false
		}
		// Tasks that one partition cannot start do not keep those of the others
		// from being tried: each has its own room and its own allowance.
		if tried[entry.Partition] == lookAhead {
			continue
		}
		tried[entry.Partition]++
		if tried[entry.Partition] == lookAhead {
			full++
		}
		a, ok := w.attempts[entry.Attempt]
		if !ok {
			w.queues.Remove(entry.Attempt)
			delete(w.blocked, team)
			return true
		}
		if a.placement.Gang > 1 {
			if w.startGang(a) {
				delete(w.blocked, team)
				return true
			}
			continue
		}
		if worker, found := w.find(a); found && w.reserve(a, worker) {
			w.begin(a)
			delete(w.blocked, team)
			return true
		}
	}
	return false
}

// acquire takes allowance for tasks that have room on workers.
func (w *owner) acquire(a *attempt, size task.Resources) bool {
	if w.allow.Acquire(w.now, a.team, a.partition, size) {
		return true
	}
	w.refusedAllowance++
	w.lacksAllowance = true
	w.blocked[a.team] = lackAllowance
	return false
}

func (w *owner) request(a *attempt) placement.Request {
	req := placement.Request{Size: a.size, Partition: a.partition}
	if !a.placement.Spec.Kind.MayRepeat() {
		req.Avoid = w.probing()
	}
	if a.placement.Spec.Kind == task.LongLived {
		req.SpreadKey = string(a.team) + "/" + string(a.placement.Spec.Service)
	}
	return req
}

// find returns a worker on which an attempt may be started now.
func (w *owner) find(a *attempt) (string, bool) {
	if !w.mayStart(a.partition) || !w.isKeyGood(a) {
		return "", false
	}
	return w.cluster.Find(w.request(a))
}

// mayStart reports whether this instance holds a partition. Workers that have
// not reported are out of service, and the allowance counts as used until all
// have, so that starts need not wait for the slowest worker.
func (w *owner) mayStart(name string) bool {
	part, ok := w.partitions[name]
	if !ok {
		return false
	}
	epoch, holds := w.holds(name)
	return holds && epoch == part.epoch
}

// isKeyGood reports whether an attempt may start under its key. While this
// instance cannot tell whether the key was withdrawn, the attempt waits.
func (w *owner) isKeyGood(a *attempt) bool {
	key := KeyName{a.team, a.placement.Spec.KeyID}
	return key.ID == "" || w.keys.fresh() && !w.keys.withdrawn(key)
}

// reserve takes allowance, and with it room on a worker, for an attempt.
func (w *owner) reserve(a *attempt, worker string) bool {
	if !w.acquire(a, a.size) {
		return false
	}
	if !w.hold(a, worker) {
		w.allow.Return(w.now, a.team, a.partition, a.size)
		return false
	}
	return true
}

// hold reserves room on a worker for an attempt whose allowance is taken.
func (w *owner) hold(a *attempt, worker string) bool {
	if !w.cluster.Reserve(worker, a.id, a.size) {
		return false
	}
	a.worker = worker
	w.probeWith(a)
	w.shares.Start(w.now, a.team, a.size)
	w.cluster.SetSpread(a.id, w.request(a).SpreadKey)
	w.event(timeline.Event{Type: timeline.TaskReserved, Team: a.team, Task: a.id.Task, Attempt: a.id.Number,
		Worker: worker, Partition: a.partition, Epoch: w.epochOf(a.partition), Size: &a.size})
	return true
}

// begin takes an attempt with a reservation out of its queue and starts it, or
// asks its home for the permit first if it may not be repeated.
func (w *owner) begin(a *attempt) {
	w.queues.Remove(a.id)
	w.queues.ObserveStart(w.now, a.team, a.placement.Age+w.now.Sub(a.queuedAt))
	ws := w.workers[a.worker]
	a.bootID = ws.bootID
	if a.placement.Spec.Kind.MayRepeat() {
		w.start(a, ws)
		return
	}
	a.stage = stagePermit
	a.lookupAt = w.now.Add(w.cfg.CallTimeout * 2)
	w.askPermit(a)
}

func (w *owner) askPermit(a *attempt) {
	home, _, ok := w.routing.ownerOf(ShardOf(a.job, w.cfg.RequestShards))
	if !ok {
		return
	}
	w.emit(Send{To: home, SentAt: w.now, Timeout: w.cfg.CallTimeout,
		Request: PermitRequest{Attempt: a.id, Job: a.job, Index: a.index, Worker: a.worker, BootID: a.bootID}})
}

// permitDone starts at-most-once work whose worker is recorded. Without a clear
// grant nothing is started: the attempt counts as not run.
func (w *owner) permitDone(req PermitRequest, reply PeerReply, err error) {
	a, ok := w.attempts[req.Attempt]
	if !ok || a.stage != stagePermit {
		return
	}
	ws := w.workers[a.worker]
	if err == nil && reply.(PermitReply).Granted && ws != nil && ws.bootID == req.BootID && w.mayStart(a.partition) && w.isKeyGood(a) {
		w.start(a, ws)
		return
	}
	w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.NoOwner)})
	w.schedule()
}

// start sends an attempt to its worker. The validity is counted from the last
// reading of the worker's clock, so that the message can never be accepted
// later than this instance assumes.
func (w *owner) start(a *attempt, ws *workerState) {
	spec := &a.placement.Spec
	a.stage = stageStarting
	a.startedAt = w.now
	a.startBy = ws.clock + w.now.Sub(ws.clockAt) + w.validity(a.partition)
	wait := w.cfg.CallTimeout / 2
	if spec.Kind == task.Answer && !spec.Deadline.IsZero() {
		wait = max(wait, spec.Deadline.Sub(w.now))
	}
	w.emit(StartTask{
		Worker: a.worker, Address: ws.listed.Address, Partition: a.partition, Epoch: w.epochOf(a.partition),
		Attempt: a.id, Job: a.job, Index: a.index, Team: a.team, Class: a.class, Size: a.size,
		Command: spec.Command, Payload: spec.Payload, LongLived: spec.Kind == task.LongLived,
		BootID: ws.bootID, StartBy: a.startBy, LeaseUntil: ws.clock + w.cfg.TaskLease, Wait: wait,
		Waited: a.placement.Age + w.now.Sub(a.queuedAt),
	})
	w.event(timeline.Event{Type: timeline.TaskStartSent, Team: a.team, Task: a.id.Task, Attempt: a.id.Number,
		Worker: a.worker, Partition: a.partition, Epoch: w.epochOf(a.partition), Size: &a.size, KeyID: spec.KeyID})
}

// validity returns how long a start may travel: no longer than the term of its
// partition, after which another owner may act.
func (w *owner) validity(partition string) time.Duration {
	return max(0, min(w.cfg.StartValidity, w.termEnd(partition).Sub(w.now)))
}

// startGang starts every member of a gang whose tasks have all arrived, or none.
func (w *owner) startGang(a *attempt) bool {
	members := w.gangOf(a)
	if len(members) < a.placement.Gang || !w.mayStart(a.partition) || !w.isKeyGood(a) {
		return false
	}
	workers, ok := w.cluster.FindGang(w.request(a), len(members))
	if !ok || !w.acquire(a, a.size.Scale(int64(len(members)))) {
		return false
	}
	for i, m := range members {
		if !w.hold(m, workers[i]) {
			w.releaseGang(members, i)
			return false
		}
	}
	for _, m := range members {
		w.begin(m)
	}
	return true
}

// releaseGang gives back what a gang had taken of which only the first members
// are held.
func (w *owner) releaseGang(members []*attempt, held int) {
	for _, m := range members[:held] {
		w.release(m)
	}
	for _, m := range members[held:] {
		w.allow.Return(w.now, m.team, m.partition, m.size)
	}
}

// gangOf returns the waiting members of the gang of an attempt.
func (w *owner) gangOf(a *attempt) []*attempt {
	var members []*attempt
	for _, m := range w.attempts {
		if m.job == a.job && m.stage == stageQueued && m.partition == a.partition {
			members = append(members, m)
		}
	}
	return members
}

// expireQueued ends the waiting tasks whose deadline has passed.
func (w *owner) expireQueued() {
	for _, entry := range w.queues.Expired(w.now) {
		if a, ok := w.attempts[entry.Attempt]; ok {
			w.end(a, task.Outcome{State: task.NotRun, Reason: string(errkind.DeadlineExceeded)})
		}
	}
}
