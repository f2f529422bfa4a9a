package client

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// Config holds the addresses and the credentials for the calls.
type Config struct {
	Addresses   []string      // host:port of entry instances; any of them answers any call
	Secret      string        // of the key; empty for open queues
	DialTimeout time.Duration // 2 s when zero
	MaxBytes    int64         // maximum size of an answer; 32 MiB when zero
}

const (
	defaultDialTimeout = 2 * time.Second
	defaultMaxBytes    = 32 << 20
	maxAttempts        = 4
	idleTimeout        = 5 * time.Second

	// Bodies of at least this size are sent only after a 100 Continue response, so
	// that a body that is refused by its length is not sent.
	continueBytes   = 64 << 10
	continueTimeout = time.Second
)

// Client calls entry instances. It is safe for concurrent use.
type Client struct {
	cfg    Config
	http   *http.Client
	budget *retryBudget
	next   atomic.Uint64 // index of the address to call, modulo their number
	jitter func() float64
	sleep  func(ctx context.Context, d time.Duration) error
}

// New returns a client that starts at a random address.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	c := &Client{
		cfg: cfg,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:           dialer.DialContext,
				IdleConnTimeout:       idleTimeout,
				ExpectContinueTimeout: continueTimeout,
			},
			// Redirects are not followed: they would send the key and the work to another server.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		budget: newRetryBudget(),
		jitter: rand.Float64,
		sleep:  sleep,
	}
	c.next.Store(rand.Uint64N(1 << 32))
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one call, which may be sent several times because of retries.
type apiCall struct {
	method string
	path   string // with the query
	body   []byte
}

// do sends call until it gets an answer or an error that is not retryable, or until
// it runs out of attempts or retry budget.
func (c *Client) do(ctx context.Context, call apiCall) (reply, error) {
	if len(c.cfg.Addresses) == 0 {
		return reply{}, errkind.New(errkind.InvalidRequest, "no address of an entry instance is given").WithField("server", "host:port")
	}
	c.budget.addCall()
	for attempt := 1; ; attempt++ {
		got, err := c.sendOnce(ctx, c.address(), call)
		if err == nil {
			return got, nil
		}
		e := errkind.From(err)
		if attempt == maxAttempts || !isRetryable(e) || !c.budget.takeRetry() {
			return reply{}, err
		}
		c.next.Add(1)
		if c.sleep(ctx, c.delay(e, attempt)) != nil {
			return reply{}, err
		}
	}
}

// isRetryable accepts only errors of calls that are known not to have run:
// retrying any other call could run the work twice.
func isRetryable(e *errkind.Error) bool {
	return e.Fate() == errkind.FateNotRun && errkind.AnswerFor(e.Kind).Advice == errkind.AdviceRetry
}

const (
	baseDelay = 50 * time.Millisecond
	maxDelay  = 2 * time.Second
)

// delay returns the retry hint of the answer, or exponential backoff without one,
// plus jitter of up to 50% so that clients that were refused at the same time do
// not retry at the same time.
func (c *Client) delay(e *errkind.Error, attempt int) time.Duration {
	d := e.RetryAfter
	if d <= 0 {
		d = min(baseDelay<<attempt, maxDelay)
	}
	return d + time.Duration(c.jitter()*float64(d)/2)
}

func (c *Client) address() string {
	return c.cfg.Addresses[c.next.Load()%uint64(len(c.cfg.Addresses))]
}

// sleep waits for d or until ctx is canceled. If the deadline of ctx is earlier
// than the end of the wait, it returns at once.
func sleep(ctx context.Context, d time.Duration) error {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d {
		return context.DeadlineExceeded
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
