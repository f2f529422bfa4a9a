package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// fakeBackend counts and records submissions. Every call returns the configured
// status or outcome, and err.
type fakeBackend struct {
	submitted int
	spec      task.Spec
	secret    string
	deadline  time.Time // of the context
	wait      time.Duration
	status    JobStatus
	outcome   task.Outcome
	err       error
}

func (b *fakeBackend) Submit(ctx context.Context, secret string, spec task.Spec, wait time.Duration) (JobStatus, error) {
	b.submitted++
	b.spec, b.secret, b.wait = spec, secret, wait
	b.deadline, _ = ctx.Deadline()
	return b.status, b.err
}

func (b *fakeBackend) Status(context.Context, string, JobID) (JobStatus, error) {
	return b.status, b.err
}

func (b *fakeBackend) Wait(context.Context, string, JobID, time.Duration) (JobStatus, error) {
	return b.status, b.err
}

func (b *fakeBackend) Cancel(context.Context, string, JobID) (JobStatus, error) {
	return b.status, b.err
}

func (b *fakeBackend) Result(context.Context, string, JobID, int) (task.Outcome, error) {
	return b.outcome, b.err
}

func testConfig() Config {
	return Config{
		Limits: httpjson.Limits{
			MaxRequestBytes:   1000,
			MaxHeaderBytes:    8 << 10,
			ReadHeaderTimeout: 10 * time.Second,
			ReadTimeout:       10 * time.Second,
			WriteTimeout:      10 * time.Second,
			IdleTimeout:       10 * time.Second,
		},
		MaxResultBytes: 2000,
		MaxWait:        time.Minute,
		CallTimeout:    10 * time.Second,
	}
}

func serve(t *testing.T, backend Backend) (*Server, string) {
	t.Helper()
	return serveWith(t, testConfig(), backend)
}

func serveWith(t *testing.T, cfg Config, backend Backend) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(cfg, backend)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, ln.Addr().String()
}

// exchange sends raw bytes and returns the response. A request with the header
// X-Truncate ends there: the client closes its side of the connection for writing.
// The test fails if the server closes the connection without a response.
func exchange(t *testing.T, address, raw string) (*http.Response, []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(raw, "X-Truncate") {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, body
}

const submitPath = "/v1/teams/pipes/services/nozzles/requests"

func post(path, body string, headers ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s",
		path, len(body), joinHeaders(headers), body)
}

func get(path string, headers ...string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, joinHeaders(headers))
}

func joinHeaders(headers []string) string {
	var b strings.Builder
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.String()
}

const validBody = `{"idempotency_key":"k-1","class":"check"}`

