package document

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Document is what one service of a team runs, or, with an empty Service, what
// the whole team may use. Share and Limit stand in the team document only, so
// that two services of one team cannot state them differently.
type Document struct {
	Team            task.Team       `json:"team"`
	Service         task.Service    `json:"service,omitempty"`
	Share           float64         `json:"share,omitempty"`             // weight among the teams; team document
	Limit           *task.Resources `json:"limit,omitempty"`             // upper limit, fleet-wide; team document
	Open            bool            `json:"open,omitempty"`              // the queue takes work without a key
	Classes         []Class         `json:"classes,omitempty"`           // kinds of work
	Regions         []string        `json:"regions,omitempty"`           // allowed regions, nearest first; empty for all
	Weigh           Weigh           `json:"weigh,omitempty"`             // what placement weighs most
	CrossRegionWait time.Duration   `json:"cross_region_wait,omitempty"` // expected wait above which another region is used
	QueueLimit      int             `json:"queue_limit,omitempty"`       // waiting tasks of the service at one owner; 0 for the limit in the settings
}

// Class is one kind of work of a service.
type Class struct {
	Name      string         `json:"name"`
	Kind      task.Kind      `json:"kind"`
	Urgency   task.Urgency   `json:"urgency"`
	Size      task.Resources `json:"size"`                 // of a task whose submission states none
	MaxSize   task.Resources `json:"max_size"`             // that a submission may ask for; Size when left out
	MaxCount  int            `json:"max_count"`            // tasks in one job
	MaxRun    time.Duration  `json:"max_run,omitempty"`    // longest run of one task; none for long-lived services
	Command   string         `json:"command"`              // what the worker runs
	MaySubmit []string       `json:"may_submit,omitempty"` // roles of keys; empty for every key of the team
}

// Weigh says what placement and fairness weigh most for a service.
type Weigh string

// The policies.
const (
	WaitingAndShare Weigh = "waiting_and_share"
	QuotesAndCost   Weigh = "quotes_and_cost"
)

// Weighs lists every policy.
var Weighs = []Weigh{WaitingAndShare, QuotesAndCost}

// Defaults of fields that a document leaves out.
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

// maxNameBytes bounds a name, which stands in keys of the store and in paths.
const maxNameBytes = 63

// NameRule says in words what IsName takes.
const NameRule = "a name of 1 to 63 characters: a-z, 0-9 and -, starting with a letter, not ending with -"

// IsName reports whether s may name a team, service, class, region or role.
func IsName(s string) bool {
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
