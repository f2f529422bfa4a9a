package load

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// scheduler decides which waiting job starts on which worker.
type scheduler interface {
	enqueue(now time.Time, j *job) *errkind.Error
	// removeKey removes and returns the waiting jobs of a team under one key.
	removeKey(now time.Time, team int, key string) []*job
	// expire removes and returns the waiting jobs that are past their deadline.
	expire(now time.Time) []*job
	// runRound starts the jobs that can start, calls onStart for each, and
	// returns the number of placement searches.
	runRound(now time.Time, onStart func(*job)) (searches int)
	// release frees the resources of a job.
	release(now time.Time, j *job)
	// observeRunTime updates the run time estimates with a completed job.
	observeRunTime(j *job)
}

func newScheduler(cfg Config, teams []team, nodes []placement.Node) scheduler {
	if cfg.Policy == FIFO {
		return newFIFOScheduler(teams, nodes)
	}
	return newClusterScheduler(cfg, teams, nodes)
}

// teamSelector chooses the team whose next job is started.
type teamSelector interface {
	// beginRound starts a scheduling round over the teams with waiting jobs.
	beginRound(now time.Time, teams []task.Team)
	// next returns the team whose job is to be started next, and false if no team
	// is left in the round.
	next(now time.Time) (task.Team, bool)
	// jobStarted records that the team returned by next started a job. hasMore
	// reports whether the team has further waiting jobs.
	jobStarted(now time.Time, j *job, hasMore bool)
	// exclude removes the team returned by next from the rest of the round.
	exclude()
	// jobFinished records the end of a job.
	jobFinished(now time.Time, j *job)
}

const (
	// backfillDepth is the number of queue entries of a team that are tried in a
	// round. Backfilling avoids head-of-line blocking by an entry that does not
	// fit.
	backfillDepth = 4
	// backfillMaxWait is the waiting time of the first entry after which the team
	// is no longer backfilled past it, so that large jobs do not starve.
	backfillMaxWait = 5 * time.Minute
)

// clusterScheduler combines the packages queue and placement with a team
// selector.
type clusterScheduler struct {
	teams    []team
	queues   *queue.Queues
	cluster  *placement.Cluster
	selector teamSelector
	waiting  map[task.Attempt]*job
	// rejected and rejectedCounts hold the size and task count of each job that
	// did not fit in the current round.
	rejected       []placement.Request
	rejectedCounts []int
}

func (c *clusterScheduler) enqueue(now time.Time, j *job) *errkind.Error {
	err := c.queues.Push(now, c.queueEntry(j))
	if err == nil {
		c.waiting[j.attempt] = j
	}
	return err
}

func (c *clusterScheduler) queueEntry(j *job) queue.Entry {
	e := queue.Entry{
		Attempt:     j.attempt,
		Team:        c.teams[j.team].name,
		Service:     "load",
		Class:       string(j.profile.kind),
		Kind:        j.profile.kind,
		Urgency:     j.profile.urgency,
		Size:        j.size,
		Count:       j.count,
		DeclaredRun: j.declaredRunTime,
		KeyID:       j.keyID,
		EnqueuedAt:  j.arrived,
	}
	if j.profile.deadline > 0 {
		e.Deadline = j.arrived.Add(j.profile.deadline)
	}
	if j.profile.reviewAfter > 0 {
		e.ReviewBy = j.arrived.Add(j.profile.reviewAfter)
	}
	return e
}

func (c *clusterScheduler) removeKey(_ time.Time, team int, key string) []*job {
	return c.removeJobs(c.queues.RemoveKey(c.teams[team].name, key))
}

func (c *clusterScheduler) expire(now time.Time) []*job {
	return c.removeJobs(c.queues.RemoveExpired(now))
}

func (c *clusterScheduler) removeJobs(entries []queue.Entry) []*job {
	var jobs []*job
	for i := range entries {
		jobs = append(jobs, c.waiting[entries[i].Attempt])
		delete(c.waiting, entries[i].Attempt)
	}
	return jobs
}

func (c *clusterScheduler) release(now time.Time, j *job) {
	for _, a := range j.members {
		c.cluster.Release(a)
	}
	c.selector.jobFinished(now, j)
}

func (c *clusterScheduler) observeRunTime(j *job) {
	c.queues.ObserveRun(c.teams[j.team].name, "load", string(j.profile.kind), j.runTime)
}

// runRound starts the jobs that fit, one at a time in the order of the team
// selector.
func (c *clusterScheduler) runRound(now time.Time, onStart func(*job)) (searches int) {
	c.rejected, c.rejectedCounts = c.rejected[:0], c.rejectedCounts[:0]
	c.selector.beginRound(now, c.queues.Teams())
	for {
		name, ok := c.selector.next(now)
		if !ok {
			return searches
		}
		j := c.startFirstFitting(now, name, &searches)
		if j == nil {
			c.selector.exclude()
			continue
		}
		onStart(j)
		c.selector.jobStarted(now, j, c.queues.Len(name) > 0)
	}
}

// startFirstFitting starts the first job of a team that fits, within the limits
// of backfilling, or returns nil.
func (c *clusterScheduler) startFirstFitting(now time.Time, name task.Team, searches *int) *job {
	for skip := range backfillDepth {
		e := c.queues.EntryAt(now, name, skip)
		if e == nil {
			return nil
		}
		j := c.waiting[e.Attempt]
		if !c.cannotFit(j) {
			*searches++
			if c.place(j) {
				c.queues.Remove(j.attempt)
				c.queues.ObserveStart(now, name, now.Sub(j.arrived))
				delete(c.waiting, j.attempt)
				return j
			}
			c.rejected = append(c.rejected, placement.Request{Size: j.size})
			c.rejectedCounts = append(c.rejectedCounts, j.count)
		}
		if skip == 0 && now.Sub(j.arrived) > backfillMaxWait {
			return nil
		}
	}
	return nil
}

// cannotFit reports whether a job needs at least as much as one that was
// rejected earlier in the round. No resources are released during a round.
func (c *clusterScheduler) cannotFit(j *job) bool {
	for i := range c.rejected {
		if j.count >= c.rejectedCounts[i] && c.rejected[i].Size.Fits(j.size) {
			return true
		}
	}
	return false
}

// place reserves capacity on a worker for every task of a job, or for none of
// them.
func (c *clusterScheduler) place(j *job) bool {
	req := placement.Request{Size: j.size}
	if j.profile.kind == task.LongLived {
		req.SpreadKey = string(c.teams[j.team].name)
	}
	if j.count == 1 {
		name, ok := c.cluster.Find(req)
		if ok {
			c.reserve(j, name, j.attempt, req)
		}
		return ok
	}
	names, ok := c.cluster.FindGang(req, j.count)
	for i, name := range names {
		c.reserve(j, name, task.Attempt{Task: j.attempt.Task, Number: uint32(i + 1)}, req)
	}
	return ok
}

func (c *clusterScheduler) reserve(j *job, name string, attempt task.Attempt, req placement.Request) {
	if !c.cluster.Reserve(name, attempt, req.Size) {
		panic("load: the selected node does not have enough free resources")
	}
	if req.SpreadKey != "" {
		c.cluster.SetSpread(attempt, req.SpreadKey)
	}
	j.members = append(j.members, attempt)
}
