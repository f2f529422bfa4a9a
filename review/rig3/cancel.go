package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds and doses of the case "cancel".
const (
	cancelBound = 3 * time.Second         // cancel_ms
	cutTime     = 5500 * time.Millisecond // for_s of core_cut in the site file
	cancelWatch = 12 * time.Second        // from the cut on
)

// playCancel cuts one instance, which is not the owner, off the store. A client hands a job in there, gets no
// definite answer, and cancels it at another instance, which acknowledges that. No task of the job may start
// later than cancelBound after that.
func playCancel(r *rig, trouble bool) ([]string, error) {
	if err := r.configure(1, 4); err != nil {
		return nil, err
	}
	if err := r.start(6, 4); err != nil {
		return nil, err
	}
	others := r.others(r.owner())
	cut, calm := others[0], others[1]
	begun := time.Now()
	if trouble {
		cut.link.setCut(true)
		r.rec.log("%s is cut off the store", cut.name)
		time.AfterFunc(cutTime, func() {
			cut.link.setCut(false)
			r.rec.log("the cut of %s heals", cut.name)
		})
	}
	time.Sleep(100 * time.Millisecond)
	acked := map[string]time.Time{}
	for n := range 3 {
		id := jobID(n)
		body := submission{Spec: "2s", Steps: []step{{Count: 2, CPU: 2800, MemMB: 1024, EstimateMs: 2000}}}
		if status := r.logged(cut, http.MethodPost, id, body, 3*time.Second); status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			continue // a refusal: the client knows that the job does not run
		}
		// The client doesn't want the job any more. It asks until the cancel is acknowledged.
		for range 4 {
			status := r.logged(calm, http.MethodDelete, id, nil, 3*time.Second)
			if status/100 == 2 || status == http.StatusGone {
				acked[id] = time.Now()
				break
			}
		}
	}
	time.Sleep(time.Until(begun.Add(cancelWatch)))
	var violations []string
	for n := range 3 {
		id := jobID(n)
		for _, run := range r.ledger.ofJob(id) {
			r.rec.log("run %d of %s on %s: from %.3f to %.3f, %s", run.run, run.task, run.worker,
				run.startedAt.Sub(r.rec.start).Seconds(), run.endedAt.Sub(r.rec.start).Seconds(), run.how)
			at, cancelled := acked[id]
			if late := run.startedAt.Sub(at); cancelled && late > cancelBound {
				violations = append(violations, fmt.Sprintf("UNASKED: task %s starts %.1f s after its cancelling was acknowledged, %.1f s are allowed",
					run.task, late.Seconds(), cancelBound.Seconds()))
			}
		}
		status, text, _ := r.call(calm, http.MethodGet, id, nil, 3*time.Second)
		r.rec.log("GET %s at %s: %d %s", id, calm.name, status, text)
	}
	return violations, nil
}
