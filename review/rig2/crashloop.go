package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["crashloop"] = crashLoop }

const finish = 14 * time.Second // finish_s

// crashLoop hands in a job whose twelve tasks last and, with trouble, fail by their own fault 0.8 s after each
// start. Before that it hands in eighteen ordinary jobs, and 8 s later a gang of another tenant, for which there is room many times over, and checks that
// the gang begins: 14 s after the end of the traffic nothing of it may wait for 3 s on end.
func crashLoop(f *fleet, trouble bool) {
	if !f.deploy(3, 6) {
		return
	}
	service := &jobInfo{id: "00000000000000a1", spec: "service", steps: []step{{count: 12, cpu: 1000, mem: 512, lasts: true}}}
	if trouble {
		service.steps[0].duration, service.steps[0].how = 800*time.Millisecond, "failed"
	}
	gangJob := &jobInfo{id: "00000000000000b2", spec: "gang", steps: []step{{count: 4, cpu: 2000, mem: 1024, gang: true, duration: time.Second, how: "done"}}}
	// Eighteen ordinary jobs, so that one job in twenty is the one that fails.
	for i := range 18 {
		if !f.submit("/q2/", "key-blue", &jobInfo{id: fmt.Sprintf("%016x", 0x1000+i), spec: "lookup", steps: []step{{count: 2, cpu: 2800, mem: 1024, duration: 640 * time.Millisecond, how: "done"}}}) {
			f.rec.fail("an ordinary job is not accepted")
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !f.submit("/q1/", "key-red", service) {
		f.rec.fail("the job that lasts is not accepted")
		return
	}
	time.Sleep(8 * time.Second)
	if !f.submit("/q2/", "key-blue", gangJob) {
		f.rec.fail("the gang is not accepted")
		return
	}
	end := time.Now()
	for time.Since(end) < finish {
		if state := f.state("/q2/", "key-blue", gangJob.id); state == "completed" {
			f.rec.logf("the gang is shown as completed %.1f s after the end of the traffic", time.Since(end).Seconds())
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	from := time.Now()
	for time.Since(from) < 3*time.Second {
		if f.hasBegun(gangJob.id) {
			f.rec.logf("the gang begins late")
			return
		}
		used := f.usedCPU()
		f.rec.logf("nothing of the gang runs, which needs 8 cores; %.1f of 192 cores are in use", float64(used)/1000)
		if used >= 96_000 {
			f.rec.fail("half of the capacity is in use")
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	status, text := f.call(f.nodes[0], http.MethodGet, "/q2/"+gangJob.id, "key-blue", nil, 2*time.Second)
	f.rec.logf("GET /q2/%s at %s: %d %s", gangJob.id, f.nodes[0].name, status, text)
	f.rec.breakRule("LOST", "an accepted job has nothing running for 3 s, %.1f s after the end of the traffic, with 8 of 192 cores wanted and under half in use", time.Since(end).Seconds())
}

// hasBegun reports whether a task of a job has started.
func (f *fleet) hasBegun(id string) bool {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	for _, rs := range f.w.runs {
		for _, r := range rs {
			if r.task[:len(id)] == id {
				return true
			}
		}
	}
	return false
}

// usedCPU returns the millicores of all tasks that run.
func (f *fleet) usedCPU() int64 {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	var used int64
	for _, wk := range f.workers {
		for task := range wk.running {
			id, _, st, _, _ := parseTask(task)
			used += f.w.jobs[id].steps[st].cpu
		}
	}
	return used
}
