package control

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// DocumentKey identifies a document. Service is empty for the document of a team.
type DocumentKey struct {
	Team    task.Team
	Service task.Service
}

// KeyRef identifies an access key of a team.
type KeyRef struct {
	Team task.Team
	ID   string
}

// DocumentInForce is a document that is in force, with the revision at which it came into force.
type DocumentInForce struct {
	document.Document
	Revision int64
}

// configuration is the copy of the keys below the watched prefix in this process. An entry is never
// replaced by one with a lower revision.
type configuration struct {
	entries         map[string]ConfigChange // by key, including deleted ones
	documents       map[DocumentKey]DocumentInForce
	ring            *keyring.Ring
	withdrawnKeys   map[KeyRef]bool
	appliedRevision int64     // every change up to this revision has been applied
	storeRevision   int64     // the store's revision at the last read
	fetchedAt       time.Time // when configuration was last requested from a peer
}

func newConfiguration() *configuration {
	return &configuration{entries: map[string]ConfigChange{}, documents: map[DocumentKey]DocumentInForce{}, ring: keyring.NewRing(),
		withdrawnKeys: map[KeyRef]bool{}}
}

// isNewer reports whether a change is newer than the current entry of its key.
func (c *configuration) isNewer(change ConfigChange) bool {
	known, ok := c.entries[change.Entry.Key]
	return !ok || known.Entry.Revision < change.Entry.Revision
}

// changesAfter returns the entries that changed after a revision, for a peer that cannot read the
// store.
func (c *configuration) changesAfter(after int64) FetchConfigReply {
	reply := FetchConfigReply{AfterRevision: after, Revision: c.appliedRevision}
	for _, change := range c.entries {
		if change.Entry.Revision > after {
			reply.Entries = append(reply.Entries, change.Entry)
		}
	}
	return reply
}

// isWithdrawn reports whether work that was accepted under a key must be terminated. An unknown key
// does not count as withdrawn, because this process may not have read it yet.
func (c *configuration) isWithdrawn(key KeyRef) bool { return c.withdrawnKeys[key] }

// setDocument sets a document, or deletes it if held is nil. It replaces the map by a modified
// copy, because published snapshots share the current one.
func (c *configuration) setDocument(key DocumentKey, doc *DocumentInForce) {
	next := make(map[DocumentKey]DocumentInForce, len(c.documents)+1)
	for k, d := range c.documents {
		next[k] = d
	}
	if doc == nil {
		delete(next, key)
	} else {
		next[key] = *doc
	}
	c.documents = next
}

// configChanged applies, in order, the changes that are newer than the current entries.
func (s *State) configChanged(e ConfigChanged) {
	s.snapshotChanged = true
	seen := make(map[string]bool, len(e.Changes))
	for _, change := range e.Changes {
		seen[change.Entry.Key] = true
		if s.config.isNewer(change) {
			s.applyChange(change)
		}
	}
	if e.Complete {
		s.deleteAbsent(seen, e.Revision)
	}
	s.config.appliedRevision = max(s.config.appliedRevision, e.Revision)
	s.ownership.ObserveMembers(s.now, s.routing.memberList(), true)
	s.ownership.ObserveThrough(s.now, e.Revision)
	s.owner.allowances.ObserveThrough(e.Revision)
	s.freshness.RecordApplied(e.Revision)
}

// deleteAbsent deletes the known keys that are absent from a complete list.
func (s *State) deleteAbsent(seen map[string]bool, revision int64) {
	for key, known := range s.config.entries {
		if seen[key] || known.Entry.Deleted || known.Entry.Revision > revision {
			continue
		}
		s.applyChange(ConfigChange{Entry: ConfigEntry{Key: key, Revision: revision, Deleted: true}})
	}
}

func (s *State) applyChange(change ConfigChange) {
	previous := s.config.entries[change.Entry.Key]
	s.config.entries[change.Entry.Key] = change
	if change.Err != nil {
		s.recordEvent(timeline.Event{Type: timeline.ConfigInForce, Revision: change.Entry.Revision, Kind: "unreadable", Detail: fmt.Sprintf("%s: %v", change.Entry.Key, change.Err)})
		return
	}
	switch {
	case change.Document != nil:
		s.documentChanged(change.Entry.Revision, change.Document)
	case change.Key != nil:
		s.keyChanged(*change.Key)
	case change.Member != nil:
		s.memberChanged(previous.Member, change.Member)
	case change.Record != nil:
		s.applyOwnershipRecord(*change.Record)
	case change.Allowance != nil:
		s.allowanceChanged(previous.Allowance, change.Allowance)
	case change.Drain != "":
		s.drainOrdered(change.Drain)
	case change.Entry.Deleted:
		s.entryDeleted(previous, change.Entry.Revision)
	}
}

func (s *State) documentChanged(revision int64, d *document.Document) {
	key := DocumentKey{Team: d.Team, Service: d.Service}
	s.config.setDocument(key, &DocumentInForce{Document: *d, Revision: revision})
	s.recordEvent(timeline.Event{Type: timeline.ConfigInForce, Team: d.Team, Revision: revision, Detail: string(d.Service)})
	if d.IsTeam() {
		s.owner.shares.SetWeight(d.Team, d.Share)
		s.owner.setLimit(d.Team, d.Limit, revision)
	}
}

func (s *State) keyChanged(k keyring.Key) {
	if !s.config.ring.Apply(k) {
		return
	}
	kind := timeline.KeyGranted
	if k.Withdrawn {
		kind = timeline.KeyWithdrawn
		s.withdrawKey(KeyRef{k.Team, k.ID})
	}
	s.recordEvent(timeline.Event{Type: kind, Team: k.Team, KeyID: k.ID, Revision: k.Revision})
}

func (s *State) allowanceChanged(previous, r *allowance.Record) {
	s.owner.allowances.Observe(s.now, *r)
	delete(s.owner.blocked, r.Team)
	if previous == nil || previous.Limit != r.Limit {
		s.recordEvent(timeline.Event{Type: timeline.LimitInForce, Team: r.Team, Revision: r.Revision, Size: &r.Limit})
	}
}

func (s *State) memberChanged(previous, m *membership.Member) {
	if previous != nil && previous.Incarnation != m.Incarnation {
		delete(s.routing.members, previous.Incarnation)
	}
	s.routing.members[m.Incarnation] = *m
}

func (s *State) entryDeleted(previous ConfigChange, revision int64) {
	switch {
	case previous.Member != nil:
		delete(s.routing.members, previous.Member.Incarnation)
	case previous.Drain != "":
		s.owner.setDrained(previous.Drain, false)
	case previous.Document != nil:
		d := previous.Document
		s.config.setDocument(DocumentKey{Team: d.Team, Service: d.Service}, nil)
	case previous.Key != nil:
		k := *previous.Key
		s.config.ring.Remove(k.Team, k.ID, revision)
		s.withdrawKey(KeyRef{k.Team, k.ID})
	}
}

// drainOrdered starts the drain of this instance or of a worker that an operator ordered.
func (s *State) drainOrdered(name string) {
	if name == s.self.Instance {
		s.startDrain()
		return
	}
	s.owner.setDrained(name, true)
}

// withdrawKey marks a key as withdrawn and terminates the work that was accepted under it.
func (s *State) withdrawKey(key KeyRef) {
	s.config.withdrawnKeys[key] = true
	s.owner.keyWithdrawn(key)
	s.home.keyWithdrawn(key)
}
