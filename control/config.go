package control

import "time"

// Config holds the bounds of the control state. Settings fill it.
type Config struct {
	RequestShards       int
	PartitionsPerRegion int
	Regions             []string

	TaskLease      time.Duration // how long a worker runs a task without renewal
	StartValidity  time.Duration // how long a start may travel
	SyncInterval   time.Duration // between two reports of a worker
	ClockDrift     float64       // largest relative error of a clock
	ClockMargin    time.Duration // largest absolute error besides the drift
	CallTimeout    time.Duration // of a call to an entry instance
	LookupInterval time.Duration // between two questions about an attempt with no news
	RetryInterval  time.Duration // before a failed call is made again
	AnswerGrace    time.Duration // after a deadline, for the report of what became of the task

	KeepAliveInterval  time.Duration
	StoreLeaseTTL      time.Duration
	KeyFreshness       time.Duration
	DigestInterval     time.Duration // in the region
	FarDigestInterval  time.Duration // across regions
	DigestLifetime     time.Duration // how long a digest counts
	MaxDrainingAnswers time.Duration // how long a planned stop waits for answers
}

// DefaultConfig returns the defaults of the design page for one region.
func DefaultConfig(regions ...string) Config {
	return Config{
		RequestShards:       64,
		PartitionsPerRegion: 4,
		Regions:             regions,
		TaskLease:           30 * time.Second,
		StartValidity:       3 * time.Second,
		SyncInterval:        time.Second,
		ClockDrift:          0.01,
		ClockMargin:         100 * time.Millisecond,
		CallTimeout:         2 * time.Second,
		LookupInterval:      5 * time.Second,
		RetryInterval:       200 * time.Millisecond,
		AnswerGrace:         500 * time.Millisecond,
		KeepAliveInterval:   3 * time.Second,
		StoreLeaseTTL:       9 * time.Second,
		KeyFreshness:        5 * time.Second,
		DigestInterval:      time.Second,
		FarDigestInterval:   5 * time.Second,
		DigestLifetime:      15 * time.Second,
		MaxDrainingAnswers:  20 * time.Second,
	}
}

// atLeast returns a duration that has surely passed on any clock within the
// drift once d plus the margin has passed on this one.
func (c *Config) atLeast(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift) + c.ClockMargin
}
