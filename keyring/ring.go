package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Digest is the SHA-256 digest of a key's secret. The secret itself is never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the secret that a caller presents.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// emptyDigest is the digest of the empty secret, which represents a request without a key.
var emptyDigest = DigestOf("")

// Role is a permission beyond submitting work. Most keys have none.
type Role string

// Key is the record of one key of one team in the store.
type Key struct {
	ID        string    `json:"id"`
	Team      task.Team `json:"team"`
	Role      Role      `json:"role,omitempty"`
	Digest    Digest    `json:"digest"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
	Revision  int64     `json:"-"` // revision of the record in the store
}

// keyName identifies a key across all teams.
type keyName struct {
	team task.Team
	id   string
}

// Ring holds the keys of all teams, including withdrawn ones. It is not safe for concurrent use, but a
// Snapshot of it is.
type Ring struct {
	keys     map[keyName]Key
	byTeam   map[task.Team][]Key // sorted by ID; slices are immutable and replaced on change
	snapshot *Snapshot           // latest snapshot; nil after a change
}

// NewRing returns a ring without keys.
func NewRing() *Ring {
	return &Ring{keys: make(map[keyName]Key), byTeam: make(map[task.Team][]Key)}
}

// Apply updates a key to the given state if that state is newer than the current one, and reports
// whether it is. Therefore a delayed message cannot reinstate a withdrawn key.
func (r *Ring) Apply(k Key) bool {
	name := keyName{team: k.Team, id: k.ID}
	current, ok := r.keys[name]
	if ok && k.Revision <= current.Revision {
		return false
	}
	r.keys[name] = k
	r.rebuildTeam(k.Team)
	return true
}

// Remove marks a key as withdrawn after its record was deleted at the given revision. The key stays in
// the ring as a tombstone, so that an older state cannot reinstate it and callers that still present
// it get the error KeyWithdrawn.
func (r *Ring) Remove(team task.Team, keyID string, revision int64) bool {
	k := r.keys[keyName{team: team, id: keyID}]
	k.Team, k.ID, k.Withdrawn, k.Revision = team, keyID, true, revision
	return r.Apply(k)
}

// ReplaceAll applies the complete list of keys in the store at the revision. Keys in the ring that are
// missing from the list and are not newer than the revision are marked as withdrawn.
func (r *Ring) ReplaceAll(keys []Key, revision int64) {
	listed := make(map[keyName]bool, len(keys))
	for _, k := range keys {
		listed[keyName{team: k.Team, id: k.ID}] = true
		r.Apply(k)
	}
	for name, k := range r.keys {
		if !listed[name] && !k.Withdrawn && k.Revision <= revision {
			r.Remove(name.team, name.id, revision)
		}
	}
}

// Keys returns all keys, including withdrawn ones, for transfer to a process that was started during
// a store outage.
func (r *Ring) Keys() []Key {
	return slices.Collect(maps.Values(r.keys))
}

// rebuildTeam rebuilds the key list of a team and invalidates the cached snapshot.
func (r *Ring) rebuildTeam(team task.Team) {
	var list []Key
	for name, k := range r.keys {
		if name.team == team {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b Key) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	r.byTeam[team] = list
	r.snapshot = nil
}

// Snapshot returns an immutable view of the ring that accepts keys until the given time. Snapshots of
// an unchanged ring share their key lists.
func (r *Ring) Snapshot(until time.Time) *Snapshot {
	if r.snapshot == nil {
		r.snapshot = &Snapshot{byTeam: maps.Clone(r.byTeam)}
	}
	if !r.snapshot.until.Equal(until) {
		r.snapshot = &Snapshot{byTeam: r.snapshot.byTeam, until: until}
	}
	return r.snapshot
}

// Snapshot is an immutable view of a ring, safe for concurrent use.
type Snapshot struct {
	byTeam map[task.Team][]Key // sorted by ID
	until  time.Time           // end of the freshness period
}

// ValidUntil returns the time until which the snapshot accepts keys.
func (s *Snapshot) ValidUntil() time.Time { return s.until }

// Authenticate authenticates a request of a team: it returns the team's key with the given digest, or
// an error. now is a reading of the monotonic clock; an expired snapshot rejects every key. All keys
// of the team are compared in constant time, so that the duration reveals nothing about partial
// matches.
func (s *Snapshot) Authenticate(now time.Time, team task.Team, digest Digest) (Key, *errkind.Error) {
	if digest == (Digest{}) || digest == emptyDigest {
		return Key{}, errkind.New(errkind.KeyMissing, "requests of team %s require a key", team)
	}
	if !now.Before(s.until) {
		return Key{}, errkind.New(errkind.KeyStale, "the key data of this instance is stale: it was not confirmed within the freshness period")
	}
	found, ok := Key{}, false
	for _, k := range s.byTeam[team] {
		matches := subtle.ConstantTimeCompare(k.Digest[:], digest[:]) == 1
		if matches && (!ok || !k.Withdrawn) {
			found, ok = k, true
		}
	}
	if !ok {
		return Key{}, errkind.New(errkind.KeyRefused, "the key is not valid for team %s", team)
	}
	if found.Withdrawn {
		return Key{}, errkind.New(errkind.KeyWithdrawn, "key %s of team %s was withdrawn", found.ID, team)
	}
	return found, nil
}

// IsWithdrawn reports whether the key with which work was accepted is withdrawn now. An unknown key
// is treated as withdrawn.
func (s *Snapshot) IsWithdrawn(team task.Team, keyID string) bool {
	for _, k := range s.byTeam[team] {
		if k.ID == keyID {
			return k.Withdrawn
		}
	}
	return true
}
