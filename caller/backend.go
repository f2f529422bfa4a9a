package caller

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// JobID identifies a job across the whole deployment.
type JobID struct {
	Team    task.Team
	Service task.Service
	Key     string // idempotency key
}

// String returns <team>/<service>/<idempotency key>.
func (id JobID) String() string { return fmt.Sprintf("%s/%s/%s", id.Team, id.Service, id.Key) }

// ParseJobID parses the form that String returns.
func ParseJobID(s string) (JobID, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return JobID{}, false
	}
	return JobID{Team: task.Team(parts[0]), Service: task.Service(parts[1]), Key: parts[2]}, true
}

// JobStatus is the state of a job and of its tasks.
type JobStatus struct {
	State    task.State // of the whole job
	Repeated bool       // repeats an earlier submission with the same key and body
	Tasks    []TaskStatus
}

// TaskStatus is the state of one task of a job. Outcome is nil until the task has
// an outcome; Backend.Status may omit Outcome.Result.
type TaskStatus struct {
	Index   int
	ID      task.ID
	State   task.State
	Attempt uint32
	Outcome *task.Outcome
}

// Backend executes the calls. Its errors are *errkind.Error values; any other
// error is reported to the caller with an unknown outcome. Each call honours the
// deadline of its context. A wait that expires before the job ends is not an
// error: the returned status is that at the end of the wait.
type Backend interface {
	// Submit accepts the job that spec describes, authorized by the API key
	// with this secret, and waits up to wait for it to finish. The fields of
	// spec that are set from the document (Kind, Urgency, Command) or the API
	// key (KeyID) are empty. spec.Deadline is the deadline in the request body;
	// without one, the deadline of the context applies to work of kind answer.
	Submit(ctx context.Context, secret string, spec task.Spec, wait time.Duration) (JobStatus, error)
	// Status returns the state of a job.
	Status(ctx context.Context, secret string, id JobID) (JobStatus, error)
	// Wait returns the state of a job when it is final or wait has passed.
	Wait(ctx context.Context, secret string, id JobID, wait time.Duration) (JobStatus, error)
	// Cancel requests the cancellation of a job and returns its state after that.
	Cancel(ctx context.Context, secret string, id JobID) (JobStatus, error)
	// Result returns the outcome of one task with its result.
	Result(ctx context.Context, secret string, id JobID, index int) (task.Outcome, error)
}
