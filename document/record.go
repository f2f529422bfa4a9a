package document

import "time"

// Record is a document as the store keeps it. Previous lets a conflict show the
// change that came first; WriteID lets a writer whose reply was lost recognise
// its own write.
type Record struct {
	Source           string    `json:"source"`
	Previous         string    `json:"previous,omitempty"`          // source that this one replaced
	PreviousRevision int64     `json:"previous_revision,omitempty"` // 0 for none
	By               string    `json:"by,omitempty"`                // operator
	At               time.Time `json:"at"`
	WriteID          string    `json:"write_id"`
}

// LastChange lists what the last change did. A source that does not parse, which
// only an older version can have written, counts as empty.
func (r Record) LastChange() []Change {
	before, _ := Parse([]byte(r.Previous))
	after, _ := Parse([]byte(r.Source))
	return Diff(before, after)
}
