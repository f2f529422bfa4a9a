package holding

import (
	"math"
	"slices"
	"time"
)

const (
	// allowanceFraction of the limit is left for jobs that other instances accept without asking the owner, if
	// they do.
	allowanceFraction = 4
	// teamFactor and queueFactor are the ratios of what one team, or one queue, may hold to what it must leave free,
	// so that a single team holds at most two thirds. A deployment has few queues.
	teamFactor  = 2
	queueFactor = 4
	// reservationTimeout is the time after which a job that was admitted and not recorded is no longer charged.
	// Callers wait 3 s, and a record that is written late is charged when it arrives.
	reservationTimeout = 5 * time.Second
	// releaseHalfLife is the half-life of the moving average of what is released.
	releaseHalfLife = 5 * time.Second
	// maxRetryDelay is the longest time after which a rejected caller is asked to return.
	maxRetryDelay = 30 * time.Second
)

// Source is where a job comes from.
type Source struct{ Queue, Team string }

// Cause names the limit that rejects a job.
type Cause string

// The causes.
const (
	CauseTotal Cause = "memory"       // all jobs together
	CauseTeam  Cause = "memory_team"  // the jobs of its team
	CauseQueue Cause = "memory_queue" // the jobs of its queue
)

// Verdict is the decision about a job that is not recorded yet.
type Verdict struct {
	Admitted   bool
	Cause      Cause         // if not admitted
	RetryAfter time.Duration // if not admitted; in whole seconds
}

// Limits are the limits of a Budget.
type Limits struct {
	Bytes      int64 // 0 for no limit
	Allowances bool  // a part is left for allowances, see Budget.AllowanceOf
}

// Budget is the memory that accepted jobs may take, which have keys of type K. It is not safe for concurrent
// use.
type Budget[K comparable] struct {
	limits   Limits
	charges  map[K]*charge
	teams    map[string]int64
	queues   map[string]int64
	total    int64
	reserved int64         // part of total
	admitted []admitted[K] // charges that may still be reservations, the oldest first

	releaseRate   float64 // moving average in bytes per second, as of releaseUpdate
	releaseUpdate time.Time
}

type charge struct {
	Source
	bytes      int64
	reservedAt time.Time // zero once the job has been recorded
}

// admitted is a charge that was made by Admit.
type admitted[K comparable] struct {
	id K
	at time.Time
}

// New returns a budget that nothing is charged to.
func New[K comparable](limits Limits) *Budget[K] {
	return &Budget[K]{limits: limits, charges: make(map[K]*charge), teams: make(map[string]int64), queues: make(map[string]int64)}
}

// SetLimit changes the limit. Jobs that are charged already are kept if they exceed it.
func (b *Budget[K]) SetLimit(bytes int64) { b.limits.Bytes = bytes }

// Limit returns the limit.
func (b *Budget[K]) Limit() int64 { return b.limits.Bytes }

// usable returns the part of the limit that is not left for allowances.
func (b *Budget[K]) usable() int64 {
	if !b.limits.Allowances {
		return b.limits.Bytes
	}
	return b.limits.Bytes - b.limits.Bytes/allowanceFraction
}

// Admit decides whether a job may be recorded, and charges it for reservationTimeout if so. A job that is
// charged already is admitted.
func (b *Budget[K]) Admit(now time.Time, id K, from Source, bytes int64) Verdict {
	if _, known := b.charges[id]; known {
		return Verdict{Admitted: true}
	}
	if cause, excess := b.exceeded(from, bytes); excess > 0 {
		return Verdict{Cause: cause, RetryAfter: b.retryDelay(now, excess)}
	}
	c := &charge{Source: from, reservedAt: now}
	b.charges[id] = c
	b.admitted = append(b.admitted, admitted[K]{id, now})
	b.add(c, bytes)
	return Verdict{Admitted: true}
}

// exceeded returns the first limit that a further charge exceeds, and how much must be released for it. A team or
// a queue may hold a multiple of what it leaves free: the more of them have work, the less each of them may hold,
// and one that has none yet always finds room.
func (b *Budget[K]) exceeded(from Source, bytes int64) (Cause, int64) {
	if b.limits.Bytes <= 0 {
		return "", 0
	}
	free := b.usable() - b.total - bytes
	if free < 0 {
		return CauseTotal, -free
	}
	// What is released of a share reduces the share and is free as well.
	if excess := b.teams[from.Team] + bytes - teamFactor*free; excess > 0 {
		return CauseTeam, (excess + teamFactor) / (teamFactor + 1)
	}
	if excess := b.queues[from.Queue] + bytes - queueFactor*free; excess > 0 {
		return CauseQueue, (excess + queueFactor) / (queueFactor + 1)
	}
	return "", 0
}

// retryDelay returns the time after which an excess will have been released at the present rate.
func (b *Budget[K]) retryDelay(now time.Time, excess int64) time.Duration {
	rate := b.currentReleaseRate(now)
	if rate*maxRetryDelay.Seconds() <= float64(excess) {
		return maxRetryDelay
	}
	return time.Duration(math.Ceil(float64(excess)/rate)) * time.Second
}

