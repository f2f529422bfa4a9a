package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// exchange is when this process sent its digest to each of the others, and the
// outage round that is under way.
type exchange struct {
	observedAt time.Time            // when this process last looked at its own load
	sentAt     map[string]time.Time // by incarnation
	round      *keyring.OutageRound
	asked      map[string]bool // incarnations whose statement for the round is missing
}

// ownDigestInterval is how often this process renews what it knows of its own
// load as a home. It is far shorter than the interval of the others' digests and
// long against the cost of summing up its workers.
const ownDigestInterval = 200 * time.Millisecond

func newExchange() *exchange { return &exchange{sentAt: map[string]time.Time{}} }

// exchangeDigests sends the digest to the members that are due. The reply has
// the other's digest, so of two members only the one with the lower incarnation
// sends, except to renew the freshness of its keys.
func (s *State) exchangeDigests() {
	if s.now.Sub(s.exchange.observedAt) >= ownDigestInterval {
		s.exchange.observedAt = s.now
		s.routing.observeDigest(s.now, s.digest())
	}
	s.startOutageRound()
	for _, m := range s.routing.memberList() {
		if m.Incarnation == s.self.Incarnation || s.now.Before(s.exchange.sentAt[m.Incarnation].Add(s.digestInterval(m))) {
			continue
		}
		asks := s.exchange.asked[m.Incarnation]
		if m.Incarnation < s.self.Incarnation && !asks && s.isFresh() && !s.drain.started {
			continue
		}
		s.exchange.sentAt[m.Incarnation] = s.now
		message := s.digest()
		message.AskNoCommit = asks
		s.emit(Send{To: m, Request: message, Timeout: s.cfg.CallTimeout, SentAt: s.now})
	}
}

// isFresh reports whether the keys need no confirmation by others yet.
func (s *State) isFresh() bool { return s.freshness.Remaining(s.now) > s.cfg.KeyFreshness/2 }

func (s *State) digestInterval(m membership.Member) time.Duration {
	if m.Region == s.self.Region || !s.isFresh() || s.drain.started {
		return s.cfg.DigestInterval
	}
	return s.cfg.FarDigestInterval
}

// startOutageRound asks every member to commit no configuration change for a
// while if the store answers nobody and the keys are about to be too old.
func (s *State) startOutageRound() {
	if s.hasStoreContact() || s.isFresh() || s.members.listedAt.IsZero() {
		return
	}
	peers := make([]keyring.Peer, 0, len(s.routing.members))
	asked := map[string]bool{}
	for _, m := range s.routing.memberList() {
		peers = append(peers, keyring.Peer{Instance: m.Instance, Incarnation: m.Incarnation})
		asked[m.Incarnation] = m.Incarnation != s.self.Incarnation
	}
	self := keyring.Peer{Instance: s.self.Instance, Incarnation: s.self.Incarnation}
	if s.exchange.round != nil && s.now.Sub(s.exchange.sentAt[self.Incarnation]) < s.cfg.DigestInterval {
		return
	}
	if !s.freshness.PromiseNoCommit(s.now, false) {
		return // a change of the configuration is on its way from here
	}
	s.exchange.sentAt[self.Incarnation] = s.now
	s.exchange.round = keyring.NewOutageRound(s.now, self, peers)
	s.exchange.asked = asked
	names := make([]string, 0, len(s.members.listed))
	for _, m := range s.members.listed {
		names = append(names, m.Instance)
	}
	s.exchange.round.Listed(s.members.listedAt, names)
	s.freshness.OutageConfirmed(s.now, s.exchange.round) // complete at once without other members
	s.changed = true
	for incarnation, ask := range asked {
		if ask {
			delete(s.exchange.sentAt, incarnation) // due at once
		}
	}
}

// digest says how this process is loaded and what it has in force.
func (s *State) digest() DigestMessage {
	d := DigestMessage{
		Instance: s.self.Instance, Incarnation: s.self.Incarnation, Revision: s.config.applied,
		StoreContact: s.hasStoreContact(), ContactAge: s.now.Sub(s.members.lastContact), Freshness: s.freshness.Remaining(s.now),
		Partitions: s.owner.partitionDigests(), Usage: s.owner.usage(), Wants: s.owner.allow.Starving(),
		Clock: s.record.Now(s.now),
	}
	return d
}

