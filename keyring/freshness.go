package keyring

import (
	"fmt"
	"time"
)

// Config holds the parameters of key freshness.
type Config struct {
	Freshness   time.Duration // maximum time until a withdrawal is in effect on every instance
	ListLag     time.Duration // maximum staleness of the instance list
	ClockDrift  float64       // maximum relative deviation of a clock's rate from true time
	ClockMargin time.Duration // added to every wait and subtracted from every freshness period
}

// maxFreshness is the longest time that the platform's users accept between the withdrawal of a key
// and its rejection on every instance.
const maxFreshness = 10 * time.Second

// DefaultConfig returns the default configuration that the design page specifies.
func DefaultConfig() Config {
	return Config{
		Freshness:   5 * time.Second,
		ListLag:     10 * time.Second,
		ClockDrift:  0.01,
		ClockMargin: 100 * time.Millisecond,
	}
}

// Validate returns an error if no key could ever be admitted, or if a key could be admitted for
// longer than maxFreshness after its withdrawal.
func (c Config) Validate() error {
	if c.Freshness > maxFreshness {
		return fmt.Errorf("key freshness %v exceeds the maximum of %v", c.Freshness, maxFreshness)
	}
	if c.shorten(c.Freshness) <= 0 {
		return fmt.Errorf("key freshness %v is too short: nothing remains after a clock drift of %v and a clock margin of %v",
			c.Freshness, c.ClockDrift, c.ClockMargin)
	}
	return nil
}

// shorten returns d reduced by clock drift and margin, for periods that must not be exceeded.
func (c Config) shorten(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.ClockDrift) - c.ClockMargin
}

// lengthen returns d extended by clock drift and margin, for waits that must not be too short.
func (c Config) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}

// Freshness tracks until when the key data of this process is guaranteed to be fresh. A confirmation
// takes effect once all changes up to its revision have been applied. It is not safe for concurrent
// use.
type Freshness struct {
	cfg       Config
	startedAt time.Time
	faults    faults

	until   time.Time
	applied int64
	pending []confirmation // confirmations whose changes are not all applied yet, oldest first

	noCommitUntil time.Time // no configuration commit before this time
	openCommits   int       // configuration commits in flight or with an unknown outcome
	lastCommitted int64     // highest revision that this process has committed
}

type confirmation struct {
	until    time.Time
	revision int64
}

// faults disables individual safety rules. Only tests set it.
type faults struct {
	ignoreRevision         bool // accept a confirmation before its changes are applied
	startAtReply           bool // start the period at the reply instead of before the send
	fullPeerPeriod         bool // extend a peer's confirmation to the full period
	ignoreStartDelay       bool // commit within ListLag after process start
	ignoreOwnCommits       bool // exclude own commits that are not applied yet
	ignoreMissingReplies   bool // complete an outage round without replies of all members
	ignoreUnknownInstances bool // complete an outage round although the list shows unknown instances
}

// maxPending is the maximum number of confirmations that wait for changes. If the watch falls behind
// further, the oldest confirmations are dropped.
const maxPending = 8

// NewFreshness returns the Freshness of a process without any confirmation.
func NewFreshness(cfg Config, startedAt time.Time) *Freshness {
	return &Freshness{cfg: cfg, startedAt: startedAt}
}

// Until returns the time until which the key data is fresh.
func (f *Freshness) Until() time.Time { return f.until }

// Remaining returns how long the key data stays fresh, for a reply to a peer.
func (f *Freshness) Remaining(now time.Time) time.Duration {
	return max(0, f.until.Sub(now))
}

// Applied returns the revision up to which all changes have been applied.
func (f *Freshness) Applied() int64 { return f.applied }

// ApplyThrough records that all changes of the store up to the revision have been applied to the
// ring.
func (f *Freshness) ApplyThrough(revision int64) {
	f.applied = max(f.applied, revision)
	keep := f.pending[:0]
	for _, c := range f.pending {
		if c.revision <= f.applied {
			f.extendUntil(c.until)
		} else {
			keep = append(keep, c)
		}
	}
	f.pending = keep
}

