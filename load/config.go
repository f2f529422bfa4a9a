package load

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The scheduling policies.
const (
	Fair     = "fair"     // weighted dominant resource fairness with decayed usage, the policy of the production scheduler
	Deficit  = "deficit"  // deficit round robin, with share times expected run time as the cost
	Priority = "priority" // strict priority by urgency, then by arrival
	FIFO     = "fifo"     // first come, first served, with a linear search over the workers
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
	Load     float64 // offered load as a fraction of the capacity, excluding the flood; 0 means DefaultLoad
}

// DefaultLoad keeps the cluster busy but leaves some capacity free on average.
// The load is higher during bursts and during the flood.
const DefaultLoad = 0.9

// Validate reports the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Teams < 1:
		return fmt.Errorf("teams: %d is less than the minimum of 1", c.Teams)
	case c.Workers < 1:
		return fmt.Errorf("workers: %d is less than the minimum of 1", c.Workers)
	case c.Duration < time.Second:
		return fmt.Errorf("duration: %v is less than the minimum of 1s", c.Duration)
	case c.Load < 0:
		return fmt.Errorf("load: %v is negative", c.Load)
	case !slices.Contains(Policies, c.Policy):
		return fmt.Errorf("policy: %q is not one of %s", c.Policy, strings.Join(Policies, ", "))
	}
	return nil
}
