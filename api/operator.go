package api

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// Key is an API key of a team, without its secret.
type Key struct {
	ID          string    `json:"id"`
	Team        task.Team `json:"team"`
	Role        string    `json:"role,omitempty"`
	Note        string    `json:"note,omitempty"`
	GrantedBy   string    `json:"granted_by,omitempty"`
	GrantedAt   time.Time `json:"granted_at,omitzero"`
	WithdrawnBy string    `json:"withdrawn_by,omitempty"`
	WithdrawnAt time.Time `json:"withdrawn_at,omitzero"`
}

// Keys is a list of keys.
type Keys struct {
	Keys []Key `json:"keys"`
}

// GrantRequest requests a new API key for a team.
type GrantRequest struct {
	Team task.Team `json:"team"`
	Role string    `json:"role,omitempty"`
	Note string    `json:"note,omitempty"`
}

// GrantedKey is a new API key. No other response contains its secret.
type GrantedKey struct {
	Key
	Secret string `json:"secret"`
}

// DrainRequest starts the drain of one entry instance or one worker, or ends it if
// Undo is set.
type DrainRequest struct {
	Instance string `json:"instance,omitempty"`
	Worker   string `json:"worker,omitempty"`
	Undo     bool   `json:"undo,omitempty"`
}

// DrainStatus is the state of a drain.
type DrainStatus struct {
	Name     string `json:"name"`
	Draining bool   `json:"draining"`
	Tasks    int    `json:"tasks"`            // still running on a worker
	Units    int    `json:"units"`            // still owned by an entry instance
	Detail   string `json:"detail,omitempty"` // why the drain is not complete
}

// Worker is the state of a worker as reported by its owner.
type Worker struct {
	Name          string         `json:"name"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	Rack          string         `json:"rack"`
	Partition     string         `json:"partition"`
	Owner         string         `json:"owner"` // entry instance
	State         string         `json:"state"` // ready, leaving, draining, quarantined, silent
	Capacity      task.Resources `json:"capacity"`
	Reserved      task.Resources `json:"reserved"`
	Tasks         int            `json:"tasks"`
	ReportAge     Duration       `json:"report_age"`
}

// Workers is a list of workers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// Share is the usage and the entitlement of a team. Shares are fractions of the
// fleet's capacity in the dominant resource.
type Share struct {
	Team     task.Team       `json:"team"`
	Weight   float64         `json:"weight"`
	Entitled float64         `json:"entitled"`
	Current  float64         `json:"current"`
	Decayed  float64         `json:"decayed"`
	Running  task.Resources  `json:"running"`
	Limit    task.Resources  `json:"limit"`             // in force
	Pending  *task.Resources `json:"pending,omitempty"` // lower limit that is not in force yet
	Waiting  int             `json:"waiting"`           // tasks in queues
}

// Shares is a list of shares.
type Shares struct {
	Shares []Share `json:"shares"`
}

// Member is a live entry instance.
type Member struct {
	Instance      string   `json:"instance"`
	Incarnation   string   `json:"incarnation"`
	Address       string   `json:"address"`
	Region        string   `json:"region"`
	FailureDomain string   `json:"failure_domain"`
	Draining      bool     `json:"draining,omitempty"`
	Revision      int64    `json:"revision"`        // highest configuration revision that it has received
	Units         []string `json:"units,omitempty"` // worker partitions and request shards that it owns
}

// Members is a list of members.
type Members struct {
	Members []Member `json:"members"`
}

// ForceOwnershipRequest requests the takeover of a unit whose owner and successors have
// failed.
type ForceOwnershipRequest struct {
	Unit   string `json:"unit"` // w/<region>/<n> or h/<n>
	Reason string `json:"reason"`
}

// Ownership is the ownership record of a unit.
type Ownership struct {
	Unit          string   `json:"unit"`
	Owner         string   `json:"owner"` // entry instance
	Epoch         uint64   `json:"epoch"`
	Revision      int64    `json:"revision"`
	TakeoverDelay Duration `json:"after,omitempty"` // delay before the takeover
}

// Timeline is the merged timeline of all members that responded.
type Timeline struct {
	Events  []timeline.Event `json:"events"`
	Missing []string         `json:"missing,omitempty"` // members that did not respond
}
