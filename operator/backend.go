package operator

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Ref names a document. Service is empty for the document of a whole team.
type Ref struct {
	Team    task.Team
	Service task.Service
}

// Held is a document as this instance holds it.
type Held struct {
	Ref      Ref
	Record   document.Record
	Revision int64
	InForce  bool // every live member has this revision
}

// Change replaces a document.
type Change struct {
	Ref      Ref
	Source   string // parses without a fault
	By       string
	Expected int64         // revision that the operator has seen, 0 for none
	Wait     time.Duration // for the change to be in force everywhere
}

// Filter selects events of the time line. Empty fields select all.
type Filter struct {
	Task  task.ID
	Team  task.Team
	Since time.Time
	Limit int // latest events that are returned
}

// Backend decides about the calls. Its errors are *errkind.Error or *Conflict
// values; any other error is answered as one whose outcome is unknown. Each call
// honours the deadline of its context. The lists are plain rows for display.
type Backend interface {
	// Apply replaces a document if its revision is the expected one, and
	// returns a *Conflict if it is not. It waits for the change to be in force
	// where Wait is set; the end of the wait is not an error.
	Apply(ctx context.Context, change Change) (Held, error)
	// Get returns a document, or an error of kind unknown_team or
	// unknown_service.
	Get(ctx context.Context, ref Ref) (Held, error)
	// List returns every document.
	List(ctx context.Context) ([]Held, error)

	// GrantKey makes a key and returns its secret, which is not kept.
	GrantKey(ctx context.Context, by string, request api.GrantRequest) (api.GrantedKey, error)
	// WithdrawKey ends a key. Withdrawing it again is not an error.
	WithdrawKey(ctx context.Context, by string, team task.Team, id string) (api.Key, error)
	// Keys lists the keys of a team, or of all teams.
	Keys(ctx context.Context, team task.Team) ([]api.Key, error)

	// Drain starts or ends the drain of one entry instance or worker.
	Drain(ctx context.Context, by string, request api.DrainRequest) (api.Drain, error)
	// ForceOwnership lets a member take a unit over whose owner and successors
	// are gone.
	ForceOwnership(ctx context.Context, by string, request api.ForceRequest) (api.Ownership, error)

	Workers(ctx context.Context) ([]api.Worker, error)
	Shares(ctx context.Context) ([]api.Share, error)
	Members(ctx context.Context) ([]api.Member, error)
	// Timeline merges the time lines of all members.
	Timeline(ctx context.Context, filter Filter) (api.Timeline, error)

	// Healthy returns an error where this process should be restarted.
	Healthy(ctx context.Context) error
	// Ready returns an error where this instance should get no calls, such as
	// one of kind draining.
	Ready(ctx context.Context) error
}
