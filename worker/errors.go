package worker

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Classes of errors. Every error of an API call wraps exactly one of the first
// two. ErrTooLarge and ErrIncomplete additionally give the reason why a result was
// not delivered.
var (
	// ErrNotRun means that the call had no effect on the worker.
	ErrNotRun = errors.New("not run")
	// ErrUnclear means that the call may have had an effect.
	ErrUnclear = errors.New("outcome unclear")
	// ErrTooLarge means that a reply is larger than the limit.
	ErrTooLarge = errors.New("reply too large")
	// ErrIncomplete means that the length or digest of a result differs from
	// the reported one, or that the result belongs to another attempt.
	ErrIncomplete = errors.New("result incomplete")
)

// Rejection is the reply of a worker that refused a request and did not execute
// it. It is both an error and the body of the reply.
type Rejection struct {
	Reason  Reason        `json:"reason"`
	Message string        `json:"message"`
	Clock   time.Duration `json:"clock_ns"`
	BootID  string        `json:"boot_id"`
}

// Error returns the reason and the message.
func (r *Rejection) Error() string {
	return fmt.Sprintf("rejected by the worker: %s: %s", r.Reason, r.Message)
}

// Is makes every rejection match ErrNotRun.
func (r *Rejection) Is(target error) bool { return target == ErrNotRun }

// IsRejected reports whether err wraps a rejection for the given reason.
func IsRejected(err error, reason Reason) bool {
	var r *Rejection
	return errors.As(err, &r) && r.Reason == reason
}

// WrapNotRun wraps err as an ErrNotRun of the given operation.
func WrapNotRun(operation string, err error) error {
	return eris.Wrap(fmt.Errorf("%w: %w", ErrNotRun, err), operation)
}

// WrapUnclear wraps err as an ErrUnclear of the given operation.
func WrapUnclear(operation string, err error) error {
	return eris.Wrap(fmt.Errorf("%w: %w", ErrUnclear, err), operation)
}
