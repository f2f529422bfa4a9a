package operator

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// DocumentRef identifies a document. Service is empty for the document of a whole team.
type DocumentRef struct {
	Team    task.Team
	Service task.Service
}

// StoredDocument is a document with its revision, as stored on this instance.
type StoredDocument struct {
	Ref      DocumentRef
	Record   document.Record
	Revision int64
	InForce  bool // every live member has this revision
}

// DocumentChange replaces a document.
type DocumentChange struct {
	Ref              DocumentRef
	Source           string // a valid document
	Operator         string
	ExpectedRevision int64         // revision that the change is based on, 0 for a new document
	Wait             time.Duration // maximum wait until the change is in force on every live member
}

// TimelineFilter selects events of the timeline. Empty fields select all.
type TimelineFilter struct {
	Task  task.ID
	Team  task.Team
	Since time.Time
	Limit int // maximum number of events; the latest ones are returned
}

// Backend executes the calls. Its errors are *errkind.Error or *Conflict values;
// any other error is reported to the operator with an unknown outcome. Each call
// honours the deadline of its context. The api types that it returns are sent to the
// operator unchanged, for display.
type Backend interface {
	// Apply replaces a document if its revision is the expected one, and
	// returns a *Conflict otherwise. If Wait is set, it waits for the change to be
	// in force; an expired wait is not an error.
	Apply(ctx context.Context, change DocumentChange) (StoredDocument, error)
	// Get returns a document, or an error of kind unknown_team or
	// unknown_service.
	Get(ctx context.Context, ref DocumentRef) (StoredDocument, error)
	// List returns every document.
	List(ctx context.Context) ([]StoredDocument, error)

	// GrantKey creates a key and returns its secret, which is not stored.
	GrantKey(ctx context.Context, operatorName string, request api.GrantRequest) (api.GrantedKey, error)
	// WithdrawKey revokes a key. It is idempotent.
	WithdrawKey(ctx context.Context, operatorName string, team task.Team, id string) (api.Key, error)
	// Keys lists the keys of a team, or of all teams.
	Keys(ctx context.Context, team task.Team) ([]api.Key, error)

	// Drain starts or ends the drain of one entry instance or worker.
	Drain(ctx context.Context, operatorName string, request api.DrainRequest) (api.DrainStatus, error)
	// ForceOwnership makes a member take over a unit whose owner and successors
	// have failed.
	ForceOwnership(ctx context.Context, operatorName string, request api.ForceOwnershipRequest) (api.Ownership, error)

	Workers(ctx context.Context) ([]api.Worker, error)
	Shares(ctx context.Context) ([]api.Share, error)
	Members(ctx context.Context) ([]api.Member, error)
	// Timeline merges the timelines of all members.
	Timeline(ctx context.Context, filter TimelineFilter) (api.Timeline, error)

	// Healthy returns an error if this process should be restarted.
	Healthy(ctx context.Context) error
	// Ready returns an error, such as one of kind draining, if this instance should
	// receive no calls.
	Ready(ctx context.Context) error
}