func (s *State) digestReceived(token uint64, d DigestMessage) {
	s.takeDigest(d)
	reply := s.digest()
	if d.AskNoCommit {
		reply.NoCommit = s.freshness.PromiseNoCommit(s.now, s.hasStoreContact())
		reply.Known = s.freshness.Known()
	}
	s.reply(token, reply)
}

func (s *State) digestDone(e PeerDone) {
	if e.Err != nil {
		return
	}
	reply := e.Reply.(DigestMessage)
	s.takeDigest(reply)
	s.freshness.PeerConfirmed(s.now, e.Send.SentAt, reply.Freshness, reply.Revision)
	if s.isOfRound(e.Send) && s.exchange.asked[reply.Incarnation] {
		s.exchange.asked[reply.Incarnation] = false
		s.exchange.round.Reply(keyring.OutageReply{
			From:     keyring.Peer{Instance: reply.Instance, Incarnation: reply.Incarnation},
			Promised: reply.NoCommit, Revision: reply.Known,
		})
		s.freshness.OutageConfirmed(s.now, s.exchange.round)
	}
	s.changed = true
}

// isOfRound reports whether a digest asked for a statement for the outage round
// that is under way. A promise that was given for an earlier round ends earlier,
// and a digest that did not ask for one gets none.
func (s *State) isOfRound(sent Send) bool {
	asked := sent.Request.(DigestMessage).AskNoCommit
	return asked && s.exchange.round != nil && !sent.SentAt.Before(s.exchange.sentAt[s.self.Incarnation])
}

// takeDigest applies what another instance says of itself.
func (s *State) takeDigest(d DigestMessage) {
	s.record.Receive(s.now, d.Clock)
	s.routing.observeDigest(s.now, d)
	s.ownership.ObserveContact(d.Instance, s.mayReceive(d))
	for _, team := range d.Wants {
		s.owner.allow.AskIdle(team)
	}
	s.shareUsage()
	if d.Revision > s.config.applied && !s.isFresh() {
		s.fetchConfig(d)
	}
}

// fetchConfig reads what a peer has of later configuration. It is done before the
// keys are too old, since a peer's freshness counts here only with its revision.
func (s *State) fetchConfig(d DigestMessage) {
	if m, ok := s.routing.members[d.Incarnation]; ok && s.config.fetchedAt.Add(s.cfg.CallTimeout).Before(s.now) {
		s.config.fetchedAt = s.now
		s.emit(Send{To: m, Request: FetchConfigRequest{After: s.config.applied}, Timeout: s.cfg.CallTimeout, SentAt: s.now})
	}
}

// shareUsage tells the fair shares what the teams use at the other owners, and
// how large the whole cluster is.
func (s *State) shareUsage() {
	remote := map[task.Team]task.Resources{}
	for instance, d := range s.routing.digests {
		if instance == s.self.Instance || s.now.Sub(d.receivedAt) > s.cfg.DigestLifetime {
			continue
		}
		for _, u := range d.message.Usage {
			remote[u.Team] = remote[u.Team].Add(u.Size)
		}
	}
	for team := range s.owner.remoteTeams {
		if _, ok := remote[team]; !ok {
			s.owner.shares.SetRemote(s.now, team, task.Resources{})
		}
	}
	for team, size := range remote {
		s.owner.shares.SetRemote(s.now, team, size)
	}
	s.owner.remoteTeams = remote
	var total task.Resources
	for _, load := range s.routing.partitions {
		total = total.Add(load.digest.Capacity)
	}
	s.owner.shares.SetTotal(total)
}

// partitionDigests describes the load of the owned partitions.
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
	for _, ws := range w.workers {
		d, owned := byName[ws.partition]
		if !owned || !w.isUsable(ws) {
			continue
		}
		d.Ready = !w.draining
		d.Capacity = d.Capacity.Add(ws.capacity)
		if free, known := w.cluster.FreeOn(ws.listed.Name); known {
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

// usage returns what each team runs at this owner.
func (w *owner) usage() []TeamUsage {
	sums := map[task.Team]task.Resources{}
	for _, a := range w.attempts {
		if _, size, held := w.cluster.Held(a.id); held {
			sums[a.team] = sums[a.team].Add(size)
		}
	}
	list := make([]TeamUsage, 0, len(sums))
	for team, size := range sums {
		list = append(list, TeamUsage{Team: team, Size: size})
	}
	slices.SortFunc(list, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
