package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes one line for each request, answer and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	broken  []string // rules that were broken
	problem []string // reasons why the case could not run
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(r.file, line); err != nil {
		r.problem = append(r.problem, "write the record: "+err.Error())
	}
}

// breakRule records that a rule was broken.
func (r *record) breakRule(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write("BROKEN %s", text)
}

// fail records that the case could not run.
func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.problem = append(r.problem, text)
	r.write("PROBLEM %s", text)
}

// exitCode returns 1 if a rule was broken, 2 if the case could not run, and 0 otherwise.
func (r *record) exitCode() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.problem) > 0:
		r.write("RESULT could not run: %s", r.problem[0])
		return 2
	case len(r.broken) > 0:
		r.write("RESULT broken, %d times; first: %s", len(r.broken), r.broken[0])
		return 1
	default:
		r.write("RESULT held")
		return 0
	}
}