// Hold charges a job that has been recorded, whether it fits or not. It replaces an earlier charge of the job.
func (b *Budget[K]) Hold(now time.Time, id K, from Source, bytes int64) {
	b.remove(now, id, false)
	c := &charge{Source: from}
	b.charges[id] = c
	b.add(c, bytes)
}

// Resize changes the charge of a job, whether it fits or not.
func (b *Budget[K]) Resize(now time.Time, id K, bytes int64) {
	c := b.charges[id]
	if c == nil {
		return
	}
	if bytes < c.bytes {
		b.countRelease(now, c.bytes-bytes)
	}
	b.add(c, bytes-c.bytes)
}

// Fits reports whether the charge of a job may grow.
func (b *Budget[K]) Fits(id K, growth int64) bool {
	c := b.charges[id]
	if c == nil {
		return false
	}
	_, excess := b.exceeded(c.Source, growth)
	return excess <= 0
}

// Release returns the charge of a job.
func (b *Budget[K]) Release(now time.Time, id K) { b.remove(now, id, true) }

// Withdraw returns the charge of a job that was admitted and will not be recorded.
func (b *Budget[K]) Withdraw(id K) {
	if c := b.charges[id]; c != nil && !c.reservedAt.IsZero() {
		b.remove(c.reservedAt, id, false)
	}
}

// Expire returns the charges of jobs that were admitted a while ago and have not been recorded.
func (b *Budget[K]) Expire(now time.Time) {
	n := 0
	for n < len(b.admitted) && now.Sub(b.admitted[n].at) > reservationTimeout {
		a := b.admitted[n]
		if c := b.charges[a.id]; c != nil && c.reservedAt.Equal(a.at) {
			b.remove(now, a.id, false)
		}
		n++
	}
	b.admitted = slices.Delete(b.admitted, 0, n)
}

// remove removes a charge. A release counts for the rate at which memory becomes free.
func (b *Budget[K]) remove(now time.Time, id K, isRelease bool) {
	c := b.charges[id]
	if c == nil {
		return
	}
	if isRelease {
		b.countRelease(now, c.bytes)
	}
	b.add(c, -c.bytes)
	delete(b.charges, id)
}

// add changes a charge, by which it also changes the sums.
func (b *Budget[K]) add(c *charge, bytes int64) {
	c.bytes += bytes
	b.total += bytes
	if !c.reservedAt.IsZero() {
		b.reserved += bytes
	}
	addTo(b.teams, c.Team, bytes)
	addTo(b.queues, c.Queue, bytes)
}

func addTo(sums map[string]int64, name string, bytes int64) {
	if sums[name] += bytes; sums[name] == 0 {
		delete(sums, name)
	}
}

func (b *Budget[K]) countRelease(now time.Time, bytes int64) {
	b.releaseRate = b.currentReleaseRate(now) + float64(bytes)*math.Ln2/releaseHalfLife.Seconds()
	b.releaseUpdate = now
}

func (b *Budget[K]) currentReleaseRate(now time.Time) float64 {
	if b.releaseUpdate.IsZero() {
		return 0
	}
	return b.releaseRate * math.Exp2(-now.Sub(b.releaseUpdate).Seconds()/releaseHalfLife.Seconds())
}

// Allowance is what an instance may accept without asking the owner, until it receives another one.
type Allowance struct {
	Limited bool  // otherwise there is no limit
	Bytes   int64 // of jobs that the owner does not know yet
	Teams   []string
	Queues  []string // jobs of these teams and queues are not covered while the owner can be asked
}

// AllowanceOf returns the allowance of one of a number of instances.
func (b *Budget[K]) AllowanceOf(instances int) Allowance {
	if b.limits.Bytes <= 0 {
		return Allowance{}
	}
	free := b.usable() - b.total
	a := Allowance{Limited: true, Bytes: max(0, min(free, b.limits.Bytes/allowanceFraction/int64(max(1, instances))))}
	// Beyond half of what they may hold, since the jobs that instances accept meanwhile are not charged yet.
	const margin = 2
	for team, bytes := range b.teams {
		if margin*bytes > teamFactor*free {
			a.Teams = append(a.Teams, team)
		}
	}
	for queue, bytes := range b.queues {
		if margin*bytes > queueFactor*free {
			a.Queues = append(a.Queues, queue)
		}
	}
	slices.Sort(a.Teams)
	slices.Sort(a.Queues)
	return a
}

// InitialAllowance returns the allowance of an instance that has not received one. It assumes a number of
// instances, which it cannot know.
func InitialAllowance(limit int64) Allowance {
	const assumedInstances = 32
	if limit <= 0 {
		return Allowance{}
	}
	return Allowance{Limited: true, Bytes: limit / allowanceFraction / assumedInstances}
}

// Stats are the current values of a Budget.
type Stats struct {
	Limit, Bytes, Reserved int64
	Jobs                   int
}

// Stats returns the current values.
func (b *Budget[K]) Stats() Stats {
	return Stats{Limit: b.limits.Bytes, Bytes: b.total, Reserved: b.reserved, Jobs: len(b.charges)}
}
