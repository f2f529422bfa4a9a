package cell

import "time"

// updateOutdated suspends placement while the knowledge of this owner about leaving workers,
// cancellations or the configuration is too old, because it is short of processor time. In an outage
// of the store, nothing that restricts placement can have been acknowledged, and placement goes on. A
// failed read alone is no evidence of an outage while the store renews the lease.
func (s *State) updateOutdated() {
	directoryAge, inboxAge, catalogAge := s.now.Sub(s.directoryAsOf), s.now.Sub(s.inboxAsOf), s.now.Sub(s.syncedAt)
	isOutage := s.storeUnavailable && !s.isLeaseValid(s.now, s.contact.Renewal)
	isOutdated := !isOutage &&
		(directoryAge > s.cfg.MaxDirectoryAge || inboxAge > s.cfg.MaxInboxAge || catalogAge > s.cfg.MaxCatalogAge)
	if isOutdated != s.isOutdated {
		s.isOutdated = isOutdated
		s.log("placement", "suspended", isOutdated, "directory_age_ms", milliseconds(directoryAge),
			"inbox_age_ms", milliseconds(inboxAge), "catalog_age_ms", milliseconds(catalogAge))
	}
	s.core.SuspendPlacement(isOutdated)
}

// milliseconds returns an age for a log line, at most an hour.
func milliseconds(age time.Duration) int64 { return min(age, time.Hour).Milliseconds() }
