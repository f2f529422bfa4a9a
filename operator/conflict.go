package operator

import (
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// Conflict is the error of a change whose expected revision differs from the
// current one.
type Conflict struct {
	Expected int64
	Current  StoredDocument // Revision is 0 if there is no document
}

// Error returns both revisions.
func (c *Conflict) Error() string { return c.kindError().Error() }

// Unwrap returns the error of kind revision_conflict.
func (c *Conflict) Unwrap() error { return c.kindError() }

func (c *Conflict) kindError() *errkind.Error {
	return errkind.New(errkind.RevisionConflict, "revision %d is in force, not %d", c.Current.Revision, c.Expected).
		WithField("expect", fmt.Sprintf("%d, after a review of the other change", c.Current.Revision))
}

// AddDetail adds the change that led to the current revision.
func (c *Conflict) AddDetail(detail *api.Error) {
	detail.Conflict = &api.Conflict{
		Expected:  c.Expected,
		Revision:  c.Current.Revision,
		ChangedBy: c.Current.Record.ChangedBy,
		ChangedAt: c.Current.Record.ChangedAt,
		Changes:   toAPIChanges(c.Current.Record.LastChange()),
	}
}

func toAPIChanges(changes []document.Change) []api.Change {
	converted := make([]api.Change, len(changes))
	for i, c := range changes {
		converted[i] = api.Change(c)
	}
	return converted
}

// invalidDocumentError holds every fault of an invalid document.
type invalidDocumentError struct{ faults []jsonc.Fault }

// Error returns the number of faults and the first one.
func (e *invalidDocumentError) Error() string { return e.kindError().Error() }

// Unwrap returns the error of kind invalid_request.
func (e *invalidDocumentError) Unwrap() error { return e.kindError() }

func (e *invalidDocumentError) kindError() *errkind.Error {
	first := e.faults[0]
	field := first.Path
	if field == "" {
		field = "body"
	}
	return errkind.New(errkind.InvalidRequest, "the document has %d faults, first at line %d, column %d: %s",
		len(e.faults), first.Line, first.Column, first.Message).WithField(field, first.Allowed)
}

// AddDetail lists every fault.
func (e *invalidDocumentError) AddDetail(detail *api.Error) { detail.Faults = e.faults }
