package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// windowSamples is the number of samples in a window. The share of a team is
// averaged over the window before it is compared with the fair share.
const windowSamples = 60

// recorder collects the measurements of a run.
type recorder struct {
	teams       []team
	capacity    task.Resources
	stats       []teamStats // by team
	fairShares  []float64   // scratch space of sample
	samples     int
	packing     packing
	cost        decisionCost
	withdrawals withdrawalCost
}

// teamStats holds the measurements of one team.
type teamStats struct {
	waitingSize     task.Resources
	runningSize     task.Resources
	counts          map[task.Kind]*jobCounts
	waits           map[task.Kind][]time.Duration
	windowShare     float64 // sums over the current window
	windowFairShare float64
	shortfall       float64 // sum over all windows of the amount by which the share was below the fair share
	fairShareSum    float64 // sums over all samples
	shareSum        float64
}

// jobCounts counts the jobs of one team and kind by outcome.
type jobCounts struct {
	Arrived         int `json:"arrived"`
	Started         int `json:"started"`
	Refused         int `json:"refused"`
	DeadlineRefused int `json:"late"` // refused on arrival because the deadline could not be met
	Expired         int `json:"expired"`
	Cancelled       int `json:"cancelled"`
}

// packing accumulates the utilization of the cluster while jobs are waiting.
type packing struct {
	samples       int
	sums          [4]float64 // processors, memory, accelerators, slots
	bottleneckSum float64
}

// decisionCost is the time spent on scheduling decisions.
type decisionCost struct {
	eventTime    time.Duration
	roundTime    time.Duration
	longestRound time.Duration
	searches     int
	starts       int
}

type withdrawalCost struct {
	entries int
	longest time.Duration
	total   time.Duration
}

func newRecorder(teams []team, capacity task.Resources) *recorder {
	rec := &recorder{teams: teams, capacity: capacity, stats: make([]teamStats, len(teams))}
	for i := range rec.stats {
		rec.stats[i].counts = map[task.Kind]*jobCounts{}
		rec.stats[i].waits = map[task.Kind][]time.Duration{}
		for _, kind := range task.Kinds {
			rec.stats[i].counts[kind] = &jobCounts{}
		}
	}
	rec.fairShares = make([]float64, len(teams))
	return rec
}

func (rec *recorder) countsOf(j *job) *jobCounts { return rec.stats[j.team].counts[j.profile.kind] }

func (rec *recorder) recordArrival(j *job, err *errkind.Error) {
	c := rec.countsOf(j)
	c.Arrived++
	switch {
	case err == nil:
		rec.stats[j.team].waitingSize = rec.stats[j.team].waitingSize.Add(j.totalSize())
	case err.Kind == errkind.DeadlineExceeded:
		c.DeadlineRefused++
	default:
		c.Refused++
	}
}

func (rec *recorder) recordStart(now time.Time, j *job) {
	stats := &rec.stats[j.team]
	stats.waitingSize = stats.waitingSize.Sub(j.totalSize())
	stats.runningSize = stats.runningSize.Add(j.totalSize())
	if j.arrived.Sub(origin) >= initialArrivalWindow {
		stats.waits[j.profile.kind] = append(stats.waits[j.profile.kind], now.Sub(j.arrived))
	}
	rec.countsOf(j).Started++
}

func (rec *recorder) recordEnd(j *job) {
	stats := &rec.stats[j.team]
	stats.runningSize = stats.runningSize.Sub(j.totalSize())
}

func (rec *recorder) recordExpiry(j *job) {
	rec.stats[j.team].waitingSize = rec.stats[j.team].waitingSize.Sub(j.totalSize())
	rec.countsOf(j).Expired++
}

func (rec *recorder) recordCancellation(j *job) {
	rec.stats[j.team].waitingSize = rec.stats[j.team].waitingSize.Sub(j.totalSize())
	rec.countsOf(j).Cancelled++
}

func (rec *recorder) addEventTime(d time.Duration) { rec.cost.eventTime += d }

func (rec *recorder) recordRound(d time.Duration, searches, starts int) {
	rec.cost.roundTime += d
	rec.cost.longestRound = max(rec.cost.longestRound, d)
	rec.cost.searches += searches
	rec.cost.starts += starts
}

func (rec *recorder) recordWithdrawal(d time.Duration, entries int) {
	rec.withdrawals.entries += entries
	rec.withdrawals.total += d
	rec.withdrawals.longest = max(rec.withdrawals.longest, d)
}

// sample adds the current share and fair share of each team to the window. The
// fair shares divide the sum of all current shares by weighted max-min fairness,
// with the running and waiting jobs of a team as its demand.
func (rec *recorder) sample(time.Time) {
	totalShare := 0.0
	anyWaiting := false
	var used task.Resources
	demands := make([]float64, len(rec.stats))
	for i := range rec.stats {
		stats := &rec.stats[i]
		demands[i] = stats.runningSize.Add(stats.waitingSize).DominantShare(rec.capacity)
		share := stats.runningSize.DominantShare(rec.capacity)
		stats.windowShare += share
		stats.shareSum += share
		totalShare += share
		used = used.Add(stats.runningSize)
		anyWaiting = anyWaiting || !stats.waitingSize.IsZero()
	}
	weightedMaxMin(totalShare, demands, rec.teams, rec.fairShares)
	for i := range rec.stats {
		rec.stats[i].windowFairShare += rec.fairShares[i]
	}
	rec.samples++
	if rec.samples%windowSamples == 0 {
		rec.closeWindow()
	}
	if anyWaiting {
		rec.packing.add(used, rec.capacity)
	}
}

func (rec *recorder) closeWindow() {
	for i := range rec.stats {
		stats := &rec.stats[i]
		stats.shortfall += max(0, stats.windowFairShare-stats.windowShare)
		stats.fairShareSum += stats.windowFairShare
		stats.windowShare, stats.windowFairShare = 0, 0
	}
}

func (p *packing) add(used, capacity task.Resources) {
	p.samples++
	fractions := utilization(used, capacity)
	for r, value := range fractions {
		p.sums[r] += value
	}
	p.bottleneckSum += slices.Max(fractions[:])
}

// weightedMaxMin divides total by weighted max-min fairness: in proportion to the
// weights, with no team receiving more than it demands.
func weightedMaxMin(total float64, demands []float64, teams []team, shares []float64) {
	order := make([]int, len(teams))
	remainingWeight := 0.0
	for i := range teams {
		order[i] = i
		remainingWeight += teams[i].weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]/teams[a].weight, demands[b]/teams[b].weight)
	})
	for _, i := range order {
		shares[i] = min(demands[i], total*teams[i].weight/remainingWeight)
		total -= shares[i]
		remainingWeight -= teams[i].weight
	}
}
