package analysis

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxNamedLines is the number of unreadable lines that a report names; the others are only counted.
const maxNamedLines = 10

// Report is the result of an analysis.
type Report struct {
	Lines     int            `json:"lines"`
	From      float64        `json:"from_s"`
	To        float64        `json:"to_s"`
	Queues    []*Outcome     `json:"queues"`
	Teams     []*Outcome     `json:"teams"`
	Runs      map[string]int `json:"runs_without_success"`
	Refused   map[string]int `json:"refused_submissions"`
	Begins    Begins         `json:"begins"`
	Takeovers []Takeover     `json:"takeovers"`
	Use       []HourlyUse    `json:"use,omitempty"`

	QueueLengths []*QueueLengths `json:"queue_lengths,omitempty"`

	Samples    []Sample     `json:"samples"`
	Missing    []string     `json:"missing"` // what the log should contain and does not
	Skipped    int          `json:"skipped_lines"`
	Unreadable []Unreadable `json:"unreadable"` // the first skipped lines
}

// ErrNoJobs means that no line names a job.
var ErrNoJobs = errors.New("the log names no job: it is not the log of entry instances, or nothing was submitted")

// Report returns the result for the lines read so far, or ErrNoJobs.
func (a *Analyzer) Report() (*Report, error) {
	if len(a.order) == 0 {
		return nil, ErrNoJobs
	}
	slices.SortStableFunc(a.samples, func(x, y Sample) int { return cmp.Compare(x.At, y.At) })
	r := &Report{
		Lines: a.lines, From: a.first.Seconds(), To: a.last.Seconds(),
		Queues:    a.outcomes(func(j *jobTrace) string { return j.queue }),
		Teams:     a.outcomes(func(j *jobTrace) string { return j.team }),
		Runs:      a.runs,
		Refused:   a.refused,
		Begins:    a.begins(),
		Takeovers: a.takeovers,
		Use:       a.hourlyUse(),
		Samples:   a.samples,

		QueueLengths: a.sortedQueueLengths(),

		Skipped: len(a.unreadable),
	}
	r.Unreadable = a.unreadable[:min(len(a.unreadable), maxNamedLines)]
	for _, expected := range []struct{ event, why string }{
		{"queued", "the log of an owner is missing: waits and placements are not known"},
		{"accepted", "the logs of the instances that accept jobs are missing: queues and teams of restored jobs are not known"},
		{"partition", "the summary lines of the owner are missing: the use of the cores is not known"},
		{"instance started", "the log begins after the start of the instances, or is cut: jobs accepted before are incomplete"},
	} {
		if a.counts[expected.event] == 0 {
			r.Missing = append(r.Missing, fmt.Sprintf("no line %q: %s", expected.event, expected.why))
		}
	}
	return r, nil
}

// Text returns the report as lines with tab-separated columns.
func (r *Report) Text() []string {
	lines := []string{fmt.Sprintf("%d lines from %.1f s to %.1f s", r.Lines, r.From, r.To)}
	for _, missing := range r.Missing {
		lines = append(lines, "incomplete: "+missing)
	}
	if r.Skipped > 0 {
		lines = append(lines, fmt.Sprintf("%d lines could not be read:", r.Skipped))
		for _, u := range r.Unreadable {
			lines = append(lines, "  "+u.String())
		}
	}
	lines = append(lines, outcomeLines("queue", r.Queues)...)
	lines = append(lines, outcomeLines("team", r.Teams)...)
	lines = append(lines, "", "seconds that steps of jobs not in time waited, by cause")
	for _, q := range r.Queues {
		for _, cause := range byValue(q.WaitedFor) {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%.1f", q.Name, cause, q.WaitedFor[cause]))
		}
	}
	lines = append(lines, countLines("runs that did not succeed", r.Runs)...)
	lines = append(lines, countLines("submissions refused", r.Refused)...)
	lines = append(lines, r.Begins.lines()...)
	lines = append(lines, queueLengthLines(r.QueueLengths)...)
	lines = append(lines, "", "takeovers", "at s\tinstance\tjobs\twithout owner s\tworkers known after s")
	for _, t := range r.Takeovers {
		resolved := "not logged"
		if t.ResolvedIn >= 0 {
			resolved = fmt.Sprintf("%.1f", t.ResolvedIn)
		}
		lines = append(lines, fmt.Sprintf("%.1f\t%s\t%d\t%.1f\t%s", t.At, t.Instance, t.Jobs, t.WithoutFor, resolved))
	}
	lines = append(lines, useLines(r.Use)...)
	lines = append(lines, "", "cores", "at s\tcores\tused\treserved idle\tstranded\tfree\tjobs\tsteps\theld back\tunresolved\tproxies busy")
	for _, s := range r.Samples {
		lines = append(lines, fmt.Sprintf("%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.2f",
			s.At, s.Cores, s.Used, s.ReservedIdle, s.Stranded, s.Free, s.Jobs, s.Steps, s.HeldBack, s.Unresolved, s.ProxiesBusy))
	}
	return lines
}

func outcomeLines(kind string, list []*Outcome) []string {
	lines := []string{"", kind + "\tjobs\tin time\tlate\texpired\topen\tfailed\tcancelled\trestarted\tlate by s (median)"}
	for _, o := range list {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f",
			o.Name, o.Jobs, o.InTime, o.Late, o.Expired, o.Open, o.Failed, o.Cancelled, o.Restarted, o.LateMedian))
	}
	return lines
}

func countLines(title string, counts map[string]int) []string {
	lines := []string{"", title}
	for _, name := range byValue(counts) {
		lines = append(lines, fmt.Sprintf("%s\t%d", name, counts[name]))
	}
	return lines
}

// byValue returns the keys of a map, those with the largest values first.
func byValue[V int | float64](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), func(x, y string) int {
		return cmp.Or(-cmp.Compare(m[x], m[y]), strings.Compare(x, y))
	})
}
