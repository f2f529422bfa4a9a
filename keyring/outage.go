package keyring

import "time"

// Peer identifies one incarnation of a member, that is, one process of an instance.
type Peer struct{ Instance, Incarnation string }

// OutageReply is the reply of a member to a request of an outage round.
type OutageReply struct {
	From     Peer
	Promised bool  // result of the member's Freshness.PromiseNoCommit
	Revision int64 // result of the member's Freshness.KnownRevision
}

// OutageRound collects the replies of all members during a total outage of the store. It requires the
// replies of all members; a quorum is not sufficient. A complete round confirms the key data as of the
// time when its requests or the read of the instance list were sent, whichever is earlier.
type OutageRound struct {
	sentAt        time.Time       // when the first request was sent, or earlier
	awaited       map[Peer]bool   // members that have not promised yet
	instances     map[string]bool // instance names of this process and of all members
	revision      int64           // highest revision in a reply
	refused       bool            // a member refused the promise, or the reply was not expected
	listedAt      time.Time       // when the read of the instance list was sent
	listed        bool            // the instance list was recorded
	unknownListed bool            // the list contains an instance that is not a member
}

// NewOutageRound starts a round at sentAt. members is the last member list that the store returned;
// it includes self.
func NewOutageRound(sentAt time.Time, self Peer, members []Peer) *OutageRound {
	r := &OutageRound{sentAt: sentAt, awaited: make(map[Peer]bool), instances: make(map[string]bool)}
	r.instances[self.Instance] = true
	for _, m := range members {
		r.instances[m.Instance] = true
		if m != self {
			r.awaited[m] = true
		}
	}
	return r
}

// RecordReply records the reply of a member. A reply of another incarnation is treated as a refusal,
// because that process does not have the commits of its predecessor.
func (r *OutageRound) RecordReply(reply OutageReply) {
	if !reply.Promised || !r.awaited[reply.From] {
		r.refused = true
		return
	}
	delete(r.awaited, reply.From)
	r.revision = max(r.revision, reply.Revision)
}

// RecordInstanceList records the entry instances in the instance list, from a read that was sent at
// sentAt. The round fails if one of them is not a known member: it may have registered and committed a
// change that no known member has received.
func (r *OutageRound) RecordInstanceList(sentAt time.Time, instances []string) {
	r.listed, r.listedAt = true, sentAt
	for _, i := range instances {
		if !r.instances[i] {
			r.unknownListed = true
		}
	}
}

// result returns the start of the freshness period, the revision up to which changes must be applied
// before the round takes effect, and whether the round is complete.
func (r *OutageRound) result(seeded seededFaults) (time.Time, int64, bool) {
	complete := len(r.awaited) == 0 && !r.refused || seeded.ignoreMissingReplies
	complete = complete && (r.listed && !r.unknownListed || seeded.ignoreUnknownInstances)
	sentAt := r.sentAt
	if r.listed && r.listedAt.Before(sentAt) {
		sentAt = r.listedAt
	}
	return sentAt, r.revision, complete
}
