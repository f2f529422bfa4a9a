package load

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// scheduler decides which waiting job starts where.
type scheduler interface {
	push(now time.Time, j *job) *errkind.Error
	removeKey(now time.Time, team int, key string) []*job
	expire(now time.Time) []*job
	round(now time.Time, started func(*job)) (finds int)
	finished(now time.Time, j *job)
	observeRun(j *job)
}

func newScheduler(cfg Config, teams []team, nodes []placement.Node) scheduler {
	if cfg.Policy == FIFO {
		return newArrivalOrder(teams, nodes)
	}
	return newComposed(cfg, teams, nodes)
}

// pick chooses the team that is to start its next job.
type pick interface {
	// begin starts a round over the teams that have waiting work.
	begin(now time.Time, teams []task.Team)
	// next returns the team to try, and false if every team was dropped.
	next(now time.Time) (task.Team, bool)
	// took notes that the team that next returned started a job; more tells
	// whether it has further work.
	took(now time.Time, j *job, more bool)
	// drop leaves the team that next returned out for the rest of the round.
	drop()
	// finished notes the end of a job.
	finished(now time.Time, j *job)
}

const (
	// backfillDepth is how many entries of a team are tried in a round, so that
	// one that does not fit does not hold up the ones behind it.
	backfillDepth = 4
	// backfillLimit is the wait of the first entry after which nothing passes
	// it, so that large work gets its turn.
	backfillLimit = 5 * time.Minute
)

// composed puts the packages queue and placement together with one way of
// choosing teams.
type composed struct {
	teams   []team
	queues  *queue.Queues
	cluster *placement.Cluster
	pick    pick
	waiting map[task.Attempt]*job
	failed  []placement.Request // what did not fit in this round
	counts  []int
}

func (c *composed) push(now time.Time, j *job) *errkind.Error {
	err := c.queues.Push(now, c.entryOf(j))
	if err == nil {
		c.waiting[j.attempt] = j
	}
	return err
}

func (c *composed) entryOf(j *job) queue.Entry {
	e := queue.Entry{
		Attempt:     j.attempt,
		Team:        c.teams[j.team].name,
		Service:     "load",
		Class:       string(j.shape.kind),
		Kind:        j.shape.kind,
		Urgency:     j.shape.urgency,
		Size:        j.size,
		Count:       j.count,
		DeclaredRun: j.declared,
		KeyID:       j.key,
		EnqueuedAt:  j.arrived,
	}
	if j.shape.deadline > 0 {
		e.Deadline = j.arrived.Add(j.shape.deadline)
	}
	if j.shape.review > 0 {
		e.ReviewBy = j.arrived.Add(j.shape.review)
	}
	return e
}

func (c *composed) removeKey(_ time.Time, team int, key string) []*job {
	return c.takeOut(c.queues.RemoveKey(c.teams[team].name, key))
}

func (c *composed) expire(now time.Time) []*job { return c.takeOut(c.queues.Expired(now)) }

func (c *composed) takeOut(entries []queue.Entry) []*job {
	var jobs []*job
	for i := range entries {
		jobs = append(jobs, c.waiting[entries[i].Attempt])
		delete(c.waiting, entries[i].Attempt)
	}
	return jobs
}

func (c *composed) finished(now time.Time, j *job) {
	for _, a := range j.members {
		c.cluster.Release(a)
	}
	c.pick.finished(now, j)
}

func (c *composed) observeRun(j *job) {
	c.queues.ObserveRun(c.teams[j.team].name, "load", string(j.shape.kind), j.run)
}

// round starts what can start now, one job at a time in the order of the pick.
func (c *composed) round(now time.Time, started func(*job)) (finds int) {
	c.failed, c.counts = c.failed[:0], c.counts[:0]
	c.pick.begin(now, c.queues.Teams())
	for {
		name, ok := c.pick.next(now)
		if !ok {
			return finds
		}
		j := c.startOne(now, name, &finds)
		if j == nil {
			c.pick.drop()
			continue
		}
		started(j)
		c.pick.took(now, j, c.queues.Len(name) > 0)
	}
}

// startOne starts the first entry of a team that fits, or returns nil.
func (c *composed) startOne(now time.Time, name task.Team, finds *int) *job {
	for skip := range backfillDepth {
		e := c.queues.Next(now, name, skip)
		if e == nil {
			return nil
		}
		j := c.waiting[e.Attempt]
		if !c.isHopeless(j) {
			*finds++
			if c.place(j) {
				c.queues.Remove(j.attempt)
				c.queues.ObserveStart(now, name, now.Sub(j.arrived))
				delete(c.waiting, j.attempt)
				return j
			}
			c.failed = append(c.failed, placement.Request{Size: j.size})
			c.counts = append(c.counts, j.count)
		}
		if skip == 0 && now.Sub(j.arrived) > backfillLimit {
			return nil
		}
	}
	return nil
}

// isHopeless reports whether a job needs at least what did not fit before in
// this round, in which nothing is released.
func (c *composed) isHopeless(j *job) bool {
	for i := range c.failed {
		if j.count >= c.counts[i] && c.failed[i].Size.Fits(j.size) {
			return true
		}
	}
	return false
}

// place reserves a node for every member, or none.
func (c *composed) place(j *job) bool {
	req := placement.Request{Size: j.size}
	if j.shape.kind == task.LongLived {
		req.SpreadKey = string(c.teams[j.team].name)
	}
	if j.count == 1 {
		name, ok := c.cluster.Find(req)
		if ok {
			c.hold(j, name, j.attempt, req)
		}
		return ok
	}
	names, ok := c.cluster.FindGang(req, j.count)
	for i, name := range names {
		c.hold(j, name, task.Attempt{Task: j.attempt.Task, Number: uint32(i + 1)}, req)
	}
	return ok
}

func (c *composed) hold(j *job, name string, a task.Attempt, req placement.Request) {
	if !c.cluster.Reserve(name, a, req.Size) {
		panic("load: the chosen node has no room")
	}
	if req.SpreadKey != "" {
		c.cluster.SetSpread(a, req.SpreadKey)
	}
	j.members = append(j.members, a)
}
