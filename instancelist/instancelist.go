package instancelist

import (
	"context"
	"errors"
)

// Role is the kind of process that an instance runs.
type Role string

// The roles.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// State is the state of an instance as the platform reports it, with a lag.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // about to stop as planned; receives no new work
	StateGone    State = "gone"
)

// Instance is one machine of the deployment.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // numeric IP address and port
	Role          Role   `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	State         State  `json:"state"`
}

// Reply is the body of the reply to GET PathInstances.
type Reply struct {
	Instances []Instance `json:"instances"`
}

// PathInstances is the path at which the platform serves its list.
const PathInstances = "/v1/instances"

// ErrUnavailable means that the list could not be read. Reading has no side
// effects, so callers need not distinguish between failures.
var ErrUnavailable = errors.New("instance list unavailable")

// Lister reads the list, which lags behind the actual state.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}
