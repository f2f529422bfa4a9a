package worker

import (
	"context"
	"io"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Address is the host:port at which a worker serves its protocol.
type Address string

// API is the worker protocol from the side of the owner of a worker. Client
// implements it over HTTP; tests use an implementation without a network.
//
// Errors of every call wrap ErrNotRun (the call had no effect) or
// ErrUnclear (it may have had one).
type API interface {
	// Sync renews leases, acknowledges finished tasks and fetches a report.
	Sync(context.Context, Address, SyncRequest) (SyncReply, error)
	// Start starts a task. check is called immediately before bytes of the
	// request are written, on any goroutine; if it returns an error, they are
	// not written.
	Start(ctx context.Context, to Address, req StartRequest, check func() error) (StartReply, error)
	// Lookup returns the state of one attempt on the worker.
	Lookup(context.Context, Address, task.Attempt) (LookupReply, error)
	// Result writes the result of a finished attempt to dst.
	Result(ctx context.Context, from Address, req ResultRequest, dst io.Writer) error
	// Stop ends an attempt, or prevents its start if it has not arrived yet.
	Stop(context.Context, Address, StopRequest) (LookupReply, error)
	// Checkpoint makes an attempt save its state and end.
	Checkpoint(context.Context, Address, CheckpointRequest) (LookupReply, error)
	// Throttle limits the resources of a running attempt from now on.
	Throttle(context.Context, Address, ThrottleRequest) (LookupReply, error)
}

// TaskState is the state of an attempt on its worker.
type TaskState string

// The states of an attempt on its worker.
const (
	Running      TaskState = "running"
	Finished     TaskState = "finished"     // ended by itself, successfully or not
	Stopped      TaskState = "stopped"      // ended by a stop or by the end of its lease
	Checkpointed TaskState = "checkpointed" // saved its state and ended
)

// Reason says why a worker rejected a request.
type Reason string

// The reasons of a rejection.
const (
	ReasonInvalid   Reason = "invalid"       // the request is incomplete or malformed
	ReasonLate      Reason = "past_start_by" // arrived after start_by, or its lease has ended
	ReasonBoot      Reason = "other_boot"    // clock readings in it are of another boot
	ReasonEpoch     Reason = "lower_epoch"   // a higher epoch has been seen
	ReasonCapacity  Reason = "over_capacity" // it does not fit into the capacity left by the running tasks
	ReasonCancelled Reason = "cancelled"     // a stop of this attempt arrived first
	ReasonState     Reason = "not_available" // the attempt is unknown or has no result
)

// SyncRequest renews the leases of all running tasks, acknowledges finished
// ones and asks for a report. LeaseUntil is a reading of the worker's clock in
// the boot BootID; it is ignored by a worker in any other boot.
type SyncRequest struct {
	Owner       string         `json:"owner"`
	Epoch       uint64         `json:"epoch"`
	BootID      string         `json:"boot_id,omitempty"`
	LeaseUntil  time.Duration  `json:"lease_until_ns,omitempty"`
	Acknowledge []task.Attempt `json:"acknowledge,omitempty"`
	After       uint64         `json:"after,omitempty"` // sequence of the last report received
	Full        bool           `json:"full,omitempty"`
}

// SyncReply is a report. Unless Full is set, Tasks holds only the attempts that
// changed after the sequence number of the request.
type SyncReply struct {
	Worker   string         `json:"worker"`
	BootID   string         `json:"boot_id"`
	Clock    time.Duration  `json:"clock_ns"`
	Sequence uint64         `json:"sequence"`
	Full     bool           `json:"full,omitempty"`
	Capacity task.Resources `json:"capacity"`
	Leaving  bool           `json:"leaving,omitempty"`
	Tasks    []TaskReport   `json:"tasks,omitempty"`
}

// TaskReport describes one attempt on its worker.
type TaskReport struct {
	Attempt     task.Attempt   `json:"attempt"`
	Team        task.Team      `json:"team"`
	Class       string         `json:"class,omitempty"`
	Size        task.Resources `json:"size"`
	Usage       task.Resources `json:"usage,omitzero"` // measured usage, sampled before the report
	State       TaskState      `json:"state"`
	Home        string         `json:"home,omitempty"`
	LeaseUntil  time.Duration  `json:"lease_until_ns,omitempty"`
	Outcome     *task.Outcome  `json:"outcome,omitempty"` // without Result; nil while running
	ResultBytes int64          `json:"result_bytes,omitempty"`
}

// StartRequest starts one attempt. StartBy and LeaseUntil are readings of the
// worker's clock in the boot BootID. Without the boot, a request delayed across
// a reboot would be valid again, because the clock restarts at zero.
type StartRequest struct {
	Attempt    task.Attempt   `json:"attempt"`
	Team       task.Team      `json:"team"`
	Class      string         `json:"class,omitempty"`
	Home       string         `json:"home,omitempty"`
	Owner      string         `json:"owner"`
	Epoch      uint64         `json:"epoch"`
	BootID     string         `json:"boot_id"`
	StartBy    time.Duration  `json:"start_by_ns"`
	LeaseUntil time.Duration  `json:"lease_until_ns"`
	Wait       time.Duration  `json:"wait_ns,omitempty"` // how long the reply may wait for the outcome
	Size       task.Resources `json:"size"`
	Command    string         `json:"command"`
	LongLived  bool           `json:"long_lived,omitempty"`

	Payload      []byte `json:"-"`                       // follows the JSON as raw bytes
	PayloadBytes int64  `json:"payload_bytes,omitempty"` // set by EncodeStart
}

// InlineResultBytes is the largest result that a start reply carries. Larger
// ones are fetched with Result, so that replies need no large buffers.
const InlineResultBytes = 256 << 10

// StartReply says that the attempt was started. Outcome is set if it ended
// within Wait; its Result is left out above InlineResultBytes.
type StartReply struct {
	Started     bool          `json:"started"`
	Clock       time.Duration `json:"clock_ns"`
	BootID      string        `json:"boot_id"`
	Outcome     *task.Outcome `json:"outcome,omitempty"`
	ResultBytes int64         `json:"result_bytes,omitempty"`
}

// LookupReply is the state of one attempt on a worker. A reply with Known unset
// proves that the attempt did not run and will not run, if BootID is the boot
// of its start request and Clock is past its StartBy.
type LookupReply struct {
	Known  bool          `json:"known"`
	Clock  time.Duration `json:"clock_ns"`
	BootID string        `json:"boot_id"`
	Report TaskReport    `json:"report,omitzero"`
}

// ResultRequest identifies a result and holds the length and digest from the
// report. If Digest is empty, the result is checked only against the length and
// digest in the headers of the worker's reply.
type ResultRequest struct {
	Attempt task.Attempt
	Bytes   int64
	Digest  string
}

// StopRequest ends an attempt. If the attempt is unknown, its start is rejected
// until StartBy, so that a stop may overtake the start.
type StopRequest struct {
	Attempt task.Attempt  `json:"-"`
	Owner   string        `json:"owner"`
	Epoch   uint64        `json:"epoch"`
	BootID  string        `json:"boot_id,omitempty"`
	StartBy time.Duration `json:"start_by_ns,omitempty"`
}

// CheckpointRequest makes an attempt save its state and end.
type CheckpointRequest struct {
	Attempt task.Attempt `json:"-"`
	Owner   string       `json:"owner"`
	Epoch   uint64       `json:"epoch"`
}

// ThrottleRequest limits the resources of a running attempt; zero amounts are not
// limited.
type ThrottleRequest struct {
	Attempt task.Attempt   `json:"-"`
	Owner   string         `json:"owner"`
	Epoch   uint64         `json:"epoch"`
	Limit   task.Resources `json:"limit"`
}
