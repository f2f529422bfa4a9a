package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// callerBackend implements caller.Backend: it authorizes requests with the latest snapshot and
// forwards them to the home of the job, the instance that owns the job's request shard.
type callerBackend struct{ *engine }

const (
	// homeRetryDelay is the delay before a request to the home is retried, for example during a
	// change of ownership.
	homeRetryDelay = 100 * time.Millisecond
	// maxHomeAttempts bounds the attempts, so that a permanent fault is reported to the caller
	// without a long delay. All attempts together last longer than a planned handover during which
	// the watch of one instance is silent, which is detected after 3 s.
	maxHomeAttempts = 50
	// homeCallMargin is added to the caller's wait to obtain the timeout of a call to the home.
	homeCallMargin = 2 * time.Second
)

// Submit admits a job and sends it to its home.
func (b *callerBackend) Submit(ctx context.Context, secret string, spec task.Spec, wait time.Duration) (caller.JobStatus, error) {
	kind, status, err := b.submit(ctx, secret, spec, wait)
	b.meters.countRequest(kind, err)
	return status, err
}

// submit admits a job, sends it to its home and returns its status and the kind of its work, which
// the document of the service defines.
func (b *callerBackend) submit(ctx context.Context, secret string, spec task.Spec, wait time.Duration) (task.Kind, caller.JobStatus, error) {
	admitted, refusal := b.loop.Snapshot().Admit(time.Now(), secret, spec)
	if refusal != nil {
		return "", caller.JobStatus{}, refusal
	}
	if err := b.checkPayload(&admitted); err != nil {
		return admitted.Kind, caller.JobStatus{}, err
	}
	if admitted.Kind == task.Answer {
		wait = b.answerWait(&admitted, wait)
	}
	admitted.PayloadDigest = requestDigest(&admitted)
	record, err := b.callHomeWithRetry(ctx, ledger.KeyOf(&admitted), control.SubmitRequest{Spec: admitted, Wait: wait}, wait)
	if err != nil {
		return admitted.Kind, caller.JobStatus{}, err
	}
	if err := answerError(record); err != nil {
		return admitted.Kind, caller.JobStatus{}, err
	}
	status := toJobStatus(record)
	// The record has the specification of the first submission.
	status.Repeated = !record.Spec.SubmittedAt.Equal(admitted.SubmittedAt)
	return admitted.Kind, status, nil
}

// checkPayload rejects a durable payload that is too large for the record of a request shard.
func (b *callerBackend) checkPayload(spec *task.Spec) error {
	if n := int64(len(spec.Payload)); spec.Kind.IsDurable() && n > b.cfg.MaxDurablePayloadBytes {
		return errkind.New(errkind.RequestTooLarge, "the payload of %s work has %d bytes", spec.Kind, n).
			WithField("payload", fmt.Sprintf("at most %d bytes", b.cfg.MaxDurablePayloadBytes))
	}
	return nil
}

// answerWait sets the deadline of work of kind answer if it has none, and returns how long its
// caller waits: until the deadline, plus twice the grace period.
func (b *callerBackend) answerWait(spec *task.Spec, wait time.Duration) time.Duration {
	if spec.Deadline.IsZero() {
		spec.Deadline = spec.SubmittedAt.Add(max(wait, b.cfg.AnswerTimeout))
	}
	return time.Until(spec.Deadline) + 2*b.cfg.Control.AnswerGrace
}

