package keyring

import (
	"fmt"
	"time"
)

// Config holds the durations from which freshness follows.
type Config struct {
	Freshness   time.Duration // within which a withdrawal takes effect everywhere
	ListLag     time.Duration // largest age of what the instance list shows
	ClockDrift  float64       // largest deviation of a clock's rate from true time
	ClockMargin time.Duration // added to every wait and subtracted from every freshness
}

// maxFreshness is the largest bound that the platform's users accept for the
// time between the withdrawal of a key and its end on every instance.
const maxFreshness = 10 * time.Second

// DefaultConfig returns the defaults of the design page.
func DefaultConfig() Config {
	return Config{
		Freshness:   5 * time.Second,
		ListLag:     10 * time.Second,
		ClockDrift:  0.01,
		ClockMargin: 100 * time.Millisecond,
	}
}

// Validate reports durations with which no key would be admitted, or one for
// longer than permitted after its withdrawal.
func (c Config) Validate() error {
	if c.Freshness > maxFreshness {
		return fmt.Errorf("key freshness %v is above %v", c.Freshness, maxFreshness)
	}
	if c.shorten(c.Freshness) <= 0 {
		return fmt.Errorf("key freshness %v leaves nothing after drift and margin", c.Freshness)
	}
	return nil
}

func (c Config) shorten(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.ClockDrift) - c.ClockMargin
}

func (c Config) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}

// Freshness says until when the key data of this process may be relied on. A
// confirmation counts once every change up to the revision that it states has
// been applied. It is not safe for concurrent use.
type Freshness struct {
	cfg       Config
	startedAt time.Time
	faults    faults

	until   time.Time
	applied int64
	waiting []confirmation // for changes that are not applied yet, by revision

	promisedUntil time.Time // no configuration commit before
	committing    int       // configuration commits without a definite end
	committed     int64     // highest revision that this process has committed
}

type confirmation struct {
	until    time.Time
	revision int64
}

// faults disables single safety rules. Only tests set it.
type faults struct {
	ignoreRevision bool // count a confirmation before its changes are applied
	fromReply      bool // count from the reply instead of from before the send
	fullWindow     bool // take a peer's confirmation for a whole window
	ignoreStart    bool // commit before the list lag has passed since the start
	ownCommits     bool // leave out what this process has committed and not applied
	anyMembers     bool // complete an outage round without all members
	ignoreList     bool // complete an outage round in spite of newer instances
}

// maxWaiting bounds the confirmations that wait for changes. A process whose
// watch is behind for longer than these keeps the newest.
const maxWaiting = 8

// NewFreshness returns the freshness of a process that has confirmed nothing.
func NewFreshness(cfg Config, startedAt time.Time) *Freshness {
	return &Freshness{cfg: cfg, startedAt: startedAt}
}

// Until returns the time up to which the key data is fresh.
func (f *Freshness) Until() time.Time { return f.until }

// Remaining returns for how long the key data is still fresh, as a peer is told.
func (f *Freshness) Remaining(now time.Time) time.Duration {
	return max(0, f.until.Sub(now))
}

// Applied returns the revision up to which every change has been applied.
func (f *Freshness) Applied() int64 { return f.applied }

// ApplyThrough states that every change of the store up to the revision has
// been applied to the ring.
func (f *Freshness) ApplyThrough(revision int64) {
	f.applied = max(f.applied, revision)
	keep := f.waiting[:0]
	for _, c := range f.waiting {
		if c.revision <= f.applied {
			f.extend(c.until)
		} else {
			keep = append(keep, c)
		}
	}
	f.waiting = keep
}

// Confirmed takes a linearizable read of the store that was sent at sentAt and
// returned the given revision.
func (f *Freshness) Confirmed(now, sentAt time.Time, revision int64) {
	f.confirm(f.from(now, sentAt).Add(f.cfg.shorten(f.cfg.Freshness)), revision)
}

// PeerConfirmed takes a peer's reply to a request that was sent at sentAt: its
// own remaining freshness and the revision up to which it has applied changes.
// Freshness passed on among peers never grows.
func (f *Freshness) PeerConfirmed(now, sentAt time.Time, remaining time.Duration, revision int64) {
	if f.faults.fullWindow {
		remaining = f.cfg.Freshness
	}
	if remaining <= 0 {
		return
	}
	f.confirm(f.from(now, sentAt).Add(f.cfg.shorten(min(remaining, f.cfg.Freshness))), revision)
}

// OutageConfirmed takes a complete OutageRound.
func (f *Freshness) OutageConfirmed(now time.Time, r *OutageRound) {
	sentAt, revision, ok := r.result(f.faults)
	if ok {
		f.confirm(f.from(now, sentAt).Add(f.cfg.shorten(f.cfg.Freshness)), max(revision, f.Known()))
	}
}

func (f *Freshness) from(now, sentAt time.Time) time.Time {
	if f.faults.fromReply {
		return now
	}
	return sentAt
}

func (f *Freshness) confirm(until time.Time, revision int64) {
	if revision <= f.applied || f.faults.ignoreRevision {
		f.extend(until)
		return
	}
	if len(f.waiting) == maxWaiting {
		f.waiting = append(f.waiting[:0], f.waiting[1:]...)
	}
	f.waiting = append(f.waiting, confirmation{until: until, revision: revision})
}

func (f *Freshness) extend(until time.Time) {
	if until.After(f.until) {
		f.until = until
	}
}

// PromiseNoCommit answers a peer's outage round. It is granted only by a process
// that has no contact with the store and no commit on its way.
func (f *Freshness) PromiseNoCommit(now time.Time, storeContact bool) (granted bool) {
	if storeContact || f.committing > 0 {
		return false
	}
	until := now.Add(f.cfg.lengthen(f.cfg.Freshness))
	if until.After(f.promisedUntil) {
		f.promisedUntil = until
	}
	return true
}

// BeginCommit reports whether this process may commit a configuration change
// now, and if so notes it as under way until EndCommit. A process that started
// within the list lag may be missing from the lists of others, who then do not
// ask for its promise.
func (f *Freshness) BeginCommit(now time.Time) bool {
	if now.Before(f.promisedUntil) {
		return false
	}
	if now.Sub(f.startedAt) < f.cfg.lengthen(f.cfg.ListLag) && !f.faults.ignoreStart {
		return false
	}
	f.committing++
	return true
}

// EndCommit notes that the outcome of a commit is known. revision is that of the
// change, or 0 if it did not take effect. A commit whose outcome stays unclear
// has no end, and this process promises nothing to others from then on.
func (f *Freshness) EndCommit(revision int64) {
	f.committing--
	f.committed = max(f.committed, revision)
}

// Known returns the highest revision that this process has applied or committed.
// It is what an OutageReply states: a change that this process has committed and
// acknowledged binds the others even if no watch has shown it to anyone.
func (f *Freshness) Known() int64 {
	if f.faults.ownCommits {
		return f.applied
	}
	return max(f.applied, f.committed)
}
