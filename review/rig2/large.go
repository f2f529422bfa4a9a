package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["large"] = large }

// cpuTime returns the processor time that a process has used, or 0 if the system doesn't tell. It is exact
// where the system counts it by thread, and else rounded to ticks of 10 ms.
func cpuTime(pid int) time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ns int64
		if _, err := fmt.Sscan(string(text), &ns); err == nil {
			sum += time.Duration(ns)
		}
	}
	if sum > 0 {
		return sum
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)[strings.LastIndexByte(string(text), ')')+1:])
	const user, system, tick = 11, 12, 10 * time.Millisecond
	for _, i := range []int{user, system} {
		if i < len(fields) {
			if n, err := strconv.Atoi(fields[i]); err == nil {
				sum += time.Duration(n) * tick
			}
		}
	}
	return sum
}

// limitProcessor gives an instance the processor of its machine: 0.4 of a core, as a quota of 40 ms in each
// tenth of a second, for the rest of which it does not run.
func (f *fleet) limitProcessor(n *node, done <-chan struct{}) {
	const window, quota = 100 * time.Millisecond, 40 * time.Millisecond
	process := n.cmd.Process
	for {
		began, used, stopped := time.Now(), cpuTime(process.Pid), false
		for time.Since(began) < window {
			time.Sleep(5 * time.Millisecond)
			if !stopped && cpuTime(process.Pid)-used > quota {
				stopped = process.Signal(syscall.SIGSTOP) == nil
			}
		}
		if stopped {
			_ = process.Signal(syscall.SIGCONT) // it may have ended
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

// waits reports whether an accepted job has a task whose turn has come and nothing running.
func (f *fleet) waits(j *jobInfo) bool {
	done := true
	for i := range j.steps[0].count {
		task := fmt.Sprintf("%s.0.0.%d", j.id, i)
		for _, r := range f.w.runs[task] {
			if r.ended.IsZero() {
				return false
			}
		}
		done = done && f.w.hasEndedDone(task)
	}
	return !done
}

// large plays ordinary traffic of one tenant, two jobs a second, at 8 instances of 0.4 cores and 48 workers of
// 32 cores. With trouble, another tenant hands in two jobs of 10,000 small tasks meanwhile. From finish_s after
// the end of the traffic on, it checks that no job has nothing running for 3 s.
func large(f *fleet, trouble bool) {
	f.env = append(f.env, "GOMAXPROCS=1") // the processor list of a machine has one core
	for _, tenant := range f.tenants {
		tenant["cap"] = map[string]int64{"cpu": 800_000, "memMb": 2_900_000, "gpu": 0}
	}
	if !f.deploy(8, 48) {
		return
	}
	done := make(chan struct{})
	defer close(done)
	for _, n := range f.nodes {
		go f.limitProcessor(n, done)
	}
	time.Sleep(2 * time.Second)
	if cpuTime(f.nodes[0].cmd.Process.Pid) == 0 {
		f.rec.fail("the processor time of an instance can't be read")
		return
	}
	var jobs []*jobInfo
	owners, lastOwner := 0, ""
	watchOwner := func() {
		if o := f.owner(); o != nil && o.name != lastOwner {
			owners, lastOwner = owners+1, o.name
			f.rec.logf("the owner is %s", o.name)
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	send := func(prefix, key string, j *jobInfo) {
		group.Go(func() {
			if f.submit(prefix, key, j) {
				mu.Lock()
				defer mu.Unlock()
				jobs = append(jobs, j)
			}
		})
	}
	for i := range 20 {
		if trouble && (i == 4 || i == 5) {
			send("/q1/", "key-red", &jobInfo{id: fmt.Sprintf("%016x", 0xa0+i), spec: "large", steps: []step{{count: 10_000, cpu: 20, mem: 8, duration: 2 * time.Second, how: "done"}}})
		}
		send("/q2/", "key-blue", &jobInfo{id: fmt.Sprintf("%016x", 0x1000+i), spec: "lookup", steps: []step{{count: 2, cpu: 2800, mem: 1024, duration: 640 * time.Millisecond, how: "done"}}})
		watchOwner()
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	end := time.Now()
	f.rec.logf("the traffic ends; %d jobs are accepted", len(jobs))
	for time.Since(end) < finish {
		watchOwner()
		time.Sleep(100 * time.Millisecond)
	}
	since := map[string]time.Time{} // when a job was first found with nothing running
	for time.Since(end) < finish+10*time.Second {
		watchOwner()
		used := f.usedCPU()
		waiting := 0
		f.w.mu.Lock()
		for _, j := range jobs {
			switch first, known := since[j.id]; {
			case !f.waits(j) || used >= 768_000:
				delete(since, j.id)
			case !known:
				since[j.id] = time.Now()
				waiting++
			case time.Since(first) > 3*time.Second:
				waiting++
				f.rec.breakRule("LOST", "job %s of %d tasks has nothing running for %.1f s, %.1f s after the end of the traffic; %.0f of 1536 cores are in use", j.id, j.steps[0].count, time.Since(first).Seconds(), time.Since(end).Seconds(), float64(used)/1000)
				delete(since, j.id)
			default:
				waiting++
			}
		}
		f.w.mu.Unlock()
		if waiting == 0 && len(since) == 0 && f.allDone(jobs) {
			f.rec.logf("all jobs have ended")
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.rec.logf("%d owners, %d starts", owners, f.w.count)
}

// allDone reports whether all tasks of jobs with one step have ended done.
func (f *fleet) allDone(jobs []*jobInfo) bool {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	for _, j := range jobs {
		for i := range j.steps[0].count {
			if !f.w.hasEndedDone(fmt.Sprintf("%s.0.0.%d", j.id, i)) {
				return false
			}
		}
	}
	return true
}
