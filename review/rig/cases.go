package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// small starts eight instances in three zones, as in a small deployment, with the given number of
// workers, which alternate between the zones.
func small(d *deployment, workers int) {
	zones := []string{"flanders-a", "wallonia-a", "brussels-a"}
	for n := range 8 {
		d.startInstance(d.addInstance(zones[n%3]))
	}
	for n := range workers {
		d.startWorker(d.addWorker(fmt.Sprintf("i-7f3a91c%d", n), zones[n%3], fmt.Sprintf("r1-%d", n%3), 32000))
	}
}

// warmUp hands in a short job and waits until it is shown as completed.
func warmUp(d *deployment, prefix string) {
	d.submit(d.instances, prefix+jobID(0), apiKey, "100", []step{{Count: len(d.workers), CPU: 20000, MemMB: 256, EstimateMs: 100}})
	d.waitFor("the first job is completed", 15*time.Second, func() bool {
		_, text := d.call(d.instances[0], http.MethodGet, prefix+jobID(0), apiKey, nil)
		return strings.Contains(text, "completed")
	})
}

func now(d *deployment) float64 { return float64(time.Since(d.began).Microseconds()) / 1000 }

// manyEnds: the store is down for 4.5 s while two workers carry out accepted tasks of 200 ms.
func manyEnds(d *deployment, t trouble) []string {
	const prefix = "/pufi791/"
	d.configure(1, []queue{{Name: "r-ruddede", Prefix: prefix, Priority: 2, Target: 3000, Stretch: 4}}, []tenant{{Name: "kaje80", Key: apiKey, Weight: 200}})
	small(d, 2)
	d.waitReady()
	warmUp(d, prefix)
	const jobs, width = 60, 60
	for n := range jobs {
		d.submit(d.instances, prefix+jobID(n+1), apiKey, "200", []step{{Count: width, CPU: 500, MemMB: 256, EstimateMs: 200}})
	}
	time.Sleep(500 * time.Millisecond)
	if t.has("store") {
		d.rec.write("store_down")
		d.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		d.store.setDown(false)
		d.rec.write("store_up")
	}
	d.waitFor("all tasks are done", 60*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		return doneTasks(readRecord(d.path), "") == jobs*width+len(d.workers)
	})
	time.Sleep(3 * time.Second) // for the last ends to be taken note of
	return judgeTwice(readRecord(d.path))
}

// removedRoute: the operator removes the route of a queue with an accepted job, and the machine that
// gives the orders is stopped and started again.
func removedRoute(d *deployment, t trouble) []string {
	const prefix, other = "/lohu930/", "/pufi791/"
	queues := []queue{
		{Name: "r-ruddede", Prefix: other, Priority: 2, Target: 3000, Stretch: 4},
		{Name: "r-cpihhac", Prefix: prefix, Priority: 1, Target: 1200, Stretch: 2.2},
	}
	tenants := []tenant{{Name: "kaje80", Key: apiKey, Weight: 36, CPU: 400000}}
	d.configure(1, queues, tenants)
	small(d, 6)
	d.waitReady()
	warmUp(d, other)
	id := jobID(1)
	d.submit(d.instances, prefix+id, apiKey, "5000", []step{
		{Count: 6, CPU: 9000, MemMB: 1024, EstimateMs: 5000},
		{Count: 6, CPU: 9000, MemMB: 1024, EstimateMs: 5000, After: []int{0}},
	})
	trafficEnd := now(d)
	d.waitFor("the first step runs", 5*time.Second, func() bool { return runningBetween(readRecord(d.path), id+".0.0.", 0, now(d)) })
	if t.has("route") {
		d.configure(2, queues[:1], tenants)
		time.Sleep(time.Second)
	}
	if t.has("restart") {
		restartOwner(d)
	}
	// The first step ends about 5 s after its start, so that the turn of the second has come.
	until := trafficEnd + 14_000 + 8000
	for now(d) < until && doneTasks(readRecord(d.path), id) < 12 {
		time.Sleep(200 * time.Millisecond)
	}
	var broken []string
	events := readRecord(d.path)
	from := trafficEnd + 14_000
	if done := doneTasks(events, id); done < 12 && !runningBetween(events, id, from, from+8000) {
		broken = append(broken, fmt.Sprintf("job %s: %d of 12 tasks are done; from %.0f to %.0f ms, later than finish_s after the end of the traffic, nothing of it runs, and nothing else runs on the workers (peak %d)",
			id, done, from, from+8000, peakUse(events, from, from+8000)))
	}
	if t.has("route") {
		// What the operator sees when the route is back; not part of the verdict.
		d.configure(3, queues, tenants)
		time.Sleep(8 * time.Second)
		d.call(d.instances[0], http.MethodGet, prefix+id, apiKey, nil)
		d.rec.write("tasks_done_after_route_is_back", "tasks", doneTasks(readRecord(d.path), id))
	}
	return broken
}