// requestDigest returns a digest that detects different requests with the same idempotency key. It
// leaves out the fields that change when a caller retries, such as the deadline.
func requestDigest(spec *task.Spec) string {
	body, err := json.Marshal(struct {
		Class    string
		Size     task.Resources
		Count    int
		Declared time.Duration
		ReviewBy time.Time
		Payload  []byte
	}{spec.Class, spec.Size, spec.Count, spec.DeclaredRun, spec.ReviewBy, spec.Payload})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Status returns the state of a job.
func (b *callerBackend) Status(ctx context.Context, secret string, id caller.JobID) (caller.JobStatus, error) {
	return b.query(ctx, secret, id, control.QueryStatus, 0)
}

// Wait returns the state of a job once that is final or wait has elapsed.
func (b *callerBackend) Wait(ctx context.Context, secret string, id caller.JobID, wait time.Duration) (caller.JobStatus, error) {
	return b.query(ctx, secret, id, control.QueryWait, wait)
}

// Cancel cancels a job.
func (b *callerBackend) Cancel(ctx context.Context, secret string, id caller.JobID) (caller.JobStatus, error) {
	return b.query(ctx, secret, id, control.QueryCancel, 0)
}

// Result returns the outcome of one task, which includes its result.
func (b *callerBackend) Result(ctx context.Context, secret string, id caller.JobID, index int) (task.Outcome, error) {
	status, err := b.query(ctx, secret, id, control.QueryStatus, 0)
	if err != nil {
		return task.Outcome{}, err
	}
	if index < 0 || index >= len(status.Tasks) {
		return task.Outcome{}, errkind.New(errkind.UnknownTask, "job %s has no task %d", id, index)
	}
	t := status.Tasks[index]
	if t.Outcome == nil {
		return task.Outcome{}, errkind.New(errkind.ResultIncomplete, "task %s is %s", t.ID, t.State).WithFate(errkind.FateUnknown)
	}
	return *t.Outcome, nil
}

func (b *callerBackend) query(ctx context.Context, secret string, id caller.JobID, op control.QueryOp, wait time.Duration) (caller.JobStatus, error) {
	if _, _, refusal := b.loop.Snapshot().Authorize(time.Now(), id.Team, id.Service, secret); refusal != nil {
		return caller.JobStatus{}, refusal
	}
	job := ledger.JobKey{Team: id.Team, Service: id.Service, Key: id.Key}
	record, err := b.callHomeWithRetry(ctx, job, control.QueryRequest{Op: op, Job: job, Wait: wait}, wait)
	if err != nil {
		return caller.JobStatus{}, err
	}
	return toJobStatus(record), nil
}

// callHomeWithRetry sends a request to the home of a job. It retries while the job has no home, and
// after the errors that isRetryable accepts.
func (b *callerBackend) callHomeWithRetry(ctx context.Context, job ledger.JobKey, request control.PeerRequest, wait time.Duration) (*ledger.Record, error) {
	var lastErr error = errkind.New(errkind.NoOwner, "the request shard of job %s has no owner at present", job).WithRetryAfter(time.Second)
	for range maxHomeAttempts {
		route, ok := b.loop.Snapshot().HomeOf(job)
		if ok {
			record, err := b.callHome(ctx, route, request, wait)
			if err == nil || !isRetryable(request, err) {
				return record, err
			}
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
		sleep(ctx, homeRetryDelay)
	}
	return nil, lastErr
}

// isRetryable reports whether a failed request may be retried at the new home of its job after a
// change of ownership. This holds for requests that had no effect, and for idempotent requests: the
// new home takes over the record of the job.
func isRetryable(request control.PeerRequest, err error) bool {
	e := errkind.From(err)
	if e.Kind != errkind.NoOwner {
		return false
	}
	submit, isSubmit := request.(control.SubmitRequest)
	return e.Fate() == errkind.FateNotRun || !isSubmit || submit.Spec.Kind.IsDurable()
}

func (b *callerBackend) callHome(ctx context.Context, route control.Route, request control.PeerRequest, wait time.Duration) (*ledger.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0)+homeCallMargin)
	defer cancel()
	reply, err := b.callMember(ctx, control.Send{To: route.Member, Request: request})
	switch {
	case errors.Is(err, entry.ErrNotSent):
		return nil, errkind.New(errkind.NoOwner, "the owner of the request shard, %s, cannot be reached", route.Member.Instance).WithRetryAfter(time.Second)
	case err != nil:
		return nil, errkind.New(errkind.OutcomeUnknown, "the owner of the request shard, %s, did not respond; query the job with the same idempotency key", route.Member.Instance).WithRetryAfter(time.Second)
	}
	job := reply.(control.JobReply)
	if job.Err != nil {
		return nil, job.Err
	}
	return job.Record, nil
}

// answerError returns the error to report to the caller of work of kind answer that has no result.
func answerError(record *ledger.Record) error {
	if record.Spec.Kind != task.Answer {
		return nil
	}
	for i := range record.Tasks {
		t := &record.Tasks[i]
		switch {
		case t.State == task.NotRun:
			return errkind.New(failureKind(t), "task %s was not run", t.ID).WithFate(errkind.FateNotRun).WithRetryAfter(time.Second)
		case t.State == task.Unknown:
			return errkind.New(errkind.OutcomeUnknown, "it is not known whether task %s was run", t.ID).WithFate(errkind.FateUnknown)
		case !t.State.IsFinal():
			return errkind.New(errkind.OutcomeUnknown, "no result of task %s arrived by its deadline", t.ID).WithFate(errkind.FateUnknown)
		}
	}
	return nil
}

func failureKind(t *ledger.TaskRecord) errkind.Kind {
	if t.Outcome == nil || t.Outcome.Reason == "" {
		return errkind.NoOwner
	}
	return errkind.Kind(t.Outcome.Reason)
}

func toJobStatus(record *ledger.Record) caller.JobStatus {
	status := caller.JobStatus{State: record.State(), Tasks: make([]caller.TaskStatus, len(record.Tasks))}
	for i := range record.Tasks {
		t := &record.Tasks[i]
		status.Tasks[i] = caller.TaskStatus{Index: i, ID: t.ID, State: t.State, Attempt: t.Attempt, Outcome: t.Outcome}
	}
	return status
}
