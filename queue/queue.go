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
	Limit         int           // maximum number of entries per team
	BackgroundLag time.Duration // delay added to the arrival time of background work
	AgeLimit      time.Duration // wait after which normal and background work is aged
	AgedEvery     int           // one start in AgedEvery may go to aged work before urgent work
	ReviewLead    time.Duration // time before the latest start at which an entry is promoted
	Safety        float64       // factor on the expected run time, see LatestStart
	RunQuantile   float64       // quantile of past run times to use as the expected run time
	Profiles      int           // maximum number of profiles (one per team, service and class)
	Rand          *rand.Rand    // source of jitter for retry hints; nil for no jitter
}

// Queues holds the pending work of one owner. It is not safe for concurrent use.
type Queues struct {
	cfg         Config
	teams       map[task.Team]*teamQueue
	activeTeams []task.Team // teams with pending work, sorted by name
	teamsBuffer []task.Team // result buffer of Teams
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
		profiles: newProfiles(cfg.Profiles, cfg.RunQuantile),
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Limit, DefaultLimit)
	setDefault(&c.BackgroundLag, DefaultBackgroundLag)
	setDefault(&c.AgeLimit, DefaultAgeLimit)
	setDefault(&c.AgedEvery, DefaultAgedEvery)
	setDefault(&c.ReviewLead, DefaultReviewLead)
	setDefault(&c.Safety, DefaultSafety)
	setDefault(&c.RunQuantile, DefaultRunQuantile)
	setDefault(&c.Profiles, DefaultProfiles)
}

func setDefault[T int | float64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Push adds an entry. It refuses an entry if the queue of its team is full or if the entry is not
// expected to start by its deadline; a refused entry has not run. Push is idempotent: an attempt
// that is already queued is left as it is.
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
		q.addActiveTeam(e.Team)
	}
	q.items[e.Attempt] = it
	t.insert(it)
	return nil
}

// Peek returns the first entry in the order of a team, or nil.
func (q *Queues) Peek(now time.Time, team task.Team) *Entry { return q.Next(now, team, 0) }

// Next returns the entry at index skip in the order of a team, or nil. The queue owns the entry;
// the pointer is valid until the entry is removed.
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
		if aged != nil && tier(k) == tierNormal {
			items = items[1:]
		}
		if skip < len(items) {
			return &items[skip].Entry
		}
		skip -= len(items)
	}
	return nil
}

// Remove removes one attempt from its queue.
func (q *Queues) Remove(a task.Attempt) (Entry, bool) {
	it, waiting := q.items[a]
	if !waiting {
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

// Expired removes and returns the entries whose deadline has passed.
func (q *Queues) Expired(now time.Time) []Entry {
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

// agedItem returns the first normal or background entry if it has waited for at least AgeLimit and
// an aged entry may be served next. Only one start in AgedEvery goes to aged work; otherwise a long
// backlog would overtake every urgent request of its team.
func (q *Queues) agedItem(now time.Time, t *teamQueue) *item {
	it := t.tiers[tierNormal].first()
	if it == nil || now.Sub(it.EnqueuedAt) < q.cfg.AgeLimit {
		return nil
	}
	if t.drain.startsSinceAged < q.cfg.AgedEvery-1 {
		return nil
	}
	return it
}

// promote moves the entries whose promotion time has come to tierUrgent.
func (q *Queues) promote(now time.Time, t *teamQueue) {
	for it := t.promotions.first(); it != nil && !it.promoteAt.After(now); it = t.promotions.first() {
		t.promotions.remove(it)
		t.tiers[it.tier].remove(it)
		it.tier, it.position = tierUrgent, it.promoteAt
		t.tiers[tierUrgent].insert(it)
		it.promoteAt = time.Time{}
	}
}

func (q *Queues) newItem(e Entry) *item {
	q.sequence++
	it := &item{Entry: e, sequence: q.sequence}
	switch {
	case e.Urgency == task.Urgent:
		it.tier, it.position = tierUrgent, e.EnqueuedAt
	case !e.Deadline.IsZero():
		it.tier, it.position = tierDeadline, e.Deadline
	case e.Urgency == task.Background:
		it.tier, it.position = tierNormal, e.EnqueuedAt.Add(q.cfg.BackgroundLag)
	default:
		it.tier, it.position = tierNormal, e.EnqueuedAt
	}
	if !e.ReviewBy.IsZero() && it.tier != tierUrgent {
		it.promoteAt = q.LatestStart(e).Add(-q.cfg.ReviewLead)
	}
	return it
}

// LatestStart returns the time by which an entry has to start in order to finish by ReviewBy. It
// allows for the run time estimated from past runs, or the declared one if there is no estimate,
// multiplied by Config.Safety.
func (q *Queues) LatestStart(e Entry) time.Time {
	expectedRun, estimated := q.ExpectedRun(e.Team, e.Service, e.Class)
	if !estimated {
		expectedRun = e.DeclaredRun
	}
	return e.ReviewBy.Add(-time.Duration(float64(expectedRun) * q.cfg.Safety))
}

func (q *Queues) queueOf(team task.Team) *teamQueue {
	t, known := q.teams[team]
	if !known {
		t = &teamQueue{
			deadlines:  sortedItems{key: byDeadline},
			promotions: sortedItems{key: byPromotion},
		}
		for k := range t.tiers {
			t.tiers[k].key = byPosition
		}
		q.teams[team] = t
	}
	return t
}
