package load

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The policies.
const (
	Fair     = "fair"     // weighted dominant shares with decay, the policy in use
	Deficit  = "deficit"  // deficit rounds over shares times expected run time
	Priority = "priority" // strict priority by urgency, then by arrival
	FIFO     = "fifo"     // first come, first served, with a scan over the workers
)

// Policies lists every policy.
var Policies = []string{Fair, Deficit, Priority, FIFO}

// Config describes one run.
type Config struct {
	Seed     uint64
	Teams    int
	Workers  int
	Duration time.Duration // of virtual time
	Policy   string
	Load     float64 // offered work as a part of the capacity, without the flood; 0 for DefaultLoad
}

// DefaultLoad is a cluster that is busy but has room on average; bursts and the
// flood exceed it.
const DefaultLoad = 0.9

// Validate reports the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Teams < 1:
		return fmt.Errorf("teams: %d is below 1", c.Teams)
	case c.Workers < 1:
		return fmt.Errorf("workers: %d is below 1", c.Workers)
	case c.Duration < time.Second:
		return fmt.Errorf("duration: %v is below 1s", c.Duration)
	case c.Load < 0:
		return fmt.Errorf("load: %v is below 0", c.Load)
	case !slices.Contains(Policies, c.Policy):
		return fmt.Errorf("policy: %q is none of %s", c.Policy, strings.Join(Policies, ", "))
	}
	return nil
}
