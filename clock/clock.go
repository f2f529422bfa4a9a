// Package clock reads a monotonic clock that also counts the time for which the machine was suspended.
// The clock of package time does not on Linux, so that a lease measured with it appears valid after a
// suspension in which it expired.
package clock

import (
	"sync/atomic"
	"time"
)

// Now returns the current time. Differences between its results include suspensions. Results must not
// be compared with those of time.Now, and do not contain the time of day.
func Now() time.Time { return process.now(time.Now()) }

// Since returns the time that has passed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

var process = newClock(time.Now(), suspended)

// clock measures suspensions. To read how long the machine has been suspended takes a system call,
// so it does so only when the time of day has advanced by another amount than the monotonic clock.
type clock struct {
	start     time.Time
	suspended func() time.Duration // since the machine was booted
	atStart   time.Duration        // suspended at the start
	last      atomic.Pointer[measurement]
}

// measurement is the result of one reading of the suspensions.
type measurement struct {
	dayOffset  time.Duration // time of day at the reading, less the monotonic clock, relative to the start
	suspension time.Duration // since the start
}

func newClock(start time.Time, suspended func() time.Duration) *clock {
	c := &clock{start: start, suspended: suspended, atStart: suspended()}
	c.last.Store(&measurement{})
	return c
}

// tolerance is the difference that is attributed to adjustments of the time of day and inaccuracies of
// the clocks.
const tolerance = time.Millisecond

// now returns t, a result of time.Now, later by the suspensions since the start.
func (c *clock) now(t time.Time) time.Time {
	dayOffset := t.Round(0).Sub(c.start.Round(0)) - t.Sub(c.start)
	last := c.last.Load()
	if difference := dayOffset - last.dayOffset; difference > tolerance || difference < -tolerance {
		last = &measurement{dayOffset: dayOffset, suspension: c.suspended() - c.atStart}
		if last.suspension < tolerance {
			last.suspension = 0
		}
		c.last.Store(last)
	}
	return t.Add(last.suspension)
}
