package load

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// arrivalOrder is the baseline: one queue in order of arrival and a scan over
// all workers for the best fit. Nothing passes the first job, and nothing is
// refused but by the same bound per team as the other policies have.
type arrivalOrder struct {
	waiting []*job
	perTeam []int
	free    []task.Resources
	nodes   []placement.Node
	placed  map[task.Attempt]int
}

func newArrivalOrder(teams []team, nodes []placement.Node) *arrivalOrder {
	a := &arrivalOrder{
		perTeam: make([]int, len(teams)),
		nodes:   nodes,
		placed:  map[task.Attempt]int{},
	}
	for i := range nodes {
		a.free = append(a.free, nodes[i].Capacity)
	}
	return a
}

func (a *arrivalOrder) push(_ time.Time, j *job) *errkind.Error {
	if a.perTeam[j.team] >= queue.DefaultLimit {
		return errkind.New(errkind.QueueFull, "the queue holds %d requests of the team", queue.DefaultLimit)
	}
	a.perTeam[j.team]++
	a.waiting = append(a.waiting, j)
	return nil
}

func (a *arrivalOrder) removeKey(_ time.Time, team int, key string) []*job {
	return a.takeOut(func(j *job) bool { return j.team == team && j.key == key })
}

func (a *arrivalOrder) expire(now time.Time) []*job {
	return a.takeOut(func(j *job) bool {
		return j.shape.deadline > 0 && now.Sub(j.arrived) > j.shape.deadline
	})
}

func (a *arrivalOrder) takeOut(test func(*job) bool) []*job {
	var removed []*job
	kept := a.waiting[:0]
	for _, j := range a.waiting {
		if test(j) {
			removed = append(removed, j)
			a.perTeam[j.team]--
		} else {
			kept = append(kept, j)
		}
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
	return removed
}

func (a *arrivalOrder) round(_ time.Time, started func(*job)) (finds int) {
	for len(a.waiting) > 0 {
		j := a.waiting[0]
		finds++
		if !a.place(j) {
			return finds
		}
		a.waiting[0] = nil
		a.waiting = a.waiting[1:]
		a.perTeam[j.team]--
		started(j)
	}
	return finds
}

func (a *arrivalOrder) place(j *job) bool {
	for i := range j.count {
		node := a.scan(&j.size)
		if node < 0 {
			a.finished(time.Time{}, j)
			j.members = nil
			return false
		}
		member := task.Attempt{Task: j.attempt.Task, Number: uint32(i + 1)}
		a.free[node] = a.free[node].Sub(j.size)
		a.placed[member] = node
		j.members = append(j.members, member)
	}
	return true
}

// scan returns the node with the least left over, as a part of its capacity.
func (a *arrivalOrder) scan(size *task.Resources) int {
	best, bestLeft := -1, 0.0
	for i := range a.free {
		free := &a.free[i]
		if !size.Fits(*free) {
			continue
		}
		left := float64(free.CPUMilli)/32_000 + float64(free.MemoryMB)/131_072 + float64(free.Slots)/8 +
			float64(free.Connections)/64 + 4*float64(free.Accelerators)
		if best < 0 || left < bestLeft {
			best, bestLeft = i, left
		}
	}
	return best
}

func (a *arrivalOrder) finished(_ time.Time, j *job) {
	for _, member := range j.members {
		node := a.placed[member]
		delete(a.placed, member)
		a.free[node] = a.free[node].Add(j.size)
	}
}

func (a *arrivalOrder) observeRun(*job) {}
