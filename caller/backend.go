package caller

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// JobID identifies a job in the whole fleet.
type JobID struct {
	Team    task.Team
	Service task.Service
	Key     string // idempotency key
}

// String returns <team>/<service>/<idempotency key>.
func (id JobID) String() string { return fmt.Sprintf("%s/%s/%s", id.Team, id.Service, id.Key) }

// ParseJobID reads what String returns.
func ParseJobID(s string) (JobID, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return JobID{}, false
	}
	return JobID{Team: task.Team(parts[0]), Service: task.Service(parts[1]), Key: parts[2]}, true
}

// Reply is the state of a job.
type Reply struct {
	State    task.State // of the whole job
	Repeated bool       // an earlier submission with the same key and body was found
	Tasks    []TaskState
}

// TaskState is the state of one task of a job. Outcome is nil until the task
// has one; Outcome.Result may be left out of Status.
type TaskState struct {
	Index   int
	ID      task.ID
	State   task.State
	Attempt uint32
	Outcome *task.Outcome
}

// Backend decides about the calls. Its errors are *errkind.Error values; any
// other error is answered as one whose outcome is unknown. Each call honours
// the deadline of its context. A wait that ends before the job does is not an
// error: the reply has the state that the job has by then.
type Backend interface {
	// Submit accepts the job that spec describes under the key with this
	// secret, and waits up to wait for its end. Fields that the document
	// decides (Kind, Urgency, Command, KeyID) are empty in spec. Deadline is that
	// of the body; work of kind answer without one is to be answered by the
	// deadline of the context.
	Submit(ctx context.Context, secret string, spec task.Spec, wait time.Duration) (Reply, error)
	// Status returns the state of a job.
	Status(ctx context.Context, secret string, id JobID) (Reply, error)
	// Wait returns the state of a job when it is final or wait has passed.
	Wait(ctx context.Context, secret string, id JobID, wait time.Duration) (Reply, error)
	// Cancel asks for the end of a job and returns its state after that.
	Cancel(ctx context.Context, secret string, id JobID) (Reply, error)
	// Result returns the outcome of one task with its result.
	Result(ctx context.Context, secret string, id JobID, index int) (task.Outcome, error)
}
