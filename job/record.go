package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Progress is the record of an unfinished job: the tasks that succeeded and the runs that
// failed. Everything else is recovered from the workers' reports.
type Progress struct {
	Started  bool                `json:"s,omitempty"`
	Complete Ranges              `json:"c,omitempty"` // occurrences of which all tasks succeeded; they have no entries below
	Done     map[string][]int    `json:"d,omitempty"` // indexes of the tasks that succeeded, by "occurrence.step"
	Failed   map[string]Failures `json:"f,omitempty"` // failed runs, by "occurrence.step.index", or by "occurrence.step" for a gang
}

// Ranges is a set of numbers as sorted, disjoint ranges: the first number of each and the one after
// its last.
type Ranges [][2]int

// Contains reports whether the set contains n.
func (r Ranges) Contains(n int) bool {
	for _, part := range r {
		if part[0] <= n && n < part[1] {
			return true
		}
	}
	return false
}

// Add adds n to the set.
func (r *Ranges) Add(n int) {
	if r.Contains(n) {
		return
	}
	i := 0
	for i < len(*r) && (*r)[i][1] < n {
		i++
	}
	switch {
	case i < len(*r) && (*r)[i][1] == n:
		(*r)[i][1] = n + 1
		if i+1 < len(*r) && (*r)[i+1][0] == n+1 {
			(*r)[i][1] = (*r)[i+1][1]
			*r = slices.Delete(*r, i+1, i+2)
		}
	case i < len(*r) && (*r)[i][0] == n+1:
		(*r)[i][0] = n
	default:
		*r = slices.Insert(*r, i, [2]int{n, n + 1})
	}
}

// Failures are the numbers of the failed runs of a task or a gang. They are recorded as a
// set and not as a count, because a worker repeats the report of an ended run until it is
// confirmed, even to a new owner, and reports arrive in any order. The set identifies the
// runs that are already counted.
type Failures []int

// Final is the record of an ended job. It is kept until its retention period has passed.
type Final struct {
	State      State     `json:"st"`
	Queue      string    `json:"q"`
	Team       string    `json:"t"`
	FinishedAt time.Time `json:"at"`          // wall clock of the owner
	Work       string    `json:"w,omitempty"` // see Job.WorkDigest
	// Tombstone lists who has cancelled the job before any submission of it was recorded. If it is not empty,
	// there was no such job, and FinishedAt is when the last of them did.
	Tombstone []Origin `json:"ts,omitempty"`
}

// IsTombstone reports whether there was no job, see Tombstone.
func (f *Final) IsTombstone() bool { return len(f.Tombstone) > 0 }

// IsOf reports whether the record is of the end of a submitted job, whose Work is set. Records of earlier versions
// have no digest and match any work of the same queue and team.
func (f *Final) IsOf(j *Job) bool {
	return f.Queue == j.Queue && f.Team == j.Team && (f.Work == "" || f.Work == j.Work)
}

// Encode returns the stored form of a record.
func Encode(record any) ([]byte, error) {
	b, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", record, err)
	}
	return b, nil
}

// Decode decodes a record that was encoded by Encode.
func Decode[T any](b []byte) (*T, error) {
	record := new(T)
	if err := json.Unmarshal(b, record); err != nil {
		return nil, fmt.Errorf("decode %T: %w", *record, err)
	}
	return record, nil
}
