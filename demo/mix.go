package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// request is one request of the mix. send returns what became of it and whether
// that is as promised.
type request struct {
	name     string
	promised string
	send     func(ctx context.Context, s *session) (observed string, kept bool)
}

const (
	leuven       = "leuven"
	estrie       = "estrie"
	bigAnswer    = 3_000_000 // bytes, by the command of class big-lookup
	failureCode  = 3         // by the command of class failing-report
	stepsOfBatch = 3
	gangSize     = 4
)

// mix has work of every kind of both deployments, and requests that have to be
// refused.
var mix = []request{
	{"leuven: answer", "the payload, exit 0", finishes(job{team: leuven, service: "piping", class: "span-lookup"})},
	{"leuven: answer of 3 MB", "3000000 bytes, exit 0", finishes(job{team: leuven, service: "piping", class: "big-lookup", bytes: bigAnswer})},
	{"leuven: durable", "the payload, exit 0", finishes(job{team: leuven, service: "piping", class: "nozzle-check"})},
	{"leuven: durable, 6 tasks", "6 tasks end with exit 0", finishes(job{team: leuven, service: "piping", class: "nozzle-check", count: 6})},
	{"leuven: at most once, submitted twice", "one run, the second finds the first", repeated},
	{"leuven: exit code", "exit 3, task_failed", finishes(job{team: leuven, service: "piping", class: "failing-report", exit: failureCode})},
	{"leuven: batch", "3 tasks end with exit 0", finishes(job{team: leuven, service: "piping", class: "flexibility-run", count: stepsOfBatch})},
	{"leuven: gang", "4 tasks end with exit 0", finishes(job{team: leuven, service: "piping", class: "water-hammer", count: gangSize})},
	{"leuven: service, cancelled", "runs, then stopped", cancelled},
	{"estrie: quote", "the payload, exit 0", finishes(job{team: estrie, service: "shop", class: "quote"})},
	{"estrie: parts order", "the payload, exit 0", finishes(job{team: estrie, service: "shop", class: "parts-order"})},
	{"estrie: warranty claims, at most once", "the payload, exit 0", finishes(job{team: estrie, service: "shop", class: "warranty-claims"})},
	{"estrie: open queue, no key", "the payload, exit 0", finishes(job{team: estrie, service: "open", class: "opening-hours", noKey: true})},
	{"no key", refusal(errkind.KeyMissing), refused(errkind.KeyMissing, job{team: leuven, service: "piping", class: "span-lookup", noKey: true})},
	{"wrong key", refusal(errkind.KeyRefused), refused(errkind.KeyRefused, job{team: leuven, service: "piping", class: "span-lookup", secret: "mk_wrong"})},
	{"key of another team", refusal(errkind.KeyRefused), refused(errkind.KeyRefused, job{team: leuven, service: "piping", class: "span-lookup", keyOf: estrie})},
	{"size above that of the class", refusal(errkind.InvalidRequest), refused(errkind.InvalidRequest, job{team: leuven, service: "piping", class: "stress-report",
		size: &task.Resources{CPUMilli: 64_000, MemoryMB: 1024, Slots: 1}})},
	{"size of no worker", refusal(errkind.NeverFits), refused(errkind.NeverFits, job{team: leuven, service: "piping", class: "basin-model"})},
	{"same idempotency key, another body", refusal(errkind.IdempotencyConflict), otherBody},
	{"deadline exceeded", "unknown with 0 or 1 run, or not_run with 0", deadlinePassed},
	{"key withdrawn", "refused everywhere within 3 s", withdrawnKey},
}

// job describes a submission and its promised end.
type job struct {
	team, service, class string
	idempotencyKey       string // one of its own when empty
	count                int
	size                 *task.Resources
	payload              string
	instance             int // entry instance that is asked

	noKey  bool
	keyOf  task.Team // team's key that is sent; the job's team when empty
	secret string    // sent in place of a granted one

	bytes int // of the result; the payload comes back when 0
	exit  int
}

// withDefaults fills the fields in which jobs seldom differ.
func (j job) withDefaults() job {
	j.count = max(j.count, 1)
	if j.payload == "" {
		j.payload = "payload of " + j.class
	}
	if j.idempotencyKey == "" {
		j.idempotencyKey = fmt.Sprintf("%s-%d", j.class, j.count)
	}
	if j.keyOf == "" {
		j.keyOf = task.Team(j.team)
	}
	return j
}

