package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// maxViewAge is the age up to which the owner's view is reported to callers as
	// current; callers may receive counts that are up to two seconds old.
	maxViewAge = 1500 * time.Millisecond
	// endedRetention is how long the state of an ended job is kept in memory.
	endedRetention = 30 * time.Second
	// viewSweepInterval is the time between removals of ended jobs past their retention.
	viewSweepInterval = 5 * time.Second
)

// ownerView is this instance's cache of the owner's queue lengths, admission limits and
// states of jobs: those that it has accepted and those whose state it has requested. One
// goroutine polls the owner and updates it; request goroutines read it.
type ownerView struct {
	mu            sync.RWMutex
	epoch         int64  // of the owner
	sequence      uint64 // of the last change received
	updatedAt     time.Time
	jobs          map[job.ID]cachedStatus
	pendingJobs   map[string]int             // number of pending jobs, by queue
	admittedShare map[string]float64         // fraction of a team's submissions to admit
	restricted    map[schedule.Pair]struct{} // of whose submissions the owner must be asked
	submitted     map[string]int             // number of jobs submitted since the last poll, by team
	pollAfter     time.Duration              // delay that the owner has requested between polls
	ownerTime     time.Duration              // see schedule.View
	sweptAt       time.Time
}

type cachedStatus struct {
	schedule.Status
	updatedAt time.Time
	epoch     int64 // of the owner that has reported the state; 0 if none has
	accepted  bool  // this instance has accepted the job, so that every owner reports its changes
}

func newOwnerView() *ownerView {
	return &ownerView{jobs: make(map[job.ID]cachedStatus), submitted: make(map[string]int)}
}

// merge applies a view that was received from the owner.
func (v *ownerView) merge(view *schedule.View, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Full {
		v.dropUnfinished(now)
	}
	for _, s := range view.Changes {
		if old, found := v.jobs[s.Job]; found && old.State.IsFinal() {
			continue // a final state is recorded and does not change
		}
		v.jobs[s.Job] = cachedStatus{Status: s, updatedAt: now, epoch: view.Epoch, accepted: v.jobs[s.Job].accepted}
	}
	v.epoch, v.sequence, v.updatedAt = view.Epoch, view.Sequence, now
	v.pendingJobs, v.admittedShare, v.pollAfter, v.ownerTime = view.PendingJobs, view.AdmittedShare, view.PollAfter, view.OwnerTime
	v.restricted = make(map[schedule.Pair]struct{}, len(view.Restricted))
	for _, p := range view.Restricted {
		v.restricted[p] = struct{}{}
	}
	v.sweep(now)
}

// dropUnfinished removes the jobs without a final state. It runs before the merge of a full
// view, which lists every job of this instance. A job that this instance has accepted within
// maxViewAge is kept, since it may not have reached the owner yet; status returns it for no
// longer. A new owner reports the other jobs only after their state was requested again.
func (v *ownerView) dropUnfinished(now time.Time) {
	for id, s := range v.jobs {
		if !s.State.IsFinal() && (!s.accepted || now.Sub(s.updatedAt) > maxViewAge) {
			delete(v.jobs, id)
		}
	}
}

// sweep removes ended jobs whose retention period has passed.
func (v *ownerView) sweep(now time.Time) {
	if now.Sub(v.sweptAt) < viewSweepInterval {
		return
	}
	v.sweptAt = now
	for id, s := range v.jobs {
		if s.State.IsFinal() && now.Sub(s.updatedAt) > endedRetention {
			delete(v.jobs, id)
		}
	}
}

// status returns the last state of a job that the current owner has reported, regardless of
// its age. No job ends while the owner is unreachable, so the cached state is still the best
// available, and querying an overloaded owner would only delay it further. A state from before
// the current owner is returned for maxViewAge only: the job may have ended under its
// predecessor, and this owner would never report it.
func (v *ownerView) status(id job.ID, now time.Time) (schedule.Status, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, found := v.jobs[id]
	if found && !s.State.IsFinal() && s.epoch != v.epoch && now.Sub(s.updatedAt) > maxViewAge {
		return schedule.Status{}, false
	}
	return s.Status, found
}

// lastStatus returns the last known state of a job, which may be that of a former owner.
func (v *ownerView) lastStatus(id job.ID) (schedule.Status, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, found := v.jobs[id]
	return s.Status, found
}

