package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

const (
	// returnWindow is the time for which a rejected caller has precedence from its return time on.
	returnWindow = 4 * time.Second
	// earlyTolerance is how much earlier than its return time a caller may return, since the clocks of
	// callers differ in speed.
	earlyTolerance = 50 * time.Millisecond
	// maxReturnDelay is the longest time after which a caller is asked to return. Further rejected callers
	// of a team get this time and no precedence.
	maxReturnDelay = time.Minute
	// maxTurnaways and maxTeamTurnaways bound the number of rejected submissions that are kept, of all teams
	// and of one team. One takes about 250 bytes.
	maxTurnaways     = 4096
	maxTeamTurnaways = 512
	// initialReturnShare is the assumed share of rejected callers that return in their time, until there is
	// evidence.
	initialReturnShare = 0.5
	// returnShareWeight is the weight of one rejected caller in the moving average of that share.
	returnShareWeight = 0.02
	// backlogGrowth is the factor by which the work ahead must have grown since the rejection for a caller that
	// returns in its time to be rejected again.
	backlogGrowth = 1.1
)

// submission identifies a submission. A caller cannot use or replace the entry of another team.
type submission struct {
	team string
	job  job.ID
}

// turnaway is a rejected submission.
type turnaway struct {
	submission
	service    string
	work       amounts   // in resource-seconds
	rejectedAt time.Time // first rejection
	from       time.Time // since when it has precedence
	until      time.Time // how long it has precedence
	ahead      amounts   // work ahead of it at the last rejection
}

// isDue reports whether a submission has precedence if it returns now.
func (e *turnaway) isDue(now time.Time) bool {
	return !now.Before(e.from.Add(-earlyTolerance)) && !now.After(e.until)
}

// hasGrown reports whether the work ahead of a submission has grown since its rejection.
func (e *turnaway) hasGrown(ahead amounts) bool {
	return !e.ahead.plus(e.ahead, backlogGrowth-1).covers(ahead)
}

// turnaways is the table of rejected submissions. It hands out return times to each team at the rate
// to which the team is entitled, whatever the number of its requests and IDs.
type turnaways struct {
	entries     map[submission]*turnaway
	teams       map[string]*teamReturns
	returnShare float64 // moving average of the share of rejected callers that return in their time
}

// teamReturns are the return times of a team.
type teamReturns struct {
	entries map[submission]*turnaway
	next    time.Time // earliest time at which the next rejected caller may return
}

func newTurnaways() turnaways {
	return turnaways{entries: make(map[submission]*turnaway), teams: make(map[string]*teamReturns), returnShare: initialReturnShare}
}

// reject records a rejected submission and returns after how many whole seconds the caller should
// return: when there is room for it, and not before its turn among the rejected callers of its team.
// interval is the time between the returns of the team.
func (t *turnaways) reject(now time.Time, e turnaway, room, interval time.Duration) time.Duration {
	r := t.teams[e.team]
	if r == nil {
		r = &teamReturns{entries: make(map[submission]*turnaway)}
		t.teams[e.team] = r
	}
	e.rejectedAt = now
	if old := t.entries[e.submission]; old != nil {
		e.rejectedAt = old.rejectedAt
		t.remove(old)
	}
	at := now.Add(room)
	if r.next.After(at) {
		at = r.next
	}
	delay := wholeSeconds(at.Sub(now))
	if delay > maxReturnDelay || len(t.entries) >= maxTurnaways || len(r.entries) >= maxTeamTurnaways {
		return min(delay, maxReturnDelay)
	}
	r.next = at.Add(interval)
	e.from = now.Add(delay)
	e.until = e.from.Add(returnWindow)
	t.entries[e.submission], r.entries[e.submission] = &e, &e
	return delay
}

// wholeSeconds rounds up to whole seconds, at least one, as Retry-After requires.
func wholeSeconds(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// returned removes an entry whose caller was admitted.
func (t *turnaways) returned(e *turnaway) {
	t.countReturn(1)
	t.remove(e)
}

func (t *turnaways) remove(e *turnaway) {
	delete(t.entries, e.submission)
	if r := t.teams[e.team]; r != nil {
		delete(r.entries, e.submission)
	}
}

func (t *turnaways) countReturn(value float64) {
	t.returnShare += returnShareWeight * (value - t.returnShare)
}

// expire removes the entries whose time has passed.
func (t *turnaways) expire(now time.Time) {
	for _, e := range t.entries {
		if now.After(e.until) {
			t.countReturn(0)
			t.remove(e)
		}
	}
	for team, r := range t.teams {
		if len(r.entries) == 0 && !r.next.After(now) {
			delete(t.teams, team)
		}
	}
}

// promised returns the work that rejected callers of a team are expected to return with within a time,
// and how many of them are due now. First-time callers of the team are placed behind them, or else a
// new ID would be worth more than waiting for the return time.
func (t *turnaways) promised(team, service string, now time.Time, within time.Duration) (work amounts, due float64) {
	r := t.teams[team]
	if r == nil {
		return work, 0
	}
	for _, e := range r.entries {
		if e.from.Sub(now) > within || now.After(e.until) {
			continue
		}
		if e.service == service {
			work = work.plus(e.work, t.returnShare)
		}
		if e.isDue(now) {
			due += t.returnShare
		}
	}
	return work, due
}
