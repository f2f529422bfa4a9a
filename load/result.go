package load

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Result is what one run shows. All times but those of Cost are virtual.
type Result struct {
	Policy       string        `json:"policy"`
	Seed         uint64        `json:"seed"`
	Workers      int           `json:"workers"`
	Duration     time.Duration `json:"duration_ns"`
	WorstError   float64       `json:"worst_share_error"`
	MeanError    float64       `json:"mean_share_error"`
	LongRunError float64       `json:"worst_long_run_share_error"`
	Packing      Packing       `json:"packing"`
	Cost         Cost          `json:"cost"`
	Kinds        []Waits       `json:"kinds"`
	Others       []Waits       `json:"kinds_of_others"` // without the flooding team
	Teams        []TeamResult  `json:"teams"`
}

// Packing is the mean part of each resource in use while work waited.
type Packing struct {
	Fullest      float64 `json:"fullest"` // the resource of which most was in use
	CPU          float64 `json:"cpu"`
	Memory       float64 `json:"memory"`
	Accelerators float64 `json:"accelerators"`
	Slots        float64 `json:"slots"`
}

// Cost is the processor time of the decisions, as measured.
type Cost struct {
	Starts       int           `json:"starts"`
	Finds        int           `json:"finds"`
	PerStart     time.Duration `json:"per_start_ns"` // rounds, arrivals and ends over starts
	PerFind      time.Duration `json:"per_find_ns"`  // rounds over searches for a worker
	LongestRound time.Duration `json:"longest_round_ns"`
	WaveEntries  int           `json:"wave_entries"`
	PerWaveEntry time.Duration `json:"per_wave_entry_ns"`
	LongestWave  time.Duration `json:"longest_wave_ns"`
}

// Waits is the waiting time of one kind of work.
type Waits struct {
	Kind task.Kind     `json:"kind"`
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	counts
}

// TeamResult is what one team got.
type TeamResult struct {
	Team       task.Team     `json:"team"`
	Weight     float64       `json:"weight"`
	Share      float64       `json:"share"`                // mean dominant share
	ShareError float64       `json:"share_error"`          // part of the fair share that was not had, by minute
	LongRun    float64       `json:"long_run_share_error"` // the same over the whole run
	P50        time.Duration `json:"p50_ns"`
	P99        time.Duration `json:"p99_ns"`
	Kinds      []Waits       `json:"kinds"`
}

func (m *measure) result(cfg Config) Result {
	m.closeWindow()
	r := Result{
		Policy: cfg.Policy, Seed: cfg.Seed, Workers: cfg.Workers, Duration: cfg.Duration,
		Packing: m.packing.result(),
		Cost:    m.costResult(),
	}
	for i := range m.accounts {
		t := m.teamResult(i)
		r.WorstError = max(r.WorstError, t.ShareError)
		r.LongRunError = max(r.LongRunError, t.LongRun)
		r.MeanError += t.ShareError / float64(len(m.accounts))
		r.Teams = append(r.Teams, t)
	}
	for _, kind := range task.Kinds {
		r.Kinds = append(r.Kinds, m.waitsOf(kind, m.accounts))
		r.Others = append(r.Others, m.waitsOf(kind, m.accounts[1:]))
	}
	return r
}

func (m *measure) waitsOf(kind task.Kind, accounts []account) Waits {
	var all []time.Duration
	var sum counts
	for i := range accounts {
		all = append(all, accounts[i].waits[kind]...)
		sum = sum.plus(*accounts[i].counts[kind])
	}
	return newWaits(kind, all, sum)
}

func (m *measure) teamResult(i int) TeamResult {
	a := &m.accounts[i]
	t := TeamResult{Team: m.teams[i].name, Weight: m.teams[i].weight}
	if m.samples > 0 {
		t.Share = a.held / float64(m.samples)
	}
	if a.due > 0 {
		t.ShareError = a.short / a.due
		t.LongRun = max(0, a.due-a.held) / a.due
	}
	var all []time.Duration
	for _, kind := range task.Kinds {
		t.Kinds = append(t.Kinds, newWaits(kind, a.waits[kind], *a.counts[kind]))
		all = append(all, a.waits[kind]...)
	}
	t.P50, t.P99 = percentiles(all)
	return t
}

func (m *measure) costResult() Cost {
	return Cost{
		Starts: m.cost.starts, Finds: m.cost.finds,
		PerStart:     per(m.cost.rounds+m.cost.events, m.cost.starts),
		PerFind:      per(m.cost.rounds, m.cost.finds),
		LongestRound: m.cost.longest,
		WaveEntries:  m.waves.entries,
		PerWaveEntry: per(m.waves.total, m.waves.entries),
		LongestWave:  m.waves.longest,
	}
}

func (p *packing) result() Packing {
	if p.samples == 0 {
		return Packing{}
	}
	n := float64(p.samples)
	return Packing{
		Fullest: p.fullest / n, CPU: p.sum[0] / n, Memory: p.sum[1] / n,
		Accelerators: p.sum[2] / n, Slots: p.sum[3] / n,
	}
}

func (c counts) plus(o counts) counts {
	return counts{
		Arrived: c.Arrived + o.Arrived, Started: c.Started + o.Started, Refused: c.Refused + o.Refused,
		Late: c.Late + o.Late, Expired: c.Expired + o.Expired, Cancelled: c.Cancelled + o.Cancelled,
	}
}

func newWaits(kind task.Kind, waits []time.Duration, c counts) Waits {
	w := Waits{Kind: kind, counts: c}
	w.P50, w.P99 = percentiles(waits)
	return w
}

func percentiles(waits []time.Duration) (p50, p99 time.Duration) {
	if len(waits) == 0 {
		return 0, 0
	}
	sorted := slices.Clone(waits)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)*99/100]
}

func per(total time.Duration, n int) time.Duration {
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}
