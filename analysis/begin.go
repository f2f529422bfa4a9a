package analysis

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxNamedJobs is the number of unconfirmed jobs that a report names.
const maxNamedJobs = 10

// Begins says how workers have confirmed that the jobs with start orders began.
type Begins struct {
	Ordered     int              `json:"ordered"`     // jobs with at least one start order
	Evidence    map[string]int   `json:"by_evidence"` // jobs by what has shown their begin
	Median      float64          `json:"median_s"`    // from the first start order to the begin
	Longest     float64          `json:"longest_s"`   // the same
	LongestJob  string           `json:"longest_job"` // job with the longest time
	Unconfirmed int              `json:"unconfirmed"` // jobs with orders that have neither begun nor ended in the log
	Named       []UnconfirmedJob `json:"unconfirmed_jobs,omitempty"`
}

// UnconfirmedJob is a job whose start orders no worker has confirmed.
type UnconfirmedJob struct {
	Job       string  `json:"job"`
	OrderedAt float64 `json:"ordered_at_s"`
	Orders    int     `json:"orders"` // lines of placements
	Last      string  `json:"last"`   // last line on an order that failed; empty if there is none
}

// beginTrace is what the log says about the begin of one job.
type beginTrace struct {
	orderedAt time.Duration // of the first start order
	orders    int
	begunAt   time.Duration
	evidence  string // empty until a worker has shown the begin
	last      string
}

// addBeginEvent adds a line of a job to the trace of its begin. A job that two owners have seen begin
// counts by the first line.
func (b *beginTrace) addBeginEvent(r record) {
	switch r.event {
	case "placed":
		if b.orders == 0 {
			b.orderedAt = r.at
		}
		b.orders++
	case "begun":
		if b.evidence == "" {
			b.begunAt, b.evidence = r.at, r.fields["by"]
		}
	case "start_refused":
		b.last = r.event + " " + r.fields["verdict"] + " on " + r.fields["worker"]
	case "run_lost":
		b.last = r.event + " " + r.fields["why"] + " on " + r.fields["worker"]
	}
}

// begins summarizes the begins of all jobs that the log has start orders of.
func (a *Analyzer) begins() Begins {
	out := Begins{Evidence: make(map[string]int)}
	if a.counts["begun"] == 0 {
		return out // an older version wrote no such lines
	}
	var times []time.Duration
	for id, j := range a.jobs {
		b := &j.begin
		switch {
		case b.orders == 0:
			continue
		case b.evidence != "":
			out.Evidence[b.evidence]++
			took := max(0, b.begunAt-b.orderedAt)
			times = append(times, took)
			if seconds := took.Seconds(); out.LongestJob == "" || seconds > out.Longest || seconds == out.Longest && id < out.LongestJob {
				out.Longest, out.LongestJob = seconds, id
			}
		case j.end == "":
			out.Unconfirmed++
			out.Named = append(out.Named, UnconfirmedJob{Job: id, OrderedAt: b.orderedAt.Seconds(), Orders: b.orders, Last: b.last})
		}
		out.Ordered++
	}
	if len(times) > 0 {
		slices.Sort(times)
		out.Median = times[len(times)/2].Seconds()
	}
	slices.SortFunc(out.Named, func(x, y UnconfirmedJob) int {
		return cmp.Or(cmp.Compare(x.OrderedAt, y.OrderedAt), strings.Compare(x.Job, y.Job))
	})
	out.Named = out.Named[:min(len(out.Named), maxNamedJobs)]
	return out
}

// lines returns the summary as lines with tab-separated columns.
func (b *Begins) lines() []string {
	if b.Ordered == 0 {
		return nil
	}
	lines := countLines("jobs by what has shown that they began", b.Evidence)
	lines = append(lines, fmt.Sprintf("%d jobs with start orders, begun after %.2f s (median) to %.2f s (%s)", b.Ordered, b.Median, b.Longest, cmp.Or(b.LongestJob, "none")))
	if b.Unconfirmed == 0 {
		return lines
	}
	lines = append(lines, fmt.Sprintf("%d jobs whose start orders no worker has confirmed:", b.Unconfirmed), "job\tordered at s\tplacements\tlast failure")
	for _, j := range b.Named {
		lines = append(lines, fmt.Sprintf("%s\t%.1f\t%d\t%s", j.Job, j.OrderedAt, j.Orders, cmp.Or(j.Last, "not logged")))
	}
	return lines
}

// QueueLengths says which lengths of a queue callers were shown, by the logged part of the answers.
type QueueLengths struct {
	Queue     string  `json:"queue"`
	Answers   int     `json:"answers"`
	Longest   int     `json:"longest"`
	LongestAt float64 `json:"longest_at_s"`
	Oldest    float64 `json:"oldest_s"`    // highest age of the owner's view in a current answer
	NotShown  int     `json:"not_current"` // answers without a length, since the view was too old
}

// addQueueLength adds the line of an answer.
func (a *Analyzer) addQueueLength(r record) {
	name := r.fields["queue"]
	q := a.queueLengths[name]
	if q == nil {
		q = &QueueLengths{Queue: name}
		a.queueLengths[name] = q
	}
	if r.fields["current"] != "true" {
		q.NotShown++
		return
	}
	q.Answers++
	q.Oldest = max(q.Oldest, r.milliseconds("age_ms").Seconds())
	if n := int(r.number("pending")); n > q.Longest {
		q.Longest, q.LongestAt = n, r.at.Seconds()
	}
}

// sortedQueueLengths returns the lengths by the name of the queue.
func (a *Analyzer) sortedQueueLengths() []*QueueLengths {
	out := make([]*QueueLengths, 0, len(a.queueLengths))
	for _, q := range a.queueLengths {
		out = append(out, q)
	}
	slices.SortFunc(out, func(x, y *QueueLengths) int { return strings.Compare(x.Queue, y.Queue) })
	return out
}

// queueLengthLines returns the lengths as lines with tab-separated columns; none if no answer was logged.
func queueLengthLines(lengths []*QueueLengths) []string {
	if len(lengths) == 0 {
		return nil
	}
	lines := []string{"", "queue lengths shown to callers (logged part)", "queue\tanswers\tlongest\tat s\toldest view s\tnot current"}
	for _, q := range lengths {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%.1f\t%.2f\t%d", q.Queue, q.Answers, q.Longest, q.LongestAt, q.Oldest, q.NotShown))
	}
	return lines
}
