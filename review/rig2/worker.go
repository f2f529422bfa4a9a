package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

const (
	heartbeat     = 1500 * time.Millisecond
	maxHold       = 10 * time.Second
	gangTimeout   = 3 * time.Second
	stopTime      = 40 * time.Millisecond
	startupTime   = 300 * time.Millisecond // of a task that lasts
	maxEndsListed = 500
	clockStart    = 480_000 // milliseconds on a worker's clock when it starts
)

// step is what the stand-ins know of a step of a submitted job.
type step struct {
	count        int
	cpu, mem     int64
	gang         bool
	lasts        bool
	after        []int
	antiAffinity int
	duration     time.Duration // of a run; of a task that lasts, until it fails (0: it does not fail)
	how          string        // how its runs end
	estimate     time.Duration // declared; 0: the duration
}

type jobInfo struct {
	id          string
	spec        string
	steps       []step
	firstAt     time.Time
	interval    time.Duration
	repeats     int
	unclear     bool      // an attempt to hand it in got no answer, 502 or 504
	accepted    time.Time // zero if no 2xx was received
	cancelAcked time.Time
}

// runRecord is one run on a worker.
type runRecord struct {
	task    string
	run     int
	worker  *worker
	began   time.Time
	ended   time.Time // zero while it runs
	how     string
	ackedAt time.Time
	number  int64
	lapsed  bool // the lease of the worker lapsed before the end was acknowledged
}

// world holds the jobs and all runs; the checks of the rules are made when a run begins.
type world struct {
	rec *record

	mu    sync.Mutex
	jobs  map[string]*jobInfo
	runs  map[string][]*runRecord // by task
	gangs map[string]*gang        // by step and run
	count int
}

type gang struct {
	members map[int]*runRecord
	began   bool
}

func newWorld(rec *record) *world {
	return &world{rec: rec, jobs: map[string]*jobInfo{}, runs: map[string][]*runRecord{}, gangs: map[string]*gang{}}
}

// parseTask splits ID.K.STEP.INDEX.
func parseTask(task string) (id string, k, st, index int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	var err [3]error
	k, err[0] = strconv.Atoi(parts[1])
	st, err[1] = strconv.Atoi(parts[2])
	index, err[2] = strconv.Atoi(parts[3])
	return parts[0], k, st, index, err[0] == nil && err[1] == nil && err[2] == nil
}

// worker is a stand-in for a worker: one life of a machine.
type worker struct {
	w        *world
	id       string
	zone     string
	rack     string
	address  string
	cpu, mem int64
	store    *platformtest.Store
	server   *http.Server
	link     *proxy
	born     time.Time

	// All fields below are guarded by world.mu.
	fence    int64
	leaseEnd time.Time
	running  map[string]*runRecord
	highest  map[string]int
	ends     []*runRecord
	lastEnd  int64
	changed  chan struct{}
	dark     bool // without power: it answers nothing and writes no entry
	sequence int
}

