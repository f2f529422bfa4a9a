package keyring

import (
	"fmt"
	"time"
)

// Config configures the freshness of key data.
type Config struct {
	Freshness   time.Duration // maximum time until a withdrawal is in effect on every instance
	ListLag     time.Duration // maximum staleness of the instance list
	ClockDrift  float64       // maximum relative error of a clock's rate
	ClockMargin time.Duration // added to every wait and subtracted from every freshness period
}

// maxFreshness is the longest acceptable time, for the platform's users, between the withdrawal of a
// key and its rejection on every instance.
const maxFreshness = 10 * time.Second

// DefaultConfig returns the default configuration, as specified in the design documentation.
func DefaultConfig() Config {
	return Config{
		Freshness:   5 * time.Second,
		ListLag:     10 * time.Second,
		ClockDrift:  0.01,
		ClockMargin: 100 * time.Millisecond,
	}
}

// Validate returns an error if the configuration would reject every key, or if it would accept a key
// for longer than maxFreshness after its withdrawal.
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

// shorten returns d reduced by clock drift and margin, for periods that must not last longer than d
// in true time.
func (c Config) shorten(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.ClockDrift) - c.ClockMargin
}

// lengthen returns d extended by clock drift and margin, for waits that must last at least d in true
// time.
func (c Config) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}

// Freshness tracks the time until which the key data of this process is guaranteed to be fresh. A
// confirmation takes effect once all changes up to its revision have been applied. Freshness is not
// safe for concurrent use.
type Freshness struct {
	cfg          Config
	startedAt    time.Time
	seededFaults seededFaults

	freshUntil      time.Time
	appliedRevision int64          // all changes up to this revision have been applied
	pending         []confirmation // confirmations whose changes are not all applied yet, oldest first

	noCommitUntil     time.Time // end of the latest promise not to commit configuration changes
	openCommits       int       // configuration commits in flight or with an unknown outcome
	committedRevision int64     // highest revision that this process has committed
}

// confirmation is the end of a freshness period that takes effect once a revision has been applied.
type confirmation struct {
	freshUntil time.Time
	revision   int64
}

// seededFaults disables individual safety rules. Only tests set it, to show that their checks detect
// the absence of each rule.
type seededFaults struct {
	ignoreRevision         bool // accept a confirmation before its changes are applied
	startAtReply           bool // start the freshness period at the reply instead of at the request
	fullPeerPeriod         bool // extend a peer's remaining freshness to the full period
	ignoreStartDelay       bool // commit within ListLag after process start
	ignoreOwnCommits       bool // exclude own commits that are not applied yet from KnownRevision
	ignoreMissingReplies   bool // complete an outage round without the replies of all members
	ignoreUnknownInstances bool // complete an outage round although unknown instances are listed
}

// maxPending is the maximum number of pending confirmations. If the watch of the store lags further,
// the oldest confirmation is dropped.
const maxPending = 8

// NewFreshness returns the Freshness of a process without any confirmation.
func NewFreshness(cfg Config, startedAt time.Time) *Freshness {
	return &Freshness{cfg: cfg, startedAt: startedAt}
}

// FreshUntil returns the time until which the key data is guaranteed to be fresh.
func (f *Freshness) FreshUntil() time.Time { return f.freshUntil }

// Remaining returns the remaining freshness of the key data, for a reply to a peer.
func (f *Freshness) Remaining(now time.Time) time.Duration {
	return max(0, f.freshUntil.Sub(now))
}

// AppliedRevision returns the revision up to which all changes have been applied.
func (f *Freshness) AppliedRevision() int64 { return f.appliedRevision }

// RecordApplied records that all changes in the store up to the revision have been applied to the
// ring.
func (f *Freshness) RecordApplied(revision int64) {
	f.appliedRevision = max(f.appliedRevision, revision)
	stillPending := f.pending[:0]
	for _, c := range f.pending {
		if c.revision <= f.appliedRevision {
			f.extendFreshness(c.freshUntil)
		} else {
			stillPending = append(stillPending, c)
		}
	}
	f.pending = stillPending
}