// restartOwner stops the instance that gives the orders with SIGTERM and starts it again. The
// platform sends SIGKILL after graceS.
func restartOwner(d *deployment) {
	i := d.owner()
	if i == nil {
		cannotRun("there is no owner")
	}
	d.rec.write("sigterm", "instance", i.name)
	i.process.signal(syscall.SIGTERM)
	select {
	case <-i.process.done:
	case <-time.After(6 * time.Second):
		i.process.kill()
	}
	d.rec.write("instance_ended", "instance", i.name)
	time.Sleep(200 * time.Millisecond)
	d.startInstance(i)
}

// staleOrder: an instance freezes for 3.5 s; in that time, a worker crashes and starts again under
// its id.
func staleOrder(d *deployment, t trouble) []string {
	const prefix = "/pufi791/"
	d.configure(1, []queue{{Name: "r-ruddede", Prefix: prefix, Priority: 2, Target: 3000, Stretch: 4}}, []tenant{{Name: "kaje80", Key: apiKey, Weight: 36, CPU: 400000}})
	for range 4 {
		d.startInstance(d.addInstance("flanders-a"))
	}
	for range 3 {
		d.startInstance(d.addInstance("brussels-a"))
	}
	near := d.addInstance("wallonia-a")
	for n := range 8 {
		d.startWorker(d.addWorker(fmt.Sprintf("i-7f3a91c%d", n), "wallonia-a", "r1-2", 32000))
	}
	d.waitReady()
	d.startInstance(near) // later, so that it doesn't become the owner
	d.waitReady()
	if d.owner() == near {
		cannotRun("the only instance of the workers' zone owns the tasks")
	}
	warmUp(d, prefix)
	time.Sleep(3 * time.Second)
	if t.has("freeze") {
		near.process.signal(syscall.SIGSTOP)
		d.rec.write("instance_frozen", "instance", near.name)
	}
	frozen := time.Now()
	time.Sleep(100 * time.Millisecond)
	id := jobID(1)
	d.submit(d.instances[:7], prefix+id, apiKey, "200", []step{{Count: 8, CPU: 20000, MemMB: 1024, EstimateMs: 200}})
	time.Sleep(time.Until(frozen.Add(2 * time.Second)))
	if t.has("crash") {
		d.crashWorker(d.workers[0])
		time.Sleep(500 * time.Millisecond)
		d.startWorker(d.workers[0])
	}
	time.Sleep(time.Until(frozen.Add(3500 * time.Millisecond)))
	if t.has("freeze") {
		near.process.signal(syscall.SIGCONT)
		d.rec.write("instance_continues", "instance", near.name)
	}
	time.Sleep(4 * time.Second)
	d.call(d.instances[0], http.MethodGet, prefix+id, apiKey, nil)
	return judgeTwice(readRecord(d.path))
}

