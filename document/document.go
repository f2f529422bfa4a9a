package document

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Document defines what one service of a team runs, or, if Service is empty, what
// the whole team may use. Only the team document has Share and Limit, so that two
// services of one team cannot set them to different values.
type Document struct {
	Team             task.Team        `json:"team"`
	Service          task.Service     `json:"service,omitempty"`
	Share            float64          `json:"share,omitempty"`             // weight of the team in fair sharing; team document only
	Limit            *task.Resources  `json:"limit,omitempty"`             // fleet-wide upper limit; team document only
	Open             bool             `json:"open,omitempty"`              // the queue accepts work without a key
	Classes          []Class          `json:"classes,omitempty"`           // kinds of work
	Regions          []string         `json:"regions,omitempty"`           // allowed regions, nearest first; empty for all
	SchedulingPolicy SchedulingPolicy `json:"weigh,omitempty"`             // policy of placement and fair sharing
	CrossRegionWait  time.Duration    `json:"cross_region_wait,omitempty"` // expected wait above which work goes to another region
	QueueLimit       int              `json:"queue_limit,omitempty"`       // maximum number of waiting tasks of the service at one owner; 0 for the limit in the settings
}

// Class is one kind of work of a service.
type Class struct {
	Name      string         `json:"name"`
	Kind      task.Kind      `json:"kind"`
	Urgency   task.Urgency   `json:"urgency"`
	Size      task.Resources `json:"size"`                 // of one task, by default
	MaxSize   task.Resources `json:"max_size"`             // largest size that a submission may request; Size if omitted
	MaxCount  int            `json:"max_count"`            // maximum number of tasks in one job
	MaxRun    time.Duration  `json:"max_run,omitempty"`    // maximum run time of one task; 0 for long-lived services
	Command   string         `json:"command"`              // command that the worker runs
	MaySubmit []string       `json:"may_submit,omitempty"` // roles whose keys may submit; empty for every key of the team
}

// SchedulingPolicy selects the criteria to which placement and fair sharing give the
// most weight for a service.
type SchedulingPolicy string

// The scheduling policies.
const (
	WaitingAndShare SchedulingPolicy = "waiting_and_share"
	QuotesAndCost   SchedulingPolicy = "quotes_and_cost"
)

// SchedulingPolicies lists every scheduling policy.
var SchedulingPolicies = []SchedulingPolicy{WaitingAndShare, QuotesAndCost}

// Defaults of omitted fields.
const (
	defaultShare           = 1.0
	defaultCrossRegionWait = 2 * time.Second
	defaultMaxCount        = 1
)

// IsTeam reports whether d is the document of a whole team.
func (d Document) IsTeam() bool { return d.Service == "" }

// Class returns the class with this name.
func (d Document) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// maxNameBytes limits names because they are part of store keys and URL paths.
const maxNameBytes = 63

// NameRule describes the names that IsValidName accepts.
const NameRule = "a name of 1 to 63 characters: a-z, 0-9 and -, starting with a letter, not ending with -"

// IsValidName reports whether s is a valid name of a team, service, class, region,
// role, instance, worker or operator.
func IsValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[len(s)-1] == '-' || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for _, c := range s {
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}
