package ownership

import (
	"fmt"
	"time"
)

// Config holds the durations from which ownership terms and takeover waits are
// computed. All processes of a deployment must use the same values.
type Config struct {
	Units             []string      // every worker partition and request shard
	LeaseTTL          time.Duration // TTL of the lease to which the member key is attached
	KeepAliveInterval time.Duration // between two renewals of that lease
	PromiseWindow     time.Duration // time for which a successor promises not to take over
	ClockDrift        float64       // largest deviation of a clock's rate from true time
	ClockMargin       time.Duration // added to every wait and subtracted from every term
	ListLag           time.Duration // largest staleness of the instance list
	MoveDelay         time.Duration // a member must have been live, and a unit held, for this long before the unit moves
	MoveInterval      time.Duration // between two moves that one owner starts
	ClaimDelay        time.Duration // from the start of the process until it claims units without a record
	RetryInterval     time.Duration // between two attempts of a write that failed or is indeterminate
	Stagger           time.Duration // additional takeover delay of each further successor
}

// DefaultConfig returns the default configuration that the design page specifies, for
// the given units.
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

// Validate returns an error if a term could outlast the wait of the processes that
// may take over.
func (c Config) Validate() error {
	if c.LeaseTTL <= 0 || c.PromiseWindow <= 0 || c.KeepAliveInterval <= 0 || c.RetryInterval <= 0 {
		return fmt.Errorf("lease TTL %v, promise window %v, keepalive interval %v and retry interval %v must be positive",
			c.LeaseTTL, c.PromiseWindow, c.KeepAliveInterval, c.RetryInterval)
	}
	if c.ClockDrift < 0 || c.ClockDrift >= 0.5 {
		return fmt.Errorf("clock drift %v is outside the range [0, 0.5)", c.ClockDrift)
	}
	if c.KeepAliveInterval >= c.minusClockError(c.LeaseTTL) {
		return fmt.Errorf("keepalive interval %v is not below the term that lease TTL %v allows", c.KeepAliveInterval, c.LeaseTTL)
	}
	// The store does not extend the TTL by its own clock drift. A term measured by
	// a clock that is slow by the drift must still end before the lease in a store
	// whose clock is fast by the drift.
	term := float64(c.minusClockError(c.LeaseTTL)) / (1 - c.ClockDrift)
	lease := float64(c.LeaseTTL) / (1 + c.ClockDrift)
	if term > lease {
		return fmt.Errorf("clock margin %v is too small for lease TTL %v and drift %v", c.ClockMargin, c.LeaseTTL, c.ClockDrift)
	}
	return nil
}

// minusClockError returns the part of d during which the holder of a lease or
// promise may act on it: d minus the drift and the margin.
func (c Config) minusClockError(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.ClockDrift) - c.ClockMargin
}

// plusClockError returns how long another process must wait until d has passed on
// the holder's clock, for any clock rate within the drift.
func (c Config) plusClockError(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}

// keepAliveStaleAfter returns the age at which the last successful keepalive counts as
// stale, so that the owner requests promises. With the default durations it is 4.5 s,
// which leaves 4.3 s of the store term for the requests: nearly a promise window.
func (c Config) keepAliveStaleAfter() time.Duration { return c.KeepAliveInterval * 3 / 2 }

// absenceGracePeriod returns how long a member key may be missing before its instance
// counts as absent. A shorter absence can be the gap between the end of one lease and
// the start of the next.
func (c Config) absenceGracePeriod() time.Duration { return 2 * c.KeepAliveInterval }
