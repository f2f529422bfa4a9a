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

// request is one request of the mix. send returns the observed outcome and whether
// it is the promised one.
type request struct {
	name     string
	promised string
	send     func(ctx context.Context, s *session) (observed string, asPromised bool)
}

const (
	leuven          = "leuven"
	estrie          = "estrie"
	bigResultBytes  = 3_000_000 // as in the command of class big-lookup
	failingExitCode = 3         // as in the command of class failing-report
	batchTasks      = 3
	gangSize        = 4
)

// mix contains work of every kind, as in the deployments of both users, and requests that
// must be refused.
var mix = []request{
	{"leuven: answer", "the payload, exit 0", expectFinished(job{team: leuven, service: "piping", class: "span-lookup"})},
	{"leuven: answer of 3 MB", "3000000 bytes, exit 0", expectFinished(job{team: leuven, service: "piping", class: "big-lookup", resultBytes: bigResultBytes})},
	{"leuven: durable", "the payload, exit 0", expectFinished(job{team: leuven, service: "piping", class: "nozzle-check"})},
	{"leuven: durable, 6 tasks", "6 tasks end with exit 0", expectFinished(job{team: leuven, service: "piping", class: "nozzle-check", count: 6})},
	{"leuven: at most once, submitted twice", "one run, one reply repeats the other", submitTwice},
	{"leuven: exit code", "exit 3, task_failed", expectFinished(job{team: leuven, service: "piping", class: "failing-report", exitCode: failingExitCode})},
	{"leuven: batch", "3 tasks end with exit 0", expectFinished(job{team: leuven, service: "piping", class: "flexibility-run", count: batchTasks})},
	{"leuven: gang", "4 tasks end with exit 0", expectFinished(job{team: leuven, service: "piping", class: "water-hammer", count: gangSize})},
	{"leuven: service, cancelled", "one run, stopped by the cancellation", cancelService},
	{"estrie: quote", "the payload, exit 0", expectFinished(job{team: estrie, service: "shop", class: "quote"})},
	{"estrie: parts order", "the payload, exit 0", expectFinished(job{team: estrie, service: "shop", class: "parts-order"})},
	{"estrie: warranty claims, at most once", "the payload, exit 0", expectFinished(job{team: estrie, service: "shop", class: "warranty-claims"})},
	{"estrie: open queue, no key", "the payload, exit 0", expectFinished(job{team: estrie, service: "open", class: "opening-hours", noKey: true})},
	{"no key", refusalText(errkind.KeyMissing), expectRefusal(errkind.KeyMissing, job{team: leuven, service: "piping", class: "span-lookup", noKey: true})},
	{"wrong key", refusalText(errkind.KeyRefused), expectRefusal(errkind.KeyRefused, job{team: leuven, service: "piping", class: "span-lookup", secret: "mk_wrong"})},
	{"key of another team", refusalText(errkind.KeyRefused), expectRefusal(errkind.KeyRefused, job{team: leuven, service: "piping", class: "span-lookup", keyTeam: estrie})},
	{"size above that of the class", refusalText(errkind.InvalidRequest), expectRefusal(errkind.InvalidRequest, job{team: leuven, service: "piping", class: "stress-report",
		size: &task.Resources{CPUMilli: 64_000, MemoryMB: 1024, Slots: 1}})},
	{"size that fits no worker", refusalText(errkind.NeverFits), expectRefusal(errkind.NeverFits, job{team: leuven, service: "piping", class: "basin-model"})},
	{"same idempotency key, another body", refusalText(errkind.IdempotencyConflict), submitConflictingBody},
	{"deadline exceeded", "unknown with 0 or 1 run, or not_run with 0", exceedDeadline},
	{"key withdrawn", "refused everywhere within 3 s", withdrawKey},
}

// job describes a submission and its promised outcome.
type job struct {
	team, service, class string
	idempotencyKey       string // if empty, derived from class and count
	count                int
	size                 *task.Resources
	payload              string
	instance             int // entry instance that receives the submission

	noKey   bool
	keyTeam task.Team // team whose key is sent; if empty, the team of the job
	secret  string    // if not empty, sent instead of the secret of a granted key

	resultBytes int // size of the result; 0 if the result is the payload
	exitCode    int
}

// withDefaults sets empty fields to their default values.
func (j job) withDefaults() job {
	j.count = max(j.count, 1)
	if j.payload == "" {
		j.payload = "payload of " + j.class
	}
	if j.idempotencyKey == "" {
		j.idempotencyKey = fmt.Sprintf("%s-%d", j.class, j.count)
	}
	if j.keyTeam == "" {
		j.keyTeam = task.Team(j.team)
	}
	return j
}

