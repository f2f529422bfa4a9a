package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// digestExchange contains the times at which this process sent its digest to the other members, and
// the outage round in progress.
type digestExchange struct {
	ownDigestAt   time.Time            // when the routing table was last updated with the load of this process
	sentAt        map[string]time.Time // by incarnation; the entry of this process is the start of the outage round
	outageRound   *keyring.OutageRound
	awaitingReply map[string]bool // by incarnation: whether the reply for the outage round is outstanding
}

// ownDigestInterval is the interval at which this process updates its own load in its routing
// table. It is far shorter than the interval of the digests from other instances, and long compared
// with the time that summing up the load of the workers takes.
const ownDigestInterval = 200 * time.Millisecond

func newDigestExchange() *digestExchange { return &digestExchange{sentAt: map[string]time.Time{}} }

// exchangeDigests sends the digest to the members for which it is due. The reply contains the
// digest of the receiver, so of each pair of members only the one with the lower incarnation sends.
// The other one sends only to renew the freshness of its keys, in an outage round and during a
// drain.
func (s *State) exchangeDigests() {
	if s.now.Sub(s.exchange.ownDigestAt) >= ownDigestInterval {
		s.exchange.ownDigestAt = s.now
		s.routing.observeDigest(s.now, s.digest())
	}
	s.startOutageRound()
	for _, m := range s.routing.memberList() {
		if m.Incarnation == s.self.Incarnation || s.now.Before(s.exchange.sentAt[m.Incarnation].Add(s.digestInterval(m))) {
			continue
		}
		requestNoCommit := s.exchange.awaitingReply[m.Incarnation]
		if m.Incarnation < s.self.Incarnation && !requestNoCommit && s.areKeysFresh() && !s.drain.started {
			continue
		}
		s.exchange.sentAt[m.Incarnation] = s.now
		message := s.digest()
		message.RequestNoCommit = requestNoCommit
		s.emit(Send{To: m, Request: message, Timeout: s.cfg.CallTimeout, SentAt: s.now})
	}
}

// areKeysFresh reports whether the keys do not yet need a confirmation by other members.
func (s *State) areKeysFresh() bool { return s.freshness.Remaining(s.now) > s.cfg.KeyFreshness/2 }

func (s *State) digestInterval(m membership.Member) time.Duration {
	if m.Region == s.self.Region || !s.areKeysFresh() || s.drain.started {
		return s.cfg.DigestInterval
	}
	return s.cfg.CrossRegionDigestInterval
}

// startOutageRound requests from every member a promise not to commit configuration changes for one
// freshness period, if the store does not answer this process and the keys are about to become
// stale.
func (s *State) startOutageRound() {
	if s.hasStoreContact() || s.areKeysFresh() || s.membership.listedAt.IsZero() {
		return
	}
	peers := make([]keyring.Peer, 0, len(s.routing.members))
	awaitingReply := map[string]bool{}
	for _, m := range s.routing.memberList() {
		peers = append(peers, keyring.Peer{Instance: m.Instance, Incarnation: m.Incarnation})
		awaitingReply[m.Incarnation] = m.Incarnation != s.self.Incarnation
	}
	self := keyring.Peer{Instance: s.self.Instance, Incarnation: s.self.Incarnation}
	if s.exchange.outageRound != nil && s.now.Sub(s.exchange.sentAt[self.Incarnation]) < s.cfg.DigestInterval {
		return
	}
	if !s.freshness.PromiseNoCommit(s.now, false) {
		return // this process is committing a configuration change
	}
	s.exchange.sentAt[self.Incarnation] = s.now
	s.exchange.outageRound = keyring.NewOutageRound(s.now, self, peers)
	s.exchange.awaitingReply = awaitingReply
	names := make([]string, 0, len(s.membership.listedEntries))
	for _, m := range s.membership.listedEntries {
		names = append(names, m.Instance)
	}
	s.exchange.outageRound.RecordInstanceList(s.membership.listedAt, names)
	// Without other members the round is complete at once.
	s.freshness.RecordOutageRound(s.now, s.exchange.outageRound)
	s.snapshotChanged = true
	for incarnation, awaiting := range awaitingReply {
		if awaiting {
			delete(s.exchange.sentAt, incarnation) // due at once
		}
	}
}

// digest returns the digest of this process.
func (s *State) digest() DigestMessage {
	d := DigestMessage{
		Instance: s.self.Instance, Incarnation: s.self.Incarnation, Revision: s.config.appliedRevision,
		StoreContact: s.hasStoreContact(), StoreContactAge: s.now.Sub(s.membership.lastContact), Freshness: s.freshness.Remaining(s.now),
		Partitions: s.owner.partitionDigests(), Usage: s.owner.usage(), StarvedTeams: s.owner.allowances.StarvedTeams(),
		Clock: s.recorder.NextTimestamp(s.now),
	}
	return d
}

func (s *State) digestReceived(token uint64, d DigestMessage) {
	s.applyDigest(d)
	reply := s.digest()
	if d.RequestNoCommit {
		reply.NoCommitPromised = s.freshness.PromiseNoCommit(s.now, s.hasStoreContact())
		reply.KnownRevision = s.freshness.KnownRevision()
	}
	s.reply(token, reply)
}

