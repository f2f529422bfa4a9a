// Package errkind defines the closed set of error kinds and maps each kind to the
// response that peers receive: HTTP status, exit code, retry advice and whether the work
// ran.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the stable name of an error kind. Callers may rely on it.
type Kind string

// The closed set of kinds.
const (
	InvalidRequest      Kind = "invalid_request"
	RequestTooLarge     Kind = "request_too_large"
	RequestTimeout      Kind = "request_timeout"
	KeyMissing          Kind = "key_missing"
	KeyRefused          Kind = "key_refused"
	KeyWithdrawn        Kind = "key_withdrawn"
	KeyStale            Kind = "key_stale"
	UnknownTeam         Kind = "unknown_team"
	UnknownService      Kind = "unknown_service"
	UnknownClass        Kind = "unknown_class"
	UnknownTask         Kind = "unknown_task"
	NeverFits           Kind = "never_fits"
	OverLimit           Kind = "over_limit"
	QueueFull           Kind = "queue_full"
	DeadlineExceeded    Kind = "deadline_exceeded"
	IdempotencyConflict Kind = "idempotency_conflict"
	RevisionConflict    Kind = "revision_conflict"
	StoreUnavailable    Kind = "store_unavailable"
	NoOwner             Kind = "no_owner"
	Draining            Kind = "draining"
	Cancelled           Kind = "cancelled"
	TaskFailed          Kind = "task_failed"
	WorkerLost          Kind = "worker_lost"
	ResultTooLarge      Kind = "result_too_large"
	ResultIncomplete    Kind = "result_incomplete"
	OutcomeUnknown      Kind = "outcome_unknown"
	NotAllowed          Kind = "not_allowed"
	UnknownPath         Kind = "unknown_path"
	Unreachable         Kind = "unreachable"
	Overloaded          Kind = "overloaded"
	Internal            Kind = "internal"
)

// Fate states whether the work of a request ran.
type Fate string

// The fates.
const (
	FateNotRun  Fate = "not_run" // proven not to have run, and will not run for this request
	FateRun     Fate = "run"     // ran, at least partially
	FateUnknown Fate = "unknown" // may have run; will not be retried by this scheduler
)

// Advice states how a caller should react to an error.
type Advice string

// The advice values.
const (
	AdviceDoNotRetry  Advice = "do_not_retry" // the same request would fail again
	AdviceRetry       Advice = "retry"        // retry after the retry hint, at any entry instance
	AdviceQueryStatus Advice = "ask"          // query the status with the same idempotency key
)

// Response is the response to a request that failed with a kind of error.
type Response struct {
	Status   int    // HTTP status
	ExitCode int    // of mulberryctl
	Advice   Advice // how the caller should react
	Fate     Fate   // whether the work ran
}

var responses = map[Kind]Response{
	InvalidRequest:      {400, 2, AdviceDoNotRetry, FateNotRun},
	RequestTooLarge:     {413, 2, AdviceDoNotRetry, FateNotRun},
	RequestTimeout:      {408, 3, AdviceRetry, FateNotRun},
	KeyMissing:          {401, 4, AdviceDoNotRetry, FateNotRun},
	KeyRefused:          {403, 4, AdviceDoNotRetry, FateNotRun},
	KeyWithdrawn:        {403, 4, AdviceDoNotRetry, FateNotRun},
	KeyStale:            {503, 3, AdviceRetry, FateNotRun},
	UnknownTeam:         {404, 5, AdviceDoNotRetry, FateNotRun},
	UnknownService:      {404, 5, AdviceDoNotRetry, FateNotRun},
	UnknownClass:        {404, 5, AdviceDoNotRetry, FateNotRun},
	UnknownTask:         {404, 5, AdviceDoNotRetry, FateUnknown},
	NeverFits:           {422, 2, AdviceDoNotRetry, FateNotRun},
	OverLimit:           {429, 3, AdviceRetry, FateNotRun},
	QueueFull:           {429, 3, AdviceRetry, FateNotRun},
	DeadlineExceeded:    {504, 3, AdviceRetry, FateNotRun},
	IdempotencyConflict: {409, 6, AdviceDoNotRetry, FateNotRun},
	RevisionConflict:    {409, 6, AdviceDoNotRetry, FateNotRun},
	StoreUnavailable:    {503, 3, AdviceRetry, FateNotRun},
	NoOwner:             {503, 3, AdviceRetry, FateNotRun},
	Draining:            {503, 3, AdviceRetry, FateNotRun},
	Cancelled:           {409, 7, AdviceDoNotRetry, FateNotRun},
	TaskFailed:          {200, 1, AdviceDoNotRetry, FateRun},
	WorkerLost:          {502, 8, AdviceDoNotRetry, FateUnknown},
	ResultTooLarge:      {502, 8, AdviceDoNotRetry, FateRun},
	ResultIncomplete:    {502, 8, AdviceQueryStatus, FateRun},
	OutcomeUnknown:      {504, 8, AdviceQueryStatus, FateUnknown},
	NotAllowed:          {405, 2, AdviceDoNotRetry, FateNotRun},
	UnknownPath:         {404, 2, AdviceDoNotRetry, FateNotRun},
	Unreachable:         {503, 3, AdviceRetry, FateNotRun},
	Overloaded:          {503, 3, AdviceRetry, FateNotRun},
	Internal:            {500, 9, AdviceQueryStatus, FateUnknown},
}

// Kinds lists every kind in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// ResponseFor returns the response for kind k. A kind outside the set is treated as Internal,
// so that an unknown kind is never reported as "not run".
func ResponseFor(k Kind) Response {
	if response, ok := responses[k]; ok {
		return response
	}
	return responses[Internal]
}

// Error is an error that is reported to a peer.
type Error struct {
	Kind         Kind          `json:"kind"`
	Message      string        `json:"message"`
	Field        string        `json:"field,omitempty"`       // invalid field, if any
	Limit        string        `json:"limit,omitempty"`       // allowed range or value, with its unit
	RetryAfter   time.Duration `json:"retry_after,omitempty"` // delay before a retry is useful
	FateOverride Fate          `json:"fate,omitempty"`        // set if the fate is known more precisely than that of the kind, which it overrides
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Kind, e.Field, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Fate returns FateOverride, or the fate of the kind if FateOverride is empty.
func (e *Error) Fate() Fate {
	if e.FateOverride != "" {
		return e.FateOverride
	}
	return ResponseFor(e.Kind).Fate
}

// WithField returns a copy of e that names the invalid field and its limit.
func (e *Error) WithField(field, limit string) *Error {
	c := *e
	c.Field, c.Limit = field, limit
	return &c
}

// WithRetryAfter returns a copy of e with a retry hint.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithFate returns a copy of e with fate f, overriding the fate of its kind.
func (e *Error) WithFate(f Fate) *Error {
	c := *e
	c.FateOverride = f
	return &c
}

// From returns the first *Error in err's chain, or an Internal error with the text of err
// if there is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%s", err.Error())
}
