package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/fairshare"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func newComposed(cfg Config, teams []team, nodes []placement.Node) *composed {
	c := &composed{
		teams:   teams,
		queues:  queue.New(queue.Config{Rand: rand.New(rand.NewPCG(cfg.Seed, 1))}),
		cluster: placement.NewCluster(),
		waiting: map[task.Attempt]*job{},
	}
	for i := range nodes {
		c.cluster.Upsert(nodes[i])
	}
	total := c.cluster.Capacity()
	switch cfg.Policy {
	case Priority:
		c.pick = &byPriority{queues: c.queues}
	case Deficit:
		c.pick = newByDeficit(c.queues, teams, total)
	default:
		c.pick = newByShare(teams, total)
	}
	return c
}

// byShare takes the team that is furthest below its share.
type byShare struct {
	teams   []team
	shares  *fairshare.Shares
	ordered []task.Team
}

func newByShare(teams []team, total task.Resources) *byShare {
	b := &byShare{teams: teams, shares: fairshare.New(fairshare.Config{})}
	b.shares.SetTotal(total)
	for i := range teams {
		b.shares.SetWeight(teams[i].name, teams[i].weight)
	}
	return b
}

func (b *byShare) begin(now time.Time, teams []task.Team) {
	b.ordered = b.shares.Order(now, teams)
}

func (b *byShare) next(time.Time) (task.Team, bool) {
	if len(b.ordered) == 0 {
		return "", false
	}
	return b.ordered[0], true
}

func (b *byShare) took(now time.Time, j *job, more bool) {
	b.shares.Start(now, b.teams[j.team].name, j.total())
	if !more {
		b.drop()
		return
	}
	b.shares.Reorder(now, b.ordered)
}

func (b *byShare) drop() { b.ordered = b.ordered[1:] }

func (b *byShare) finished(now time.Time, j *job) {
	b.shares.Finish(now, b.teams[j.team].name, j.total())
}

// byPriority takes the team whose first entry is the most urgent and, among
// equals, has waited longest. Shares play no part.
type byPriority struct {
	queues *queue.Queues
	teams  []task.Team
	chosen int
}

func (b *byPriority) begin(_ time.Time, teams []task.Team) { b.teams = teams }

func (b *byPriority) next(now time.Time) (task.Team, bool) {
	var best *queue.Entry
	for i, name := range b.teams {
		e := b.queues.Peek(now, name)
		if best == nil || compareUrgency(e, best) < 0 {
			best, b.chosen = e, i
		}
	}
	if best == nil {
		return "", false
	}
	return best.Team, true
}

func compareUrgency(a, b *queue.Entry) int {
	rankA, rankB := slices.Index(task.Urgencies, a.Urgency), slices.Index(task.Urgencies, b.Urgency)
	return cmp.Or(cmp.Compare(rankA, rankB), a.EnqueuedAt.Compare(b.EnqueuedAt))
}

func (b *byPriority) took(_ time.Time, _ *job, more bool) {
	if !more {
		b.drop()
	}
}

func (b *byPriority) drop() { b.teams = slices.Delete(b.teams, b.chosen, b.chosen+1) }

func (b *byPriority) finished(time.Time, *job) {}

// byDeficit gives teams credit in proportion to their weights, and takes a team
// whose credit covers the cost of its first entry: its dominant share times its
// expected run time.
type byDeficit struct {
	queues  *queue.Queues
	total   task.Resources
	weights map[task.Team]float64
	credit  map[task.Team]float64
	teams   []task.Team
	chosen  int
	cost    float64
}

func newByDeficit(queues *queue.Queues, teams []team, total task.Resources) *byDeficit {
	b := &byDeficit{queues: queues, total: total, weights: map[task.Team]float64{}, credit: map[task.Team]float64{}}
	for i := range teams {
		b.weights[teams[i].name] = teams[i].weight
	}
	return b
}

// begin takes the credit of teams without waiting work, which is what keeps an
// idle team from saving up.
func (b *byDeficit) begin(_ time.Time, teams []task.Team) {
	b.teams = teams
	for name := range b.credit {
		if _, waiting := slices.BinarySearch(teams, name); !waiting {
			delete(b.credit, name)
		}
	}
}

// next runs as many rounds of credit as the first team to afford its entry
// needs, in one step.
func (b *byDeficit) next(now time.Time) (task.Team, bool) {
	fewest := math.Inf(1)
	for i, name := range b.teams {
		cost := b.costOf(b.queues.Peek(now, name))
		if rounds := (cost - b.credit[name]) / b.weights[name]; rounds < fewest {
			fewest, b.chosen, b.cost = rounds, i, cost
		}
	}
	if math.IsInf(fewest, 1) {
		return "", false
	}
	if fewest > 0 {
		for _, name := range b.teams {
			b.credit[name] += fewest * b.weights[name]
		}
	}
	return b.teams[b.chosen], true
}

func (b *byDeficit) costOf(e *queue.Entry) float64 {
	run, learned := b.queues.ExpectedRun(e.Team, e.Service, e.Class)
	if !learned {
		run = e.DeclaredRun
	}
	return e.Size.Scale(int64(max(e.Count, 1))).DominantShare(b.total) * run.Seconds()
}

func (b *byDeficit) took(_ time.Time, _ *job, more bool) {
	b.credit[b.teams[b.chosen]] -= b.cost
	if !more {
		b.drop()
	}
}

func (b *byDeficit) drop() { b.teams = slices.Delete(b.teams, b.chosen, b.chosen+1) }

func (b *byDeficit) finished(time.Time, *job) {}
