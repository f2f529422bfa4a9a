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

// Digest is the SHA-256 digest of a key. The key itself is never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key as a caller presents it.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// emptyDigest is the digest of a request that carries no key.
var emptyDigest = DigestOf("")

// Role names what a key permits beyond submitting work. It is empty for most.
type Role string

// Key is one key of one team, as the store holds it.
type Key struct {
	ID        string    `json:"id"`
	Team      task.Team `json:"team"`
	Role      Role      `json:"role,omitempty"`
	Digest    Digest    `json:"digest"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
	Revision  int64     `json:"-"` // of the store
}

// id names a key in the whole fleet.
type id struct {
	team task.Team
	key  string
}

// Ring holds the keys of all teams, with those that were withdrawn. It is not
// safe for concurrent use; a Snapshot of it is.
type Ring struct {
	keys     map[id]Key
	byTeam   map[task.Team][]Key // sorted by identifier; slices are replaced, never changed
	snapshot *Snapshot
}

// NewRing returns a ring without keys.
func NewRing() *Ring {
	return &Ring{keys: make(map[id]Key), byTeam: make(map[task.Team][]Key)}
}

// Apply takes the state of a key at its revision. It reports whether that state
// is newer than the known one; an older state has no effect, so a delayed
// message cannot revive a withdrawn key.
func (r *Ring) Apply(k Key) bool {
	name := id{team: k.Team, key: k.ID}
	known, ok := r.keys[name]
	if ok && k.Revision <= known.Revision {
		return false
	}
	r.keys[name] = k
	r.rebuild(k.Team)
	return true
}

// Remove withdraws a key whose entry was deleted at the given revision. The key
// stays known, so that an older state cannot revive it and callers that still
// present it learn that it was withdrawn.
func (r *Ring) Remove(team task.Team, key string, revision int64) bool {
	k := r.keys[id{team: team, key: key}]
	k.Team, k.ID, k.Withdrawn, k.Revision = team, key, true, revision
	return r.Apply(k)
}

// ReplaceAll takes a complete list of keys as the store held it at the revision.
// Known keys that are not in the list and are not newer count as withdrawn.
func (r *Ring) ReplaceAll(keys []Key, revision int64) {
	listed := make(map[id]bool, len(keys))
	for _, k := range keys {
		listed[id{team: k.Team, key: k.ID}] = true
		r.Apply(k)
	}
	for name, k := range r.keys {
		if !listed[name] && !k.Withdrawn && k.Revision <= revision {
			r.Remove(name.team, name.key, revision)
		}
	}
}

// Keys returns the state of every key, with withdrawn ones, for a process that
// was started during an outage.
func (r *Ring) Keys() []Key {
	return slices.Collect(maps.Values(r.keys))
}

func (r *Ring) rebuild(team task.Team) {
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

// Snapshot returns an immutable view of the ring that admits work until the
// given time. Unchanged rings share their lists of keys.
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
	byTeam map[task.Team][]Key
	until  time.Time
}

// Until returns the time up to which the snapshot admits work.
func (s *Snapshot) Until() time.Time { return s.until }

// Admit returns the key with the given digest if it is valid for the team. now
// is a reading of the monotonic clock; a snapshot that is no longer fresh admits
// nothing. Every key of the team is compared in constant time, so the duration
// tells nothing about which key was close.
func (s *Snapshot) Admit(now time.Time, team task.Team, digest Digest) (Key, *errkind.Error) {
	if digest == (Digest{}) || digest == emptyDigest {
		return Key{}, errkind.New(errkind.KeyMissing, "team %s accepts work only with a key", team)
	}
	if !now.Before(s.until) {
		return Key{}, errkind.New(errkind.KeyStale, "the key data of this instance is not confirmed at present")
	}
	found, ok := Key{}, false
	for _, k := range s.byTeam[team] {
		same := subtle.ConstantTimeCompare(k.Digest[:], digest[:]) == 1
		if same && (!ok || !k.Withdrawn) {
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

// IsWithdrawn reports whether the key under which work was accepted has been
// withdrawn since. An unknown key counts as withdrawn.
func (s *Snapshot) IsWithdrawn(team task.Team, key string) bool {
	for _, k := range s.byTeam[team] {
		if k.ID == key {
			return k.Withdrawn
		}
	}
	return true
}
