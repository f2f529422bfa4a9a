package queue

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Defaults of Config.
const (
	DefaultLimit         = 1000
	DefaultBackgroundLag = 5 * time.Minute
	DefaultAgeLimit      = 10 * time.Minute
	DefaultAgedEvery     = 4
	DefaultReviewLead    = time.Minute
	DefaultSafety        = 1.5
	DefaultRunQuantile   = 0.9
	DefaultProfiles      = 4096
)

// Config configures Queues. Zero values take the defaults.
type Config struct {
	Limit         int           // entries per team
	BackgroundLag time.Duration // background work is ordered as normal work that came this much later
	AgeLimit      time.Duration // wait after which normal and background work may pass urgent work
	AgedEvery     int           // at most one start in this many is given to such aged work
	ReviewLead    time.Duration // how long before its latest start work with a review goes first
	Safety        float64       // factor on the learned run time for the latest start
	RunQuantile   float64       // quantile of run times that is learned
	Profiles      int           // bound on learned run times (team, service and class)
	Rand          *rand.Rand    // jitter of retry hints; nil for none
}

// Queues holds the waiting work of one owner. It is not safe for concurrent
// use.
type Queues struct {
	cfg      Config
	teams    map[task.Team]*teamQueue
	names    []task.Team // teams with waiting work, sorted
	listed   []task.Team // what Teams returned last
	items    map[task.Attempt]*item
	sequence uint64
	profiles *profiles
}

// teamQueue is the queue of one team.
type teamQueue struct {
	tiers     [tierCount]ordered
	deadlines ordered // entries with a deadline
	reviews   ordered // entries that still move to tierUrgent
	drain     drain
}

// New returns empty queues.
func New(cfg Config) *Queues {
	cfg.complete()
	return &Queues{
		cfg:      cfg,
		teams:    map[task.Team]*teamQueue{},
		items:    map[task.Attempt]*item{},
		profiles: newProfiles(cfg.Profiles, cfg.RunQuantile),
	}
}

func (c *Config) complete() {
	setDefault(&c.Limit, DefaultLimit)
	setDefault(&c.BackgroundLag, DefaultBackgroundLag)
	setDefault(&c.AgeLimit, DefaultAgeLimit)
	setDefault(&c.AgedEvery, DefaultAgedEvery)
	setDefault(&c.ReviewLead, DefaultReviewLead)
	setDefault(&c.Safety, DefaultSafety)
	setDefault(&c.RunQuantile, DefaultRunQuantile)
	setDefault(&c.Profiles, DefaultProfiles)
}

func setDefault[T int | float64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// Push adds an entry. It refuses one whose team has no room, and one that is
// not expected to start by its deadline; both have not run. Pushing an attempt
// that already waits changes nothing.
func (q *Queues) Push(now time.Time, e Entry) *errkind.Error {
	if _, waiting := q.items[e.Attempt]; waiting {
		return nil
	}
	if e.EnqueuedAt.IsZero() {
		e.EnqueuedAt = now
	}
	t := q.queueOf(e.Team)
	q.promote(now, t)
	it := q.newItem(e)
	if err := q.admit(now, t, it); err != nil {
		return err
	}
	if t.len() == 0 {
		t.drain.becameBusy(now)
		q.addName(e.Team)
	}
	q.items[e.Attempt] = it
	t.insert(it)
	return nil
}

// Peek returns the entry of a team that is to start first, or nil.
func (q *Queues) Peek(now time.Time, team task.Team) *Entry { return q.Next(now, team, 0) }

// Next returns the entry after skip others in the order of a team, or nil. The
// entry belongs to the queue and is valid until it is removed.
func (q *Queues) Next(now time.Time, team task.Team, skip int) *Entry {
	t := q.teams[team]
	if t == nil || skip < 0 {
		return nil
	}
	q.promote(now, t)
	aged := q.agedItem(now, t)
	if aged != nil {
		if skip == 0 {
			return &aged.Entry
		}
		skip--
	}
	for k := range t.tiers {
		items := t.tiers[k].items
		if aged != nil && tier(k) == tierRest {
			items = items[1:]
		}
		if skip < len(items) {
			return &items[skip].Entry
		}
		skip -= len(items)
	}
	return nil
}

// Remove takes one attempt out of its queue.
func (q *Queues) Remove(a task.Attempt) (Entry, bool) {
	it, waiting := q.items[a]
	if !waiting {
		return Entry{}, false
	}
	q.take(it)
	return it.Entry, true
}

// RemoveTeam takes out everything that a team has waiting.
func (q *Queues) RemoveTeam(team task.Team) []Entry {
	return q.removeIf(team, func(*item) bool { return true })
}

// RemoveKey takes out what a team has waiting under one key.
func (q *Queues) RemoveKey(team task.Team, keyID string) []Entry {
	return q.removeIf(team, func(it *item) bool { return it.KeyID == keyID })
}

// Expired takes out and returns the entries that are past their deadline.
func (q *Queues) Expired(now time.Time) []Entry {
	var expired []Entry
	for i := len(q.names) - 1; i >= 0; i-- {
		t := q.teams[q.names[i]]
		for it := t.deadlines.first(); it != nil && it.Deadline.Before(now); it = t.deadlines.first() {
			q.take(it)
			expired = append(expired, it.Entry)
		}
	}
	return expired
}

// Teams returns the teams with waiting work, sorted by name. The caller may
// reorder the slice; it is valid until the next call of Teams.
func (q *Queues) Teams() []task.Team {
	q.listed = append(q.listed[:0], q.names...)
	return q.listed
}

// Len returns the number of entries that a team has waiting.
func (q *Queues) Len(team task.Team) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return t.len()
}