// fullQueue: the operator lowers the cap of one tenant far below what it sends. A job of two steps and
// a job whose tasks last, both of another tenant, wait behind the backlog although the workers are
// idle.
func fullQueue(d *deployment, t trouble) []string {
	const prefix = "/pufi791/"
	queues := []queue{{Name: "r-ruddede", Prefix: prefix, Priority: 0, Target: 400, Stretch: 1.5}}
	tenants := []tenant{{Name: "kaje80", Key: apiKey, Weight: 80, CPU: 150000}, {Name: "pode11", Key: otherKey, Weight: 36, CPU: 150000}}
	d.configure(1, queues, tenants)
	small(d, 6)
	d.waitReady()
	warmUp(d, prefix)
	if t.has("quota") {
		tenants[0].CPU = 3000
		d.configure(2, queues, tenants)
		time.Sleep(2500 * time.Millisecond)
	}
	const jobs = 400
	for n := range jobs {
		d.submit(d.instances, prefix+jobID(n+1), apiKey, "600", []step{{Count: 1, CPU: 2800, MemMB: 256, EstimateMs: 640}})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	// Both steps take longer than their rough estimates.
	steps := jobID(9001)
	d.submit(d.instances, prefix+steps, otherKey, "9000,600", []step{
		{Count: 1, CPU: 2800, MemMB: 256, EstimateMs: 1000},
		{Count: 1, CPU: 2800, MemMB: 256, EstimateMs: 600, After: []int{0}},
	})
	// The two tasks last and fail 8 s after each start.
	lasting := jobID(9002)
	d.submit(d.instances, prefix+lasting, otherKey, "8000f", []step{{Count: 2, CPU: 2800, MemMB: 256, RunForever: true}})
	trafficEnd := now(d)
	time.Sleep(20 * time.Second)
	d.call(d.instances[0], http.MethodGet, prefix+steps, otherKey, nil)
	d.call(d.instances[0], http.MethodGet, prefix+lasting, otherKey, nil)
	end := now(d)

	var broken []string
	events := readRecord(d.path)
	idle := func(from, to float64) string {
		return fmt.Sprintf("at most %d tasks of 2.8 cores run at the same time then on 6 workers of 32 cores", peakUse(events, from, to))
	}
	if from := trafficEnd + 14_000; doneTasks(events, steps) < 2 && !runningBetween(events, steps, from, end) {
		broken = append(broken, fmt.Sprintf("job %s: %d of 2 tasks are done; from %.0f to %.0f ms, later than finish_s after the end of the traffic, nothing of it runs; %s",
			steps, doneTasks(events, steps), from, end, idle(from, end)))
	}
	for task, runs := range runsByTask(events) {
		if last := runs[len(runs)-1]; strings.HasPrefix(task, lasting) && end-last.end > 6000+3000 {
			broken = append(broken, fmt.Sprintf("task %s lasts: its last run ended at %.0f ms, and it has not run until %.0f ms; %s", task, last.end, end, idle(last.end+6000, end)))
		}
	}
	return broken
}

// lastStarted returns the worker that has started a task last.
func lastStarted(d *deployment) *workerProcess {
	id := ""
	for _, e := range readRecord(d.path) {
		if e.Event == "start" {
			id = e.Worker
		}
	}
	for _, w := range d.workers {
		if w.cfg.ID == id {
			return w
		}
	}
	cannotRun("no worker has started a task")
	return nil
}

// sameID: workers crash one after the other and start again at once under their ids.
func sameID(d *deployment, t trouble) []string {
	const prefix = "/pufi791/"
	d.configure(1, []queue{{Name: "r-ruddede", Prefix: prefix, Priority: 2, Target: 3000, Stretch: 4}}, []tenant{{Name: "kaje80", Key: apiKey, Weight: 36}})
	small(d, 8)
	d.waitReady()
	warmUp(d, prefix)
	const jobs, width = 500, 3
	began := time.Now()
	for n := range jobs {
		d.submit(d.instances, prefix+jobID(n+1), apiKey, "3400", []step{{Count: width, CPU: 2000, MemMB: 7200, EstimateMs: 3400}})
		if t.has("crash") && n%31 == 30 {
			w := lastStarted(d)
			d.crashWorker(w)
			d.startWorker(w)
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * 100 * time.Millisecond)))
	}
	d.waitFor("all tasks are done", 30*time.Second, func() bool {
		time.Sleep(time.Second)
		return doneTasks(readRecord(d.path), "") == jobs*width+len(d.workers)
	})
	time.Sleep(2 * time.Second)
	return judgeTwice(readRecord(d.path))
}

