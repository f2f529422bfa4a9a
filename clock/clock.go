// Package clock reads a monotonic clock that also counts the time for which the machine was suspended.
// The clock of package time does not on Linux, so that a lease measured with it appears valid after a
// suspension in which it expired.
package clock

import "time"

// suspendedAtStart is how long the machine had been suspended when this process started.
var suspendedAtStart = suspended()

// Now returns the current time. Differences between its results include suspensions. Results must not
// be compared with those of time.Now, and do not contain the time of day.
func Now() time.Time { return add(time.Now(), suspended()-suspendedAtStart) }

// Since returns the time that has passed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// add returns now, later by the duration of suspensions. Measurements of less than a millisecond are
// inaccuracies of the two clocks.
func add(now time.Time, suspension time.Duration) time.Time {
	if suspension < time.Millisecond {
		return now
	}
	return now.Add(suspension)
}
