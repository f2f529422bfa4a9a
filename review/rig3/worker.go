package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runRecord is one run that a worker has started.
type runRecord struct {
	worker, task string
	run          int
	startedAt    time.Time
	endedAt      time.Time // zero while it runs
	how          string
}

// plan says what a run does: it ends after a duration, or never if that is 0.
type plan struct {
	duration time.Duration
	how      string // done or failed
}

// ledger has the runs of all workers and decides what each of them does.
type ledger struct {
	mu       sync.Mutex
	runs     []*runRecord
	attempts map[string]int // by task
}

// plan decides what a run of a task does. The spec lists the durations of the tasks of each step. After a
// number in parentheses, the first runs of each task of the step end failed: "20ms(2) 80s". The duration
// "forever" stands for tasks that last.
func (l *ledger) plan(spec, task string) plan {
	l.attempts[task]++
	steps := strings.Fields(spec)
	index, err := strconv.Atoi(strings.Split(task, ".")[2])
	if err != nil || index >= len(steps) {
		index = 0
	}
	text, failures, _ := strings.Cut(steps[index], "(")
	if n, err := strconv.Atoi(strings.TrimSuffix(failures, ")")); err == nil && l.attempts[task] <= n {
		return plan{duration: time.Millisecond, how: "failed"}
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return plan{}
	}
	return plan{duration: d, how: "done"}
}

// ofJob returns copies of the records of a job.
func (l *ledger) ofJob(id string) []runRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runRecord
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, id+".") {
			out = append(out, *r)
		}
	}
	return out
}

// worker is a stand-in for one life of a worker.
type worker struct {
	id, zone, rack, address string
	ledger                  *ledger

	mu       sync.Mutex
	born     time.Time
	fence    int64
	leaseEnd time.Time
	running  map[string]*activeRun
	floor    map[string]int // highest run that was stopped or has ended, by task
	ended    [][]any
	lastEnd  int64
	changed  chan struct{}
	server   *http.Server
	down     chan struct{}
}

type activeRun struct {
	*runRecord
	timer *time.Timer
}

const (
	maxReportedEnds = 500
	maxHold         = 10 * time.Second
	heartbeat       = 1500 * time.Millisecond
	clockStart      = 480_000 // reading of a worker's clock at its start, in milliseconds
)

// newWorker starts a worker, which registers itself in the store.
func newWorker(id, zone, rack string, l *ledger, store *valueStore) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, zone: zone, rack: rack, address: listener.Addr().String(), ledger: l, born: time.Now(),
		running: map[string]*activeRun{}, floor: map[string]int{}, changed: make(chan struct{}), down: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }() // returns when the server is closed
	go w.beat(store)
	return w, nil
}

func (w *worker) beat(store *valueStore) {
	for sequence := 1; ; sequence++ {
		text, err := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": 32000, "memMb": 131072, "gpu": 0}, "labels": []string{"a", w.rack},
			"born": w.born.UnixMilli(), "sequence": sequence,
		})
		if err != nil {
			panic(fmt.Sprintf("encode an entry: %v", err)) // a map of plain values is always encodable
		}
		store.Heartbeat("servers/"+w.id, text, 3*heartbeat)
		select {
		case <-w.down:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the worker and all that it runs. It sends nothing.
func (w *worker) crash() {
	close(w.down)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for _, a := range w.running {
		a.timer.Stop()
		a.endedAt, a.how = time.Now(), "lost"
	}
	clear(w.running)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + clockStart }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.fence = o.Fence
	w.expire()
	switch r.URL.Path {
	case "/v1/hold":
		w.hold(rw, r, o)
	case "/v1/run-start":
		w.start(rw, o)
	case "/v1/run-stop":
		if a := w.running[o.Task]; a != nil && a.run <= o.Run {
			w.end(a, "stopped", time.Now())
		}
		w.floor[o.Task] = max(w.floor[o.Task], o.Run)
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails if the client has disconnected
}

func (w *worker) extend(deadlineMs int64) {
	end := w.born.Add(time.Duration(deadlineMs-clockStart) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		time.AfterFunc(time.Until(end)+time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expire()
		})
	}
}

// expire ends all runs if the lease has expired.
func (w *worker) expire() {
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, a := range w.running {
		w.end(a, "lapsed", w.leaseEnd)
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.AckedUpto {
		w.ended = w.ended[1:]
	}
	timeout := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := o.WaitMs == 0; !timedOut && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			timedOut = true
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, a := range w.running {
		running = append(running, []any{a.task, a.run, "", 50, 0})
	}
	reply(rw, http.StatusOK, map[string]any{
		"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": append([][]any{}, w.ended[:min(len(w.ended), maxReportedEnds)]...),
	})
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	a := w.running[o.Task]
	reason := ""
	switch {
	case o.DeadlineMs < w.clock():
		reason = "late"
	case o.Run <= w.floor[o.Task] || (a != nil && a.run != o.Run):
		reason = "old"
	}
	if reason != "" {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
		return
	}
	if a == nil {
		w.extend(o.DeadlineMs)
		w.startRun(o)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) startRun(o order) {
	record := &runRecord{worker: w.id, task: o.Task, run: o.Run, startedAt: time.Now()}
	w.ledger.mu.Lock()
	p := w.ledger.plan(o.Spec, o.Task)
	w.ledger.runs = append(w.ledger.runs, record)
	w.ledger.mu.Unlock()
	a := &activeRun{runRecord: record, timer: time.NewTimer(time.Hour)}
	a.timer.Stop()
	w.running[o.Task] = a
	if p.duration == 0 {
		return
	}
	a.timer = time.AfterFunc(p.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
		if w.running[o.Task] == a {
			w.end(a, p.how, time.Now())
		}
	})
}

func (w *worker) end(a *activeRun, how string, at time.Time) {
	a.timer.Stop()
	w.ledger.mu.Lock()
	a.endedAt, a.how = at, how
	w.ledger.mu.Unlock()
	delete(w.running, a.task)
	w.floor[a.task] = max(w.floor[a.task], a.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, a.task, a.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}
