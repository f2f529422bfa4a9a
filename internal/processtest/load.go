package processtest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// RequestType is one type of request in the mix of a load.
type RequestType struct {
	Class       string
	Kind        task.Kind
	Count       int
	ResultBytes int // size of the result; 0 if the result is the payload
	Weight      int // number of requests in one cycle of the mix
}

// MixedRequests contains every kind of work except long-lived services, which do
// not end by themselves. One cycle is 20 requests.
var MixedRequests = []RequestType{
	{Class: "span-lookup", Kind: task.Answer, Count: 1, Weight: 11},
	{Class: "big-lookup", Kind: task.Answer, Count: 1, ResultBytes: 3_000_000, Weight: 1},
	{Class: "nozzle-check", Kind: task.Durable, Count: 1, Weight: 3},
	{Class: "nozzle-check", Kind: task.Durable, Count: 3, Weight: 1},
	{Class: "stress-report", Kind: task.AtMostOnce, Count: 1, Weight: 2},
	{Class: "flexibility-run", Kind: task.Batch, Count: 1, Weight: 1},
	{Class: "water-hammer", Kind: task.Gang, Count: 3, Weight: 1},
}

// AnswerRequests contains only requests whose caller waits for the result.
var AnswerRequests = []RequestType{{Class: "span-lookup", Kind: task.Answer, Count: 1, Weight: 1}}

// RequestRecord is one request and the response that its caller received.
type RequestRecord struct {
	RequestType
	Key       string // the idempotency key, also used as the payload
	SentAt    time.Time
	Latency   time.Duration
	Job       api.Job // if Err is nil
	Err       error   // of the submission; nil if a later wait found the outcome
	SubmitErr error   // of the submission
}

// JobID returns the ID of the job.
func (r *RequestRecord) JobID() string { return "leuven/piping/" + r.Key }

// Fate returns whether the work ran, as reported to the caller of a failed
// request.
func (r *RequestRecord) Fate() errkind.Fate { return errkind.From(r.Err).Fate() }

// LoadOptions describe an open-loop load: requests are sent at a constant rate,
// regardless of how many are outstanding.
type LoadOptions struct {
	Mix     []RequestType
	Rate    int // requests per second
	Secret  string
	Timeout time.Duration // of one call
}

// Load is a running load.
type Load struct {
	options LoadOptions
	clients []*client.Client
	mix     []RequestType // one cycle
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	records []*RequestRecord
}

// StartLoad sends requests until Stop, through as many clients as there are entry
// instances. Each client starts with a random instance and stays with it.
func (c *Cluster) StartLoad(t *testing.T, name string, options LoadOptions) *Load {
	l := &Load{options: options}
	var addresses []string
	for _, e := range c.Entries {
		addresses = append(addresses, e.Settings.CallerAddress)
	}
	for range c.Entries {
		l.clients = append(l.clients, client.New(client.Config{Addresses: addresses, Secret: options.Secret}))
	}
	for _, requestType := range options.Mix {
		for range requestType.Weight {
			l.mix = append(l.mix, requestType)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.group.Go(func() { l.sendRequests(ctx, name) })
	t.Cleanup(l.Stop)
	return l
}

// sendRequests starts a call at each tick. It goes through the mix in steps that
// are coprime with its length, so that request types alternate.
func (l *Load) sendRequests(ctx context.Context, name string) {
	const step = 7
	ticker := time.NewTicker(time.Second / time.Duration(l.options.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		requestType := l.mix[n*step%len(l.mix)]
		index := n % len(l.clients)
		record := &RequestRecord{RequestType: requestType, Key: fmt.Sprintf("%s-%d", name, n)}
		l.group.Go(func() { l.submit(l.clients[index], record) })
	}
}

func (l *Load) submit(caller *client.Client, record *RequestRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timeout)
	defer cancel()
	wait := l.options.Timeout / 2
	if record.Kind != task.Answer {
		wait = 0
	}
	record.SentAt = time.Now()
	request := api.SubmitRequest{IdempotencyKey: record.Key, Class: record.Class, Count: record.Count, Payload: []byte(record.Key)}
	record.Job, record.Err = caller.Submit(ctx, "leuven", "piping", request, wait)
	record.SubmitErr, record.Latency = record.Err, time.Since(record.SentAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, record)
}

// Stop stops the load and returns when every call has returned.
func (l *Load) Stop() {
	l.cancel()
	l.group.Wait()
}

// Records returns the requests whose call has returned, with a response or an
// error.
func (l *Load) Records() []*RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*RequestRecord{}, l.records...)
}

// AwaitOutcomes stops the load and returns when every job that may have been
// accepted has ended. It fails the test if a job that was reported as accepted
// cannot be found, or if a job does not end within the bound.
func (l *Load) AwaitOutcomes(t *testing.T, bound time.Duration) []*RequestRecord {
	t.Helper()
	l.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 32) // bounds the concurrent calls
	records := l.Records()
	for i, r := range records {
		if r.Kind == task.Answer || r.Err != nil && r.Fate() == errkind.FateNotRun {
			continue
		}
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if err := awaitOutcome(ctx, l.clients[i%len(l.clients)], r); err != nil {
				t.Errorf("%s %s: %v", r.Class, r.Key, err)
			}
		})
	}
	group.Wait()
	return records
}

// awaitOutcome waits until one job has ended.
func awaitOutcome(ctx context.Context, caller *client.Client, r *RequestRecord) error {
	const wait = 2 * time.Second // of one call; short, because the home instance of the job may change
	for {
		job, err := caller.Wait(ctx, r.JobID(), wait)
		unknown := err != nil && errkind.From(err).Kind == errkind.UnknownTask
		switch {
		case err == nil && job.State.IsFinal():
			r.Job, r.Err = job, nil
			return nil
		case unknown && r.Err != nil:
			return nil // never accepted: the failed submission did not report whether it was
		case unknown:
			return errors.New("reported to its caller as accepted, but no instance has a record of it")
		case ctx.Err() != nil:
			return fmt.Errorf("did not end within the bound: last state %q, last error %v", job.State, err)
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Digest returns the SHA-256 digest of the payload of the request in hex.
func (r *RequestRecord) Digest() string { return DigestOf(r.Key) }

// receivedAnswers returns the results that callers received, in the form that the
// oracle checks.
func receivedAnswers(records []*RequestRecord) []oracle.Answer {
	var answers []oracle.Answer
	for _, r := range records {
		if r.Err != nil {
			continue
		}
		for _, got := range r.Job.Tasks {
			if got.Digest != "" {
				answers = append(answers, oracle.Answer{Task: got.ID, Attempt: got.Attempt, PayloadDigest: r.Digest(),
					ResultDigest: got.Digest, ResultBytes: int64(got.ResultBytes)})
			}
		}
	}
	return answers
}
