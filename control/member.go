package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// membershipState contains this process's lease in the store, its contact with the store, and the
// entry instances of the instance list.
type membershipState struct {
	leaseID        int64
	granting       bool      // a GrantLease is in progress
	renewing       bool      // a RenewLease is in progress
	renewAt        time.Time // when the next renewal or grant is due
	lastContact    time.Time // send time of the last call that the store answered
	storeDown      bool
	shardsToReread []string            // shards whose value could not be read
	listedAt       time.Time           // when the latest instance list was requested
	listedEntries  []membership.Member // from the instance list
}

// renewLease renews the lease in the store if that is due, or requests a new one. It also repeats
// the failed reads of shards.
func (s *State) renewLease() {
	m := s.membership
	if s.now.Before(m.renewAt) || m.granting || m.renewing {
		return
	}
	m.renewAt = s.now.Add(s.cfg.KeepAliveInterval)
	for _, shard := range m.shardsToReread {
		s.emit(ReadShard{Shard: shard})
	}
	m.shardsToReread = nil
	if m.leaseID == 0 {
		m.granting = true
		s.emit(GrantLease{Member: s.self})
		return
	}
	m.renewing = true
	s.emit(RenewLease{Lease: m.leaseID})
}

func (s *State) leaseGranted(e LeaseGranted) {
	s.membership.granting = false
	s.observeStoreContact(e.SentAt, e.Err)
	if e.Err != nil {
		s.membership.renewAt = s.now.Add(s.cfg.RetryInterval)
		return
	}
	s.membership.leaseID = e.Lease
	s.ownership.LeaseAttached(s.now, e.SentAt, e.Revision)
	s.snapshotChanged = true
}

func (s *State) keepAliveDone(e KeepAliveDone) {
	s.membership.renewing = false
	s.snapshotChanged = true
	s.observeStoreContact(e.SentAt, e.Err)
	if e.Gone {
		s.membership.leaseID = 0
		s.membership.renewAt = s.now
		s.ownership.LeaseLost(s.now)
		return
	}
	s.ownership.KeepAliveDone(s.now, e.SentAt, e.Err)
	if e.Err != nil {
		s.membership.renewAt = s.now.Add(s.cfg.RetryInterval)
	}
	if e.Revision > 0 {
		s.ownership.ReadDone(s.now, e.SentAt, e.Revision)
		s.freshness.RecordStoreRead(s.now, e.SentAt, e.Revision)
		s.checkWatchLag(e.Revision)
	}
}

// observeStoreContact records whether a call to the store was answered.
func (s *State) observeStoreContact(sentAt time.Time, err error) {
	if err == nil {
		s.membership.lastContact = sentAt
	}
	if down := err != nil; down != s.membership.storeDown {
		s.membership.storeDown = down
		kind := timeline.StoreUp
		if down {
			kind = timeline.StoreDown
		}
		s.recordEvent(timeline.Event{Type: kind})
		s.snapshotChanged = true
	}
}

// hasStoreContact reports whether the store answered the last call on the lease, and that call was
// sent within KeyFreshness.
func (s *State) hasStoreContact() bool {
	return !s.membership.storeDown && s.now.Sub(s.membership.lastContact) < s.cfg.KeyFreshness
}

// checkWatchLag requests a complete read of the configuration if the watch has not yet delivered
// the revision that the previous read of the store returned.
func (s *State) checkWatchLag(revision int64) {
	if s.config.appliedRevision < s.config.storeRevision {
		s.emit(Resync{MissingRevision: s.config.storeRevision})
	}
	s.config.storeRevision = revision
}

func (s *State) instancesListed(e InstancesListed) {
	s.membership.listedAt = e.SentAt
	s.membership.listedEntries = e.Entries
	s.owner.applyWorkerList(e.Workers)
	s.ownership.ObserveMembers(s.now, e.Entries, false)
}
