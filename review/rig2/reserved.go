package main

import "time"

func init() { cases["reserved"] = reserved }

// reserved runs a long task on one of six workers and, with trouble, hands in a gang that needs room on all of
// them. Then it hands in a job of another tenant with a task that lasts, for which there is room on five empty
// workers, and checks that it begins.
func reserved(f *fleet, trouble bool) {
	if !f.deploy(3, 6) {
		return
	}
	long := &jobInfo{id: "00000000000000a1", spec: "long", steps: []step{{count: 1, cpu: 20000, mem: 1024, duration: 15 * time.Second, how: "done", estimate: 12 * time.Second}}}
	if !f.submit("/q1/", "key-red", long) {
		f.rec.fail("the long job is not accepted")
		return
	}
	time.Sleep(3 * time.Second)
	gangJob := &jobInfo{id: "00000000000000b2", spec: "gang", steps: []step{{count: 6, cpu: 15000, mem: 1024, gang: true, antiAffinity: 1, duration: 5 * time.Second, how: "done"}}}
	if trouble && !f.submit("/q1/", "key-red", gangJob) {
		f.rec.fail("the gang is not accepted")
		return
	}
	time.Sleep(time.Second)
	service := &jobInfo{id: "00000000000000c3", spec: "service", steps: []step{{count: 1, cpu: 20000, mem: 1024, lasts: true}}}
	if !f.submit("/q2/", "key-blue", service) {
		f.rec.fail("the job that lasts is not accepted")
		return
	}
	// The rule counts 3 s on end; for a task that lasts, from 6 s after its last run, of which there is none.
	const bound = 9 * time.Second
	began := time.Now()
	for time.Since(began) < 30*time.Second {
		if f.hasBegun(service.id) {
			f.rec.logf("the task that lasts begins %.1f s after its acceptance", time.Since(began).Seconds())
			return
		}
		if time.Since(began) > bound {
			f.rec.breakRule("LOST", "a task that lasts, of 20 cores, has nothing running %.1f s after its acceptance; %.0f of 192 cores are in use, %d workers are empty", time.Since(began).Seconds(), float64(f.usedCPU())/1000, f.emptyWorkers())
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (f *fleet) emptyWorkers() int {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	n := 0
	for _, wk := range f.workers {
		if len(wk.running) == 0 {
			n++
		}
	}
	return n
}
