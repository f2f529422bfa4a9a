package main

import (
	"fmt"
	"strings"
)

type runRecord struct {
	worker     string
	born       int64
	run        int
	start, end float64 // milliseconds; end of a run without one is the end of the record
	how        string
	number     int64
}

// runsByTask returns the runs of each task in the order of their starts.
func runsByTask(events []event) map[string][]*runRecord {
	out := map[string][]*runRecord{}
	open := map[string]*runRecord{}
	last := 0.0
	key := func(e event) string { return fmt.Sprint(e.Worker, e.Born, e.Task, e.Run) }
	for _, e := range events {
		last = max(last, e.Ms)
		switch e.Event {
		case "start":
			r := &runRecord{worker: e.Worker, born: e.Born, run: e.Run, start: e.Ms, end: -1}
			out[e.Task] = append(out[e.Task], r)
			open[key(e)] = r
		case "end":
			if r := open[key(e)]; r != nil {
				r.end, r.how, r.number = e.Ms, e.How, e.Number
				delete(open, key(e))
			}
		case "worker_killed":
			for k, r := range open {
				if r.worker == e.Worker {
					r.end, r.how = e.Ms, "lost"
					delete(open, k)
				}
			}
		}
	}
	for _, r := range open {
		r.end, r.how = last, "running"
	}
	return out
}

// notedAt returns when the end of a run was taken note of, that is, when ackedUpto reached it without
// a lapse of the worker's lease in between.
func notedAt(events []event, r *runRecord) (float64, bool) {
	for _, e := range events {
		if e.Worker != r.worker || e.Ms < r.end {
			continue
		}
		switch {
		case e.Event == "lease_lapsed" || e.Event == "worker_killed":
			return 0, false
		case e.Event == "acked" && e.Born == r.born && e.Upto >= r.number:
			return e.Ms, true
		}
	}
	return 0, false
}

// judgeTwice returns the violations of the rule TWICE.
func judgeTwice(events []event) []string {
	var out []string
	for task, runs := range runsByTask(events) {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.start < a.end {
					out = append(out, fmt.Sprintf("%s: run %d on %s (%.0f to %.0f ms) and run %d on %s (from %.0f ms) at the same time", task, a.run, a.worker, a.start, a.end, b.run, b.worker, b.start))
				} else if a.how == "done" {
					if at, noted := notedAt(events, a); noted {
						out = append(out, fmt.Sprintf("%s: run %d ended done on %s at %.0f ms (taken note of at %.0f ms), run %d started on %s at %.0f ms", task, a.run, a.worker, a.end, at, b.run, b.worker, b.start))
					}
				}
			}
		}
	}
	return out
}

// doneTasks returns how many tasks whose name begins with a prefix have ended done.
func doneTasks(events []event, prefix string) int {
	n := 0
	for task, runs := range runsByTask(events) {
		if !strings.HasPrefix(task, prefix) {
			continue
		}
		for _, r := range runs {
			if r.how == "done" {
				n++
				break
			}
		}
	}
	return n
}

// runningBetween reports whether a task whose name begins with a prefix ran at any time between two
// times in milliseconds.
func runningBetween(events []event, prefix string, from, to float64) bool {
	for task, runs := range runsByTask(events) {
		if !strings.HasPrefix(task, prefix) {
			continue
		}
		for _, r := range runs {
			if r.start < to && r.end > from {
				return true
			}
		}
	}
	return false
}

// peakUse returns the highest number of runs at the same time between two times.
func peakUse(events []event, from, to float64) int {
	peak := 0
	var runs []*runRecord
	for _, list := range runsByTask(events) {
		runs = append(runs, list...)
	}
	for _, at := range runs {
		for _, t := range []float64{from, at.start} {
			if t < from || t > to {
				continue
			}
			n := 0
			for _, r := range runs {
				if r.start <= t && r.end > t {
					n++
				}
			}
			peak = max(peak, n)
		}
	}
	return peak
}

// runningAt returns how many tasks whose name begins with a prefix run at a given time.
func runningAt(events []event, prefix string, at float64) int {
	n := 0
	for task, runs := range runsByTask(events) {
		for _, r := range runs {
			if strings.HasPrefix(task, prefix) && r.start <= at && (r.end > at || r.how == "running") {
				n++
			}
		}
	}
	return n
}