func (s *State) digestDone(e PeerDone) {
	if e.Err != nil {
		return
	}
	reply := e.Reply.(DigestMessage)
	s.applyDigest(reply)
	s.freshness.RecordPeerReply(s.now, e.Send.SentAt, reply.Freshness, reply.Revision)
	if s.belongsToOutageRound(e.Send) && s.exchange.awaitingReply[reply.Incarnation] {
		s.exchange.awaitingReply[reply.Incarnation] = false
		s.exchange.outageRound.RecordReply(keyring.OutageReply{
			From:     keyring.Peer{Instance: reply.Instance, Incarnation: reply.Incarnation},
			Promised: reply.NoCommitPromised, Revision: reply.KnownRevision,
		})
		s.freshness.RecordOutageRound(s.now, s.exchange.outageRound)
	}
	s.snapshotChanged = true
}

// belongsToOutageRound reports whether a digest requested a promise for the outage round in
// progress. A promise that was given for an earlier round expires earlier, and no promise is given
// in reply to a digest that did not request one.
func (s *State) belongsToOutageRound(sent Send) bool {
	requested := sent.Request.(DigestMessage).RequestNoCommit
	return requested && s.exchange.outageRound != nil && !sent.SentAt.Before(s.exchange.sentAt[s.self.Incarnation])
}

// applyDigest applies the digest of another instance.
func (s *State) applyDigest(d DigestMessage) {
	s.recorder.Receive(s.now, d.Clock)
	s.routing.observeDigest(s.now, d)
	s.ownership.SetHandoverEligible(d.Instance, s.mayReceiveUnits(d))
	for _, team := range d.StarvedTeams {
		s.owner.allowances.RequestIdleReturn(team)
	}
	s.updateShares()
	if d.Revision > s.config.appliedRevision && !s.areKeysFresh() {
		s.fetchConfig(d)
	}
}

// fetchConfig fetches newer configuration from a peer. This is done before the keys are stale,
// because the freshness of a peer takes effect here only once its revision has been applied.
func (s *State) fetchConfig(d DigestMessage) {
	if m, ok := s.routing.members[d.Incarnation]; ok && s.config.fetchedAt.Add(s.cfg.CallTimeout).Before(s.now) {
		s.config.fetchedAt = s.now
		s.emit(Send{To: m, Request: FetchConfigRequest{AfterRevision: s.config.appliedRevision}, Timeout: s.cfg.CallTimeout, SentAt: s.now})
	}
}

// updateShares updates the fair-share accounting with the usage of each team at the other owners
// and the total capacity of the cluster.
func (s *State) updateShares() {
	remote := map[task.Team]task.Resources{}
	for instance, d := range s.routing.digests {
		if instance == s.self.Instance || s.now.Sub(d.receivedAt) > s.cfg.DigestLifetime {
			continue
		}
		for _, u := range d.message.Usage {
			remote[u.Team] = remote[u.Team].Add(u.Used)
		}
	}
	for team := range s.owner.remoteUsage {
		if _, ok := remote[team]; !ok {
			s.owner.shares.SetRemoteUsage(s.now, team, task.Resources{})
		}
	}
	for team, size := range remote {
		s.owner.shares.SetRemoteUsage(s.now, team, size)
	}
	s.owner.remoteUsage = remote
	var total task.Resources
	for _, load := range s.routing.partitionLoads {
		total = total.Add(load.digest.Capacity)
	}
	s.owner.shares.SetCapacity(total)
}

// partitionDigests returns the load of the owned partitions, sorted by name.
func (w *owner) partitionDigests() []PartitionDigest {
	queued := map[string]int{}
	for _, a := range w.attempts {
		if a.stage == stageQueued {
			queued[a.partition]++
		}
	}
	byName := map[string]*PartitionDigest{}
	for name, p := range w.partitions {
		byName[name] = &PartitionDigest{Partition: name, Epoch: p.epoch, Queued: queued[name]}
	}
	for _, worker := range w.workers {
		d, owned := byName[worker.partition]
		if !owned || !w.isUsable(worker) {
			continue
		}
		d.Ready = !w.draining
		d.Capacity = d.Capacity.Add(worker.capacity)
		if free, known := w.cluster.FreeOn(worker.listed.Name); known {
			d.Free = d.Free.Add(free)
		}
	}
	list := make([]PartitionDigest, 0, len(byName))
	for _, d := range byName {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b PartitionDigest) int { return cmp.Compare(a.Partition, b.Partition) })
	return list
}

// usage returns the resources that each team uses at this owner, sorted by team.
func (w *owner) usage() []TeamUsage {
	sums := map[task.Team]task.Resources{}
	for _, a := range w.attempts {
		if _, size, reserved := w.cluster.ReservationOf(a.id); reserved {
			sums[a.team] = sums[a.team].Add(size)
		}
	}
	list := make([]TeamUsage, 0, len(sums))
	for team, size := range sums {
		list = append(list, TeamUsage{Team: team, Used: size})
	}
	slices.SortFunc(list, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