// addFinal caches the final state of a job as read from the store.
func (v *ownerView) addFinal(s schedule.Status, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.jobs[s.Job] = cachedStatus{Status: s, updatedAt: now, epoch: v.epoch}
}

// addAccepted adds a job that this instance has accepted.
func (v *ownerView) addAccepted(j *job.Job, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, found := v.jobs[j.ID]; !found {
		v.jobs[j.ID] = cachedStatus{Status: schedule.Status{Job: j.ID, State: job.Pending, Queue: j.Queue, Team: j.Team}, updatedAt: now, accepted: true}
	}
}

// currentEpoch returns the epoch of the owner whose view was last received.
func (v *ownerView) currentEpoch() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.epoch
}

// addQueried adds the state of a job that was requested in the given epoch from the owner, which
// reports its changes from then on. A state that a poll has delivered meanwhile is newer, and a
// newer owner does not know of the request.
func (v *ownerView) addQueried(s schedule.Status, epoch int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, found := v.jobs[s.Job]; !found && v.epoch == epoch {
		v.jobs[s.Job] = cachedStatus{Status: s, updatedAt: now, epoch: epoch}
	}
}

// pollDelay returns the delay before the next poll.
func (v *ownerView) pollDelay(least time.Duration) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return max(least, v.pollAfter)
}

// queueLength returns the number of pending jobs of a queue, and whether the view is recent
// enough to report it.
func (v *ownerView) queueLength(queue string, now time.Time) (int, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.pendingJobs[queue], now.Sub(v.updatedAt) <= maxViewAge
}

// origin returns the epoch of the owner that sent the view, the sequence number of its last change, and its
// age, for a log line.
func (v *ownerView) origin(now time.Time) (epoch int64, sequence uint64, age time.Duration) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.epoch, v.sequence, min(time.Hour, now.Sub(v.updatedAt))
}

// admit counts a submission and reports whether it should be admitted.
func (v *ownerView) admit(team string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.submitted[team]++
	share, limited := v.admittedShare[team]
	return !limited || now.Sub(v.updatedAt) > maxViewAge || rand.Float64() < share
}

// isRestricted reports whether the owner must be asked before a submission is recorded. If the view is
// outdated, the submission is recorded without asking.
func (v *ownerView) isRestricted(p schedule.Pair, now time.Time) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	_, restricted := v.restricted[p]
	return restricted && now.Sub(v.updatedAt) <= maxViewAge
}

// nextRequest returns the next request to the owner and resets the submission counts.
func (v *ownerView) nextRequest(name string) cell.ViewRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	request := cell.ViewRequest{Instance: name, Epoch: v.epoch, Since: v.sequence, Submitted: v.submitted, OwnerTime: v.ownerTime}
	v.submitted = make(map[string]int)
	return request
}

// followView polls the current owner and updates the view until ctx ends.
func (i *Instance) followView(ctx context.Context) error {
	for ctx.Err() == nil {
		confirmed := i.allowance.requested()
		if view := i.requestView(ctx); view != nil {
			i.view.merge(view, time.Now())
			i.allowance.receive(view.Allowance, confirmed, time.Now())
			i.metrics.showAllowance(i.allowance.unusedBytes())
		}
		sleep(ctx, i.view.pollDelay(i.cfg.Timing.ViewPollInterval))
	}
	return nil
}

func (i *Instance) requestView(ctx context.Context) *schedule.View {
	s := i.loop.Snapshot()
	if !s.OwnerFound {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, i.cfg.Timing.OwnerRequestTimeout)
	defer cancel()
	request := i.view.nextRequest(i.cfg.Name)
	request.JobMemory = i.cfg.Schedule.JobMemory
	if s.Owner.Instance == i.cfg.Name {
		reply, err := i.loop.Call(ctx, request)
		if err != nil {
			return nil // the control goroutine is overloaded; the next poll follows soon
		}
		return reply.View
	}
	view, err := i.peers.FollowOwner(ctx, s.Owner.Address, entry.Peer{Instance: i.cfg.Name, Address: i.cfg.Listen, FailureDomain: i.cfg.FailureDomain}, request)
	if err != nil {
		i.cfg.Journal.Event("owner did not answer", "owner", s.Owner.Instance, "error", err)
	}
	return view
}
