package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request for a job, or for the queue if the ID is empty, and waits as long as the client does.
// The status is 0 if there was no answer.
func (r *rig) call(to *instance, method, id string, body any, wait time.Duration) (status int, text string, err error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+prefix+id, content)
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read
	return response.StatusCode, string(answer), err
}

// logged is call with a line in the record.
func (r *rig) logged(to *instance, method, id string, body any, wait time.Duration) int {
	sent := time.Now()
	status, text, err := r.call(to, method, id, body, wait)
	detail := text
	if err != nil {
		detail = "no answer"
	}
	r.rec.log("%s %s at %s, sent at %.3f: %d %s", method, id, to.name, sent.Sub(r.rec.start).Seconds(), status, detail)
	return status
}

// step is a step of a job as clients send it.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu,omitempty"`
	MemMB      int   `json:"memMb,omitempty"`
	EstimateMs int   `json:"estimateMs,omitempty"`
	After      []int `json:"after,omitempty"`
	RunForever bool  `json:"runForever,omitempty"`
}

// submission is the body of a submission.
type submission struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	FirstMs     int64  `json:"firstMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
