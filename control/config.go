package control

import "time"

// Config holds the limits, intervals and timeouts of the control state. It is filled from the
// settings.
type Config struct {
	RequestShards       int
	PartitionsPerRegion int
	Regions             []string

	TaskLease      time.Duration // how long a worker runs a task without lease renewal
	StartValidity  time.Duration // how long a start order may be in transit
	SyncInterval   time.Duration // between syncs with a worker
	ClockDrift     float64       // maximum relative clock error
	ClockMargin    time.Duration // maximum clock error in addition to the drift
	CallTimeout    time.Duration // for a call to an entry instance
	LookupInterval time.Duration // between lookups of an attempt without a status update
	RetryInterval  time.Duration // delay before a failed call is retried
	AnswerGrace    time.Duration // after the deadline of an answer, to receive its outcome

	KeepAliveInterval         time.Duration
	StoreLeaseTTL             time.Duration
	KeyFreshness              time.Duration
	DigestInterval            time.Duration // within a region
	CrossRegionDigestInterval time.Duration // across regions
	DigestLifetime            time.Duration // how long a digest is valid
	MaxDrainWait              time.Duration // how long a drain waits for homes, waiting calls and memory-only jobs
}

// DefaultConfig returns the default configuration for the given regions.
func DefaultConfig(regions ...string) Config {
	return Config{
		RequestShards:             64,
		PartitionsPerRegion:       4,
		Regions:                   regions,
		TaskLease:                 30 * time.Second,
		StartValidity:             3 * time.Second,
		SyncInterval:              time.Second,
		ClockDrift:                0.01,
		ClockMargin:               100 * time.Millisecond,
		CallTimeout:               2 * time.Second,
		LookupInterval:            5 * time.Second,
		RetryInterval:             200 * time.Millisecond,
		AnswerGrace:               500 * time.Millisecond,
		KeepAliveInterval:         3 * time.Second,
		StoreLeaseTTL:             9 * time.Second,
		KeyFreshness:              5 * time.Second,
		DigestInterval:            time.Second,
		CrossRegionDigestInterval: 5 * time.Second,
		DigestLifetime:            15 * time.Second,
		MaxDrainWait:              20 * time.Second,
	}
}

// withClockError extends d by the maximum clock error: once the result has elapsed on the local
// clock, at least d has elapsed on any clock whose error is within ClockDrift and ClockMargin.
func (c *Config) withClockError(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}
