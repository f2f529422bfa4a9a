package apidoc

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

var exampleTime = time.Date(2026, 5, 4, 9, 30, 0, 0, time.UTC)

// callerBackend returns the same job for every call.
type callerBackend struct{ outcome task.Outcome }

func newCallerBackend() callerBackend {
	result := []byte(`{"span_m":4.2}`)
	sum := sha256.Sum256(result)
	return callerBackend{task.Outcome{
		Attempt: task.Attempt{Task: "dijle-engineering/supports/s-17/0", Number: 1},
		State:   task.Finished, Worker: "worker-flanders-17", RunTime: 84 * time.Millisecond,
		Result: result, Digest: hex.EncodeToString(sum[:]),
	}}
}

func (b callerBackend) reply(state task.State, outcome *task.Outcome) caller.JobStatus {
	return caller.JobStatus{State: state, Tasks: []caller.TaskStatus{
		{ID: b.outcome.Attempt.Task, State: state, Attempt: 1, Outcome: outcome},
	}}
}

func (b callerBackend) Submit(_ context.Context, _ string, spec task.Spec, wait time.Duration) (caller.JobStatus, error) {
	if spec.Class == "unheard-of" {
		return caller.JobStatus{}, errkind.New(errkind.UnknownClass, `service dijle-engineering/supports has no class "unheard-of"`).
			WithField("class", "span-lookup, span-tables")
	}
	if spec.Class == "span-tables" {
		return caller.JobStatus{}, errkind.New(errkind.QueueFull, "the queue of team dijle-engineering is full").
			WithField("queue", "1000 waiting tasks").WithRetryAfter(1500 * time.Millisecond)
	}
	if wait > 0 {
		return b.reply(task.Finished, &b.outcome), nil
	}
	return b.reply(task.Accepted, nil), nil
}

func (b callerBackend) Status(context.Context, string, caller.JobID) (caller.JobStatus, error) {
	return b.reply(task.Running, nil), nil
}

func (b callerBackend) Wait(context.Context, string, caller.JobID, time.Duration) (caller.JobStatus, error) {
	return b.reply(task.Finished, &b.outcome), nil
}

func (b callerBackend) Cancel(context.Context, string, caller.JobID) (caller.JobStatus, error) {
	return b.reply(task.NotRun, &task.Outcome{
		Attempt: b.outcome.Attempt, State: task.NotRun, Reason: string(errkind.Cancelled)}), nil
}

func (b callerBackend) Result(context.Context, string, caller.JobID, int) (task.Outcome, error) {
	return b.outcome, nil
}

// operatorBackend returns fixed data for every call.
type operatorBackend struct{}

const (
	documentSource = `{"team":"dijle-engineering","service":"reports","classes":[{"name":"stress-report","kind":"at_most_once","size":{"slots":1},"max_run":"20m","command":"stress-report --issue"}]}`
	previousSource = `{"team":"dijle-engineering","service":"reports","classes":[{"name":"stress-report","kind":"at_most_once","size":{"slots":1},"max_run":"10m","command":"stress-report --issue"}]}`
)

func storedDocument(revision int64) operator.StoredDocument {
	return operator.StoredDocument{
		Ref:      operator.DocumentRef{Team: "dijle-engineering", Service: "reports"},
		Revision: revision,
		InForce:  true,
		Record:   document.Record{Source: documentSource, Previous: previousSource, ChangedBy: "els", ChangedAt: exampleTime},
	}
}

func (operatorBackend) Apply(_ context.Context, c operator.DocumentChange) (operator.StoredDocument, error) {
	if c.ExpectedRevision != 41 {
		return operator.StoredDocument{}, &operator.Conflict{Expected: c.ExpectedRevision, Current: storedDocument(42)}
	}
	return storedDocument(42), nil
}

func (operatorBackend) Get(context.Context, operator.DocumentRef) (operator.StoredDocument, error) {
	return storedDocument(42), nil
}
func (operatorBackend) List(context.Context) ([]operator.StoredDocument, error) {
	return []operator.StoredDocument{storedDocument(42)}, nil
}

var exampleKey = api.Key{ID: "k-7f3a", Team: "dijle-engineering", Role: "responsible-engineer", GrantedBy: "els", GrantedAt: exampleTime}

func (operatorBackend) GrantKey(context.Context, string, api.GrantRequest) (api.GrantedKey, error) {
	return api.GrantedKey{Key: exampleKey, Secret: "EXAMPLE-SECRET"}, nil
}

func (operatorBackend) WithdrawKey(context.Context, string, task.Team, string) (api.Key, error) {
	withdrawn := exampleKey
	withdrawn.WithdrawnBy, withdrawn.WithdrawnAt = "els", exampleTime.Add(time.Hour)
	return withdrawn, nil
}

func (operatorBackend) Keys(context.Context, task.Team) ([]api.Key, error) {
	return []api.Key{exampleKey}, nil
}

func (operatorBackend) Drain(_ context.Context, _ string, r api.DrainRequest) (api.DrainStatus, error) {
	return api.DrainStatus{Name: r.Worker, Draining: true, Tasks: 3, Detail: "tasks run to their end"}, nil
}

func (operatorBackend) ForceOwnership(_ context.Context, _ string, r api.ForceOwnershipRequest) (api.Ownership, error) {
	return api.Ownership{Unit: r.Unit, Owner: "entry-flanders-2", Epoch: 7, Revision: 88, TakeoverDelay: api.Duration(24 * time.Second)}, nil
}

var workerCapacity = task.Resources{CPUMilli: 32000, MemoryMB: 131072, Slots: 8, Connections: 64}

func (operatorBackend) Workers(context.Context) ([]api.Worker, error) {
	return []api.Worker{{
		Name: "worker-flanders-17", Region: "flanders", FailureDomain: "leuven-a", Rack: "r3", Partition: "w/flanders/2",
		Owner: "entry-flanders-1", State: "ready", Capacity: workerCapacity, Reserved: task.Resources{CPUMilli: 8000, MemoryMB: 24576, Slots: 1},
		Tasks: 1, ReportAge: api.Duration(400 * time.Millisecond),
	}}, nil
}

func (operatorBackend) Shares(context.Context) ([]api.Share, error) {
	return []api.Share{{Team: "dijle-engineering", Weight: 3, Entitled: 0.6, Current: 0.55, Decayed: 0.58,
		Running: task.Resources{CPUMilli: 880000, Slots: 110}, Limit: task.Resources{CPUMilli: 960000, Slots: 240}, Waiting: 12}}, nil
}

func (operatorBackend) Members(context.Context) ([]api.Member, error) {
	return []api.Member{{Instance: "entry-flanders-1", Incarnation: "3f9c", Address: "10.1.0.1:7072", Region: "flanders",
		FailureDomain: "leuven-a", Revision: 42, Units: []string{"w/flanders/2", "h/9"}}}, nil
}

func (operatorBackend) Timeline(_ context.Context, f operator.TimelineFilter) (api.Timeline, error) {
	return api.Timeline{Events: []timeline.Event{{Instance: "entry-flanders-1", Incarnation: "3f9c", Sequence: 118,
		Clock: timeline.Timestamp{Wall: exampleTime}, Type: timeline.TaskStarted, Team: "dijle-engineering", Task: f.Task, Attempt: 1,
		Worker: "worker-flanders-17", Partition: "w/flanders/2", Epoch: 6}}}, nil
}

func (operatorBackend) Healthy(context.Context) error { return nil }
func (operatorBackend) Ready(context.Context) error {
	return errkind.New(errkind.Draining, "this instance is leaving").WithRetryAfter(time.Second)
}