// agedItem returns the oldest normal or background entry if it has waited
// longer than the age limit and it is its turn. Only one start in AgedEvery is
// given to aged work, since otherwise a long backlog would pass every urgent
// request of its team.
func (q *Queues) agedItem(now time.Time, t *teamQueue) *item {
	it := t.tiers[tierRest].first()
	if it == nil || now.Sub(it.EnqueuedAt) < q.cfg.AgeLimit {
		return nil
	}
	if t.drain.startsSinceAged < q.cfg.AgedEvery-1 {
		return nil
	}
	return it
}

// promote moves the entries whose latest start is near to the first tier.
func (q *Queues) promote(now time.Time, t *teamQueue) {
	for it := t.reviews.first(); it != nil && !it.reviewAt.After(now); it = t.reviews.first() {
		t.reviews.remove(it)
		t.tiers[it.tier].remove(it)
		it.tier, it.at = tierUrgent, it.reviewAt
		t.tiers[tierUrgent].insert(it)
		it.reviewAt = time.Time{}
	}
}

func (q *Queues) newItem(e Entry) *item {
	q.sequence++
	it := &item{Entry: e, sequence: q.sequence}
	switch {
	case e.Urgency == task.Urgent:
		it.tier, it.at = tierUrgent, e.EnqueuedAt
	case !e.Deadline.IsZero():
		it.tier, it.at = tierDeadline, e.Deadline
	case e.Urgency == task.Background:
		it.tier, it.at = tierRest, e.EnqueuedAt.Add(q.cfg.BackgroundLag)
	default:
		it.tier, it.at = tierRest, e.EnqueuedAt
	}
	if !e.ReviewBy.IsZero() && it.tier != tierUrgent {
		it.reviewAt = q.LatestStart(e).Add(-q.cfg.ReviewLead)
	}
	return it
}

// LatestStart returns when work with a review has to start: the learned run
// time and a margin before the review.
func (q *Queues) LatestStart(e Entry) time.Time {
	run, learned := q.ExpectedRun(e.Team, e.Service, e.Class)
	if !learned {
		run = e.DeclaredRun
	}
	return e.ReviewBy.Add(-time.Duration(float64(run) * q.cfg.Safety))
}

func (q *Queues) queueOf(team task.Team) *teamQueue {
	t, known := q.teams[team]
	if !known {
		t = &teamQueue{
			deadlines: ordered{time: byDeadline},
			reviews:   ordered{time: byReview},
		}
		for k := range t.tiers {
			t.tiers[k].time = byPosition
		}
		q.teams[team] = t
	}
	return t
}
