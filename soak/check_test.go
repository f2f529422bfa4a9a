package soak

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

// check waits until every accepted job has ended, and compares the responses to callers with the runs
// of the workers. It returns the number of accepted jobs.
func (h *harness) check() int {
	defer h.checkMemory()
	deadline := time.Now().Add(completionTimeout)
	accepted, refused := 0, 0
	for id, record := range h.jobs {
		switch {
		case record.accepted:
			accepted++
			if !record.cancelled {
				h.waitCompleted(id, record, deadline)
			}
		case record.refused:
			refused++
		}
	}
	runs := map[string][]platformtest.RunRecord{}
	all := 0
	for _, on := range h.hosts {
		byWorker := map[string][]platformtest.RunRecord{}
		for _, r := range on.Runs() {
			all++
			runs[r.Task] = append(runs[r.Task], r)
			byWorker[r.Worker] = append(byWorker[r.Worker], r)
			if record := h.jobs[r.Task[:16]]; record == nil || record.refused {
				h.t.Errorf("seed %d: task %s ran, but its job is unknown or was refused", h.seed, r.Task)
			} else if h.isLate(r.StartedAt, record) {
				h.t.Errorf("seed %d: %s was cancelled at %s, but %s", h.seed, r.Task, record.cancelledAt.Format(timeFormat), describe(r))
			}
		}
		for worker, list := range byWorker {
			h.checkCapacity(worker, list)
		}
	}
	for task, taskRuns := range runs {
		h.checkRuns(task, taskRuns)
	}
	h.t.Logf("seed %d: %d jobs accepted, %d refused, %d tasks, %d runs", h.seed, accepted, refused, len(runs), all)
	return accepted
}

func (h *harness) waitCompleted(id string, record *jobRecord, deadline time.Time) {
	for n := 0; ; n++ {
		status := h.call(h.nodes[n%len(h.nodes)], "GET", "/"+record.queue+"/"+id, "")
		if status == statusCompleted {
			return
		}
		if time.Now().After(deadline) {
			h.t.Errorf("seed %d: job %s was accepted but was not seen as completed before the deadline: last status %d", h.seed, id, status)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkRuns checks that no two runs of a task overlap, and that no run starts after a successful one
// whose end was acknowledged.
func (h *harness) checkRuns(task string, runs []platformtest.RunRecord) {
	slices.SortFunc(runs, func(a, b platformtest.RunRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			switch {
			case a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt):
				h.t.Errorf("seed %d: runs of %s overlap: %s and %s", h.seed, task, describe(a), describe(b))
			case a.EndReason == "done" && a.Acknowledged:
				h.t.Errorf("seed %d: %s ran after a successful run: %s and %s", h.seed, task, describe(a), describe(b))
			}
		}
	}
}

const (
	// cancelTimeout is the time after the acknowledgement of a cancellation after which no task of the
	// job may start.
	cancelTimeout = 3 * time.Second
	// wakeTime is the time after a freeze for which an instance may still send orders from before it.
	wakeTime = 4 * time.Second
)

// isLate reports whether a start came too late after the cancellation of its job. Starts after a freeze
// are not judged, since a frozen instance may have sent them.
func (h *harness) isLate(startedAt time.Time, record *jobRecord) bool {
	if record.cancelledAt.IsZero() || startedAt.Sub(record.cancelledAt) <= cancelTimeout {
		return false
	}
	for _, f := range h.frozen {
		if startedAt.After(f.from) && startedAt.Before(f.to.Add(wakeTime)) {
			return false
		}
	}
	return true
}

func describe(r platformtest.RunRecord) string {
	end := "running"
	if !r.EndedAt.IsZero() {
		end = r.EndReason + " at " + r.EndedAt.Format(timeFormat)
	}
	return "run " + strconv.Itoa(r.Run) + " on " + r.Worker + " from " + r.StartedAt.Format(timeFormat) + ", " + end
}

const timeFormat = "15:04:05.000"

// workerCPU is the capacity of a worker in millicores.
const workerCPU = 32_000

// checkCapacity checks that no start brings a worker over its capacity.
func (h *harness) checkCapacity(worker string, runs []platformtest.RunRecord) {
	for _, started := range runs {
		used := int64(0)
		for _, r := range runs {
			if !r.StartedAt.After(started.StartedAt) && (r.EndedAt.IsZero() || r.EndedAt.After(started.StartedAt)) {
				used += h.cpuOf(r.Task)
			}
		}
		if used > workerCPU {
			h.t.Errorf("seed %d: the start of %s brings worker %s to %d millicores", h.seed, started.Task, worker, used)
		}
	}
}

// cpuOf returns the millicores of a task, named JOB.OCCURRENCE.STEP.INDEX.
func (h *harness) cpuOf(task string) int64 {
	parts := strings.Split(task, ".")
	index, err := strconv.Atoi(parts[2])
	if record := h.jobs[parts[0]]; err == nil && record != nil && index < len(record.steps) {
		return record.steps[index].CPU
	}
	return 0
}
