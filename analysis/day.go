package analysis

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// maxGap is the maximum time between two consecutive lines of one period. The owner writes a line
// every two seconds while there are jobs.
const maxGap = 10 * time.Minute

// Analyzer collects the log lines of one period.
type Analyzer struct {
	jobs    map[string]*jobTrace
	order   []*jobTrace
	counts  map[string]int     // by event
	runs    map[string]int     // ends of runs other than success, by cause
	refused map[string]int     // rejected submissions, by cause
	use     map[useKey]float64 // highest total of the hour in share of the capacity times seconds
	samples []Sample

	queueLengths map[string]*QueueLengths // by queue
	takeovers    []Takeover
	ownerSeen    bool          // an owner has written a line
	ownerEnd     time.Duration // when the last ownership ended, or its last summary was written
	unreadable   []Unreadable
	clockBase    *time.Duration // difference between the clock of the instances and the collector's
	first        time.Duration
	last         time.Duration
	lines        int
}

// jobTrace is what the log says about one job.
type jobTrace struct {
	queue, team string
	queuedAt    time.Duration
	end         string // event that ended it; empty if there is none
	after       time.Duration
	objective   time.Duration
	steps       map[string]*stepTrace
	order       []*stepTrace
	restarts    int
	begin       beginTrace
}

// stepTrace is the waiting of one step until all its tasks were first started.
type stepTrace struct {
	since  time.Duration
	cause  string
	placed bool
	waits  map[string]time.Duration // by cause
}

// Sample is the state of a partition at one time.
type Sample struct {
	At           float64 `json:"at_s"`
	Instance     string  `json:"instance,omitempty"`
	Cores        float64 `json:"cores"`
	Used         float64 `json:"used"`
	ReservedIdle float64 `json:"reserved_idle"`
	Stranded     float64 `json:"stranded"`
	Free         float64 `json:"free"`
	Jobs         int     `json:"jobs"`
	Steps        int     `json:"steps"`
	HeldBack     int     `json:"held_back"`
	Unresolved   int     `json:"unresolved"`
	ProxiesBusy  float64 `json:"proxies_busy"`
}

// Takeover is a change of the owner.
type Takeover struct {
	At         float64 `json:"at_s"`
	Instance   string  `json:"instance,omitempty"`
	Jobs       int     `json:"jobs"`
	WithoutFor float64 `json:"without_owner_s"` // since the last summary of the former owner, or the end of its ownership
	ResolvedIn float64 `json:"resolved_in_s"`   // until no worker was unresolved; negative if that was not logged
}

// NewAnalyzer returns an analyzer without lines.
func NewAnalyzer() *Analyzer {
	return &Analyzer{jobs: make(map[string]*jobTrace), counts: make(map[string]int), runs: make(map[string]int), refused: make(map[string]int), queueLengths: make(map[string]*QueueLengths), use: make(map[useKey]float64)}
}

// Read adds the lines of one file. An error names the file and the line; the lines before it are
// part of the analysis.
func (a *Analyzer) Read(file string, in io.Reader) error {
	var mixed error
	previous := time.Duration(math.MinInt64)
	err := readRecords(file, in, func(line int, r record) {
		if mixed != nil {
			return
		}
		if mixed = a.checkPeriod(file, line, previous, &r); mixed != nil {
			return
		}
		previous = r.at
		a.add(r)
	}, func(u Unreadable) { a.unreadable = append(a.unreadable, u) })
	if err != nil {
		return err
	}
	return mixed
}

// checkPeriod returns an error if a line belongs to another period than the lines before it. Among
// lines with a collector's time, those without one, which the collector has split, get it from their
// clock.
func (a *Analyzer) checkPeriod(file string, line int, previous time.Duration, r *record) error {
	if !r.collected && a.clockBase != nil {
		r.at = r.clock - *a.clockBase
	}
	if r.collected {
		base := r.clock - r.at
		if a.clockBase == nil {
			a.clockBase = &base
		}
		if difference := (base - *a.clockBase).Abs() % (24 * time.Hour); difference > maxGap && difference < 24*time.Hour-maxGap {
			return fmt.Errorf("%s:%d: the line is of another day: its clock differs from the lines before by %s", file, line, difference)
		}
		return nil
	}
	if previous != math.MinInt64 && (r.at-previous).Abs() > maxGap && (r.at-previous).Abs() < 24*time.Hour-maxGap {
		return fmt.Errorf("%s:%d: the line is of another period: it is %s away from the line before", file, line, (r.at - previous).Abs())
	}
	return nil
}

func (a *Analyzer) add(r record) {
	if a.lines == 0 || r.at < a.first {
		a.first = r.at
	}
	a.last = max(a.last, r.at)
	a.lines++
	a.counts[r.event]++
	switch r.event {
	case "partition":
		a.addSample(r)
	case "use":
		a.addUse(r)
	case "queue_length":
		a.addQueueLength(r)
	case "ownership_ready":
		t := Takeover{At: r.at.Seconds(), Instance: r.instance, Jobs: int(r.number("jobs")), ResolvedIn: -1}
		if a.ownerSeen {
			t.WithoutFor = max(0, (r.at - a.ownerEnd).Seconds())
		}
		a.takeovers = append(a.takeovers, t)
		a.ownerSeen, a.ownerEnd = true, r.at
	case "ownership_ended":
		a.ownerEnd = r.at
	case "refused":
		a.refused[r.fields["why"]]++
		return // the job does not exist
	case "cancelled":
		if r.fields["by"] == "tombstone" {
			return // likewise
		}
	case "run_ended":
		a.runs[r.fields["how"]]++
	case "run_lost":
		a.runs["lost: "+r.fields["why"]]++
	case "start_refused":
		a.runs["refused: "+r.fields["verdict"]]++
	}
	if r.fields["job"] != "" {
		a.addJobEvent(r)
	}
}

