package task

import (
	"fmt"
	"time"
)

// Team is the name of a customer of the cluster.
type Team string

// Service is the name of a service of a team.
type Service string

// ID identifies one task across the whole fleet. It is derived from team, service,
// idempotency key and index in the job, so that a repeated submission has the same ID.
type ID string

// Attempt identifies one attempt to run a task. Numbers start at 1 and are never reused
// for the same task.
type Attempt struct {
	Task   ID     `json:"task"`
	Number uint32 `json:"attempt"`
}

// String returns the task and the attempt number.
func (a Attempt) String() string { return fmt.Sprintf("%s#%d", a.Task, a.Number) }

// Kind determines how work is stored and whether it may be retried.
type Kind string

// The kinds of work.
const (
	Answer     Kind = "answer"       // the caller waits for the result; kept in memory only
	Durable    Kind = "durable"      // never lost; may be retried after a failure
	AtMostOnce Kind = "at_most_once" // never lost and never retried
	Batch      Kind = "batch"        // long-running, never lost, may be retried
	Gang       Kind = "gang"         // batch with gang scheduling: tasks start together or not at all
	LongLived  Kind = "service"      // runs until cancelled, restarted after a failure
)

// Kinds lists every kind, in the order of documents and help texts.
var Kinds = []Kind{Answer, Durable, AtMostOnce, Batch, Gang, LongLived}

// IsDurable reports whether work of this kind is recorded in the store before
// it is accepted.
func (k Kind) IsDurable() bool { return k != Answer }

// MayRetry reports whether a task of this kind may be retried after an attempt whose
// outcome is unknown.
func (k Kind) MayRetry() bool { return k != AtMostOnce }

// Urgency orders the work of one team.
type Urgency string

// The urgencies, most urgent first.
const (
	Urgent     Urgency = "urgent"
	Normal     Urgency = "normal"
	Background Urgency = "background"
)

// Urgencies lists every urgency, most urgent first.
var Urgencies = []Urgency{Urgent, Normal, Background}

// Spec describes a job: the caller's submission, completed with values from its document.
type Spec struct {
	Team           Team          `json:"team"`
	Service        Service       `json:"service"`
	Class          string        `json:"class"`
	IdempotencyKey string        `json:"idempotency_key"`
	Kind           Kind          `json:"kind"`
	Urgency        Urgency       `json:"urgency"`
	Size           Resources     `json:"size"`           // of each task
	Count          int           `json:"count"`          // tasks in the job, at least 1
	DeclaredRun    time.Duration `json:"declared_run"`   // run time that the caller expects
	Deadline       time.Time     `json:"deadline"`       // latest start or response; zero for none
	ReviewBy       time.Time     `json:"review_by"`      // latest finish; zero for none
	Regions        []string      `json:"regions"`        // allowed regions, nearest first; empty for all
	Command        string        `json:"command"`        // what the worker runs
	Payload        []byte        `json:"payload"`        // input of the command
	KeyID          string        `json:"key_id"`         // API key that authorized the submission; empty on open queues
	SubmittedAt    time.Time     `json:"submitted_at"`   // wall clock of the accepting instance
	PayloadDigest  string        `json:"payload_digest"` // SHA-256 of the caller's request, in hex
}

// State is the state of a task as recorded by the home of its job, the instance that owns
// the job's request shard.
type State string

// The states of a task.
const (
	Accepted   State = "accepted"   // recorded, not yet sent to an owner
	Dispatched State = "dispatched" // sent to an owner; may be queued or running there
	Running    State = "running"    // started on a worker
	Finished   State = "finished"   // outcome is recorded
	NotRun     State = "not_run"    // proven not to have run, and will not run
	Unknown    State = "unknown"    // may have run; will not be retried
)

// IsFinal reports whether s is a terminal state.
func (s State) IsFinal() bool { return s == Finished || s == NotRun || s == Unknown }

// Outcome describes how one attempt ended.
type Outcome struct {
	Attempt  Attempt       `json:"attempt"`
	State    State         `json:"state"` // Finished, NotRun or Unknown
	ExitCode int           `json:"exit_code"`
	Reason   string        `json:"reason,omitempty"` // error kind if the task did not succeed
	Worker   string        `json:"worker,omitempty"`
	RunTime  time.Duration `json:"run_time"`
	Result   []byte        `json:"result,omitempty"`
	Digest   string        `json:"digest,omitempty"` // SHA-256 of Result, in hex
}

// Succeeded reports whether the attempt finished with exit code 0 and no error.
func (o Outcome) Succeeded() bool { return o.State == Finished && o.ExitCode == 0 && o.Reason == "" }
