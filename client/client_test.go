package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func writeResponse(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	sum := sha256.Sum256(body)
	w.Header().Set(api.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, e *errkind.Error) {
	w.Header().Set(api.HeaderError, string(e.Kind))
	writeResponse(w, errkind.ResponseFor(e.Kind).Status, api.ErrorReply{Error: api.ErrorFrom(e)})
}

// newTestClient returns a client of a test server that runs h, and the recorded retry
// delays of that client.
func newTestClient(t *testing.T, h http.HandlerFunc) (*Client, *[]time.Duration) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c := New(Config{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
	t.Cleanup(c.Close)
	var delays []time.Duration
	c.jitter = func() float64 { return 0.5 }
	c.sleep = func(_ context.Context, d time.Duration) error {
		delays = append(delays, d)
		return nil
	}
	return c, &delays
}

func submit(c *Client) (api.Job, error) {
	return c.Submit(context.Background(), "t", "s", api.SubmitRequest{IdempotencyKey: "k", Class: "c"}, 0)
}

// TestRetriesOnlyCallsThatDidNotRun guards against a retry of work that may have
// run, for every kind of error.
func TestRetriesOnlyCallsThatDidNotRun(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		calls := 0
		c, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			calls++
			if calls == 1 {
				writeError(w, errkind.New(kind, "first attempt"))
				return
			}
			writeResponse(w, http.StatusOK, api.Job{State: task.Accepted})
		})
		_, err := submit(c)
		response := errkind.ResponseFor(kind)
		retried := response.Fate == errkind.FateNotRun && response.Advice == errkind.AdviceRetry
		if retried != (calls == 2) || retried != (err == nil) {
			t.Errorf("%s: %d calls, error %v", kind, calls, err)
		}
		if err != nil && errkind.From(err).Kind != kind {
			t.Errorf("%s is reported as %v", kind, err)
		}
	}
}

// TestStatedFateOverridesDefault guards against a retry because of the default fate
// of an error kind if the response states another fate.
func TestStatedFateOverridesDefault(t *testing.T) {
	calls := 0
	c, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		writeError(w, errkind.New(errkind.StoreUnavailable, "reply lost").WithFate(errkind.FateUnknown))
	})
	if _, err := submit(c); errkind.From(err).Fate() != errkind.FateUnknown || calls != 1 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}

// TestRetryHintIsObservedWithJitter guards against a retry before the hinted delay
// has passed, and against all clients retrying at the same time.
func TestRetryHintIsObservedWithJitter(t *testing.T) {
	c, delays := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, errkind.New(errkind.QueueFull, "full").WithRetryAfter(2*time.Second))
	})
	_, _ = submit(c)
	if len(*delays) != maxAttempts-1 || (*delays)[0] != 2500*time.Millisecond {
		t.Errorf("delays = %v", *delays)
	}
}

// TestBudgetBoundsRetries guards against clients multiplying the load while
// every call is rejected.
func TestBudgetBoundsRetries(t *testing.T) {
	calls := 0
	c, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		writeError(w, errkind.New(errkind.QueueFull, "full"))
	})
	const submissions = 100
	for range submissions {
		_, _ = submit(c)
	}
	if limit := submissions + maxRetryTokens + submissions*retryTokensPerCall; float64(calls) > limit {
		t.Errorf("%d calls for %d, want at most %v", calls, submissions, limit)
	}
}

// TestIncompleteResponseIsRejected guards against a truncated or altered response
// being accepted as complete.
func TestIncompleteResponseIsRejected(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"other digest": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderDigest, "sha-256=:AAAA:")
			_, _ = w.Write([]byte(`{"state":"finished"}`))
		},
		"no digest": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"state":"finished"}`)) },
		"no length": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"state":`))
			_ = http.NewResponseController(w).Flush()
		},
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "900")
			_, _ = w.Write([]byte(`{"state":`))
		},
		"error page of a proxy": func(w http.ResponseWriter, _ *http.Request) {
			writeResponse(w, http.StatusBadGateway, "bad gateway")
		},
		"connection closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, h := range handlers {
		c, delays := newTestClient(t, h)
		_, err := submit(c)
		if e := errkind.From(err); err == nil || e.Kind != errkind.OutcomeUnknown || len(*delays) > 0 {
			t.Errorf("%s: submit: error %v after %d retries", name, err, len(*delays))
		}
		if _, err := c.Result(context.Background(), "t/s/k", 0); err == nil {
			t.Errorf("%s: result: no error", name)
		}
	}
}

// TestTruncatedResponsesHaveUnknownOutcome guards against a truncated response being
// accepted as complete, or the call being retried, after whichever byte the
// connection ends.
func TestTruncatedResponsesHaveUnknownOutcome(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeResponse(recorder, http.StatusOK, api.Job{ID: "t/s/k", State: task.Accepted})
	var complete bytes.Buffer
	if err := recorder.Result().Write(&complete); err != nil {
		t.Fatal(err)
	}
	for n := range complete.Len() + 1 {
		calls := 0
		c, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			calls++
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = conn.Write(complete.Bytes()[:n])
			_ = conn.Close()
		})
		job, err := submit(c)
		if n == complete.Len() {
			if err != nil || job.State != task.Accepted {
				t.Errorf("complete response: %+v, %v", job, err)
			}
			continue
		}
		if err == nil || errkind.From(err).Kind != errkind.OutcomeUnknown || calls != 1 {
			t.Errorf("after %d of %d bytes: %d calls, job %+v, error %v", n, complete.Len(), calls, job, err)
		}
	}
}

// TestRedirectIsNotFollowed guards against the key and the work being sent to
// another server because of a redirect, for instance by a proxy.
func TestRedirectIsNotFollowed(t *testing.T) {
	calls := 0
	c, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})
	if _, err := submit(c); errkind.From(err).Kind != errkind.OutcomeUnknown || calls != 1 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}

// TestRefusedConnectionTriesNextAddress guards against a client that continues to
// call an instance that no longer runs.
func TestRefusedConnectionTriesNextAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := ln.Addr().String()
	_ = ln.Close()
	c, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, http.StatusOK, api.Job{State: task.Accepted})
	})
	c.cfg.Addresses = append([]string{closedAddress}, c.cfg.Addresses...)
	c.addressIndex.Store(0)
	if _, err := submit(c); err != nil {
		t.Error(err)
	}
}

// TestDeadlineIsSent guards against an instance that continues to process a call
// that has timed out for the caller.
func TestDeadlineIsSent(t *testing.T) {
	var remaining time.Duration
	c, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		remaining, _ = time.ParseDuration(r.Header.Get(api.HeaderTimeout))
		writeResponse(w, http.StatusOK, api.Job{})
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.Status(ctx, "t/s/k"); err != nil || remaining < 50*time.Second || remaining > time.Minute {
		t.Errorf("timeout header = %v, error %v", remaining, err)
	}
}