// RecordStoreRead records a linearizable read of the store that was sent at sentAt and returned the
// given revision.
func (f *Freshness) RecordStoreRead(now, sentAt time.Time, revision int64) {
	f.addConfirmation(f.periodStart(now, sentAt).Add(f.cfg.shorten(f.cfg.Freshness)), revision)
}

// RecordPeerReply records a peer's reply to a request that was sent at sentAt: the peer's remaining
// freshness and the revision up to which it has applied changes. A confirmation that is relayed from
// peer to peer never extends the original freshness period.
func (f *Freshness) RecordPeerReply(now, sentAt time.Time, remaining time.Duration, revision int64) {
	if f.seededFaults.fullPeerPeriod {
		remaining = f.cfg.Freshness
	}
	if remaining <= 0 {
		return
	}
	f.addConfirmation(f.periodStart(now, sentAt).Add(f.cfg.shorten(min(remaining, f.cfg.Freshness))), revision)
}

// RecordOutageRound records the result of an OutageRound. It has no effect if the round is incomplete.
func (f *Freshness) RecordOutageRound(now time.Time, r *OutageRound) {
	sentAt, revision, ok := r.result(f.seededFaults)
	if ok {
		f.addConfirmation(f.periodStart(now, sentAt).Add(f.cfg.shorten(f.cfg.Freshness)), max(revision, f.KnownRevision()))
	}
}

// periodStart returns the start of a freshness period. It is the time at which the request was sent,
// because the confirmed state may be as old as that.
func (f *Freshness) periodStart(now, sentAt time.Time) time.Time {
	if f.seededFaults.startAtReply {
		return now
	}
	return sentAt
}

// addConfirmation extends the freshness to the given time, at once if the changes up to the revision
// have been applied, and otherwise when they are.
func (f *Freshness) addConfirmation(until time.Time, revision int64) {
	if revision <= f.appliedRevision || f.seededFaults.ignoreRevision {
		f.extendFreshness(until)
		return
	}
	if len(f.pending) == maxPending {
		f.pending = append(f.pending[:0], f.pending[1:]...)
	}
	f.pending = append(f.pending, confirmation{freshUntil: until, revision: revision})
}

func (f *Freshness) extendFreshness(until time.Time) {
	if until.After(f.freshUntil) {
		f.freshUntil = until
	}
}

// PromiseNoCommit handles a request of a peer's outage round. It grants the promise only if this
// process has no contact with the store and no open commit. After a grant, this process commits no
// configuration change for one freshness period.
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
// is open until EndCommit. A process must not commit within ListLag after its start, because it may
// still be missing from the instance list that its peers read, so that they do not request its
// promise.
func (f *Freshness) BeginCommit(now time.Time) bool {
	if now.Before(f.noCommitUntil) {
		return false
	}
	if now.Sub(f.startedAt) < f.cfg.lengthen(f.cfg.ListLag) && !f.seededFaults.ignoreStartDelay {
		return false
	}
	f.openCommits++
	return true
}

// EndCommit records the outcome of a commit. revision is the revision of the change, or 0 if it did
// not take effect. A commit whose outcome remains unknown must stay open: EndCommit is not called for
// it, and from then on this process refuses every promise.
func (f *Freshness) EndCommit(revision int64) {
	f.openCommits--
	f.committedRevision = max(f.committedRevision, revision)
}

// KnownRevision returns the highest revision that this process has applied or committed, for an
// OutageReply. All processes must respect a change that this process has committed and acknowledged,
// even if no watch has delivered it yet.
func (f *Freshness) KnownRevision() int64 {
	if f.seededFaults.ignoreOwnCommits {
		return f.appliedRevision
	}
	return max(f.appliedRevision, f.committedRevision)
}
