package errkind

import (
	"fmt"
	"slices"
	"strings"
)

// meanings says in words when each kind is answered.
var meanings = map[Kind]string{
	InvalidRequest:      "a field is missing, unknown, stands twice or has a value that is not allowed",
	RequestTooLarge:     "the body is larger than `max_request_bytes`",
	RequestTimeout:      "the body was sent too slowly",
	KeyMissing:          "the call needs a key and has none",
	KeyRefused:          "the key is not one that may do this",
	KeyWithdrawn:        "the key was withdrawn; queued work that was accepted under it is not run",
	KeyStale:            "this instance cannot confirm now that the key is still valid",
	UnknownTeam:         "there is no document of this team",
	UnknownService:      "there is no document of this service",
	UnknownClass:        "the service has no such class",
	UnknownTask:         "no job has this ID, or its record has expired",
	NeverFits:           "no worker is large enough, however long the task waits",
	OverLimit:           "the upper limit of the team is reached",
	QueueFull:           "the queue of the team is full, or the task would wait beyond its deadline",
	DeadlineExceeded:    "the deadline passed before the work started",
	IdempotencyConflict: "the idempotency key was used for other work",
	RevisionConflict:    "another change came first",
	StoreUnavailable:    "the platform's store cannot be reached, and the call needs it",
	NoOwner:             "no entry instance owns the partition or shard at the moment",
	Draining:            "this instance is leaving",
	Cancelled:           "the job was cancelled before it ran",
	TaskFailed:          "the task ran and failed",
	WorkerLost:          "the worker was lost while it may have run the task",
	ResultTooLarge:      "the result is larger than `max_result_bytes`",
	ResultIncomplete:    "the result does not have its stated length or digest",
	OutcomeUnknown:      "no answer came in time; the work may have run",
	NotAllowed:          "the path does not take this method",
	UnknownPath:         "no call has this path",
	Unreachable:         "the client reached no entry instance; made by the client",
	Internal:            "a fault of the entry instance",
}

// Reference returns the error table of docs/api.md.
func Reference() string {
	kinds := Kinds()
	slices.Sort(kinds)
	var b strings.Builder
	b.WriteString("| kind | HTTP status | exit code | advice | work | when |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range kinds {
		a := AnswerFor(k)
		fmt.Fprintf(&b, "| `%s` | %d | %d | %s | %s | %s |\n", k, a.Status, a.ExitCode, a.Advice, a.Fate, meanings[k])
	}
	return b.String()
}
