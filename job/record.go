package job

import (
	"encoding/json"
	"fmt"
	"time"
)

// Progress is what is recorded of an unfinished job: the tasks that succeeded
// and the runs that failed. Everything else is learned again from the workers.
type Progress struct {
	Started bool                `json:"s,omitempty"`
	Done    map[string][]int    `json:"d,omitempty"` // indexes by "occurrence.step"
	Failed  map[string]Failures `json:"f,omitempty"` // by "occurrence.step.index", or "occurrence.step" for a gang
}

// Failures are the numbers of the failed runs of a task or a gang. A worker lists
// an end until it was confirmed, also to the next owner, and workers answer in
// any order: only the set of runs tells which ends are counted already.
type Failures []int

// Final is what is kept of a finished job until callers may have forgotten it.
type Final struct {
	State      State     `json:"st"`
	Queue      string    `json:"q"`
	Team       string    `json:"t"`
	FinishedAt time.Time `json:"at"` // wall clock of the owner
}

// Encode returns a record as it is stored.
func Encode(record any) ([]byte, error) {
	b, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", record, err)
	}
	return b, nil
}

// Decode reads a record that Encode wrote.
func Decode[T any](b []byte) (*T, error) {
	record := new(T)
	if err := json.Unmarshal(b, record); err != nil {
		return nil, fmt.Errorf("decode %T: %w", *record, err)
	}
	return record, nil
}