// caller returns a client of one entry instance with the key of the job.
func (s *session) caller(j job) *client.Client {
	secret := j.secret
	if secret == "" && !j.noKey {
		secret = s.secrets[j.keyOf]
	}
	entry := s.cluster.Entries[j.instance%len(s.cluster.Entries)]
	return client.New(client.Config{Addresses: []string{entry.CallerAddress()}, Secret: secret})
}

// submit submits a job and records the results that its caller received.
func (s *session) submit(ctx context.Context, j job, wait time.Duration) (api.Job, error) {
	caller := s.caller(j)
	defer caller.Close()
	done, err := caller.Submit(ctx, j.team, j.service, api.SubmitRequest{
		IdempotencyKey: j.idempotencyKey, Class: j.class, Size: j.size, Count: j.count, Payload: []byte(j.payload),
	}, wait)
	if err != nil {
		return done, err
	}
	return done, s.fetchResults(ctx, caller, j, done)
}

// fetchResults reads the result of every task that ended well, as a caller
// would, and keeps what the oracle compares with the workers' ledgers.
func (s *session) fetchResults(ctx context.Context, caller *client.Client, j job, done api.Job) error {
	for i := range done.Tasks {
		t := &done.Tasks[i]
		if t.State != task.Finished || t.ExitCode != 0 {
			continue
		}
		result, err := caller.Result(ctx, done.ID, t.Index)
		if err != nil {
			return err
		}
		t.Result = result.Data
		s.mu.Lock()
		s.answers = append(s.answers, oracle.Answer{Task: t.ID, Attempt: t.Attempt, PayloadDigest: digest([]byte(j.payload)),
			ResultDigest: digest(result.Data), ResultBytes: int64(len(result.Data))})
		s.mu.Unlock()
	}
	return nil
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// finishes expects that every task of the job ends with the promised exit code
// and result.
func finishes(j job) func(context.Context, *session) (string, bool) {
	j = j.withDefaults()
	return func(ctx context.Context, s *session) (string, bool) {
		done, err := s.submit(ctx, j, answerBound)
		if err != nil {
			return err.Error(), false
		}
		return describe(done), j.isMetBy(done)
	}
}

func (j job) isMetBy(done api.Job) bool {
	if len(done.Tasks) != j.count {
		return false
	}
	for _, t := range done.Tasks {
		if t.State != task.Finished || t.ExitCode != j.exit || (j.exit != 0) != (t.Reason == string(errkind.TaskFailed)) {
			return false
		}
		if j.exit == 0 && j.bytes == 0 && !bytes.Equal(t.Result, []byte(j.payload)) || j.bytes != 0 && len(t.Result) != j.bytes {
			return false
		}
	}
	return true
}

func describe(done api.Job) string {
	if len(done.Tasks) == 0 {
		return string(done.State)
	}
	first := done.Tasks[0]
	text := fmt.Sprintf("%s, exit %d, %d bytes", done.State, first.ExitCode, len(first.Result))
	if len(done.Tasks) > 1 {
		text = fmt.Sprintf("%d tasks %s, exit %d", len(done.Tasks), done.State, first.ExitCode)
	}
	if first.Reason != "" {
		text += ", " + first.Reason
	}
	return text
}

func refusal(kind errkind.Kind) string {
	return fmt.Sprintf("%s, %s", kind, errkind.AnswerFor(kind).Fate)
}

// refused expects an error of a kind with the fate that the table states.
func refused(kind errkind.Kind, j job) func(context.Context, *session) (string, bool) {
	j = j.withDefaults()
	j.idempotencyKey = "refused-" + j.idempotencyKey + string(kind)
	return func(ctx context.Context, s *session) (string, bool) {
		done, err := s.submit(ctx, j, answerBound)
		if err != nil {
			return observedError(err), isRefusal(err, kind)
		}
		return describe(done), false
	}
}

// isRefusal reports whether err refuses a request with a kind. A request that
// succeeded, with a nil error, was not refused.
func isRefusal(err error, kind errkind.Kind) bool {
	if err == nil {
		return false
	}
	e := errkind.From(err)
	return e.Kind == kind && e.Fate() == errkind.AnswerFor(kind).Fate
}

func observedError(err error) string {
	var answered *client.Error
	if !errors.As(err, &answered) {
		return err.Error()
	}
	e := errkind.From(err)
	return fmt.Sprintf("%s, %s", e.Kind, e.Fate())
}