func (a *Analyzer) addSample(r record) {
	s := Sample{
		At: r.at.Seconds(), Instance: r.instance, Cores: r.number("cores"), Used: r.number("used"), ReservedIdle: r.number("kept_idle"),
		Stranded: r.number("stranded"), Jobs: int(r.number("jobs")), Steps: int(r.number("steps")), HeldBack: int(r.number("held_back")),
		Unresolved: int(r.number("unresolved")), ProxiesBusy: r.number("lanes_busy"),
	}
	s.Free = max(0, s.Cores-s.Used-s.ReservedIdle-s.Stranded)
	a.samples = append(a.samples, s)
	a.ownerEnd = r.at
	if n := len(a.takeovers); n > 0 && a.takeovers[n-1].ResolvedIn < 0 && s.Unresolved == 0 {
		a.takeovers[n-1].ResolvedIn = s.At - a.takeovers[n-1].At
	}
}

// addJobEvent adds a line of a job to its trace.
func (a *Analyzer) addJobEvent(r record) {
	id := r.fields["job"]
	j := a.jobs[id]
	if j == nil {
		j = &jobTrace{queuedAt: r.at, steps: make(map[string]*stepTrace)}
		a.jobs[id] = j
		a.order = append(a.order, j)
	}
	if queue := r.fields["queue"]; queue != "" {
		j.queue, j.team = queue, r.fields["team"]
	}
	j.begin.addBeginEvent(r)
	switch r.event {
	case "queued":
		j.queuedAt = r.at
	case "completed", "failed", "cancelled":
		if r.fields["after_ms"] == "" {
			return // the line of the instance that passed the cancellation on
		}
		j.end, j.after, j.objective = r.event, r.milliseconds("after_ms"), r.milliseconds("objective_ms")
	case "run_ended", "run_lost", "start_refused":
		j.restarts++
	case "advised":
		j.step(r).switchCause(r.at, "after_advice")
	case "waits":
		j.step(r).switchCause(r.at, r.fields["why"])
	case "placed":
		s := j.step(r)
		s.switchCause(r.at, "rest_of_step")
		s.placed = s.placed || r.fields["tasks"] == r.fields["of"]
	}
}

// step returns the trace of the step that a line names. The first step waits since the job was
// queued; when a later one became ready is not logged, so it waits since its first line.
func (j *jobTrace) step(r record) *stepTrace {
	name := r.fields["step"]
	s := j.steps[name]
	if s == nil {
		s = &stepTrace{since: r.at, cause: "first_pass", waits: make(map[string]time.Duration)}
		if len(j.steps) == 0 {
			s.since = j.queuedAt
		}
		if r.event == "advised" {
			s.cause = "advice"
		}
		j.steps[name] = s
		j.order = append(j.order, s)
	}
	return s
}

func (s *stepTrace) switchCause(at time.Duration, cause string) {
	if s.placed {
		return
	}
	s.waits[s.cause] += at - s.since
	s.since, s.cause = at, cause
}

// Outcome counts the jobs of a queue or a team by how they ended.
type Outcome struct {
	Name       string             `json:"name"`
	Jobs       int                `json:"jobs"`
	InTime     int                `json:"in_time"`
	Late       int                `json:"late"`    // up to schedule.ExpiryFactor times the objective
	Expired    int                `json:"expired"` // completed after that
	Open       int                `json:"open"`    // not ended in the log
	Failed     int                `json:"failed"`
	Cancelled  int                `json:"cancelled"`
	Restarted  int                `json:"restarted"`        // jobs with at least one run that did not succeed
	LateMedian float64            `json:"late_by_median_s"` // of the late and expired jobs, beyond the objective
	WaitedFor  map[string]float64 `json:"waited_for_s"`     // seconds that steps of jobs not in time waited, by cause

	lateBy []time.Duration
}

func (o *Outcome) add(j *jobTrace) {
	o.Jobs++
	if j.restarts > 0 {
		o.Restarted++
	}
	switch {
	case j.end == "":
		o.Open++
	case j.end == "failed":
		o.Failed++
		return
	case j.end == "cancelled":
		o.Cancelled++
		return
	case j.after <= j.objective:
		o.InTime++
		return
	case j.after <= schedule.ExpiryFactor*j.objective:
		o.Late++
	default:
		o.Expired++
	}
	if j.end != "" {
		o.lateBy = append(o.lateBy, j.after-j.objective)
	}
	for _, s := range j.order {
		for cause, waited := range s.waits {
			o.WaitedFor[cause] += waited.Seconds()
		}
	}
}

func (o *Outcome) finish() {
	if len(o.lateBy) > 0 {
		slices.Sort(o.lateBy)
		o.LateMedian = o.lateBy[len(o.lateBy)/2].Seconds()
	}
}

// outcomes groups the jobs by a name.
func (a *Analyzer) outcomes(name func(*jobTrace) string) []*Outcome {
	byName := make(map[string]*Outcome)
	var list []*Outcome
	for _, j := range a.order {
		key := name(j)
		if key == "" {
			key = "(not logged)"
		}
		if byName[key] == nil {
			byName[key] = &Outcome{Name: key, WaitedFor: make(map[string]float64)}
			list = append(list, byName[key])
		}
		byName[key].add(j)
	}
	slices.SortFunc(list, func(x, y *Outcome) int { return cmp.Compare(x.Name, y.Name) })
	for _, o := range list {
		o.finish()
	}
	return list
}
