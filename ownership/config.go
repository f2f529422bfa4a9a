package ownership

import (
	"fmt"
	"time"
)

// Config holds the durations from which terms and waits follow. All processes
// of a deployment must use the same values.
type Config struct {
	Units             []string      // every worker partition and request shard
	LeaseTTL          time.Duration // of the lease that holds the member key
	KeepAliveInterval time.Duration // between two renewals of that lease
	PromiseWindow     time.Duration // for which a successor promises not to take over
	ClockDrift        float64       // largest deviation of a clock's rate from true time
	ClockMargin       time.Duration // added to every wait and subtracted from every term
	ListLag           time.Duration // largest age of what the instance list shows
	MoveDelay         time.Duration // a member must have been live, and a unit held, for this long before the unit moves
	MoveInterval      time.Duration // between two moves that one owner starts
	ClaimDelay        time.Duration // after the start, before units without a record are claimed
	RetryInterval     time.Duration // between two tries of a write that failed or is unclear
	Stagger           time.Duration // by which each further successor delays its takeover
}

// DefaultConfig returns the defaults of the design page for the given units.
func DefaultConfig(units []string) Config {
	return Config{
		Units:             units,
		LeaseTTL:          9 * time.Second,
		KeepAliveInterval: 3 * time.Second,
		PromiseWindow:     5 * time.Second,
		ClockDrift:        0.01,
		ClockMargin:       100 * time.Millisecond,
		ListLag:           10 * time.Second,
		MoveDelay:         10 * time.Second,
		MoveInterval:      250 * time.Millisecond,
		ClaimDelay:        time.Second,
		RetryInterval:     time.Second,
		Stagger:           time.Second,
	}
}

// Validate reports settings with which a term could outlast the wait of those
// who may take over.
func (c Config) Validate() error {
	if c.LeaseTTL <= 0 || c.PromiseWindow <= 0 || c.KeepAliveInterval <= 0 || c.RetryInterval <= 0 {
		return fmt.Errorf("lease TTL, promise window, keepalive interval and retry interval must be positive")
	}
	if c.ClockDrift < 0 || c.ClockDrift >= 0.5 {
		return fmt.Errorf("clock drift %v is outside 0 to 0.5", c.ClockDrift)
	}
	if c.KeepAliveInterval >= c.shorten(c.LeaseTTL) {
		return fmt.Errorf("keepalive interval %v leaves no term within the lease TTL %v", c.KeepAliveInterval, c.LeaseTTL)
	}
	// The store does not lengthen the TTL for its own drift. A term counted by a
	// clock that is slow by the drift must still end before the lease of a store
	// whose clock is fast by the drift.
	term := float64(c.shorten(c.LeaseTTL)) / (1 - c.ClockDrift)
	lease := float64(c.LeaseTTL) / (1 + c.ClockDrift)
	if term > lease {
		return fmt.Errorf("clock margin %v is too small for lease TTL %v and drift %v", c.ClockMargin, c.LeaseTTL, c.ClockDrift)
	}
	return nil
}

// shorten returns the part of d that a holder may use.
func (c Config) shorten(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.ClockDrift) - c.ClockMargin
}

// lengthen returns how long another process waits until d has passed for the
// holder on any clock within the drift.
func (c Config) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}

// askAfter is the age of the last keepalive at which promises are requested. It
// leaves the time of a whole promise window before the store term ends.
func (c Config) askAfter() time.Duration { return c.KeepAliveInterval * 3 / 2 }

// absenceGrace is how long a member key may be missing before it is taken as
// more than the gap between the end of one lease and the start of the next.
func (c Config) absenceGrace() time.Duration { return 2 * c.KeepAliveInterval }
