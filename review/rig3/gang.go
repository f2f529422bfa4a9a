package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case "gang".
const (
	gangTasks = 9000
	gangWork  = 2 * time.Second
	gangTime  = 90 * time.Second // from the submission to the last look
)

// playGang submits a gang that takes half of the capacity, on machines whose share of the processor is a quota. It
// must run: nothing else needs the workers, and nothing is disrupted.
func playGang(r *rig, trouble bool) ([]string, error) {
	if err := r.configure(1, 4); err != nil {
		return nil, err
	}
	if err := r.start(6, 3); err != nil {
		return nil, err
	}
	if trouble {
		for _, i := range r.instances {
			defer r.limitProcessor(i)()
		}
	}
	submitted := time.Now()
	body := submission{
		Spec:  fmt.Sprintf("%s*%d", gangWork, gangTasks),
		Steps: []step{{Count: gangTasks, CPU: 10, MemMB: 1, EstimateMs: int(gangWork.Milliseconds()), Gang: true}},
	}
	if status := r.logged(r.instances[0], http.MethodPost, jobID(0), body, 3*time.Second); status/100 != 2 {
		return nil, fmt.Errorf("the gang is refused with status %d", status)
	}
	owners := map[string]bool{}
	state := ""
	for time.Since(submitted) < gangTime && !strings.Contains(state, "completed") {
		time.Sleep(2 * time.Second)
		owners[string(r.store.Value("mulberrydrum/owner"))] = true
		_, state, _ = r.call(r.instances[0], http.MethodGet, jobID(0), nil, 3*time.Second)
		r.rec.log("GET: %s; runs by end: %v; ownership records seen: %d", state, r.countEnds(jobID(0)), len(owners))
	}
	r.logMemory()
	if strings.Contains(state, "completed") {
		return nil, nil
	}
	from, to := r.longestIdle(jobID(0), submitted)
	r.rec.log("not completed %s after its acceptance; nothing of it ran from %.3f to %.3f", gangTime, from.Sub(r.rec.start).Seconds(), to.Sub(r.rec.start).Seconds())
	if to.Sub(from) < idleTime {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: the gang has not run %s after its acceptance, and had nothing running for %.1f s with all of the capacity free", gangTime, to.Sub(from).Seconds())}, nil
}

// countEnds counts the runs of a job by how they have ended.
func (r *rig) countEnds(id string) map[string]int {
	ends := map[string]int{}
	for _, run := range r.ledger.ofJob(id) {
		how := run.how
		if how == "" {
			how = "running"
		}
		ends[how]++
	}
	return ends
}
