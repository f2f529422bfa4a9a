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

// Config holds the addresses of the entry instances, the API key and the limits of
// a Client.
type Config struct {
	Addresses        []string      // host:port of entry instances; each of them serves every call
	Secret           string        // of the API key; empty for services that accept submissions without a key
	DialTimeout      time.Duration // 2 s when zero
	MaxResponseBytes int64         // maximum size of a response body; 32 MiB when zero
}

const (
	defaultDialTimeout = 2 * time.Second
	defaultMaxBytes    = 32 << 20
	maxAttempts        = 4
	idleTimeout        = 5 * time.Second

	// Bodies of at least this size are sent only after a 100 Continue response, so
	// that a body that is rejected because of its length is not sent.
	minContinueBytes = 64 << 10
	continueTimeout  = time.Second
)

// Client calls entry instances. It is safe for concurrent use.
type Client struct {
	cfg          Config
	http         *http.Client
	budget       *retryBudget
	addressIndex atomic.Uint64 // index of the address to call, modulo the number of addresses
	jitter       func() float64
	sleep        func(ctx context.Context, d time.Duration) error
}

// New returns a client that starts at a random address.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxBytes
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
	c.addressIndex.Store(rand.Uint64N(1 << 32))
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one call of the API. Each retry sends it again.
type apiCall struct {
	method string
	path   string // with the query
	body   []byte
}

// do sends call until it receives a successful response or an error that is not
// retryable, or until the attempts or the retry budget are exhausted.
func (c *Client) do(ctx context.Context, call apiCall) (verifiedResponse, error) {
	if len(c.cfg.Addresses) == 0 {
		return verifiedResponse{}, errkind.New(errkind.InvalidRequest, "no entry instance address is configured").WithField("server", "host:port")
	}
	c.budget.addCall()
	for attempt := 1; ; attempt++ {
		response, err := c.sendOnce(ctx, c.currentAddress(), call)
		if err == nil {
			return response, nil
		}
		e := errkind.From(err)
		if attempt == maxAttempts || !isRetryable(e) || !c.budget.takeRetry() {
			return verifiedResponse{}, err
		}
		c.addressIndex.Add(1)
		if c.sleep(ctx, c.retryDelay(e, attempt)) != nil {
			return verifiedResponse{}, err
		}
	}
}

// isRetryable reports whether e is a retryable error of a call that is known not to
// have run. Retrying any other call could run the work twice.
func isRetryable(e *errkind.Error) bool {
	return e.Fate() == errkind.FateNotRun && errkind.ResponseFor(e.Kind).Advice == errkind.AdviceRetry
}

const (
	baseDelay = 50 * time.Millisecond
	maxDelay  = 2 * time.Second
)

// retryDelay returns the delay that the error response requests, or exponential
// backoff if it requests none, plus jitter of up to 50% so that clients that were
// rejected at the same time do not retry at the same time.
func (c *Client) retryDelay(e *errkind.Error, attempt int) time.Duration {
	d := e.RetryAfter
	if d <= 0 {
		d = min(baseDelay<<attempt, maxDelay)
	}
	return d + time.Duration(c.jitter()*float64(d)/2)
}

func (c *Client) currentAddress() string {
	return c.cfg.Addresses[c.addressIndex.Load()%uint64(len(c.cfg.Addresses))]
}

// sleep waits for d or until ctx is done. If the deadline of ctx is less
// than d away, it returns context.DeadlineExceeded immediately.
func sleep(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
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
