package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case "stall".
const (
	stallJobs     = 120
	stallInterval = 100 * time.Millisecond // between two jobs
	stallKillAt   = 6 * time.Second        // from the first job to the end of the worker and of the owner
	restartDelay  = 500 * time.Millisecond
	calmTime      = 4 * time.Second // before the time for which a job may have nothing running
)

// playStall hands in jobs of two steps. Meanwhile a worker is lost for good, and the owner is killed at the same
// moment and starts again. No job may have nothing running for idleTime, if these and calmTime before are calm.
func playStall(r *rig, trouble bool) ([]string, error) {
	if err := r.configure(1, 4); err != nil {
		return nil, err
	}
	if err := r.start(6, 4); err != nil {
		return nil, err
	}
	fronts := r.others(r.owner())
	begun, calmSince := time.Now(), time.Time{}
	killed := make(chan error, 1)
	if trouble {
		time.AfterFunc(stallKillAt, func() {
			r.rec.log("worker %s is lost for good", r.workers[0].id)
			r.workers[0].crash()
			err := r.kill(r.owner(), restartDelay)
			calmSince = time.Now()
			killed <- err
		})
	}
	body := submission{Spec: "1s 1s", Steps: []step{{Count: 2, CPU: 200, MemMB: 64, EstimateMs: 1000}, {Count: 2, CPU: 200, MemMB: 64, EstimateMs: 1000, After: []int{0}}}}
	accepted := map[string]time.Time{}
	for n := range stallJobs {
		id := jobID(n)
		if status, _, _ := r.call(fronts[n%len(fronts)], http.MethodPost, id, body, 3*time.Second); status/100 == 2 {
			accepted[id] = time.Now()
		} else {
			r.rec.log("POST %s: %d", id, status)
		}
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * stallInterval)))
	}
	if trouble {
		if err := <-killed; err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(begun.Add(stallKillAt + 18*time.Second)))
	var violations []string
	for n := range stallJobs {
		at, found := accepted[jobID(n)]
		if !found {
			continue
		}
		from, to := r.longestIdle(jobID(n), at, r.isOpen(jobID(n)))
		if trouble && from.Before(calmSince.Add(calmTime)) {
			from = calmSince.Add(calmTime) // the time before counts only if it is calm
		}
		if to.Sub(from) >= idleTime {
			violations = append(violations, fmt.Sprintf("LOST: %s, accepted at %.3f, has nothing running from %.3f to %.3f, calm since %.3f",
				jobID(n), at.Sub(r.rec.start).Seconds(), from.Sub(r.rec.start).Seconds(), to.Sub(r.rec.start).Seconds(), calmSince.Sub(r.rec.start).Seconds()))
		}
	}
	return violations, nil
}

// longestIdle returns the longest time for which a job had nothing running after its acceptance, until now if it is
// open and otherwise until its last run.
func (r *rig) longestIdle(id string, accepted time.Time, isOpen bool) (from, to time.Time) {
	now := time.Now()
	idleFrom := accepted
	note := func(until time.Time) {
		if until.Sub(idleFrom) > to.Sub(from) {
			from, to = idleFrom, until
		}
	}
	for _, run := range r.ledger.ofJob(id) { // in the order of their starts
		note(run.startedAt)
		end := run.endedAt
		if end.IsZero() {
			end = now
		}
		if end.After(idleFrom) {
			idleFrom = end
		}
	}
	if isOpen {
		note(now)
	}
	return from, to
}

// isOpen reports whether a task of the second step of a job of two tasks a step has not ended done.
func (r *rig) isOpen(id string) bool {
	done := 0
	for _, run := range r.ledger.ofJob(id) {
		if strings.HasPrefix(run.task, id+".0.1.") && run.how == "done" {
			done++
		}
	}
	return done < 2
}
