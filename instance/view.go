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
	viewAge = 1500 * time.Millisecond
	// endedRetention is how long the state of an ended job is answered from memory.
	endedKept = 30 * time.Second
	// sweepInterval is the time between removals of expired ended jobs from memory.
	sweepInterval = 5 * time.Second
)

// ownerView is this instance's cache of the owner's job states, queue lengths and
// admission limits. One goroutine polls the owner and updates it; request goroutines
// read it.
type ownerView struct {
	mu        sync.RWMutex
	epoch     int64
	sequence  uint64
	heardAt   time.Time
	jobs      map[job.ID]seenStatus
	waiting   map[string]int
	share     map[string]float64 // fraction of a team's submissions to admit
	submitted map[string]int     // jobs submitted since the last poll, by team
	sweptAt   time.Time
}

type seenStatus struct {
	schedule.Status
	at time.Time
}

func newOwnerView() *ownerView {
	return &ownerView{jobs: make(map[job.ID]seenStatus), submitted: make(map[string]int)}
}

// merge applies a view that was received from the owner.
func (v *ownerView) take(view *schedule.View, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Full {
		v.dropOpen(now)
	}
	for _, s := range view.Changes {
		if old, known := v.jobs[s.Job]; known && old.State.IsFinal() {
			continue // a final state is recorded and does not change
		}
		v.jobs[s.Job] = seenStatus{Status: s, at: now}
	}
	v.epoch, v.sequence, v.heardAt = view.Epoch, view.Sequence, now
	v.waiting, v.share = view.Waiting, view.Admit
	v.sweep(now)
}

// dropUnfinished removes the jobs that have not ended before a full view is merged: a new
// owner lists every job that is known to it. A job that was accepted within maxViewAge is
// kept, since it may not have reached the owner yet.
func (v *ownerView) dropOpen(now time.Time) {
	for id, s := range v.jobs {
		if !s.State.IsFinal() && now.Sub(s.at) > viewAge {
			delete(v.jobs, id)
		}
	}
}

func (v *ownerView) sweep(now time.Time) {
	if now.Sub(v.sweptAt) < sweepInterval {
		return
	}
	v.sweptAt = now
	for id, s := range v.jobs {
		if s.State.IsFinal() && now.Sub(s.at) > endedKept {
			delete(v.jobs, id)
		}
	}
}

// status returns the last reported state of a job, however old it is. No job ends while
// the owner is unreachable, so the cached state is still the best available, and querying
// an overloaded owner would only delay it further.
func (v *ownerView) status(id job.ID) (schedule.Status, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, known := v.jobs[id]
	return s.Status, known
}

// addAccepted adds a job that this instance has just accepted.
func (v *ownerView) accepted(j *job.Job, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.jobs[j.ID]; !known {
		v.jobs[j.ID] = seenStatus{Status: schedule.Status{Job: j.ID, State: job.Pending, Queue: j.Queue, Team: j.Team}, at: now}
	}
}

func (v *ownerView) waitingIn(queue string, now time.Time) (int, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.waiting[queue], now.Sub(v.heardAt) <= viewAge
}

// admit counts a submission and reports whether it should be admitted.
func (v *ownerView) admit(team string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.submitted[team]++
	share, limited := v.share[team]
	return !limited || now.Sub(v.heardAt) > viewAge || rand.Float64() < share
}

// nextPoll returns the next request to the owner and resets the submission counts.
func (v *ownerView) report(name string) cell.Follow {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := cell.Follow{Instance: name, Epoch: v.epoch, Since: v.sequence, Submitted: v.submitted}
	v.submitted = make(map[string]int)
	return f
}

// followView polls the current owner and updates the view until ctx ends.
func (i *Instance) followView(ctx context.Context) error {
	for ctx.Err() == nil {
		if view := i.askView(ctx); view != nil {
			i.view.take(view, time.Now())
		}
		pause(ctx, i.cfg.Timing.FollowInterval)
	}
	return nil
}

func (i *Instance) askView(ctx context.Context) *schedule.View {
	s := i.loop.Snapshot()
	if !s.OwnerFound {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, i.cfg.Timing.PeerTimeout)
	defer cancel()
	question := i.view.report(i.cfg.Name)
	if s.Owner.Instance == i.cfg.Name {
		reply, err := i.loop.Ask(ctx, question)
		if err != nil {
			return nil // the control goroutine is overloaded; the next poll follows soon
		}
		return reply.View
	}
	view, err := i.peers.FollowOwner(ctx, s.Owner.Address, entry.Peer{Instance: i.cfg.Name, Address: i.cfg.Listen, FailureDomain: i.cfg.FailureDomain}, question)
	if err != nil {
		i.cfg.Journal.Event("owner did not answer", "owner", s.Owner.Instance, "error", err)
	}
	return view
}
