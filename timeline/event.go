// Package timeline records the actions of a process as typed events in a
// ring buffer and merges the events of all processes into one sequence, ordered by
// hybrid logical clocks. Operators read the result, and the oracle checks the
// invariants on it.
package timeline

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Type is the type of an event.
type Type string

// The types of events.
const (
	RequestAccepted   Type = "request_accepted"
	RequestRefused    Type = "request_refused"
	RequestAnswered   Type = "request_answered"
	IntentCommitted   Type = "intent_committed"
	TaskPlaced        Type = "task_placed" // sent to the owner of a partition
	TaskQueued        Type = "task_queued"
	TaskReserved      Type = "task_reserved"
	TaskStartSent     Type = "task_start_sent"
	TaskStarted       Type = "task_started"
	TaskStartUnclear  Type = "task_start_unclear"
	TaskNotRun        Type = "task_not_run"
	TaskFinished      Type = "task_finished"
	TaskStopped       Type = "task_stopped"
	TaskCheckpointed  Type = "task_checkpointed"
	TaskUnknown       Type = "task_unknown"
	ReplyDropped      Type = "answer_dropped" // a reply that is late or out of order and matches no attempt
	OwnershipTaken    Type = "ownership_taken"
	OwnershipLost     Type = "ownership_lost"
	OwnershipReleased Type = "ownership_released"
	PromiseGiven      Type = "promise_given"
	AllowanceChanged  Type = "allowance_changed"
	LimitInForce      Type = "limit_in_force"
	KeyGranted        Type = "key_granted"
	KeyWithdrawn      Type = "key_withdrawn"
	KeyRefused        Type = "key_refused"
	ConfigInForce     Type = "config_in_force"
	WorkerLeaving     Type = "worker_leaving"
	WorkerLost        Type = "worker_lost"
	WorkerQuarantined Type = "worker_quarantined"
	StoreDown         Type = "store_down"
	StoreUp           Type = "store_up"
	DrainStarted      Type = "drain_started"
	ProcessStarted    Type = "process_started"
	ProcessStopped    Type = "process_stopped"
)

// Event is one entry of a timeline. Fields that do not apply are empty.
type Event struct {
	Instance    string          `json:"instance"`
	Incarnation string          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"` // per incarnation, from 1, without gaps
	Clock       Timestamp       `json:"clock"`
	Type        Type            `json:"type"`
	Team        task.Team       `json:"team,omitempty"`
	Task        task.ID         `json:"task,omitempty"`
	Attempt     uint32          `json:"attempt,omitempty"`
	Worker      string          `json:"worker,omitempty"`
	Partition   string          `json:"partition,omitempty"` // worker partition or request shard
	Epoch       uint64          `json:"epoch,omitempty"`
	Revision    int64           `json:"revision,omitempty"` // of the configuration
	KeyID       string          `json:"key_id,omitempty"`
	Kind        string          `json:"kind,omitempty"` // error kind, fate or kind of work
	Size        *task.Resources `json:"size,omitempty"`
	Detail      string          `json:"detail,omitempty"`
}

// Timestamp is a reading of a hybrid logical clock: a wall time that never decreases
// within one process, and a counter that orders events with the same wall time.
type Timestamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
}

// Before reports whether t is earlier than other.
func (t Timestamp) Before(other Timestamp) bool {
	if !t.Wall.Equal(other.Wall) {
		return t.Wall.Before(other.Wall)
	}
	return t.Logical < other.Logical
}

// Tick returns the timestamp that follows t at wall time now.
func (t Timestamp) Tick(now time.Time) Timestamp {
	if now.After(t.Wall) {
		return Timestamp{Wall: now}
	}
	return Timestamp{Wall: t.Wall, Logical: t.Logical + 1}
}

// Receive returns the timestamp that follows t when a message with the timestamp
// remote is received at wall time now.
func (t Timestamp) Receive(now time.Time, remote Timestamp) Timestamp {
	latest := t
	if latest.Before(remote) {
		latest = remote
	}
	return latest.Tick(now)
}
