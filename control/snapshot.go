package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Snapshot is the part of the control state that traffic goroutines read. It is immutable.
type Snapshot struct {
	Self              membership.Member
	Members           []membership.Member // sorted by incarnation
	Homes             map[string]Route    // by request shard
	Terms             map[string]Term     // by unit; only units that this process holds
	Documents         map[DocumentKey]DocumentInForce
	Keys              *keyring.Snapshot
	Revision          int64            // every configuration change up to this revision is in force
	InstanceRevisions map[string]int64 // by instance: revision in force there, from its last digest
	StoreContact      bool
	Draining          bool
	Ready             bool // has a lease, has read the configuration, and is not draining
	ShardCount        int  // number of request shards
}

// Route is the recorded owner of a unit.
type Route struct {
	Member membership.Member
	Epoch  uint64
}

// Term states the epoch under which this process may act for a unit, and until when.
type Term struct {
	Epoch uint64
	End   time.Time
}

// Snapshot builds a snapshot of the current state.
func (s *State) Snapshot() *Snapshot {
	partitions, shards := unitsOf(&s.cfg)
	snap := &Snapshot{
		Self: s.self, Members: s.routing.memberList(), Homes: make(map[string]Route, len(shards)),
		Terms: map[string]Term{}, Documents: s.config.documents, Keys: s.config.ring.Snapshot(s.freshness.FreshUntil()),
		Revision: s.config.appliedRevision, InstanceRevisions: map[string]int64{}, StoreContact: s.hasStoreContact(), Draining: s.drain.started,
		Ready: s.membership.leaseID != 0 && !s.drain.started && s.config.appliedRevision > 0, ShardCount: s.cfg.RequestShards,
	}
	for _, shard := range shards {
		if m, epoch, ok := s.routing.ownerOf(shard); ok {
			snap.Homes[shard] = Route{Member: m, Epoch: epoch}
		}
	}
	for _, unit := range append(partitions, shards...) {
		if epoch, ok := s.ownership.Holds(s.now, unit); ok {
			snap.Terms[unit] = Term{Epoch: epoch, End: s.ownership.TermEnd(unit)}
		}
	}
	for instance, d := range s.routing.digests {
		snap.InstanceRevisions[instance] = d.message.Revision
	}
	return snap
}

// ResetChanged reports whether a part of the snapshot has changed since the last call.
func (s *State) ResetChanged() bool {
	changed := s.snapshotChanged
	s.snapshotChanged = false
	return changed
}

// HomeOf returns the home of a job.
func (s *Snapshot) HomeOf(job ledger.JobKey) (Route, bool) {
	route, ok := s.Homes[shardOf(job, s.ShardCount)]
	return route, ok
}

// Holds reports whether this process may act for a unit under an epoch at time now. The check is
// repeated immediately before a start order is written to the connection.
func (s *Snapshot) Holds(now time.Time, unit string, epoch uint64) bool {
	term, ok := s.Terms[unit]
	return ok && term.Epoch == epoch && now.Before(term.End)
}

// Authorize checks the key of a call for a job of a service. It returns the document of the
// service, and the key unless the service is open.
func (s *Snapshot) Authorize(now time.Time, team task.Team, service task.Service, secret string) (DocumentInForce, keyring.Key, *errkind.Error) {
	doc, ok := s.Documents[DocumentKey{team, service}]
	if !ok {
		return DocumentInForce{}, keyring.Key{}, s.unknownNameError(team, service)
	}
	if doc.Open {
		return doc, keyring.Key{}, nil
	}
	if secret == "" {
		return DocumentInForce{}, keyring.Key{}, errkind.New(errkind.KeyMissing, "service %s/%s requires a key", team, service)
	}
	key, err := s.Keys.Authenticate(now, team, keyring.DigestOf(secret))
	if err != nil {
		return DocumentInForce{}, keyring.Key{}, err
	}
	return doc, key, nil
}

// Admit authorizes a submission and completes it with the settings of the document of its service.
func (s *Snapshot) Admit(now time.Time, secret string, spec task.Spec) (task.Spec, *errkind.Error) {
	doc, key, err := s.Authorize(now, spec.Team, spec.Service, secret)
	if err != nil {
		return task.Spec{}, err
	}
	complete, err := doc.Complete(spec, string(key.Role))
	if err != nil {
		return task.Spec{}, err
	}
	complete.KeyID = key.ID
	return complete, nil
}

// unknownNameError returns the error for an unknown team or service. A process that has not read
// the configuration cannot determine which names exist, and returns KeyStale instead.
func (s *Snapshot) unknownNameError(team task.Team, service task.Service) *errkind.Error {
	if s.Revision == 0 {
		return errkind.New(errkind.KeyStale, "this instance has not read the configuration yet")
	}
	for key := range s.Documents {
		if key.Team == team {
			return errkind.New(errkind.UnknownService, "team %s has no service %s", team, service)
		}
	}
	return errkind.New(errkind.UnknownTeam, "there is no team %s", team)
}
