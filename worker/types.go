package worker

import (
	"context"
	"io"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Address is the host:port at which a worker serves its protocol.
type Address string

// API is the client side of the worker protocol, which the owner of a worker
// uses. Client implements it over HTTP; tests use an implementation without a
// network.
//
// Errors of every call wrap ErrNotRun (the call had no effect) or
// ErrUnclear (it may have had one).
type API interface {
	// Sync renews leases, acknowledges finished tasks and fetches a report.
	Sync(context.Context, Address, SyncRequest) (SyncReply, error)
	// Start starts a task. check is called immediately before bytes of the
	// request are written, on any goroutine; if it returns an error, they are
	// not written.
	Start(ctx context.Context, address Address, req StartRequest, check func() error) (StartReply, error)
	// Lookup returns the state of one attempt on the worker.
	Lookup(context.Context, Address, task.Attempt) (LookupReply, error)
	// Result writes the result of a finished attempt to dst.
	Result(ctx context.Context, address Address, req ResultRequest, dst io.Writer) error
	// Stop ends an attempt, or prevents its start if the start request has not
	// arrived yet.
	Stop(context.Context, Address, StopRequest) (LookupReply, error)
	// Checkpoint makes an attempt save its state and end.
	Checkpoint(context.Context, Address, CheckpointRequest) (LookupReply, error)
	// Throttle limits the resources of a running attempt.
	Throttle(context.Context, Address, ThrottleRequest) (LookupReply, error)
}

// TaskState is the state of an attempt on its worker.
type TaskState string

// The states of an attempt on its worker.
const (
	Running      TaskState = "running"
	Finished     TaskState = "finished"     // exited on its own, successfully or not
	Stopped      TaskState = "stopped"      // ended by a stop request or because its lease expired
	Checkpointed TaskState = "checkpointed" // saved its state and ended
)

// Reason is the reason why a worker rejected a request.
type Reason string

// The reasons of a rejection.
const (
	ReasonInvalid      Reason = "invalid"       // the request is incomplete or malformed
	ReasonPastStartBy  Reason = "past_start_by" // arrived after start_by, or its lease has expired
	ReasonOtherBoot    Reason = "other_boot"    // its clock readings are from another boot
	ReasonLowerEpoch   Reason = "lower_epoch"   // the worker has received a higher epoch
	ReasonOverCapacity Reason = "over_capacity" // the task exceeds the free capacity
	ReasonCancelled    Reason = "cancelled"     // a stop request for this attempt arrived first
	ReasonNotAvailable Reason = "not_available" // the attempt is unknown or has no result
)

// SyncRequest renews the leases of all running tasks, acknowledges finished
// ones and requests a report. LeaseUntil is a reading of the worker's clock in
// the boot BootID; a worker in any other boot ignores it.
type SyncRequest struct {
	Owner         string         `json:"owner"`
	Epoch         uint64         `json:"epoch"`
	BootID        string         `json:"boot_id,omitempty"`
	LeaseUntil    time.Duration  `json:"lease_until_ns,omitempty"`
	Acknowledge   []task.Attempt `json:"acknowledge,omitempty"`
	AfterSequence uint64         `json:"after,omitempty"` // sequence of the last report received
	Full          bool           `json:"full,omitempty"`
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
	Attempt      task.Attempt   `json:"attempt"`
	Team         task.Team      `json:"team"`
	Class        string         `json:"class,omitempty"`
	Size         task.Resources `json:"size"`
	Usage        task.Resources `json:"usage,omitzero"` // measured usage, sampled before the report
	State        TaskState      `json:"state"`
	HomeInstance string         `json:"home,omitempty"` // as in the start request
	LeaseUntil   time.Duration  `json:"lease_until_ns,omitempty"`
	Outcome      *task.Outcome  `json:"outcome,omitempty"` // without Result; nil while running
	ResultBytes  int64          `json:"result_bytes,omitempty"`
}

// StartRequest starts one attempt. StartBy and LeaseUntil are readings of the
// worker's clock in the boot BootID. Without BootID, a request delayed across a
// reboot would be valid again, because the clock restarts at zero.
type StartRequest struct {
	Attempt      task.Attempt   `json:"attempt"`
	Team         task.Team      `json:"team"`
	Class        string         `json:"class,omitempty"`
	HomeInstance string         `json:"home,omitempty"` // entry instance that records the state of the task
	Owner        string         `json:"owner"`
	Epoch        uint64         `json:"epoch"`
	BootID       string         `json:"boot_id"`
	StartBy      time.Duration  `json:"start_by_ns"`
	LeaseUntil   time.Duration  `json:"lease_until_ns"`
	OutcomeWait  time.Duration  `json:"wait_ns,omitempty"` // how long the worker may delay the reply to include the outcome
	Size         task.Resources `json:"size"`
	Command      string         `json:"command"`
	LongLived    bool           `json:"long_lived,omitempty"`

	Payload      []byte `json:"-"`                       // follows the JSON as raw bytes
	PayloadBytes int64  `json:"payload_bytes,omitempty"` // set by EncodeStart
}

// MaxInlineResultBytes is the maximum size of a result in a start reply. Larger
// results are fetched with Result, so that replies need no large buffers.
const MaxInlineResultBytes = 256 << 10

// StartReply confirms that the attempt was started. Outcome is set if the attempt
// ended within OutcomeWait of the request; a Result larger than MaxInlineResultBytes
// is omitted.
type StartReply struct {
	Started     bool          `json:"started"`
	Clock       time.Duration `json:"clock_ns"`
	BootID      string        `json:"boot_id"`
	Outcome     *task.Outcome `json:"outcome,omitempty"`
	ResultBytes int64         `json:"result_bytes,omitempty"`
}

// LookupReply is the state of one attempt on a worker. If Found is false, the reply
// proves that the attempt did not run and will not run, if BootID is the boot
// of its start request and Clock is past its StartBy.
type LookupReply struct {
	Found  bool          `json:"known"`
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
// until StartBy, so that a stop takes effect even if it arrives before the start.
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

// ThrottleRequest limits the resources of a running attempt; a resource with a zero
// limit is not limited.
type ThrottleRequest struct {
	Attempt task.Attempt   `json:"-"`
	Owner   string         `json:"owner"`
	Epoch   uint64         `json:"epoch"`
	Limit   task.Resources `json:"limit"`
}