func startWorker(w *world, store *platformtest.Store, id, zone, rack string, cpu, mem int64) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := startProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	wk := &worker{
		w: w, id: id, zone: zone, rack: rack, address: link.address, link: link, cpu: cpu, mem: mem, store: store, born: time.Now(),
		running: map[string]*runRecord{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	wk.server = &http.Server{Handler: wk}
	go func() { _ = wk.server.Serve(listener) }() // returns when the server is closed
	go wk.beat()
	go wk.watchLease()
	return wk, nil
}

func (wk *worker) clock() int64 { return time.Since(wk.born).Milliseconds() + clockStart }

// beat writes the worker's entry every heartbeat interval.
func (wk *worker) beat() {
	for {
		wk.w.mu.Lock()
		if wk.dark {
			wk.w.mu.Unlock()
			return
		}
		wk.sequence++
		entry, err := json.Marshal(map[string]any{
			"service": serviceName, "address": wk.address, "zone": wk.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": wk.cpu, "memMb": wk.mem, "gpu": 0}, "labels": []string{"a", wk.rack},
			"clockMs": wk.clock(), "born": wk.born.UnixMilli(), "sequence": wk.sequence,
		})
		wk.w.mu.Unlock()
		if err != nil {
			wk.w.rec.fail("encode an entry: %v", err)
			return
		}
		wk.store.Heartbeat("servers/"+wk.id, entry, 3*heartbeat)
		time.Sleep(heartbeat)
	}
}

// watchLease ends all runs when the lease has expired.
func (wk *worker) watchLease() {
	for {
		time.Sleep(5 * time.Millisecond)
		wk.w.mu.Lock()
		if wk.dark {
			wk.w.mu.Unlock()
			return
		}
		if now := time.Now(); !now.Before(wk.leaseEnd) {
			for _, r := range wk.running {
				wk.end(r, "lapsed")
			}
			for _, r := range wk.ends {
				r.lapsed = true
			}
		}
		wk.w.mu.Unlock()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
}

func (wk *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clockMs"], fields["born"] = wk.clock(), wk.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if err := json.NewEncoder(rw).Encode(fields); err != nil {
		return // the client has disconnected
	}
}

// ServeHTTP implements http.Handler.
func (wk *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != wk.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wk.w.mu.Lock()
	defer wk.w.mu.Unlock()
	if wk.dark {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < wk.fence {
		wk.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	wk.fence = o.Fence
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "hold":
		wk.hold(rw, r, o)
	case "run-start":
		wk.start(rw, o)
	case "run-stop":
		wk.highest[o.Task] = max(wk.highest[o.Task], o.Run)
		if active := wk.running[o.Task]; active != nil && active.run <= o.Run {
			time.AfterFunc(stopTime, func() {
				wk.w.mu.Lock()
				defer wk.w.mu.Unlock()
				wk.end(active, "stopped")
			})
		}
		wk.answer(rw, http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (wk *worker) extendLease(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	end := wk.born.Add(time.Duration(deadlineMs-clockStart) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(wk.leaseEnd) {
		wk.leaseEnd = end
	}
}

func (wk *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	wk.extendLease(o.DeadlineMs)
	var rest []*runRecord
	for _, e := range wk.ends {
		if e.number > o.AckedUpto {
			rest = append(rest, e)
			continue
		}
		if !e.lapsed {
			e.ackedAt = time.Now()
		}
	}
	wk.ends = rest
	timer := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second))
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(wk.ends) == 0 && !wk.dark; {
		changed := wk.changed
		wk.w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		wk.w.mu.Lock()
	}
	if wk.dark {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range wk.running {
		running = append(running, []any{a.task, a.run, "", wk.w.percent(a), 0})
	}
	for _, e := range wk.ends[:min(len(wk.ends), maxEndsListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	wk.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// percent returns the progress of a run.
func (w *world) percent(r *runRecord) int {
	id, _, st, _, _ := parseTask(r.task)
	s := w.jobs[id].steps[st]
	age := time.Since(r.began)
	if s.lasts {
		if age > startupTime {
			return 100
		}
		return 0
	}
	return int(min(99, 100*age/max(1, s.duration)))
}

func (wk *worker) start(rw http.ResponseWriter, o order) {
	refuse := func(reason string) { wk.answer(rw, http.StatusConflict, map[string]any{"reason": reason}) }
	active := wk.running[o.Task]
	switch {
	case o.DeadlineMs <= wk.clock():
		refuse("late")
		return
	case active != nil && active.run == o.Run:
		wk.extendLease(o.DeadlineMs)
		wk.answer(rw, http.StatusOK, map[string]any{})
		return
	case o.Run <= wk.highest[o.Task] || active != nil:
		wk.extendLease(o.DeadlineMs)
		refuse("old")
		return
	}
	id, k, st, index, ok := parseTask(o.Task)
	j := wk.w.jobs[id]
	if !ok || j == nil || st >= len(j.steps) || index >= j.steps[st].count {
		wk.w.rec.breakRule("UNASKED", "worker %s is told to start %s, which no client has sent", wk.id, o.Task)
		wk.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	wk.extendLease(o.DeadlineMs)
	r := &runRecord{task: o.Task, run: o.Run, worker: wk, began: time.Now()}
	wk.w.check(r, j, k, st, o)
	wk.running[o.Task] = r
	wk.w.runs[o.Task] = append(wk.w.runs[o.Task], r)
	wk.w.count++
	if wk.w.count <= 400 || wk.w.count%100 == 0 {
		wk.w.rec.logf("worker %s starts %s run %d, fence %d", wk.id, o.Task, o.Run, o.Fence)
	}
	wk.w.begin(r, j, k, st, index)
	wk.answer(rw, http.StatusOK, map[string]any{})
}

// begin lets a run work, a member of a gang when all are present.
func (w *world) begin(r *runRecord, j *jobInfo, k, st, index int) {
	s := j.steps[st]
	if !s.gang {
		if s.duration > 0 {
			time.AfterFunc(s.duration, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				r.worker.end(r, s.how)
			})
		}
		return
	}
	key := fmt.Sprintf("%s.%d.%d/%d", j.id, k, st, r.run)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: map[int]*runRecord{}}
		w.gangs[key] = g
	}
	g.members[index] = r
	if len(g.members) == s.count {
		g.began = true
		time.AfterFunc(s.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, m := range g.members {
				m.worker.end(m, s.how)
			}
		})
		return
	}
	time.AfterFunc(gangTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !g.began {
			r.worker.end(r, "alone")
		}
	})
}

// end ends a run unless it has ended before, and the other members of its gang as broken.
func (wk *worker) end(r *runRecord, how string) {
	if !r.ended.IsZero() {
		return
	}
	r.ended, r.how = time.Now(), how
	delete(wk.running, r.task)
	wk.highest[r.task] = max(wk.highest[r.task], r.run)
	if !wk.dark {
		wk.lastEnd++
		r.number = wk.lastEnd
		wk.ends = append(wk.ends, r)
		close(wk.changed)
		wk.changed = make(chan struct{})
	}
	wk.w.rec.logf("worker %s ends %s run %d: %s", wk.id, r.task, r.run, how)
	id, k, st, _, _ := parseTask(r.task)
	if s := wk.w.jobs[id].steps[st]; s.gang && how != "done" && how != "alone" {
		if g := wk.w.gangs[fmt.Sprintf("%s.%d.%d/%d", id, k, st, r.run)]; g != nil && g.began {
			for _, m := range g.members {
				m.worker.end(m, "broken")
			}
		}
	}
}

// losePower ends the runs of a worker without a report. Connections to it hang.
func (wk *worker) losePower() {
	wk.link.setHeld(true)
	wk.w.mu.Lock()
	defer wk.w.mu.Unlock()
	wk.dark = true
	for _, r := range wk.running {
		wk.end(r, "lost")
	}
	wk.w.rec.logf("worker %s loses power for good", wk.id)
}

// check checks the rules for a run that begins.
func (w *world) check(r *runRecord, j *jobInfo, k, st int, o order) {
	s := j.steps[st]
	if o.Spec != j.spec {
		w.rec.breakRule("UNASKED", "%s is started with another spec", r.task)
	}
	for _, other := range w.runs[r.task] {
		switch {
		case other.ended.IsZero():
			w.rec.breakRule("TWICE", "%s run %d starts on %s while run %d is on %s", r.task, r.run, r.worker.id, other.run, other.worker.id)
		case other.how == "done" && !s.lasts && !other.ackedAt.IsZero():
			w.rec.breakRule("TWICE", "%s run %d starts on %s after run %d has ended done, noted %.3f s before", r.task, r.run, r.worker.id, other.run, time.Since(other.ackedAt).Seconds())
		}
	}
	var cpu, mem int64
	same := 0
	for name := range r.worker.running {
		id, k2, st2, _, _ := parseTask(name)
		cpu += w.jobs[id].steps[st2].cpu
		mem += w.jobs[id].steps[st2].mem
		if id == j.id && k2 == k && st2 == st {
			same++
		}
	}
	if cpu+s.cpu > r.worker.cpu || mem+s.mem > r.worker.mem {
		w.rec.breakRule("LIMIT", "%s brings %s over its capacity", r.task, r.worker.id)
	}
	if s.antiAffinity > 0 && same >= s.antiAffinity {
		w.rec.breakRule("ROUTE", "%s is task %d of its step on %s", r.task, same+1, r.worker.id)
	}
	for _, dep := range s.after {
		for i := range j.steps[dep].count {
			if !w.hasEndedDone(fmt.Sprintf("%s.%d.%d.%d", j.id, k, dep, i)) {
				w.rec.breakRule("ORDER", "%s starts before task %d of step %d has ended", r.task, i, dep)
			}
		}
	}
	if j.repeats > 0 {
		due := j.firstAt.Add(time.Duration(k) * j.interval)
		if early := time.Until(due); early > 250*time.Millisecond {
			w.rec.breakRule("ORDER", "%s starts %.3f s before its time", r.task, early.Seconds())
		}
	}
	if !j.cancelAcked.IsZero() && time.Since(j.cancelAcked) > 3*time.Second {
		w.rec.breakRule("UNASKED", "%s starts %.3f s after its cancelling was acknowledged", r.task, time.Since(j.cancelAcked).Seconds())
	}
}

// hasEndedDone reports whether a run of a task, or of its gang, has ended done.
func (w *world) hasEndedDone(task string) bool {
	for _, r := range w.runs[task] {
		if r.how == "done" {
			return true
		}
	}
	return false
}
