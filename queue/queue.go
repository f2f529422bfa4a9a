package queue

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Defaults of Config.
const (
	DefaultMaxEntriesPerTeam  = 1000
	DefaultBackgroundDelay    = 5 * time.Minute
	DefaultAgingThreshold     = 10 * time.Minute
	DefaultStartsPerAgedStart = 4
	DefaultPromotionLead      = time.Minute
	DefaultSafetyFactor       = 1.5
	DefaultRunQuantile        = 0.9
	DefaultMaxProfiles        = 4096
)

// Config configures Queues. Zero values take the defaults.
type Config struct {
	MaxEntriesPerTeam  int           // maximum number of entries per team
	BackgroundDelay    time.Duration // added to the arrival time of background work for sorting
	AgingThreshold     time.Duration // waiting time after which normal and background work is aged
	StartsPerAgedStart int           // of this many starts, one may go to aged work ahead of urgent work
	PromotionLead      time.Duration // an entry is promoted this long before its latest start
	SafetyFactor       float64       // factor on the expected run time, see LatestStart
	RunQuantile        float64       // quantile of past run times that is the expected run time
	MaxProfiles        int           // maximum number of run time profiles (per team, service and class)
	Rand               *rand.Rand    // source of the jitter of retry-after hints; nil for none
}

// Queues holds the pending work of one owner. It is not safe for concurrent use.
type Queues struct {
	cfg         Config
	teams       map[task.Team]*teamQueue
	activeTeams []task.Team // teams with pending work, sorted by name
	teamsBuffer []task.Team // reused result of Teams
	items       map[task.Attempt]*item
	sequence    uint64
	profiles    *profiles
}

// teamQueue is the queue of one team.
type teamQueue struct {
	tiers      [tierCount]sortedItems
	deadlines  sortedItems // entries with a deadline
	promotions sortedItems // entries that will be promoted to tierUrgent
	drain      drainEstimator
}

// New returns empty queues.
func New(cfg Config) *Queues {
	cfg.setDefaults()
	return &Queues{
		cfg:      cfg,
		teams:    map[task.Team]*teamQueue{},
		items:    map[task.Attempt]*item{},
		profiles: newProfiles(cfg.MaxProfiles, cfg.RunQuantile),
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxEntriesPerTeam, DefaultMaxEntriesPerTeam)
	setDefault(&c.BackgroundDelay, DefaultBackgroundDelay)
	setDefault(&c.AgingThreshold, DefaultAgingThreshold)
	setDefault(&c.StartsPerAgedStart, DefaultStartsPerAgedStart)
	setDefault(&c.PromotionLead, DefaultPromotionLead)
	setDefault(&c.SafetyFactor, DefaultSafetyFactor)
	setDefault(&c.RunQuantile, DefaultRunQuantile)
	setDefault(&c.MaxProfiles, DefaultMaxProfiles)
}

func setDefault[T int | float64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Push adds an entry. It refuses an entry if the queue of its team is full or if the entry is not
// expected to start by its deadline; a refused entry has not run. Push is idempotent: it has no
// effect for an attempt that is already queued.
func (q *Queues) Push(now time.Time, e Entry) *errkind.Error {
	if _, queued := q.items[e.Attempt]; queued {
		return nil
	}
	if e.EnqueuedAt.IsZero() {
		e.EnqueuedAt = now
	}
	t := q.getOrCreateQueue(e.Team)
	q.promote(now, t)
	it := q.newItem(e)
	if err := q.admit(now, t, it); err != nil {
		return err
	}
	if t.len() == 0 {
		t.drain.startBusyPeriod(now)
		q.addActiveTeam(e.Team)
	}
	q.items[e.Attempt] = it
	t.insert(it)
	return nil
}

// Peek returns the first entry of a team in scheduling order, or nil.
func (q *Queues) Peek(now time.Time, team task.Team) *Entry { return q.EntryAt(now, team, 0) }

// EntryAt returns the entry of a team at an index in scheduling order, or nil. The entry must not be
// modified, and the pointer is valid until the entry is removed.
func (q *Queues) EntryAt(now time.Time, team task.Team, index int) *Entry {
	t := q.teams[team]
	if t == nil || index < 0 {
		return nil
	}
	q.promote(now, t)
	aged := q.agedItem(now, t)
	if aged != nil {
		if index == 0 {
			return &aged.Entry
		}
		index--
	}
	for k := range t.tiers {
		items := t.tiers[k].items
		if aged != nil && tier(k) == tierNormal {
			items = items[1:]
		}
		if index < len(items) {
			return &items[index].Entry
		}
		index -= len(items)
	}
	return nil
}

// Remove removes one attempt from its queue.
func (q *Queues) Remove(a task.Attempt) (Entry, bool) {
	it, queued := q.items[a]
	if !queued {
		return Entry{}, false
	}
	q.removeItem(it)
	return it.Entry, true
}

// RemoveTeam removes and returns all entries of a team.
func (q *Queues) RemoveTeam(team task.Team) []Entry {
	return q.removeIf(team, func(*item) bool { return true })
}

// RemoveKey removes and returns the entries of a team that were submitted with one key.
func (q *Queues) RemoveKey(team task.Team, keyID string) []Entry {
	return q.removeIf(team, func(it *item) bool { return it.KeyID == keyID })
}

// RemoveExpired removes and returns the entries whose deadline has passed.
func (q *Queues) RemoveExpired(now time.Time) []Entry {
	var expired []Entry
	for i := len(q.activeTeams) - 1; i >= 0; i-- {
		t := q.teams[q.activeTeams[i]]
		for it := t.deadlines.first(); it != nil && it.Deadline.Before(now); it = t.deadlines.first() {
			q.removeItem(it)
			expired = append(expired, it.Entry)
		}
	}
	return expired
}

// Teams returns the teams with pending work, sorted by name. The caller may reorder the slice; it is
// valid until the next call of Teams.
func (q *Queues) Teams() []task.Team {
	q.teamsBuffer = append(q.teamsBuffer[:0], q.activeTeams...)
	return q.teamsBuffer
}

// Len returns the number of queued entries of a team.
func (q *Queues) Len(team task.Team) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return t.len()
}

