package load

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// fifoScheduler is the baseline: one queue in order of arrival, without
// backfilling, and a linear best-fit search over all workers. Admission control
// is limited to the queue limit per team, which the other policies also apply.
type fifoScheduler struct {
	waiting       []*job
	waitingByTeam []int
	freeByNode    []task.Resources
	nodes         []placement.Node
	nodeByAttempt map[task.Attempt]int
}

func newFIFOScheduler(teams []team, nodes []placement.Node) *fifoScheduler {
	f := &fifoScheduler{
		waitingByTeam: make([]int, len(teams)),
		nodes:         nodes,
		nodeByAttempt: map[task.Attempt]int{},
	}
	for i := range nodes {
		f.freeByNode = append(f.freeByNode, nodes[i].Capacity)
	}
	return f
}

func (f *fifoScheduler) enqueue(_ time.Time, j *job) *errkind.Error {
	if f.waitingByTeam[j.team] >= queue.DefaultMaxEntriesPerTeam {
		return errkind.New(errkind.QueueFull, "the queue of the team is full: it holds the limit of %d requests", queue.DefaultMaxEntriesPerTeam)
	}
	f.waitingByTeam[j.team]++
	f.waiting = append(f.waiting, j)
	return nil
}

func (f *fifoScheduler) removeKey(_ time.Time, team int, key string) []*job {
	return f.removeMatching(func(j *job) bool { return j.team == team && j.keyID == key })
}

func (f *fifoScheduler) expire(now time.Time) []*job {
	return f.removeMatching(func(j *job) bool {
		return j.profile.deadline > 0 && now.Sub(j.arrived) > j.profile.deadline
	})
}

func (f *fifoScheduler) removeMatching(match func(*job) bool) []*job {
	var removed []*job
	kept := f.waiting[:0]
	for _, j := range f.waiting {
		if match(j) {
			removed = append(removed, j)
			f.waitingByTeam[j.team]--
		} else {
			kept = append(kept, j)
		}
	}
	clear(f.waiting[len(kept):])
	f.waiting = kept
	return removed
}

func (f *fifoScheduler) runRound(_ time.Time, onStart func(*job)) (searches int) {
	for len(f.waiting) > 0 {
		j := f.waiting[0]
		searches++
		if !f.place(j) {
			return searches
		}
		f.waiting[0] = nil
		f.waiting = f.waiting[1:]
		f.waitingByTeam[j.team]--
		onStart(j)
	}
	return searches
}

func (f *fifoScheduler) place(j *job) bool {
	for i := range j.count {
		node := f.bestFit(&j.size)
		if node < 0 {
			f.release(time.Time{}, j)
			j.members = nil
			return false
		}
		member := task.Attempt{Task: j.attempt.Task, Number: uint32(i + 1)}
		f.freeByNode[node] = f.freeByNode[node].Sub(j.size)
		f.nodeByAttempt[member] = node
		j.members = append(j.members, member)
	}
	return true
}

// bestFit returns the index of the fitting node with the least free resources, or
// -1 if no node fits. Free resources are compared by a weighted sum that is
// normalized to the capacity of a worker.
func (f *fifoScheduler) bestFit(size *task.Resources) int {
	best, bestFree := -1, 0.0
	for i := range f.freeByNode {
		free := &f.freeByNode[i]
		if !size.Fits(*free) {
			continue
		}
		normalizedFree := float64(free.CPUMilli)/32_000 + float64(free.MemoryMB)/131_072 + float64(free.Slots)/8 +
			float64(free.Connections)/64 + 4*float64(free.Accelerators)
		if best < 0 || normalizedFree < bestFree {
			best, bestFree = i, normalizedFree
		}
	}
	return best
}

func (f *fifoScheduler) release(_ time.Time, j *job) {
	for _, member := range j.members {
		node := f.nodeByAttempt[member]
		delete(f.nodeByAttempt, member)
		f.freeByNode[node] = f.freeByNode[node].Add(j.size)
	}
}

func (f *fifoScheduler) observeRunTime(*job) {}