// TestInvalidInputIsRejected guards against invalid input reaching the
// backend, and against an error that does not name the field and its limit.
func TestInvalidInputIsRejected(t *testing.T) {
	cases := []struct {
		name, raw, kind, field string
	}{
		{"body over the limit", post(submitPath, strings.Repeat("x", 1001)), "request_too_large", "body"},
		{"chunked body over the limit", chunked(strings.Repeat(" ", 1001)), "request_too_large", "body"},
		{"truncated body", "POST " + submitPath + " HTTP/1.1\r\nHost: h\r\nX-Truncate: 1\r\nContent-Length: 99\r\n\r\n{", "invalid_request", "body"},
		{"slow sender", "POST " + submitPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n{", "request_timeout", "body"},
		{"invalid JSON", post(submitPath, "{"), "invalid_request", "body"},
		{"text after the value", post(submitPath, validBody+"{}"), "invalid_request", "body"},
		{"JSON with a comment", post(submitPath, "/**/"+validBody), "invalid_request", "body"},
		{"unknown field", post(submitPath, `{"idempotency_key":"k","class":"c","colour":1}`), "invalid_request", "colour"},
		{"duplicate field", post(submitPath, `{"idempotency_key":"k","class":"c","class":"d"}`), "invalid_request", "class"},
		{"wrong type", post(submitPath, `{"idempotency_key":"k","class":7}`), "invalid_request", "class"},
		{"no key", post(submitPath, `{"class":"c"}`), "invalid_request", "idempotency_key"},
		{"key with a slash", post(submitPath, `{"idempotency_key":"a/b","class":"c"}`), "invalid_request", "idempotency_key"},
		{"key that consists of dots", post(submitPath, `{"idempotency_key":"..","class":"c"}`), "invalid_request", "idempotency_key"},
		{"no class", post(submitPath, `{"idempotency_key":"k"}`), "invalid_request", "class"},
		{"no tasks", post(submitPath, `{"idempotency_key":"k","class":"c","count":0}`), "invalid_request", "count"},
		{"negative size", post(submitPath, `{"idempotency_key":"k","class":"c","size":{"slots":-1}}`), "invalid_request", "size"},
		{"size beyond int64", post(submitPath, `{"idempotency_key":"k","class":"c","size":{"slots":9223372036854775808}}`), "invalid_request", "size.slots"},
		{"size above the maximum", post(submitPath, `{"idempotency_key":"k","class":"c","size":{"slots":9223372036854775807}}`), "invalid_request", "size"},
		{"wait over the limit", post(submitPath+"?wait=2m", validBody), "invalid_request", "wait"},
		{"key without bearer", post(submitPath, validBody, "Authorization: Basic x"), "key_missing", "Authorization"},
		{"timeout that is not a duration", post(submitPath, validBody, "Mulberrydrum-Timeout: soon"), "invalid_request", "Mulberrydrum-Timeout"},
		{"deadline in the past", post(submitPath, `{"idempotency_key":"k","class":"c","deadline":"2001-01-01T00:00:00Z"}`), "deadline_exceeded", "deadline"},
		{"team with a slash", post("/v1/teams/a%2Fb/services/nozzles/requests", validBody), "unknown_team", "team"},
		{"service in capitals", get("/v1/teams/pipes/services/Nozzles/requests/k"), "unknown_service", "service"},
		{"wrong method", get(submitPath), "not_allowed", "method"},
		{"wrong path", get("/v2/teams"), "unknown_path", "path"},
		{"negative index", get(submitPath + "/k/result?index=-1"), "invalid_request", "index"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			backend := &fakeBackend{err: errors.New("backend was called")}
			cfg := testConfig()
			if c.kind == string(errkind.RequestTimeout) {
				cfg.Limits.ReadTimeout = 100 * time.Millisecond
			}
			_, address := serveWith(t, cfg, backend)
			response, body := exchange(t, address, c.raw)
			var reply api.ErrorReply
			if err := json.Unmarshal(body, &reply); err != nil {
				t.Fatalf("response %q: %v", body, err)
			}
			got := reply.Error
			if string(got.Kind) != c.kind || got.Field != c.field || got.Limit == "" || got.Fate != errkind.FateNotRun {
				t.Errorf("error = %+v, want kind %s, field %s, a limit and fate not_run", got, c.kind, c.field)
			}
			if want := errkind.ResponseFor(got.Kind).Status; response.StatusCode != want {
				t.Errorf("status = %d, want %d", response.StatusCode, want)
			}
			if backend.submitted != 0 {
				t.Error("the backend was called")
			}
		})
	}
}

func chunked(body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", submitPath, len(body), body)
}

// TestSubmitForwardsRequest guards against a field that does not reach the
// backend, and against the later of two deadlines being used.
func TestSubmitForwardsRequest(t *testing.T) {
	backend := &fakeBackend{status: JobStatus{State: task.Accepted}}
	_, address := serve(t, backend)
	before := time.Now()
	body := `{"idempotency_key":"k","class":"check","count":3,"size":{"slots":2},"declared_run":"90s","payload":"aGk=","deadline":"2999-01-01T00:00:00Z"}`
	response, responseBody := exchange(t, address, post(submitPath+"?wait=30s", body, "Authorization: Bearer s3", "Mulberrydrum-Timeout: 5s"))
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %s", response.StatusCode, responseBody)
	}
	spec := backend.spec
	if spec.Team != "pipes" || spec.Service != "nozzles" || spec.Class != "check" || spec.Count != 3 || spec.Size.Slots != 2 ||
		spec.DeclaredRun != 90*time.Second || string(spec.Payload) != "hi" || backend.secret != "s3" {
		t.Errorf("spec = %+v, secret %q", spec, backend.secret)
	}
	const timeout = 5 * time.Second
	if end := backend.deadline; end.Before(before.Add(timeout)) || end.After(time.Now().Add(timeout)) {
		t.Errorf("the call ends %v after its start, want 5s as in the header", end.Sub(before))
	}
	if backend.wait <= 0 || backend.wait > timeout-maxResponseReserve {
		t.Errorf("the wait is %v, want less than the 5s of the call", backend.wait)
	}
	if spec.Deadline.Year() != 2999 {
		t.Errorf("deadline of the work = %v, want that of the body, not of the call", spec.Deadline)
	}
}

