package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// maxClockDrift is the maximum relative rate by which the clock of the store may run faster than this
// one.
const maxClockDrift = 0.02

// isLeaseValid reports whether the lease of the ownership record has certainly not expired, so that no
// other instance can have taken over. renewedAt is when the last successful renewal was sent.
func (s *State) isLeaseValid(now, renewedAt time.Time) bool {
	if renewedAt.Before(s.leaseGrantedAt) {
		renewedAt = s.leaseGrantedAt
	}
	return now.Sub(renewedAt) < time.Duration(float64(s.cfg.OwnershipTTL)*(1-maxClockDrift))
}

// updateAuthority determines whether this owner may start tasks and renew leases of workers, which a
// successor takes for expired some time after its start. It may while its lease is valid. After that, as
// in an outage of the store, it may only while every instance that could take over still follows it: an
// owner that is cut off together with some instances and workers cannot distinguish this from an outage.
func (s *State) updateAuthority() {
	if s.core == nil {
		return
	}
	isLeaseValid := s.isLeaseValid(s.now, s.contact.Renewal)
	// An owner answers the requests of the other instances from the end of its recovery on, and may not
	// know all of them yet.
	knowsFollowers := s.contact.Renewal.Sub(s.readySince) >= s.cfg.FollowerTimeout
	hasAuthority := isLeaseValid || (knowsFollowers && len(s.contact.SilentFollowers) == 0)
	if hasAuthority == s.isSuspended {
		s.isSuspended = !hasAuthority
		s.log("authority", "suspended", s.isSuspended, "renewal_age_ms", milliseconds(s.now.Sub(s.contact.Renewal)),
			"knows_followers", knowsFollowers, "silent_followers", describeNames(s.contact.SilentFollowers))
	}
	s.core.SuspendLeases(s.isSuspended)
	if isLeaseValid {
		s.acceptHeld()
	}
}

// acceptHeld accepts the submissions that arrived during recovery or while the lease may have expired.
func (s *State) acceptHeld() {
	for _, submitted := range s.heldSubmissions {
		s.core.Accept(submitted.Job)
	}
	for _, id := range s.heldCancellations {
		s.core.Cancel(id, 0)
	}
	s.heldSubmissions, s.heldCancellations = nil, nil
}

// cancelRecorded cancels a job whose cancellation was read from the store.
func (s *State) cancelRecorded(id job.ID) {
	if !s.core.Cancel(id, 0) && len(s.heldSubmissions) > 0 {
		s.heldCancellations = append(s.heldCancellations, id)
	}
}

// submit accepts a job once it is certain that it was recorded before another instance can have taken
// over. A successor starts jobs that were recorded later at once, also if this owner has received them.
func (s *State) submit(submitted Submission) {
	if s.isDelivered(submitted) {
		return
	}
	if s.isLeaseValid(s.now, s.contact.Renewal) {
		s.core.Accept(submitted.Job)
		return
	}
	s.heldSubmissions = append(s.heldSubmissions, submitted)
	s.core.HoldMemory(submitted.Job)
}

// countHeld adds the held submissions to the numbers of pending jobs by queue: the jobs are accepted and
// have not begun.
func (s *State) countHeld(pendingJobs map[string]int) {
	counted := make(map[job.ID]bool, len(s.heldSubmissions))
	for _, submitted := range s.heldSubmissions {
		id := submitted.Job.ID
		if _, _, _, known := s.core.StateOf(id); known || counted[id] || slices.Contains(s.heldCancellations, id) {
			continue
		}
		counted[id] = true
		pendingJobs[submitted.Job.Queue]++
	}
}

// describeNames returns names for a log line, at most eight of them.
func describeNames(names []string) string {
	const maxNames = 8
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ",") + ",..."
	}
	return strings.Join(names, ",")
}
