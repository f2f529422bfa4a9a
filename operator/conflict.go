package operator

import (
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// Conflict is the error of a change whose expected revision is not the current
// one.
type Conflict struct {
	Expected int64
	Current  Held // Revision is 0 where there is no document
}

// Error returns both revisions.
func (c *Conflict) Error() string { return c.kindError().Error() }

// Unwrap returns the error of kind revision_conflict.
func (c *Conflict) Unwrap() error { return c.kindError() }

func (c *Conflict) kindError() *errkind.Error {
	return errkind.New(errkind.RevisionConflict, "revision %d is in force, not %d", c.Current.Revision, c.Expected).
		WithField("expect", fmt.Sprintf("%d, after a review of the other change", c.Current.Revision))
}

// AddDetail adds the change that the current revision made.
func (c *Conflict) AddDetail(detail *api.Error) {
	detail.Conflict = &api.Conflict{
		Expected: c.Expected,
		Revision: c.Current.Revision,
		By:       c.Current.Record.By,
		At:       c.Current.Record.At,
		Changes:  toAPIChanges(c.Current.Record.LastChange()),
	}
}

func toAPIChanges(changes []document.Change) []api.Change {
	converted := make([]api.Change, len(changes))
	for i, c := range changes {
		converted[i] = api.Change(c)
	}
	return converted
}

// invalidDocumentError is the error of an invalid document.
type invalidDocumentError struct{ faults []jsonc.Fault }

// Error returns the first fault.
func (f *invalidDocumentError) Error() string { return f.kindError().Error() }

// Unwrap returns the error of kind invalid_request.
func (f *invalidDocumentError) Unwrap() error { return f.kindError() }

func (f *invalidDocumentError) kindError() *errkind.Error {
	first := f.faults[0]
	field := first.Path
	if field == "" {
		field = "body"
	}
	return errkind.New(errkind.InvalidRequest, "the document has %d faults, first at line %d, column %d: %s",
		len(f.faults), first.Line, first.Column, first.Message).WithField(field, first.Allowed)
}

// AddDetail lists every fault.
func (f *invalidDocumentError) AddDetail(detail *api.Error) { detail.Faults = f.faults }