// lastingProbe: the tasks of a job that last fail once, all at the same time. Then a client hands in a
// short job.
func lastingProbe(d *deployment, t trouble) []string { return lasting(d, t.has("fail"), false, false) }

// lastingGrey: one worker of 12 fails all that it starts for 6.5 s, while a client hands in a job with
// tasks that last. Then a client hands in a short job that needs this worker's kind.
func lastingGrey(d *deployment, t trouble) []string { return lasting(d, false, true, t.has("grey")) }

// lasting runs the cases with tasks that last. With oneOfAKind the first of 12 workers is the only one
// of its kind, otherwise there are 6 workers.
func lasting(d *deployment, fail, oneOfAKind, grey bool) []string {
	const prefix = "/pufi791/"
	d.configure(1, []queue{{Name: "r-ruddede", Prefix: prefix, Priority: 0, Target: 400, Stretch: 1.5}}, []tenant{{Name: "kaje80", Key: apiKey, Weight: 36, CPU: 150000}})
	workers, width, perWorker := 6, 12, 2
	if oneOfAKind {
		workers, perWorker = 12, 1
	}
	small(d, 0)
	zones := []string{"flanders-a", "wallonia-a", "brussels-a"}
	for n := range workers {
		w := d.addWorker(fmt.Sprintf("i-7f3a91%02d", n), zones[n%3], fmt.Sprintf("r1-%d", n%3), 32000)
		if n == 0 && oneOfAKind {
			w.cfg.Kind = "b"
		}
		d.startWorker(w)
	}
	d.waitReady()
	warmUp(d, prefix)
	failAt := now(d) + 5000
	spec := "last"
	if fail {
		spec = fmt.Sprintf("last@%.0f", failAt)
	}
	if grey {
		d.workers[0].process.signal(syscall.SIGUSR1)
		time.Sleep(100 * time.Millisecond)
	}
	long := jobID(1)
	d.submit(d.instances, prefix+long, apiKey, spec, []step{{Count: width, CPU: 2800, MemMB: 256, RunForever: true, AntiAff: perWorker}})
	time.Sleep(6400 * time.Millisecond)
	if grey {
		d.workers[0].process.signal(syscall.SIGUSR1)
	}
	time.Sleep(4 * time.Second)
	short := jobID(2)
	task := step{Count: 2, CPU: 2800, MemMB: 256, EstimateMs: 640}
	if oneOfAKind {
		task.Needs = "b"
	}
	d.submit(d.instances, prefix+short, apiKey, "640", []step{task})
	trafficEnd := now(d)
	time.Sleep(22 * time.Second)
	d.call(d.instances[0], http.MethodGet, prefix+short, apiKey, nil)
	d.call(d.instances[0], http.MethodGet, prefix+long, apiKey, nil)
	end := now(d)

	var broken []string
	events := readRecord(d.path)
	idle := func(from, to float64) string {
		return fmt.Sprintf("at most %d tasks of 2.8 cores run at the same time then on %d workers of 32 cores", peakUse(events, from, to), workers)
	}
	if from := trafficEnd + 14_000; doneTasks(events, short) < 2 && !runningBetween(events, short, from, end) {
		broken = append(broken, fmt.Sprintf("job %s: %d of 2 tasks are done; from %.0f to %.0f ms, later than finish_s after the end of the traffic, nothing of it runs; %s",
			short, doneTasks(events, short), from, end, idle(from, end)))
	}
	for task, runs := range runsByTask(events) {
		if last := runs[len(runs)-1]; strings.HasPrefix(task, long) && end-last.end > 6000+3000 {
			broken = append(broken, fmt.Sprintf("task %s lasts: its last run ended at %.0f ms, and it has not run until %.0f ms; %s", task, last.end, end, idle(last.end+6000, end)))
		}
	}
	return broken
}