// TestTruncatedRequestsAreRejected guards against a truncated request being
// processed as a complete one, after whichever byte the connection ends.
func TestTruncatedRequestsAreRejected(t *testing.T) {
	backend := &fakeBackend{status: JobStatus{State: task.Accepted}}
	_, address := serve(t, backend)
	complete := post(submitPath, validBody, "Authorization: Bearer s3")
	for n := range len(complete) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(conn, complete[:n])
		_ = conn.(*net.TCPConn).CloseWrite()
		_, readErr := io.Copy(io.Discard, conn)
		if _ = conn.Close(); errors.Join(err, readErr) != nil || backend.submitted != 0 {
			t.Fatalf("after %d of %d bytes: %d submissions, %v %v", n, len(complete), backend.submitted, err, readErr)
		}
	}
	if exchange(t, address, complete); backend.submitted != 1 {
		t.Errorf("the complete request made %d submissions", backend.submitted)
	}
}

// TestDigestIgnoresDeadline guards against a repeated submission being treated
// as different work, and different work as a repeated submission.
func TestDigestIgnoresDeadline(t *testing.T) {
	digest := func(body string) string {
		request, err := decodeSubmit([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return workDigest(request)
	}
	first := digest(`{"idempotency_key":"k","class":"c","payload":"aGk=","deadline":"2030-01-01T00:00:00Z"}`)
	if digest(`{"class":"c", "payload":"aGk=", "idempotency_key":"k", "size":{}}`) != first {
		t.Error("the deadline, an empty size or the order of fields changes the digest")
	}
	if digest(`{"idempotency_key":"k","class":"c","payload":"aGo="}`) == first {
		t.Error("another payload has the same digest")
	}
}

// TestIncompleteResultIsRejected guards against a result that differs from the
// one reported by the worker, and against a response without length and digest.
func TestIncompleteResultIsRejected(t *testing.T) {
	data := []byte("stress 41 MPa")
	sum := sha256.Sum256(data)
	validOutcome := task.Outcome{Attempt: task.Attempt{Task: "t", Number: 2}, State: task.Finished, Result: data, Digest: hex.EncodeToString(sum[:])}
	backend := &fakeBackend{outcome: validOutcome}
	server, address := serve(t, backend)
	server.BeginDrain()
	response, body := exchange(t, address, get(submitPath+"/k/result"))
	if string(body) != string(data) || response.ContentLength != int64(len(data)) || !response.Close ||
		response.Header.Get(api.HeaderTask) != "t#2" ||
		response.Header.Get(api.HeaderDigest) != "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":" {
		t.Errorf("response %q with %v", body, response.Header)
	}
	backend.outcome.Result = data[:5]
	response, _ = exchange(t, address, get(submitPath+"/k/result"))
	if response.Header.Get(api.HeaderError) != string(errkind.ResultIncomplete) {
		t.Errorf("response to a truncated result has status %d", response.StatusCode)
	}
	backend.outcome.Result = make([]byte, 2001)
	response, _ = exchange(t, address, get(submitPath+"/k/result"))
	if response.Header.Get(api.HeaderError) != string(errkind.ResultTooLarge) {
		t.Errorf("response to a result over the limit has status %d", response.StatusCode)
	}
}

// FuzzDecodeSubmit guards against a body that causes a panic, or that is accepted
// with values out of range.
func FuzzDecodeSubmit(f *testing.F) {
	f.Add([]byte(validBody))
	f.Add([]byte(`{"idempotency_key":"k","class":"c","size":{"slots":-1}}`))
	f.Add([]byte(`{"idempotency_key":"\ud800","class":"c"}`))
	f.Add([]byte(strings.Repeat("[", 5000)))
	f.Add([]byte(`{"a":{"a":{"a":[null,"\"`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := decodeSubmit(body)
		if err != nil {
			if errkind.From(err).Kind != errkind.InvalidRequest {
				t.Errorf("error %v is not of kind invalid_request", err)
			}
			return
		}
		if request.Count < 1 || request.Class == "" || (request.Size != nil && request.Size.HasNegative()) {
			t.Errorf("accepted %+v", request)
		}
		if _, ok := ParseJobID(JobID{"t", "s", request.IdempotencyKey}.String()); !ok {
			t.Errorf("key %q does not form a valid job ID", request.IdempotencyKey)
		}
	})
}
