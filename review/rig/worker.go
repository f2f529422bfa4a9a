package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a worker, from the settings of a small deployment.
const (
	maxHold  = 10 * time.Second
	endsPage = 500 // ends in one answer

	linkDelay = 3 * time.Millisecond // both ways between zones of a small deployment
)

// workerConfig is passed to the process of a worker as JSON.
type workerConfig struct {
	ID      string
	Zone    string
	Rack    string
	Listen  string
	Store   string
	Record  string
	Began   int64 // Unix milliseconds of the start of the script
	CPU     int64 // millicores
	Service string
	Kind    string // of the machine; the first label
	Tickets bool   // every start needs a ticket of the advice service
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

type activeRun struct {
	run     int
	percent int
	timer   *time.Timer
}

// workerState is a stand-in for one life of a worker. The spec of a job lists the run times of the
// tasks of its steps in milliseconds, separated by commas; a task ends failed if an "f" follows. "last"
// stands for tasks that last, and "last@N" for tasks that last and of which those that run N
// milliseconds after the start of the script fail then. The worker doesn't guard its capacity. From one
// SIGUSR1 to the next it fails all that it starts.
type workerState struct {
	cfg    workerConfig
	rec    *recorder
	born   time.Time
	mu     sync.Mutex
	fence  int64
	lease  time.Time // end of the lease
	lapse  *time.Timer
	active map[string]*activeRun
	closed map[string]int // highest run that was stopped or has ended, by task
	ends   []endRow
	last   int64 // number of the last end
	acked  int64
	wake   chan struct{}
	grey   bool // it fails all that it starts
}

func runWorker(arg string) {
	var cfg workerConfig
	if err := json.Unmarshal([]byte(arg), &cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &workerState{
		cfg: cfg, rec: openRecorder(cfg.Record, time.UnixMilli(cfg.Began)), born: time.Now(),
		active: map[string]*activeRun{}, closed: map[string]int{}, wake: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.rec.write("worker_up", "worker", cfg.ID, "born", w.born.UnixMilli())
	go w.register()
	go w.followSignals()
	_ = http.Serve(listener, w)
}

// greyFailure is the time after which a worker that fails all that it starts fails a task.
const greyFailure = 50 * time.Millisecond

func (w *workerState) followSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		w.mu.Lock()
		w.grey = !w.grey
		w.rec.write("worker_fails_all", "worker", w.cfg.ID, "grey", w.grey)
		w.mu.Unlock()
	}
}

// register writes the entry of the worker to the store in every heartbeat interval.
func (w *workerState) register() {
	for sequence := 1; ; sequence++ {
		entry, _ := json.Marshal(map[string]any{
			"service": w.cfg.Service, "address": w.cfg.Listen, "zone": w.cfg.Zone, "version": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "capacity": map[string]int64{"cpu": w.cfg.CPU, "memMb": 131072, "gpu": 0},
			"labels": []string{w.cfg.Kind, w.cfg.Rack}, "born": w.born.UnixMilli(), "clockMs": w.clock(), "sequence": sequence,
		})
		response, err := http.Post("http://"+w.cfg.Store+"/v1/heartbeat/"+w.cfg.ID, "application/json", bytes.NewReader(entry))
		delay := heartbeat
		if err != nil || response.StatusCode != http.StatusOK {
			delay = 500 * time.Millisecond
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		time.Sleep(delay)
	}
}

func (w *workerState) clock() int64 { return time.Since(w.born).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`
}

func (w *workerState) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.cfg.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(linkDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		w.refuse(rw, o, "fence")
		return
	}
	w.fence = o.Fence
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "hold":
		w.hold(rw, r, o)
	case "run-start":
		w.start(rw, o)
	case "run-stop":
		if a := w.active[o.Task]; a != nil && a.run <= o.Run {
			w.end(o.Task, a, "stopped")
		}
		w.closed[o.Task] = max(w.closed[o.Task], o.Run)
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *workerState) refuse(rw http.ResponseWriter, o order, reason string) {
	if o.Task != "" {
		w.rec.write("refused", "worker", w.cfg.ID, "task", o.Task, "run", o.Run, "reason", reason)
	}
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// extend moves the end of the lease. It never shortens it, and a lease lasts for at most maxHold.
func (w *workerState) extend(deadlineMs int64) {
	end := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.lease) {
			return
		}
		w.rec.write("lease_lapsed", "worker", w.cfg.ID, "runs", len(w.active))
		for task, a := range w.active {
			w.end(task, a, "lapsed")
		}
	})
}

func (w *workerState) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	if o.AckedUpto > w.acked {
		w.acked = o.AckedUpto
		w.rec.write("acked", "worker", w.cfg.ID, "born", w.born.UnixMilli(), "upto", o.AckedUpto)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e endRow) bool { return e.number <= o.AckedUpto })
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for timedOut := o.WaitMs == 0; len(w.ends) == 0 && !timedOut; {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			w.mu.Lock()
			return
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, a := range w.active {
		running = append(running, []any{task, a.run, "", a.percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPage)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (w *workerState) start(rw http.ResponseWriter, o order) {
	a := w.active[o.Task]
	switch {
	case o.DeadlineMs < w.clock():
		w.refuse(rw, o, "late")
		return
	case o.Run <= w.closed[o.Task] || (a != nil && a.run != o.Run):
		w.extend(o.DeadlineMs)
		w.refuse(rw, o, "old")
		return
	case a == nil && w.cfg.Tickets && !validTicket(o, w.cfg.ID):
		w.refuse(rw, o, "ticket")
		return
	}
	w.extend(o.DeadlineMs)
	if a == nil {
		a = &activeRun{run: o.Run, percent: 50}
		if strings.HasPrefix(o.Spec, "last") {
			a.percent = 100 // at work
		}
		w.active[o.Task] = a
		w.rec.write("start", "worker", w.cfg.ID, "born", w.born.UnixMilli(), "task", o.Task, "run", o.Run, "fence", o.Fence)
		runTime, how := w.plan(o)
		a.timer = time.AfterFunc(runTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[o.Task] == a {
				w.end(o.Task, a, how)
			}
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

// forever is the run time of a task that lasts.
const forever = time.Hour

// plan returns the run time of a task and how it ends.
func (w *workerState) plan(o order) (time.Duration, string) {
	if w.grey {
		return greyFailure, "failed"
	}
	times := strings.Split(o.Spec, ",")
	parts := strings.Split(o.Task, ".")
	step, _ := strconv.Atoi(parts[2])
	text, fails := strings.CutSuffix(times[min(step, len(times)-1)], "f")
	if at, lasts := strings.CutPrefix(text, "last"); lasts {
		ms, err := strconv.Atoi(strings.TrimPrefix(at, "@"))
		failsIn := time.Until(time.UnixMilli(w.cfg.Began + int64(ms)))
		if err != nil || failsIn < 0 {
			return forever, "failed"
		}
		return failsIn, "failed"
	}
	ms, _ := strconv.Atoi(text)
	if fails {
		return time.Duration(ms) * time.Millisecond, "failed"
	}
	return time.Duration(ms) * time.Millisecond, "done"
}

func (w *workerState) end(task string, a *activeRun, how string) {
	a.timer.Stop()
	delete(w.active, task)
	w.closed[task] = max(w.closed[task], a.run)
	w.last++
	w.ends = append(w.ends, endRow{w.last, task, a.run, how})
	w.rec.write("end", "worker", w.cfg.ID, "born", w.born.UnixMilli(), "task", task, "run", a.run, "how", how, "number", w.last)
	close(w.wake)
	w.wake = make(chan struct{})
}
