package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// step is a step of a job as callers submit it.
type step struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu"` // millicores
	MemMB      int64 `json:"memMb"`
	EstimateMs int   `json:"estimateMs"`
	Gang       bool  `json:"gang,omitempty"`
	After      []int `json:"after,omitempty"`

	Affinity string `json:"affinity,omitempty"`
	Image    string `json:"image,omitempty"`
}

// randomJob returns the run time and the steps of a job: a short lookup, a job of two steps with many
// tasks, a gang, or hundreds of tiny tasks.
func randomJob(rng *rand.Rand) (runTime time.Duration, steps []step) {
	if rng.IntN(50) == 0 {
		return time.Second, []step{{Count: 300 + rng.IntN(900), CPU: 50, MemMB: 1, EstimateMs: 1000}}
	}
	switch rng.IntN(8) {
	case 0:
		return time.Duration(1000+rng.IntN(2000)) * time.Millisecond, []step{{Count: 2 + rng.IntN(4), CPU: 9000, MemMB: 100, EstimateMs: 2000, Gang: true}}
	case 1, 2:
		return time.Duration(300+rng.IntN(1500)) * time.Millisecond, []step{
			{Count: 3 + rng.IntN(6), CPU: 2000, MemMB: 100, EstimateMs: 1000}, {Count: 2, CPU: 500, MemMB: 10, EstimateMs: 1000, After: []int{0}},
		}
	default:
		return time.Duration(50+rng.IntN(700)) * time.Millisecond, []step{{Count: 2, CPU: 2800, MemMB: 100, EstimateMs: 600}}
	}
}

// submitJobs submits jobs until stop is closed. It retries submissions with an unknown outcome at
// random instances, as callers do.
func (h *harness) submitJobs(caller int, rng *rand.Rand, interval time.Duration, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Float64() * 2 * float64(interval))):
		}
		runTime, steps := randomJob(rng)
		id := fmt.Sprintf("%016x", (caller+1)<<32+n)
		randomNode := func() *node { return h.nodes[rng.IntN(len(h.nodes))] }
		h.submit(id, []string{"plain", "advised"}[rng.IntN(2)], runTime, steps, randomNode)
		if rng.IntN(12) == 0 {
			h.cancel(id, randomNode())
		}
	}
}

// cancel cancels a job, records when that was acknowledged, and reports whether it was.
func (h *harness) cancel(id string, at *node) bool {
	h.mu.Lock()
	record := h.jobs[id]
	record.cancelled = true
	h.mu.Unlock()
	status := h.call(at, "DELETE", "/"+record.queue+"/"+id, "")
	if status != http.StatusOK && status != http.StatusGone {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	record.cancelledAt = time.Now()
	return true
}

// submit submits a job and records the outcome.
func (h *harness) submit(id, queue string, runTime time.Duration, steps []step, to func() *node) {
	body, err := json.Marshal(map[string]any{"spec": runTime.String(), "steps": steps})
	if err != nil {
		h.t.Error(err)
		return
	}
	record := &jobRecord{queue: queue, steps: steps, refused: true}
	for range 6 {
		status := h.call(to(), "POST", "/"+queue+"/"+id, string(body))
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		record.accepted = record.accepted || status == http.StatusOK
		record.refused = record.refused && refused
		if record.accepted || refused {
			record.acceptedAt = time.Now()
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id] = record
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}

// call returns the HTTP status of a call, statusCompleted if the response reports the job as completed,
// or 0 without a complete response. It uses open connections until the process has ended.
func (h *harness) call(n *node, method, path, body string) int {
	request, err := http.NewRequest(method, "http://"+n.front()+path, strings.NewReader(body))
	if err != nil {
		h.t.Error(err)
		return 0
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if strings.Contains(string(text), `"completed"`) {
		return statusCompleted
	}
	return response.StatusCode
}

// statusCompleted marks a completed job. It is not a status that instances send.
const statusCompleted = 299
