package load

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Result holds the measurements of one run. All times except those of Cost are
// virtual.
type Result struct {
	Policy                 string        `json:"policy"`
	Seed                   uint64        `json:"seed"`
	Workers                int           `json:"workers"`
	Duration               time.Duration `json:"duration_ns"`
	WorstShareError        float64       `json:"worst_share_error"`
	MeanShareError         float64       `json:"mean_share_error"`
	WorstLongRunShareError float64       `json:"worst_long_run_share_error"`
	Packing                Packing       `json:"packing"`
	Cost                   Cost          `json:"cost"`
	Kinds                  []KindResult  `json:"kinds"`
	KindsOfOthers          []KindResult  `json:"kinds_of_others"` // excluding the flooding team
	Teams                  []TeamResult  `json:"teams"`
}

// Packing is the mean utilization of each resource while jobs were waiting.
type Packing struct {
	Bottleneck   float64 `json:"fullest"` // mean utilization of the bottleneck resource
	CPU          float64 `json:"cpu"`
	Memory       float64 `json:"memory"`
	Accelerators float64 `json:"accelerators"`
	Slots        float64 `json:"slots"`
}

// Cost is the measured time of the scheduling decisions.
type Cost struct {
	Starts            int           `json:"starts"`
	Searches          int           `json:"finds"`
	PerStart          time.Duration `json:"per_start_ns"` // time of rounds, arrivals, expiries and job ends divided by starts
	PerSearch         time.Duration `json:"per_find_ns"`  // time of rounds divided by placement searches
	LongestRound      time.Duration `json:"longest_round_ns"`
	WithdrawnEntries  int           `json:"wave_entries"`
	PerWithdrawnEntry time.Duration `json:"per_wave_entry_ns"`
	LongestWithdrawal time.Duration `json:"longest_wave_ns"`
}

// KindResult holds the waiting times and the outcome counts of one kind of work.
type KindResult struct {
	Kind task.Kind     `json:"kind"`
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	jobCounts
}

// TeamResult holds the measurements of one team.
type TeamResult struct {
	Team              task.Team     `json:"team"`
	Weight            float64       `json:"weight"`
	Share             float64       `json:"share"`                // mean dominant share
	ShareError        float64       `json:"share_error"`          // shortfall as a fraction of the fair share, summed over windows of one minute
	LongRunShareError float64       `json:"long_run_share_error"` // the same over the whole run
	P50               time.Duration `json:"p50_ns"`
	P99               time.Duration `json:"p99_ns"`
	Kinds             []KindResult  `json:"kinds"`
}

func (rec *recorder) result(cfg Config) Result {
	rec.closeWindow()
	r := Result{
		Policy: cfg.Policy, Seed: cfg.Seed, Workers: cfg.Workers, Duration: cfg.Duration,
		Packing: rec.packing.result(),
		Cost:    rec.costResult(),
	}
	for i := range rec.stats {
		t := rec.teamResult(i)
		r.WorstShareError = max(r.WorstShareError, t.ShareError)
		r.WorstLongRunShareError = max(r.WorstLongRunShareError, t.LongRunShareError)
		r.MeanShareError += t.ShareError / float64(len(rec.stats))
		r.Teams = append(r.Teams, t)
	}
	for _, kind := range task.Kinds {
		r.Kinds = append(r.Kinds, rec.kindResult(kind, rec.stats))
		r.KindsOfOthers = append(r.KindsOfOthers, rec.kindResult(kind, rec.stats[1:]))
	}
	return r
}

func (rec *recorder) kindResult(kind task.Kind, stats []teamStats) KindResult {
	var all []time.Duration
	var sum jobCounts
	for i := range stats {
		all = append(all, stats[i].waits[kind]...)
		sum = sum.add(*stats[i].counts[kind])
	}
	return newKindResult(kind, all, sum)
}

func (rec *recorder) teamResult(i int) TeamResult {
	stats := &rec.stats[i]
	t := TeamResult{Team: rec.teams[i].name, Weight: rec.teams[i].weight}
	if rec.samples > 0 {
		t.Share = stats.shareSum / float64(rec.samples)
	}
	if stats.fairShareSum > 0 {
		t.ShareError = stats.shortfall / stats.fairShareSum
		t.LongRunShareError = max(0, stats.fairShareSum-stats.shareSum) / stats.fairShareSum
	}
	var all []time.Duration
	for _, kind := range task.Kinds {
		t.Kinds = append(t.Kinds, newKindResult(kind, stats.waits[kind], *stats.counts[kind]))
		all = append(all, stats.waits[kind]...)
	}
	t.P50, t.P99 = percentiles(all)
	return t
}

func (rec *recorder) costResult() Cost {
	return Cost{
		Starts: rec.cost.starts, Searches: rec.cost.searches,
		PerStart:          mean(rec.cost.roundTime+rec.cost.eventTime, rec.cost.starts),
		PerSearch:         mean(rec.cost.roundTime, rec.cost.searches),
		LongestRound:      rec.cost.longestRound,
		WithdrawnEntries:  rec.withdrawals.entries,
		PerWithdrawnEntry: mean(rec.withdrawals.total, rec.withdrawals.entries),
		LongestWithdrawal: rec.withdrawals.longest,
	}
}

func (p *packing) result() Packing {
	if p.samples == 0 {
		return Packing{}
	}
	n := float64(p.samples)
	return Packing{
		Bottleneck: p.bottleneckSum / n, CPU: p.sums[0] / n, Memory: p.sums[1] / n,
		Accelerators: p.sums[2] / n, Slots: p.sums[3] / n,
	}
}

func (c jobCounts) add(o jobCounts) jobCounts {
	return jobCounts{
		Arrived: c.Arrived + o.Arrived, Started: c.Started + o.Started, Refused: c.Refused + o.Refused,
		DeadlineRefused: c.DeadlineRefused + o.DeadlineRefused, Expired: c.Expired + o.Expired, Cancelled: c.Cancelled + o.Cancelled,
	}
}

func newKindResult(kind task.Kind, waits []time.Duration, counts jobCounts) KindResult {
	r := KindResult{Kind: kind, jobCounts: counts}
	r.P50, r.P99 = percentiles(waits)
	return r
}

func percentiles(waits []time.Duration) (p50, p99 time.Duration) {
	if len(waits) == 0 {
		return 0, 0
	}
	sorted := slices.Clone(waits)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)*99/100]
}

func mean(total time.Duration, n int) time.Duration {
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}
