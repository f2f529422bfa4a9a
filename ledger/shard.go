package ledger

import (
	"slices"
	"strings"
	"time"
)

// ShardValue is the stored value of one request shard.
type ShardValue struct {
	Epoch   uint64   `json:"epoch"`
	WriteID string   `json:"write_id"` // allows the writer to recognize its own write after a lost reply
	Records []Record `json:"records"`
}

// phase is the progress of a shard towards serving requests at its new home.
type phase int

const (
	loading phase = iota // the value is being read
	fencing              // the first write, which fences the former home, is not confirmed yet
	active
)

// shard is the state of one request shard whose home is this process.
type shard struct {
	name     string
	epoch    uint64
	phase    phase
	revision int64 // last known revision of the stored value
	records  map[JobKey]*Record
	views    map[JobKey]*Record // records as last stored
	bytes    int                // estimated size of the durable records

	sequence      uint64 // of the latest change to a durable record
	committed     uint64 // every change up to this sequence is in the store
	inFlight      *pendingWrite
	indeterminate []pendingWrite // writes that may still take effect
	steps         []pendingStep  // in ascending order of sequence
}

// pendingWrite is a write that is in flight or indeterminate.
type pendingWrite struct {
	writeID  string
	sequence uint64
	sentAt   time.Time
}

// pendingStep is a step that is released once the change with this sequence is stored.
type pendingStep struct {
	sequence uint64
	step     PostCommitStep
}

// postCommitKind is the kind of work that may be done once a change is in the store.
type postCommitKind int

const (
	StepAccepted  postCommitKind = iota // answer the submitter and send the tasks to their owners
	StepAnswer                          // answer a caller with the stored state
	StepDispatch                        // send the latest attempt of a task to its partition
	StepPermitted                       // permit the owner to start an at-most-once task
	StepFinished                        // answer the waiting calls and acknowledge the report of the owner
)

// PostCommitStep is work that must wait until a change is in the store.
type PostCommitStep struct {
	Kind  postCommitKind
	Job   JobKey
	Index int    // of the task; unused for StepAccepted
	Token uint64 // of the waiting call, if any
}

// releaseAfterLatest queues step until the latest change of the shard is in the store.
func (s *shard) releaseAfterLatest(step PostCommitStep) {
	s.steps = append(s.steps, pendingStep{sequence: s.sequence, step: step})
}

// advance marks every change up to sequence as stored and returns the steps
// that waited for them.
func (s *shard) advance(sequence uint64) []PostCommitStep {
	s.committed = max(s.committed, sequence)
	n := 0
	for n < len(s.steps) && s.steps[n].sequence <= s.committed {
		n++
	}
	released := make([]PostCommitStep, 0, n)
	for _, p := range s.steps[:n] {
		released = append(released, p.step)
	}
	s.steps = slices.Delete(s.steps, 0, n)
	return released
}

// value returns the value to store for the current state.
func (s *shard) value(writeID string) ShardValue {
	v := ShardValue{Epoch: s.epoch, WriteID: writeID}
	for _, r := range s.records {
		if r.Spec.Kind.IsDurable() {
			v.Records = append(v.Records, r.Clone())
		}
	}
	slices.SortFunc(v.Records, func(a, b Record) int {
		return strings.Compare(a.JobKey().String(), b.JobKey().String())
	})
	return v
}

// setViews replaces the views with the records that are in the store now.
func (s *shard) setViews(records []Record) {
	s.views = make(map[JobKey]*Record, len(records))
	for i := range records {
		s.views[records[i].JobKey()] = &records[i]
	}
}

// isDirty reports whether a write of the shard is due: it has no write in flight, and it
// has changes to store or still has to fence the former home.
func (s *shard) isDirty() bool {
	return s.inFlight == nil && (s.committed < s.sequence || s.phase == fencing)
}
