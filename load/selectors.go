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

func newClusterScheduler(cfg Config, teams []team, nodes []placement.Node) *clusterScheduler {
	c := &clusterScheduler{
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
		c.selector = &prioritySelector{queues: c.queues}
	case Deficit:
		c.selector = newDeficitSelector(c.queues, teams, total)
	default:
		c.selector = newFairShareSelector(teams, total)
	}
	return c
}

// fairShareSelector selects the team that is furthest below its share.
type fairShareSelector struct {
	teams   []team
	shares  *fairshare.Shares
	ordered []task.Team
}

func newFairShareSelector(teams []team, total task.Resources) *fairShareSelector {
	s := &fairShareSelector{teams: teams, shares: fairshare.New(fairshare.Config{})}
	s.shares.SetCapacity(total)
	for i := range teams {
		s.shares.SetWeight(teams[i].name, teams[i].weight)
	}
	return s
}

func (s *fairShareSelector) beginRound(now time.Time, teams []task.Team) {
	s.ordered = s.shares.Order(now, teams)
}

func (s *fairShareSelector) next(time.Time) (task.Team, bool) {
	if len(s.ordered) == 0 {
		return "", false
	}
	return s.ordered[0], true
}

func (s *fairShareSelector) jobStarted(now time.Time, j *job, hasMore bool) {
	s.shares.AddUsage(now, s.teams[j.team].name, j.totalSize())
	if !hasMore {
		s.exclude()
		return
	}
	s.shares.Reorder(now, s.ordered)
}

func (s *fairShareSelector) exclude() { s.ordered = s.ordered[1:] }

func (s *fairShareSelector) jobFinished(now time.Time, j *job) {
	s.shares.SubtractUsage(now, s.teams[j.team].name, j.totalSize())
}

// prioritySelector selects the team whose first entry is the most urgent and,
// among equals, has waited longest. It ignores shares.
type prioritySelector struct {
	queues   *queue.Queues
	teams    []task.Team
	selected int
}

func (s *prioritySelector) beginRound(_ time.Time, teams []task.Team) { s.teams = teams }

func (s *prioritySelector) next(now time.Time) (task.Team, bool) {
	var best *queue.Entry
	for i, name := range s.teams {
		e := s.queues.Peek(now, name)
		if best == nil || compareUrgency(e, best) < 0 {
			best, s.selected = e, i
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

func (s *prioritySelector) jobStarted(_ time.Time, _ *job, hasMore bool) {
	if !hasMore {
		s.exclude()
	}
}

func (s *prioritySelector) exclude() { s.teams = slices.Delete(s.teams, s.selected, s.selected+1) }

func (s *prioritySelector) jobFinished(time.Time, *job) {}

// deficitSelector implements deficit round robin: teams receive credit in
// proportion to their weights, and a team is selected when its credit covers the
// cost of its first entry, its dominant share times its expected run time.
type deficitSelector struct {
	queues   *queue.Queues
	total    task.Resources
	weights  map[task.Team]float64
	credit   map[task.Team]float64
	teams    []task.Team
	selected int
	cost     float64
}

func newDeficitSelector(queues *queue.Queues, teams []team, total task.Resources) *deficitSelector {
	s := &deficitSelector{queues: queues, total: total, weights: map[task.Team]float64{}, credit: map[task.Team]float64{}}
	for i := range teams {
		s.weights[teams[i].name] = teams[i].weight
	}
	return s
}

// beginRound discards the credit of teams without waiting jobs, so that an idle
// team does not accumulate credit.
func (s *deficitSelector) beginRound(_ time.Time, teams []task.Team) {
	s.teams = teams
	for name := range s.credit {
		if _, waiting := slices.BinarySearch(teams, name); !waiting {
			delete(s.credit, name)
		}
	}
}

// next grants, in one step, as many rounds of credit as are needed until the credit
// of one team covers the cost of its first entry, and returns that team.
func (s *deficitSelector) next(now time.Time) (task.Team, bool) {
	fewestRounds := math.Inf(1)
	for i, name := range s.teams {
		cost := s.costOf(s.queues.Peek(now, name))
		if rounds := (cost - s.credit[name]) / s.weights[name]; rounds < fewestRounds {
			fewestRounds, s.selected, s.cost = rounds, i, cost
		}
	}
	if math.IsInf(fewestRounds, 1) {
		return "", false
	}
	if fewestRounds > 0 {
		for _, name := range s.teams {
			s.credit[name] += fewestRounds * s.weights[name]
		}
	}
	return s.teams[s.selected], true
}

func (s *deficitSelector) costOf(e *queue.Entry) float64 {
	run, observed := s.queues.ExpectedRun(e.Team, e.Service, e.Class)
	if !observed {
		run = e.DeclaredRun
	}
	return e.Size.Scale(int64(max(e.Count, 1))).DominantShare(s.total) * run.Seconds()
}

func (s *deficitSelector) jobStarted(_ time.Time, _ *job, hasMore bool) {
	s.credit[s.teams[s.selected]] -= s.cost
	if !hasMore {
		s.exclude()
	}
}

func (s *deficitSelector) exclude() { s.teams = slices.Delete(s.teams, s.selected, s.selected+1) }

func (s *deficitSelector) jobFinished(time.Time, *job) {}
