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

// Work is one kind of request of a load.
type Work struct {
	Class  string
	Kind   task.Kind
	Count  int
	Bytes  int // of the result; 0 for the payload
	Weight int // requests in one round of the mix
}

// Mixed has work of every kind that ends by itself; one round is 20 requests.
var Mixed = []Work{
	{Class: "span-lookup", Kind: task.Answer, Count: 1, Weight: 11},
	{Class: "big-lookup", Kind: task.Answer, Count: 1, Bytes: 3_000_000, Weight: 1},
	{Class: "nozzle-check", Kind: task.Durable, Count: 1, Weight: 3},
	{Class: "nozzle-check", Kind: task.Durable, Count: 3, Weight: 1},
	{Class: "stress-report", Kind: task.AtMostOnce, Count: 1, Weight: 2},
	{Class: "flexibility-run", Kind: task.Batch, Count: 1, Weight: 1},
	{Class: "water-hammer", Kind: task.Gang, Count: 3, Weight: 1},
}

// Answers has only requests whose caller waits.
var Answers = []Work{{Class: "span-lookup", Kind: task.Answer, Count: 1, Weight: 1}}

// Told is one request and what its caller was told.
type Told struct {
	Work
	Key   string // idempotency key and payload
	At    time.Time
	Took  time.Duration
	Job   api.Job // when Err is nil
	Err   error
	First error // what the submission itself was told
}

// JobID returns the name of the job.
func (r *Told) JobID() string { return "leuven/piping/" + r.Key }

// Fate returns what the caller was told of a request that was refused.
func (r *Told) Fate() errkind.Fate { return errkind.From(r.Err).Fate() }

// LoadOptions describe an open-loop load: requests are sent at a rate, whether
// or not earlier ones were answered.
type LoadOptions struct {
	Mix     []Work
	Rate    int // requests a second
	Secret  string
	Timeout time.Duration // of one call
}

// Load is a running load.
type Load struct {
	options LoadOptions
	clients []*client.Client
	mix     []Work
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu   sync.Mutex
	told []*Told
}

// StartLoad sends requests until Stop, through as many callers as there are entry
// instances. Each caller begins with an instance at random and stays with it.
func (c *Cluster) StartLoad(t *testing.T, name string, options LoadOptions) *Load {
	l := &Load{options: options}
	var addresses []string
	for _, e := range c.Entries {
		addresses = append(addresses, e.Settings.CallerAddress)
	}
	for range c.Entries {
		l.clients = append(l.clients, client.New(client.Config{Addresses: addresses, Secret: options.Secret}))
	}
	for _, w := range options.Mix {
		for range w.Weight {
			l.mix = append(l.mix, w)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.group.Go(func() { l.send(ctx, name) })
	t.Cleanup(l.Stop)
	return l
}

// send starts a call at each tick. The order of the mix is that of a step that
// has no common divisor with its length, so that kinds alternate.
func (l *Load) send(ctx context.Context, name string) {
	const step = 7
	ticker := time.NewTicker(time.Second / time.Duration(l.options.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		work := l.mix[n*step%len(l.mix)]
		at := n % len(l.clients)
		told := &Told{Work: work, Key: fmt.Sprintf("%s-%d", name, n)}
		l.group.Go(func() { l.ask(l.clients[at], told) })
	}
}

func (l *Load) ask(caller *client.Client, told *Told) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timeout)
	defer cancel()
	wait := l.options.Timeout / 2
	if told.Kind != task.Answer {
		wait = 0
	}
	told.At = time.Now()
	request := api.SubmitRequest{IdempotencyKey: told.Key, Class: told.Class, Count: told.Count, Payload: []byte(told.Key)}
	told.Job, told.Err = caller.Submit(ctx, "leuven", "piping", request, wait)
	told.First, told.Took = told.Err, time.Since(told.At)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, told)
}

// Stop ends the load and returns when every call has ended.
func (l *Load) Stop() {
	l.cancel()
	l.group.Wait()
}

// Told returns what callers have been told so far.
func (l *Load) Told() []*Told {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Told{}, l.told...)
}

// Settle stops the load and returns when every job that may have been accepted
// has ended. A job that its caller was told is accepted must be found.
func (l *Load) Settle(t *testing.T, bound time.Duration) []*Told {
	t.Helper()
	l.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	var group sync.WaitGroup
	slots := make(chan struct{}, 32) // calls at once
	told := l.Told()
	for i, r := range told {
		if r.Kind == task.Answer || r.Err != nil && r.Fate() == errkind.FateNotRun {
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := settle(ctx, l.clients[i%len(l.clients)], r); err != nil {
				t.Errorf("%s %s: %v", r.Class, r.Key, err)
			}
		})
	}
	group.Wait()
	return told
}

// settle waits for the end of one job.
func settle(ctx context.Context, caller *client.Client, r *Told) error {
	const wait = 2 * time.Second // of one call; a home may change meanwhile
	for {
		job, err := caller.Wait(ctx, r.JobID(), wait)
		unknown := err != nil && errkind.From(err).Kind == errkind.UnknownTask
		switch {
		case err == nil && job.State.IsFinal():
			r.Job, r.Err = job, nil
			return nil
		case unknown && r.Err != nil:
			return nil // it was never accepted, and its caller was told that this is unknown
		case unknown:
			return errors.New("its caller was told that it is accepted, and no instance knows it")
		case ctx.Err() != nil:
			return fmt.Errorf("has not ended: state %s, %v", job.State, err)
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Digest returns the SHA-256 digest of the payload in hex.
func (r *Told) Digest() string { return DigestOf(r.Key) }

// answersOf returns the results that callers received, for the oracle.
func answersOf(told []*Told) []oracle.Answer {
	var answers []oracle.Answer
	for _, r := range told {
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
