package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case "wedge".
const (
	wedgeTasks       = 4000
	wedgeOccurrences = 13
	wedgeInterval    = 500 * time.Millisecond
	wedgeTail        = 100 * time.Second // run time of the last task of each occurrence
	wedgeFailures    = 1                 // failed runs of each task
	wedgeAttempts    = 4                 // maxAttempts
	wedgeTime        = 30 * time.Second  // from the submission to the jobs of others
	otherJobs        = 1000
	idleTime         = 3 * time.Second  // for which a job may have nothing running
	finishTime       = 14 * time.Second // finish_s
)

// playWedge submits a recurring job, each of whose tasks fails once before it succeeds. Then it submits small
// jobs of two steps, which must run. They need a hundredth of the capacity, which is free.
func playWedge(r *rig, trouble bool) ([]string, error) {
	if err := r.configure(1, wedgeAttempts); err != nil {
		return nil, err
	}
	if err := r.start(6, 3); err != nil {
		return nil, err
	}
	spec := fmt.Sprintf("100ms %s", wedgeTail)
	if trouble {
		spec = fmt.Sprintf("100ms(%d) %s", wedgeFailures, wedgeTail)
	}
	recurring := submission{
		Spec: spec, RepeatCount: wedgeOccurrences, FirstMs: time.Now().UnixMilli(), IntervalMs: wedgeInterval.Milliseconds(),
		Steps: []step{
			{Count: wedgeTasks, CPU: 200, MemMB: 16, EstimateMs: 100},
			{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: int(wedgeTail.Milliseconds()), After: []int{0}},
		},
	}
	if status := r.logged(r.instances[0], http.MethodPost, jobID(0), recurring, 3*time.Second); status/100 != 2 {
		return nil, fmt.Errorf("the recurring job is refused with status %d", status)
	}
	for begun := time.Now(); time.Since(begun) < wedgeTime; time.Sleep(5 * time.Second) {
		r.logProgress(jobID(0))
	}
	accepted := map[string]time.Time{}
	small := submission{Spec: "100ms 100ms", Steps: []step{{Count: 2, CPU: 1000, MemMB: 64, EstimateMs: 100}, {Count: 2, CPU: 1000, MemMB: 64, EstimateMs: 100, After: []int{0}}}}
	for n := 1; n <= otherJobs; n++ {
		status, _, _ := r.call(r.instances[n%len(r.instances)], http.MethodPost, jobID(n), small, 3*time.Second)
		if status/100 == 2 {
			accepted[jobID(n)] = time.Now()
			continue
		}
		r.rec.log("POST %s: %d", jobID(n), status)
	}
	r.rec.log("%d small jobs are accepted", len(accepted))
	time.Sleep(finishTime)
	r.logProgress(jobID(0))
	r.logMemory()
	idle, states := 0, map[string]int{}
	for n := 1; n <= otherJobs; n++ {
		id := jobID(n)
		at, isAccepted := accepted[id]
		since, isIdle := r.idleSince(id, at)
		if !isAccepted || !isIdle || time.Since(since) < idleTime {
			continue
		}
		idle++
		_, state, _ := r.call(r.instances[n%len(r.instances)], http.MethodGet, id, nil, 3*time.Second)
		states[state]++
		r.rec.log("%s, accepted at %.3f, has had nothing running since %.3f; GET %s", id, at.Sub(r.rec.start).Seconds(), since.Sub(r.rec.start).Seconds(), state)
	}
	if idle == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d small jobs have had nothing running for %s or more while the turn of a step has come, with most of the capacity free; they are shown as %v", idle, len(accepted), idleTime, states)}, nil
}

// idleSince returns since when an accepted job of two steps has had nothing running, although no task of its second
// step has begun.
func (r *rig) idleSince(id string, accepted time.Time) (since time.Time, isIdle bool) {
	since = accepted
	for _, run := range r.ledger.ofJob(id) {
		if run.endedAt.IsZero() || strings.HasPrefix(run.task, id+".0.1.") {
			return time.Time{}, false
		}
		if run.endedAt.After(since) {
			since = run.endedAt
		}
	}
	return since, true
}

// logProgress records how far a job is.
func (r *rig) logProgress(id string) {
	runs, done := 0, 0
	for _, run := range r.ledger.ofJob(id) {
		runs++
		if run.how == "done" {
			done++
		}
	}
	r.rec.log("%s: %d runs, %d done; its progress record has %d bytes", id, runs, done, len(r.store.Value("mulberrydrum/progress/"+id)))
}
