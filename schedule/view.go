package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
)

// Status is the state of a job that every instance reports to callers.
type Status struct {
	Job   job.ID
	State job.State
	Queue string
	Team  string
}

// View is the part of the owner's state that an instance needs to answer callers: the states of its
// jobs that have changed since its last request, and the limits for accepting submissions. The jobs
// of an instance are those that it has accepted and those whose state it has requested. If every
// instance received every change, the cost would grow with the product of instances and jobs.
type View struct {
	Epoch         int64
	Sequence      uint64 // of the last change
	Full          bool   // Changes holds all jobs of the instance, not only changed ones
	Changes       []Status
	PendingJobs   map[string]int     // number of pending jobs, by queue
	AdmittedShare map[string]float64 // share of a team's submissions to accept; 1 if missing
	Restricted    []Pair             // for submissions of which the owner must be asked
	Allowance     holding.Allowance  // of the memory for accepted jobs
	PollAfter     time.Duration      // delay before the instance's next request
	OwnerTime     time.Duration      // reading of the owner's clock, which the next request returns
}

// subscribers holds the names of the instances that receive the changes of a job; nil if all do, since
// the accepting instance is unknown.
type subscribers []string

func subscribersOf(acceptedBy string) subscribers {
	if acceptedBy == "" {
		return nil
	}
	return subscribers{acceptedBy}
}

func (a subscribers) includes(instance string) bool {
	return a == nil || slices.Contains(a, instance)
}

// publishedStatus is a published status and the instances that receive it.
type publishedStatus struct {
	Status
	subscribers subscribers
}

// The owner answers at most maxViewRequestRate requests for a View per second, and each instance
// sends one every minPollInterval at most. With more instances the states that callers see are
// older, and the owner's time goes to scheduling.
const (
	minPollInterval    = 100 * time.Millisecond
	maxViewRequestRate = 1000 // per second
)

// pollInterval returns the delay between the requests of one instance.
func (c *Core) pollInterval() time.Duration {
	return max(minPollInterval, time.Duration(len(c.proxies))*time.Second/maxViewRequestRate)
}

// Subscribe adds an instance to those that receive the changes of a job.
func (c *Core) Subscribe(id job.ID, instance string) {
	j, open := c.jobs[id]
	if !open || instance == "" || j.subscribers.includes(instance) {
		return
	}
	j.subscribers = append(slices.Clip(j.subscribers), instance)
}

// maxChanges is the minimum number of changes retained for instances that lag behind; at most twice
// as many are retained. At 200 changes per second it covers more than 30 s; an instance that lags by
// more gets a full view.
const maxChanges = 8192

// finalRetention is how long final states stay in the owner's memory. The store retains them for as
// long as callers may request them.
const finalRetention = 30 * time.Second

// publish makes a new state of a job visible to callers.
func (c *Core) publish(j *jobState, state job.State) {
	c.changes = append(c.changes, publishedStatus{Status{Job: j.ID, State: state, Queue: j.Queue, Team: j.Team}, j.subscribers})
	c.sequence++
	if len(c.changes) > 2*maxChanges {
		c.changes = slices.Clone(c.changes[len(c.changes)-maxChanges:])
	}
}

// ViewSince returns the changes for an instance after the given sequence number, or a full view if
// the epoch differs or those changes are no longer retained.
func (c *Core) ViewSince(instance string, epoch int64, since uint64) View {
	v := View{
		Epoch: c.epoch, Sequence: c.sequence, PendingJobs: make(map[string]int),
		PollAfter: c.pollInterval(), Allowance: c.held.AllowanceOf(len(c.proxies)),
	}
	if c.cfg.Forecast {
		v.Restricted = c.restrictedPairs()
	} else {
		v.AdmittedShare = c.admittedShares()
	}
	for queue, n := range c.pendingJobs {
		if n > 0 {
			v.PendingJobs[queue] = n
		}
	}
	oldest := c.sequence - uint64(len(c.changes))
	if epoch == c.epoch && since >= oldest && since <= c.sequence {
		for _, published := range c.changes[since-oldest:] {
			if published.subscribers.includes(instance) {
				v.Changes = append(v.Changes, published.Status)
			}
		}
		return v
	}
	v.Full = true
	for id, j := range c.jobs {
		if !j.subscribers.includes(instance) {
			continue
		}
		v.Changes = append(v.Changes, Status{Job: id, State: j.shownState(), Queue: j.Queue, Team: j.Team})
	}
	for id, f := range c.finals {
		if f.subscribers.includes(instance) {
			v.Changes = append(v.Changes, Status{Job: id, State: f.State, Queue: f.Queue, Team: f.Team})
		}
	}
	slices.SortFunc(v.Changes, func(a, b Status) int { return cmp.Compare(a.Job, b.Job) })
	return v
}

// ObserveInbox records that every job recorded up to a revision of the store was accepted.
func (c *Core) ObserveInbox(revision int64) { c.inboxRevision = revision }

// evictFinals removes final states older than finalRetention, unless the record of the job may still be
// delivered: a job of which nothing is known counts as new.
func (c *Core) evictFinals() {
	for id, f := range c.finals {
		if c.now.Sub(f.recordedAt) > finalRetention && f.revision <= c.inboxRevision {
			delete(c.finals, id)
			c.held.Release(c.now, id)
		}
	}
}
