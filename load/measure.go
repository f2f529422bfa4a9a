package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// windowSamples is the number of samples over which a team's share is averaged
// before it is compared with the fair one.
const windowSamples = 60

// measure collects what a run shows.
type measure struct {
	teams    []team
	capacity task.Resources
	accounts []account // by team
	fairs    []float64 // working memory of sample
	samples  int
	packing  packing
	cost     cost
	waves    waveCost
}

// account is what one team got.
type account struct {
	waiting task.Resources
	running task.Resources
	counts  map[task.Kind]*counts
	waits   map[task.Kind][]time.Duration
	actual  float64 // sums over the present window
	fair    float64
	short   float64 // sums over all windows
	due     float64
	held    float64
}

// counts is what became of the jobs of one team and kind.
type counts struct {
	Arrived   int `json:"arrived"`
	Started   int `json:"started"`
	Refused   int `json:"refused"`
	Late      int `json:"late"` // refused at once because the deadline could not be met
	Expired   int `json:"expired"`
	Cancelled int `json:"cancelled"`
}

// packing is the use of the cluster while work waited.
type packing struct {
	samples int
	sum     [4]float64 // processors, memory, accelerators, slots
	fullest float64
}

// cost is the processor time of decisions.
type cost struct {
	events  time.Duration
	rounds  time.Duration
	longest time.Duration
	finds   int
	starts  int
}

type waveCost struct {
	entries int
	longest time.Duration
	total   time.Duration
}

func newMeasure(teams []team, capacity task.Resources) *measure {
	m := &measure{teams: teams, capacity: capacity, accounts: make([]account, len(teams))}
	for i := range m.accounts {
		m.accounts[i].counts = map[task.Kind]*counts{}
		m.accounts[i].waits = map[task.Kind][]time.Duration{}
		for _, kind := range task.Kinds {
			m.accounts[i].counts[kind] = &counts{}
		}
	}
	m.fairs = make([]float64, len(teams))
	return m
}

func (m *measure) countsOf(j *job) *counts { return m.accounts[j.team].counts[j.shape.kind] }

func (m *measure) arrived(j *job, err *errkind.Error) {
	c := m.countsOf(j)
	c.Arrived++
	switch {
	case err == nil:
		m.accounts[j.team].waiting = m.accounts[j.team].waiting.Add(j.total())
	case err.Kind == errkind.DeadlineExceeded:
		c.Late++
	default:
		c.Refused++
	}
}

func (m *measure) started(now time.Time, j *job) {
	a := &m.accounts[j.team]
	a.waiting = a.waiting.Sub(j.total())
	a.running = a.running.Add(j.total())
	if j.arrived.Sub(origin) >= initialSpread {
		a.waits[j.shape.kind] = append(a.waits[j.shape.kind], now.Sub(j.arrived))
	}
	m.countsOf(j).Started++
}

func (m *measure) ended(j *job) {
	a := &m.accounts[j.team]
	a.running = a.running.Sub(j.total())
}

func (m *measure) expired(j *job) {
	m.accounts[j.team].waiting = m.accounts[j.team].waiting.Sub(j.total())
	m.countsOf(j).Expired++
}

func (m *measure) cancelled(j *job) {
	m.accounts[j.team].waiting = m.accounts[j.team].waiting.Sub(j.total())
	m.countsOf(j).Cancelled++
}

func (m *measure) spent(d time.Duration) { m.cost.events += d }

func (m *measure) round(d time.Duration, finds, starts int) {
	m.cost.rounds += d
	m.cost.longest = max(m.cost.longest, d)
	m.cost.finds += finds
	m.cost.starts += starts
}

func (m *measure) wave(d time.Duration, entries int) {
	m.waves.entries += entries
	m.waves.total += d
	m.waves.longest = max(m.waves.longest, d)
}

// sample compares each team's share with the fair one: what the team would have
// if the shares that all teams have together were divided by weight, giving no
// team more than it asks for.
func (m *measure) sample(time.Time) {
	held := 0.0
	waits := false
	var used task.Resources
	demands := make([]float64, len(m.accounts))
	for i := range m.accounts {
		a := &m.accounts[i]
		demands[i] = a.running.Add(a.waiting).DominantShare(m.capacity)
		share := a.running.DominantShare(m.capacity)
		a.actual += share
		a.held += share
		held += share
		used = used.Add(a.running)
		waits = waits || !a.waiting.IsZero()
	}
	divide(held, demands, m.teams, m.fairs)
	for i := range m.accounts {
		m.accounts[i].fair += m.fairs[i]
	}
	m.samples++
	if m.samples%windowSamples == 0 {
		m.closeWindow()
	}
	if waits {
		m.packing.add(used, m.capacity)
	}
}

func (m *measure) closeWindow() {
	for i := range m.accounts {
		a := &m.accounts[i]
		a.short += max(0, a.fair-a.actual)
		a.due += a.fair
		a.actual, a.fair = 0, 0
	}
}

func (p *packing) add(used, capacity task.Resources) {
	p.samples++
	use := parts(used, capacity)
	for r, value := range use {
		p.sum[r] += value
	}
	p.fullest += slices.Max(use[:])
}

// divide shares an amount by weight, giving no team more than it demands.
func divide(amount float64, demands []float64, teams []team, to []float64) {
	order := make([]int, len(teams))
	weight := 0.0
	for i := range teams {
		order[i] = i
		weight += teams[i].weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]/teams[a].weight, demands[b]/teams[b].weight)
	})
	for _, i := range order {
		to[i] = min(demands[i], amount*teams[i].weight/weight)
		amount -= to[i]
		weight -= teams[i].weight
	}
}
