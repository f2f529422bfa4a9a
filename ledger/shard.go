package ledger

import (
	"slices"
	"strings"
	"time"
)

// ShardValue is what the store keeps of one request shard.
type ShardValue struct {
	Epoch   uint64   `json:"epoch"`
	WriteID string   `json:"write_id"` // recognises an own write whose reply was lost
	Records []Record `json:"records"`
}

// phase is how far a shard has come since this process became its home.
type phase int

const (
	loading phase = iota // the value is being read
	fencing              // the first write, which fences the former home, is not confirmed
	active
)

// shard is the state of one request shard whose home is this process.
type shard struct {
	name     string
	epoch    uint64
	phase    phase
	revision int64 // last revision of the value that this process knows
	records  map[JobKey]*Record
	views    map[JobKey]*Record // as they are in the store
	bytes    int                // approximate size of the durable records

	sequence  uint64 // of the latest change to a durable record
	committed uint64 // every change up to here is in the store
	inFlight  *pendingWrite
	unclear   []pendingWrite // writes whose fate is not known yet
	steps     []pendingStep  // in order of sequence
}

type pendingWrite struct {
	writeID  string
	sequence uint64
	sentAt   time.Time
}

type pendingStep struct {
	sequence uint64
	step     Step
}

// StepKind says what may happen once a change is in the store.
type StepKind int

// The kinds of steps.
const (
	StepAccepted  StepKind = iota // tell the submitter; send the tasks to their owners
	StepAnswer                    // tell a caller that asked what is in the store now
	StepDispatch                  // send the latest attempt of a task to its partition
	StepPermitted                 // let the owner start an at-most-once task
	StepFinished                  // tell waiters; acknowledge to the owner
)

// Step is work that waited for a change to be in the store.
type Step struct {
	Kind  StepKind
	Job   JobKey
	Index int    // of the task; unused for StepAccepted
	Token uint64 // of the waiting call, where one waits
}

// after queues step until the latest change of the shard is in the store.
func (s *shard) after(step Step) {
	s.steps = append(s.steps, pendingStep{sequence: s.sequence, step: step})
}

// advance marks every change up to sequence as stored and returns the steps
// that waited for them.
func (s *shard) advance(sequence uint64) []Step {
	s.committed = max(s.committed, sequence)
	n := 0
	for n < len(s.steps) && s.steps[n].sequence <= s.committed {
		n++
	}
	released := make([]Step, 0, n)
	for _, p := range s.steps[:n] {
		released = append(released, p.step)
	}
	s.steps = slices.Delete(s.steps, 0, n)
	return released
}

// value returns what to store for the present state.
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

// setViews notes what the store holds now.
func (s *shard) setViews(records []Record) {
	s.views = make(map[JobKey]*Record, len(records))
	for i := range records {
		s.views[records[i].JobKey()] = &records[i]
	}
}

// isDirty reports whether a change is neither stored nor being written.
func (s *shard) isDirty() bool {
	return s.inFlight == nil && (s.committed < s.sequence || s.phase == fencing)
}
