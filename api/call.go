package api

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Headers that the servers and the client use. Content-Digest is defined in RFC 9530.
const (
	HeaderDigest  = "Content-Digest"
	HeaderTimeout = "Mulberrydrum-Timeout" // remaining duration of the call
	HeaderError   = "Mulberrydrum-Error"   // error kind; present on every error response
	HeaderTask    = "Mulberrydrum-Task"    // task and attempt of a result, "<task>#<attempt>"
)

// SubmitRequest is the body of a submission.
type SubmitRequest struct {
	IdempotencyKey string          `json:"idempotency_key"`
	Class          string          `json:"class"`
	Size           *task.Resources `json:"size,omitempty"`  // of each task; the size of the class when absent
	Count          int             `json:"count,omitempty"` // tasks in the job; 1 when absent
	DeclaredRun    Duration        `json:"declared_run,omitempty"`
	Deadline       time.Time       `json:"deadline,omitzero"`  // latest start or response
	ReviewBy       time.Time       `json:"review_by,omitzero"` // latest finish
	Regions        []string        `json:"regions,omitempty"`  // nearest first; those of the document when absent
	Payload        []byte          `json:"payload,omitempty"`  // base64 in JSON
}

// Job is the response to submit, status, wait and cancel.
type Job struct {
	ID       string     `json:"id"` // <team>/<service>/<idempotency key>
	State    task.State `json:"state"`
	Repeated bool       `json:"repeated,omitempty"` // repeats an earlier submission with the same key and body
	Tasks    []Task     `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	Index       int        `json:"index"`
	ID          task.ID    `json:"id"`
	State       task.State `json:"state"`
	Attempt     uint32     `json:"attempt,omitempty"`
	ExitCode    int        `json:"exit_code"`
	Reason      string     `json:"reason,omitempty"` // error kind if the task did not succeed
	Worker      string     `json:"worker,omitempty"`
	RunTime     Duration   `json:"run_time,omitempty"`
	ResultBytes int        `json:"result_bytes,omitempty"`
	Result      []byte     `json:"result,omitempty"` // base64 in JSON; only from submit and wait of a job of one task
	Digest      string     `json:"digest,omitempty"` // SHA-256 of the result, in hex
}
