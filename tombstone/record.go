package tombstone

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

const (
	// MinLifetime is the time for which a tombstone is certain to prevent the submission of its job. It is far
	// above the time for which a partition of the network holds up a write, and as long as the state of a
	// cancelled job must be available to callers.
	MinLifetime = 2 * time.Minute
	// refreshAge is the age from which a repeated cancellation renews a tombstone.
	refreshAge = 15 * time.Second
	// MaxOrigins bounds the size of a tombstone.
	MaxOrigins = 16
)

// Covers reports whether a record is a tombstone that prevents a submission of the given origin.
func Covers(f *job.Final, submission job.Origin) bool {
	return f != nil && slices.ContainsFunc(f.Tombstone, func(cancelled job.Origin) bool { return cancelled.MayAccess(submission) })
}

// IsCurrent reports whether a record is a tombstone that prevents a submission of the given origin for about
// MinLifetime from now on.
func IsCurrent(f *job.Final, cancelled job.Origin, now time.Time) bool {
	if f == nil || !slices.Contains(f.Tombstone, cancelled) {
		return false
	}
	age := now.Sub(f.FinishedAt)
	return -refreshAge < age && age < refreshAge // the clocks of instances differ
}

// Extend returns the tombstone that takes the place of a former one, or of no record if former is nil, after a
// cancellation of the given origin. ok is false if the tombstone has too many origins.
func Extend(former *job.Final, cancelled job.Origin, now time.Time) (extended *job.Final, ok bool) {
	// Earlier versions, which know no tombstones, show the job as cancelled to the first origin.
	extended = &job.Final{State: job.Cancelled, Queue: cancelled.Queue, Team: cancelled.Team, FinishedAt: now}
	if former != nil {
		extended.Tombstone = slices.Clone(former.Tombstone)
	}
	if !slices.Contains(extended.Tombstone, cancelled) {
		extended.Tombstone = append(extended.Tombstone, cancelled)
	}
	return extended, len(extended.Tombstone) <= MaxOrigins
}
