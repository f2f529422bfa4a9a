package api

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Document is a document with its revision, as stored on an entry instance. Service
// is empty for the document of a whole team.
type Document struct {
	Team      task.Team    `json:"team"`
	Service   task.Service `json:"service,omitempty"`
	Revision  int64        `json:"revision"`
	ChangedBy string       `json:"by,omitempty"` // operator who made the last change
	ChangedAt time.Time    `json:"at,omitzero"`
	Source    string       `json:"source,omitempty"`   // omitted from lists
	InForce   bool         `json:"in_force,omitempty"` // every live member has this revision
}

// Documents is a list of documents.
type Documents struct {
	Documents []Document `json:"documents"`
}

// Change is one field that differs between two revisions.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"` // JSON; empty when the field was added
	After  string `json:"after,omitempty"`  // JSON; empty when the field was removed
}

// Diff is the difference between the stored document and another one.
type Diff struct {
	Revision int64    `json:"revision"` // of the stored document, 0 for none
	Changes  []Change `json:"changes"`
}

// Conflict describes the last change of a document. It is part of the error
// response to a change that expected another revision.
type Conflict struct {
	Expected  int64     `json:"expected"` // revision that the rejected change was based on
	Revision  int64     `json:"revision"` // current revision
	ChangedBy string    `json:"by,omitempty"`
	ChangedAt time.Time `json:"at,omitzero"`
	Changes   []Change  `json:"changes"` // made by the last change
}