// agedItem returns the first normal or background entry if it has waited for at least AgingThreshold
// and the next start may go to aged work. Only one in StartsPerAgedStart starts may; otherwise a long
// backlog would overtake every urgent request of its team.
func (q *Queues) agedItem(now time.Time, t *teamQueue) *item {
	it := t.tiers[tierNormal].first()
	if it == nil || now.Sub(it.EnqueuedAt) < q.cfg.AgingThreshold {
		return nil
	}
	if t.drain.startsSinceAged < q.cfg.StartsPerAgedStart-1 {
		return nil
	}
	return it
}

// promote moves the entries that are due for promotion to tierUrgent.
func (q *Queues) promote(now time.Time, t *teamQueue) {
	for it := t.promotions.first(); it != nil && !it.promoteAt.After(now); it = t.promotions.first() {
		t.promotions.remove(it)
		t.tiers[it.tier].remove(it)
		it.tier, it.sortTime = tierUrgent, it.promoteAt
		t.tiers[tierUrgent].insert(it)
		it.promoteAt = time.Time{}
	}
}

// newItem returns an item with the tier and the sort time of an entry.
func (q *Queues) newItem(e Entry) *item {
	q.sequence++
	it := &item{Entry: e, sequence: q.sequence}
	switch {
	case e.Urgency == task.Urgent:
		it.tier, it.sortTime = tierUrgent, e.EnqueuedAt
	case !e.Deadline.IsZero():
		it.tier, it.sortTime = tierDeadline, e.Deadline
	case e.Urgency == task.Background:
		it.tier, it.sortTime = tierNormal, e.EnqueuedAt.Add(q.cfg.BackgroundDelay)
	default:
		it.tier, it.sortTime = tierNormal, e.EnqueuedAt
	}
	if !e.ReviewBy.IsZero() && it.tier != tierUrgent {
		it.promoteAt = q.LatestStart(e).Add(-q.cfg.PromotionLead)
	}
	return it
}

// LatestStart returns the time by which an entry has to start in order to finish by ReviewBy. It
// subtracts the run time estimated from past runs, or the declared one if there is no estimate,
// multiplied by Config.SafetyFactor.
func (q *Queues) LatestStart(e Entry) time.Time {
	expectedRun, estimated := q.ExpectedRun(e.Team, e.Service, e.Class)
	if !estimated {
		expectedRun = e.DeclaredRun
	}
	return e.ReviewBy.Add(-time.Duration(float64(expectedRun) * q.cfg.SafetyFactor))
}

// getOrCreateQueue returns the queue of a team. An empty queue is kept, with its drain estimate.
func (q *Queues) getOrCreateQueue(team task.Team) *teamQueue {
	t, known := q.teams[team]
	if !known {
		t = &teamQueue{
			deadlines:  sortedItems{key: byDeadline},
			promotions: sortedItems{key: byPromotion},
		}
		for k := range t.tiers {
			t.tiers[k].key = bySortTime
		}
		q.teams[team] = t
	}
	return t
}