// lateAcceptance: clients hand in jobs on a route while the operator removes it. This is done with
// three routes, one after the other.
func lateAcceptance(d *deployment, t trouble) []string {
	const (
		kept     = "/pufi791/"
		rounds   = 3
		interval = 20 * time.Millisecond // between jobs
	)
	d.regionDelay = 12 * time.Millisecond
	queues := []queue{{Name: "r-ruddede", Prefix: kept, Priority: 0, Target: 400, Stretch: 1.5}}
	for n := range rounds {
		queues = append(queues, queue{Name: fmt.Sprintf("r-cpihha%d", n), Prefix: fmt.Sprintf("/lohu93%d/", n), Priority: 0, Target: 400, Stretch: 1.5})
	}
	tenants := []tenant{{Name: "kaje80", Key: apiKey, Weight: 80, CPU: 150000}}
	d.configure(1, queues, tenants)
	small(d, 6)
	d.waitReady()
	warmUp(d, kept)
	var mu sync.Mutex
	var accepted []string
	var waiting sync.WaitGroup
	next := 1
	for round := range rounds {
		prefix := queues[1].Prefix
		began := time.Now()
		for n := range 100 {
			if n == 70 && t.has("route") {
				queues = append(queues[:1:1], queues[2:]...)
				waiting.Go(func() { d.configure(2+round, queues, tenants) })
			}
			id, at := jobID(next), d.instances[next%len(d.instances)]
			next++
			waiting.Go(func() {
				status, _ := d.call(at, http.MethodPost, prefix+id, apiKey, map[string]any{"spec": "640", "steps": []step{{Count: 1, CPU: 2800, MemMB: 256, EstimateMs: 640}}})
				if status == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			})
			time.Sleep(time.Until(began.Add(time.Duration(n+1) * interval)))
		}
		if !t.has("route") {
			queues = append(queues[:1:1], queues[2:]...) // the next round uses the next route
		}
	}
	waiting.Wait()
	trafficEnd := now(d)
	time.Sleep(22 * time.Second)
	end := now(d)
	events := readRecord(d.path)
	d.rec.write("accepted", "jobs", len(accepted))
	var broken []string
	from := trafficEnd + 14_000
	for _, id := range accepted {
		if doneTasks(events, id) < 1 && !runningBetween(events, id, from, end) {
			broken = append(broken, fmt.Sprintf("job %s was accepted, and its only task is not done; from %.0f to %.0f ms, later than finish_s after the end of the traffic, nothing of it runs; at most %d tasks run at the same time then on 6 workers of 32 cores",
				id, from, end, peakUse(events, from, end)))
		}
	}
	return broken
}

// advisedRoute: the operator removes the route of a queue with advice, of which a job of two steps was
// accepted. Its first step runs then.
func advisedRoute(d *deployment, t trouble) []string {
	const prefix, other = "/lohu930/", "/pufi791/"
	queues := []queue{
		{Name: "r-ruddede", Prefix: other, Priority: 2, Target: 3000, Stretch: 4, Advice: true},
		{Name: "r-cpihhac", Prefix: prefix, Priority: 0, Target: 400, Stretch: 1.5, Advice: true},
	}
	tenants := []tenant{{Name: "kaje80", Key: apiKey, Weight: 36, CPU: 150000}}
	d.adviceAddr = d.serveAdvice()
	d.configure(1, queues, tenants)
	small(d, 0)
	zones := []string{"flanders-a", "wallonia-a", "brussels-a"}
	for n := range 6 {
		w := d.addWorker(fmt.Sprintf("i-7f3a91c%d", n), zones[n%3], fmt.Sprintf("r1-%d", n%3), 32000)
		w.cfg.Tickets = true
		d.startWorker(w)
	}
	d.waitReady()
	warmUp(d, other)
	id := jobID(1)
	task := step{Count: 2, CPU: 2800, MemMB: 256, EstimateMs: 3000}
	second := task
	second.After = []int{0}
	d.submit(d.instances, prefix+id, apiKey, "3000", []step{task, second})
	trafficEnd := now(d)
	d.waitFor("the first step runs", 5*time.Second, func() bool { return runningBetween(readRecord(d.path), id+".0.0.", 0, now(d)) })
	if t.has("route") {
		d.configure(2, queues[:1], tenants)
	}
	time.Sleep(22 * time.Second)
	end := now(d)
	var broken []string
	events := readRecord(d.path)
	from := trafficEnd + 14_000
	if done := doneTasks(events, id); done < 4 && !runningBetween(events, id, from, end) {
		broken = append(broken, fmt.Sprintf("job %s: %d of 4 tasks are done; from %.0f to %.0f ms, later than finish_s after the end of the traffic, nothing of it runs; at most %d tasks run at the same time then on 6 workers of 32 cores",
			id, done, from, end, peakUse(events, from, end)))
	}
	return broken
}

