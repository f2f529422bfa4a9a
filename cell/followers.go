package cell

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// followerMemory is how long an instance that sends no more requests counts as one that may take over,
// not counting the time in which the lease may have expired.
const followerMemory = 30 * time.Second

// followerContact is the contact to another instance that follows this owner.
type followerContact struct {
	seenAt     time.Time // when its last request arrived
	followedAt time.Time // when it last certainly followed this owner; zero if that is unknown
}

// followers are the other instances that follow this owner. Traffic goroutines record them directly,
// since it must not wait in the queues of events.
type followers struct {
	mu         sync.Mutex
	ownership  int64 // revision of the ownership record
	byInstance map[string]followerContact
}

// observe records a request that arrived now from an instance that certainly followed this owner at
// the given time, which is zero if it is unknown.
func (f *followers) observe(ownership int64, instance string, now, followedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case ownership < f.ownership:
		return // recorded late
	case ownership > f.ownership:
		f.ownership, f.byInstance = ownership, make(map[string]followerContact)
	}
	seen := f.byInstance[instance]
	seen.seenAt = now
	if followedAt.After(seen.followedAt) {
		seen.followedAt = followedAt
	}
	f.byInstance[instance] = seen
}

// forget removes the instances whose last request arrived before the given time.
func (f *followers) forget(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.byInstance, func(_ string, seen followerContact) bool { return seen.seenAt.Before(before) })
}

// silent returns the names of the instances that have not certainly followed this owner since the given
// time.
func (f *followers) silent(ownership int64, since time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownership != ownership {
		return nil
	}
	var names []string
	for name, seen := range f.byInstance {
		if seen.followedAt.Before(since) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