// Confirmed records a linearizable read of the store that was sent at sentAt and returned the given
// revision.
func (f *Freshness) Confirmed(now, sentAt time.Time, revision int64) {
	f.addConfirmation(f.periodStart(now, sentAt).Add(f.cfg.shorten(f.cfg.Freshness)), revision)
}

// PeerConfirmed records a peer's reply to a request that was sent at sentAt: the peer's remaining
// freshness and the revision up to which it has applied changes. Freshness never increases when it
// is passed from peer to peer.
func (f *Freshness) PeerConfirmed(now, sentAt time.Time, remaining time.Duration, revision int64) {
	if f.faults.fullPeerPeriod {
		remaining = f.cfg.Freshness
	}
	if remaining <= 0 {
		return
	}
	f.addConfirmation(f.periodStart(now, sentAt).Add(f.cfg.shorten(min(remaining, f.cfg.Freshness))), revision)
}

// OutageConfirmed records the result of an OutageRound. An incomplete round has no effect.
func (f *Freshness) OutageConfirmed(now time.Time, r *OutageRound) {
	sentAt, revision, ok := r.result(f.faults)
	if ok {
		f.addConfirmation(f.periodStart(now, sentAt).Add(f.cfg.shorten(f.cfg.Freshness)), max(revision, f.Known()))
	}
}

func (f *Freshness) periodStart(now, sentAt time.Time) time.Time {
	if f.faults.startAtReply {
		return now
	}
	return sentAt
}

func (f *Freshness) addConfirmation(until time.Time, revision int64) {
	if revision <= f.applied || f.faults.ignoreRevision {
		f.extendUntil(until)
		return
	}
	if len(f.pending) == maxPending {
		f.pending = append(f.pending[:0], f.pending[1:]...)
	}
	f.pending = append(f.pending, confirmation{until: until, revision: revision})
}

func (f *Freshness) extendUntil(until time.Time) {
	if until.After(f.until) {
		f.until = until
	}
}

// PromiseNoCommit handles the request of a peer's outage round. It grants the promise only if this
// process has no contact with the store and no commit in flight. After a grant, the process commits
// no configuration change for one freshness period.
func (f *Freshness) PromiseNoCommit(now time.Time, storeContact bool) (granted bool) {
	if storeContact || f.openCommits > 0 {
		return false
	}
	until := now.Add(f.cfg.lengthen(f.cfg.Freshness))
	if until.After(f.noCommitUntil) {
		f.noCommitUntil = until
	}
	return true
}

// BeginCommit reports whether this process may commit a configuration change now. If so, the commit
// counts as in flight until EndCommit. A process must not commit within ListLag after its start:
// it may be missing from the instance lists of others, which then do not request its promise.
func (f *Freshness) BeginCommit(now time.Time) bool {
	if now.Before(f.noCommitUntil) {
		return false
	}
	if now.Sub(f.startedAt) < f.cfg.lengthen(f.cfg.ListLag) && !f.faults.ignoreStartDelay {
		return false
	}
	f.openCommits++
	return true
}

// EndCommit records the known outcome of a commit. revision is the revision of the change, or 0 if it
// did not take effect. EndCommit is not called for a commit whose outcome stays unknown; from then
// on, this process refuses every promise.
func (f *Freshness) EndCommit(revision int64) {
	f.openCommits--
	f.lastCommitted = max(f.lastCommitted, revision)
}

// Known returns the highest revision that this process has applied or committed, for an OutageReply.
// A change that this process has committed and acknowledged is binding for all others, even if no
// watch has delivered it yet.
func (f *Freshness) Known() int64 {
	if f.faults.ignoreOwnCommits {
		return f.applied
	}
	return max(f.applied, f.lastCommitted)
}