// newWorkers: a queue's policy allows only some workers to run its steps. All of these are full with
// tasks that last. A job waits, and then empty workers are added that it may run on.
func newWorkers(d *deployment, t trouble) []string {
	const prefix, other = "/lohu930/", "/pufi791/"
	queues := []queue{
		{Name: "r-ruddede", Prefix: other, Priority: 2, Target: 3000, Stretch: 4},
		{Name: "r-cpihhac", Prefix: prefix, Priority: 0, Target: 400, Stretch: 1.5, Advice: true},
	}
	tenants := []tenant{{Name: "kaje80", Key: apiKey, Weight: 36, CPU: 400000}}
	d.adviceAddr = d.serveAdvice()
	d.configure(1, queues, tenants)
	small(d, 0)
	zones := []string{"flanders-a", "wallonia-a", "brussels-a"}
	add := func(n int, kind string) {
		w := d.addWorker(fmt.Sprintf("i-7f3a91%02d", n), zones[n%3], fmt.Sprintf("r1-%d", n/8), 32000)
		w.cfg.Kind = kind
		d.startWorker(w)
	}
	const oldWorkers, allowed, added = 14, 4, 3
	for n := range oldWorkers {
		if n < allowed {
			add(n, "b")
		} else {
			add(n, "a")
		}
	}
	scaleOut := func() {
		for n := range added {
			add(oldWorkers+n, "b")
		}
	}
	d.waitReady()
	warmUp(d, other)
	long := jobID(1)
	d.submit(d.instances, prefix+long, apiKey, "last", []step{{Count: allowed, CPU: 30000, MemMB: 256, RunForever: true, AntiAff: 1}})
	d.waitFor("the tasks that last run", 10*time.Second, func() bool { return runningAt(readRecord(d.path), long, now(d)) == allowed })
	if t == "early" {
		scaleOut()
	}
	time.Sleep(4 * time.Second)
	short := jobID(2)
	d.submit(d.instances, prefix+short, apiKey, "640", []step{{Count: 2, CPU: 2800, MemMB: 256, EstimateMs: 640}})
	time.Sleep(2 * time.Second)
	if t.has("scale_out") {
		scaleOut()
	}
	trafficEnd := now(d)
	time.Sleep(22 * time.Second)
	d.call(d.instances[0], http.MethodGet, prefix+short, apiKey, nil)
	end := now(d)
	var broken []string
	events := readRecord(d.path)
	from := trafficEnd + 14_000
	room := len(d.workers) > oldWorkers // 3 x 32 cores for 2 x 2.8; otherwise there is no room for it
	if done := doneTasks(events, short); room && done < 2 && !runningBetween(events, short, from, end) {
		broken = append(broken, fmt.Sprintf("job %s: %d of 2 tasks are done; from %.0f to %.0f ms, later than finish_s after the end of the traffic, nothing of it runs; %d tasks of 30 cores run then on 17 workers of 32 cores, and 3 empty workers may run the job",
			short, done, from, end, peakUse(events, from, end)))
	}
	return broken
}
