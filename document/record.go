package document

import "time"

// Record is the stored form of a document. Previous makes it possible to show the
// last change in a conflict. WriteID identifies the write, so that a writer that did
// not receive the reply to its commit can detect whether it succeeded.
type Record struct {
	Source           string    `json:"source"`
	Previous         string    `json:"previous,omitempty"`          // source that this change replaced
	PreviousRevision int64     `json:"previous_revision,omitempty"` // 0 if there was none
	ChangedBy        string    `json:"by,omitempty"`                // operator who made the change
	ChangedAt        time.Time `json:"at"`
	WriteID          string    `json:"write_id"`
}

// LastChange lists the fields that the last change modified. A source that does
// not parse, which only an older version can have written, is treated as empty.
func (r Record) LastChange() []Change {
	before, _ := Parse([]byte(r.Previous))
	after, _ := Parse([]byte(r.Source))
	return Diff(before, after)
}
