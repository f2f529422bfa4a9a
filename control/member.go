package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// membershipState is the lease of this process in the store.
type membershipState struct {
	lease       int64
	granting    bool
	renewing    bool
	renewAt     time.Time
	lastContact time.Time // when a call that the store answered was sent
	storeDown   bool
	rereads     []string // shards whose value could not be read
	listedAt    time.Time
	listed      []membership.Member // entry instances of the instance list
}

// renewLease keeps the lease in the store alive, or asks for one.
func (s *State) renewLease() {
	m := s.members
	if s.now.Before(m.renewAt) || m.granting || m.renewing {
		return
	}
	m.renewAt = s.now.Add(s.cfg.KeepAliveInterval)
	for _, shard := range m.rereads {
		s.emit(ReadShard{Shard: shard})
	}
	m.rereads = nil
	if m.lease == 0 {
		m.granting = true
		s.emit(GrantLease{Member: s.self})
		return
	}
	m.renewing = true
	s.emit(RenewLease{Lease: m.lease})
}

func (s *State) leaseGranted(e LeaseGranted) {
	s.members.granting = false
	s.contact(e.SentAt, e.Err)
	if e.Err != nil {
		s.members.renewAt = s.now.Add(s.cfg.RetryInterval)
		return
	}
	s.members.lease = e.Lease
	s.ownership.Attached(s.now, e.SentAt, e.Revision)
	s.changed = true
}

func (s *State) keepAliveDone(e KeepAliveDone) {
	s.members.renewing = false
	s.changed = true
	s.contact(e.SentAt, e.Err)
	if e.Gone {
		s.members.lease = 0
		s.members.renewAt = s.now
		s.ownership.StoreLost(s.now)
		return
	}
	s.ownership.KeepAliveDone(s.now, e.SentAt, e.Err)
	if e.Err != nil {
		s.members.renewAt = s.now.Add(s.cfg.RetryInterval)
	}
	if e.Revision > 0 {
		s.ownership.ReadDone(s.now, e.SentAt, e.Revision)
		s.freshness.Confirmed(s.now, e.SentAt, e.Revision)
		s.checkWatch(e.Revision)
	}
}

// contact notes whether the store answers.
func (s *State) contact(sentAt time.Time, err error) {
	if err == nil {
		s.members.lastContact = sentAt
	}
	if down := err != nil; down != s.members.storeDown {
		s.members.storeDown = down
		kind := timeline.StoreUp
		if down {
			kind = timeline.StoreDown
		}
		s.event(timeline.Event{Type: kind})
		s.changed = true
	}
}

func (s *State) hasStoreContact() bool {
	return !s.members.storeDown && s.now.Sub(s.members.lastContact) < s.cfg.KeyFreshness
}

// checkWatch asks for a complete read if the watch has not delivered by now what
// the store had at the read before the last one.
func (s *State) checkWatch(revision int64) {
	if s.config.applied < s.config.expected {
		s.emit(Resync{Behind: s.config.expected})
	}
	s.config.expected = revision
}

func (s *State) instancesListed(e InstancesListed) {
	s.members.listedAt = e.SentAt
	s.members.listed = e.Entries
	s.owner.listWorkers(e.Workers)
	s.ownership.ObserveMembers(s.now, e.Entries, false)
}
