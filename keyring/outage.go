package keyring

import "time"

// Peer names one process among the members.
type Peer struct{ Instance, Incarnation string }

// OutageReply is what a member states in a total outage of the store.
type OutageReply struct {
	From     Peer
	Promised bool  // it has no store contact and commits nothing for a window
	Revision int64 // the highest that it has applied or committed, see Freshness.Known
}

// OutageRound collects the statements of all members in a total outage of the
// store. A round confirms the key data as of the time before its first request
// and before the instance list was read.
type OutageRound struct {
	sentAt   time.Time
	missing  map[Peer]bool
	known    map[string]bool // instances
	revision int64
	refused  bool
	listedAt time.Time
	listed   bool
	newer    bool
}

// NewOutageRound starts a round at sentAt among the members of the last list
// that the store gave. self is one of them.
func NewOutageRound(sentAt time.Time, self Peer, members []Peer) *OutageRound {
	r := &OutageRound{sentAt: sentAt, missing: make(map[Peer]bool), known: make(map[string]bool)}
	r.known[self.Instance] = true
	for _, m := range members {
		r.known[m.Instance] = true
		if m != self {
			r.missing[m] = true
		}
	}
	return r
}

// Reply takes the statement of a member. A statement of another incarnation
// counts as a refusal, since that process does not know what its predecessor
// committed.
func (r *OutageRound) Reply(reply OutageReply) {
	if !reply.Promised || !r.missing[reply.From] {
		r.refused = true
		return
	}
	delete(r.missing, reply.From)
	r.revision = max(r.revision, reply.Revision)
}

// Listed takes the entry instances that the instance list shows, in a read that
// was sent at sentAt. An instance that is not a member may have joined and
// committed a change that no member knows.
func (r *OutageRound) Listed(sentAt time.Time, instances []string) {
	r.listed, r.listedAt = true, sentAt
	for _, i := range instances {
		if !r.known[i] {
			r.newer = true
		}
	}
}

// result returns the time from which the round counts and the revision that
// must be applied.
func (r *OutageRound) result(f faults) (time.Time, int64, bool) {
	complete := len(r.missing) == 0 && !r.refused || f.anyMembers
	complete = complete && (r.listed && !r.newer || f.ignoreList)
	sentAt := r.sentAt
	if r.listed && r.listedAt.Before(sentAt) {
		sentAt = r.listedAt
	}
	return sentAt, r.revision, complete
}