// callerClient returns a client for the entry instance of the job, with the key of the
// job.
func (s *session) callerClient(j job) *client.Client {
	secret := j.secret
	if secret == "" && !j.noKey {
		secret = s.secrets[j.keyTeam]
	}
	entry := s.cluster.Entries[j.instance%len(s.cluster.Entries)]
	return client.New(client.Config{Addresses: []string{entry.CallerAddress()}, Secret: secret})
}

// submit submits a job, fetches its results and records them for the oracle.
func (s *session) submit(ctx context.Context, j job, wait time.Duration) (api.Job, error) {
	caller := s.callerClient(j)
	defer caller.Close()
	reply, err := caller.Submit(ctx, j.team, j.service, api.SubmitRequest{
		IdempotencyKey: j.idempotencyKey, Class: j.class, Size: j.size, Count: j.count, Payload: []byte(j.payload),
	}, wait)
	if err != nil {
		return reply, err
	}
	return reply, s.fetchResults(ctx, caller, j, reply)
}

// fetchResults reads the result of every task that succeeded through the caller API, and
// records the digests that the oracle compares with the workers' ledgers.
func (s *session) fetchResults(ctx context.Context, caller *client.Client, j job, reply api.Job) error {
	for i := range reply.Tasks {
		t := &reply.Tasks[i]
		if t.State != task.Finished || t.ExitCode != 0 {
			continue
		}
		result, err := caller.Result(ctx, reply.ID, t.Index)
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

// expectFinished returns a send function that expects every task of the job to
// finish with the promised exit code and result.
func expectFinished(j job) func(context.Context, *session) (string, bool) {
	j = j.withDefaults()
	return func(ctx context.Context, s *session) (string, bool) {
		reply, err := s.submit(ctx, j, requestTimeout)
		if err != nil {
			return err.Error(), false
		}
		return describeJob(reply), j.outcomeMatches(reply)
	}
}

// outcomeMatches reports whether reply has the promised outcome.
func (j job) outcomeMatches(reply api.Job) bool {
	if len(reply.Tasks) != j.count {
		return false
	}
	for _, t := range reply.Tasks {
		if t.State != task.Finished || t.ExitCode != j.exitCode || (j.exitCode != 0) != (t.Reason == string(errkind.TaskFailed)) {
			return false
		}
		if j.exitCode == 0 && j.resultBytes == 0 && !bytes.Equal(t.Result, []byte(j.payload)) || j.resultBytes != 0 && len(t.Result) != j.resultBytes {
			return false
		}
	}
	return true
}

func describeJob(reply api.Job) string {
	if len(reply.Tasks) == 0 {
		return string(reply.State)
	}
	first := reply.Tasks[0]
	text := fmt.Sprintf("%s, exit %d, %d bytes", reply.State, first.ExitCode, len(first.Result))
	if len(reply.Tasks) > 1 {
		text = fmt.Sprintf("%d tasks %s, exit %d", len(reply.Tasks), reply.State, first.ExitCode)
	}
	if first.Reason != "" {
		text += ", " + first.Reason
	}
	return text
}

func refusalText(kind errkind.Kind) string {
	return fmt.Sprintf("%s, %s", kind, errkind.ResponseFor(kind).Fate)
}

// expectRefusal returns a send function that expects an error of this kind, with the fate
// that the error table defines for the kind.
func expectRefusal(kind errkind.Kind, j job) func(context.Context, *session) (string, bool) {
	j = j.withDefaults()
	j.idempotencyKey = "refused-" + j.idempotencyKey + string(kind)
	return func(ctx context.Context, s *session) (string, bool) {
		reply, err := s.submit(ctx, j, requestTimeout)
		if err != nil {
			return describeError(err), isRefusal(err, kind)
		}
		return describeJob(reply), false
	}
}

// isRefusal reports whether err is a refusal of this kind. It returns false for a nil
// error, which means that the request succeeded.
func isRefusal(err error, kind errkind.Kind) bool {
	if err == nil {
		return false
	}
	e := errkind.From(err)
	return e.Kind == kind && e.Fate() == errkind.ResponseFor(kind).Fate
}

func describeError(err error) string {
	var replyErr *client.Error
	if !errors.As(err, &replyErr) {
		return err.Error()
	}
	e := errkind.From(err)
	return fmt.Sprintf("%s, %s", e.Kind, e.Fate())
}
