package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waiting"] = waiting }

// waiting fills eleven of twelve workers and hands in a backlog when the twelfth, with trouble, has just lost
// power for good. Then it compares the number of waiting jobs that every instance gives with the jobs that
// have not begun.
func waiting(f *fleet, trouble bool) {
	const workers, backlog = 12, 16
	if !f.deploy(3, workers) {
		return
	}
	fill := &jobInfo{id: "00000000000000a1", spec: "fill", steps: []step{{count: 4 * (workers - 1), cpu: 8000, mem: 1024, lasts: true}}}
	for _, tenant := range f.tenants {
		tenant["cap"] = map[string]int64{"cpu": 0, "memMb": 0, "gpu": 0} // no limit
	}
	f.configure()
	time.Sleep(time.Second)
	if !f.submit("/q1/", "key-red", fill) {
		f.rec.fail("the first job is not accepted")
		return
	}
	time.Sleep(2 * time.Second)
	var empty *worker
	f.w.mu.Lock()
	full := 0
	for _, wk := range f.workers {
		switch len(wk.running) {
		case 0:
			empty = wk
		case 4:
			full++
		}
	}
	f.w.mu.Unlock()
	if empty == nil || full != workers-1 {
		f.rec.fail("%d workers are full, want %d", full, workers-1)
		return
	}
	if trouble {
		empty.losePower()
	}
	var jobs []*jobInfo
	for i := range backlog {
		j := &jobInfo{id: fmt.Sprintf("%016x", 0x1000+i), spec: "backlog", steps: []step{{count: 1, cpu: 2000, mem: 512, duration: 30 * time.Second, how: "done"}}}
		if f.submit("/q2/", "key-blue", j) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) < backlog {
		f.rec.fail("%d jobs are accepted, want %d", len(jobs), backlog)
		return
	}
	time.Sleep(5200 * time.Millisecond)
	f.rec.logf("job %s is shown as %s", jobs[0].id, f.state("/q2/", "key-blue", jobs[0].id))
	for range 8 {
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			status, text := f.call(n, http.MethodGet, "/q2/", "key-blue", nil, 2*time.Second)
			var reply struct {
				Waiting int `json:"waiting"`
			}
			if status != http.StatusOK || json.Unmarshal(text, &reply) != nil {
				f.rec.logf("GET /q2/ at %s: %d", n.name, status)
				continue
			}
			// Counted as the rule says: accepted over visible_ms + 2 s before and not begun.
			notBegun := 0
			f.w.mu.Lock()
			for _, j := range jobs {
				if time.Since(j.accepted) > 5*time.Second && len(f.w.runs[j.id+".0.0.0"]) == 0 {
					notBegun++
				}
			}
			f.w.mu.Unlock()
			f.rec.logf("GET /q2/ at %s: %d waiting; %d accepted over 5 s before have not begun", n.name, reply.Waiting, notBegun)
			if 2*reply.Waiting < notBegun {
				f.rec.breakRule("MIXED", "%s gives %d as waiting, %d jobs have not begun", n.name, reply.Waiting, notBegun)
			}
		}
	}
}
