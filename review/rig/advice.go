package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Figures of the advice of a queue, as in the configuration.
const (
	decideMs = 7.4
	eachMs   = 0.11
	validMs  = 2000
)

// serveAdvice starts a stand-in for the advice service and returns its address. The service allows the
// workers of kind "b" where there are such, otherwise every worker.
func (d *deployment) serveAdvice() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(d.advise)) }()
	return listener.Addr().String()
}

func (d *deployment) advise(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((decideMs + eachMs*float64(len(request.Workers))) * float64(time.Millisecond)))
	good := [][]string{}
	allowed := d.allowed()
	for _, worker := range request.Workers {
		if len(allowed) > 0 && !allowed[worker] {
			continue
		}
		good = append(good, []string{worker, ticketOf(request.Step, worker, time.Now().UnixMilli()+validMs)})
	}
	d.rec.write("advised", "step", request.Step, "workers", request.Workers, "good", len(good))
	reply(w, http.StatusOK, map[string]any{"good": good, "validMs": validMs})
}

// allowed returns the ids of the workers of kind "b".
func (d *deployment) allowed() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := map[string]bool{}
	for _, w := range d.workers {
		if w.cfg.Kind == "b" {
			ids[w.cfg.ID] = true
		}
	}
	return ids
}

func ticketOf(step, worker string, until int64) string {
	return fmt.Sprintf("%s/%s/%d", step, worker, until)
}

// validTicket reports whether an order to start a task carries a valid ticket for its step.
func validTicket(o order, worker string) bool {
	step := o.Task[:max(0, strings.LastIndex(o.Task, "."))]
	var until int64
	at := strings.LastIndex(o.Ticket, "/")
	if _, err := fmt.Sscan(o.Ticket[at+1:], &until); err != nil {
		return false
	}
	return o.Ticket == ticketOf(step, worker, until) && time.Now().UnixMilli() <= until
}
