package cell

import "time"

// Contact is when this instance last had contact to the store and to other instances. Traffic
// goroutines record it directly, since it must not wait in the queues of events: an owner that falls
// behind is not isolated.
type Contact struct {
	Renewal time.Time // when the last successful renewal of the ownership lease was sent
	Request time.Time // when another instance last certainly followed this owner
	// Instances that may have ceased to follow this owner; only determined if its lease may have expired.
	SilentFollowers []string
}

// SetContact sets the last contact.
func (s *State) SetContact(c Contact) { s.contact = c }

// isIsolated reports whether this owner has contact neither to the store nor to any other instance,
// although it had: another instance may have taken over, and this one would otherwise renew the
// leases of workers that only it can reach. During an outage of the store, the other instances still
// send their requests. An owner that never had a request from another instance may be the only one.
func (s *State) isIsolated() bool {
	return s.holdsOwnership() && s.contact.Request.After(s.ownedSince) && s.isPast(s.contact.Request) &&
		s.isPast(s.ownedSince) && s.isPast(s.contact.Renewal)
}

// isPast reports whether a contact was too long ago.
func (s *State) isPast(contact time.Time) bool { return s.now.Sub(contact) > s.cfg.IsolationTimeout }
