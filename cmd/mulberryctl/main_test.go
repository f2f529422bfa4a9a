package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// callerBackend is a fake that returns outcome and err for every submission, with the
// payload as the result. It records the spec of the last submission.
type callerBackend struct {
	caller.Backend
	spec    task.Spec
	outcome task.Outcome
	err     error
}

func (b *callerBackend) Submit(_ context.Context, secret string, spec task.Spec, _ time.Duration) (caller.JobStatus, error) {
	if secret != "s3cret" {
		return caller.JobStatus{}, errkind.New(errkind.KeyRefused, "no such key")
	}
	b.spec = spec
	o := b.outcome
	o.Result = spec.Payload
	return caller.JobStatus{State: o.State, Tasks: []caller.TaskStatus{{ID: "t", State: o.State, Outcome: &o}}}, b.err
}

// operatorBackend is a fake that stores a single document in memory.
type operatorBackend struct {
	operator.Backend
	stored operator.StoredDocument
}

func (b *operatorBackend) Get(context.Context, operator.DocumentRef) (operator.StoredDocument, error) {
	if b.stored.Revision == 0 {
		return b.stored, errkind.New(errkind.UnknownService, "no document")
	}
	return b.stored, nil
}

func (b *operatorBackend) Apply(_ context.Context, c operator.DocumentChange) (operator.StoredDocument, error) {
	if c.ExpectedRevision != b.stored.Revision {
		return operator.StoredDocument{}, &operator.Conflict{Expected: c.ExpectedRevision, Current: b.stored}
	}
	b.stored = operator.StoredDocument{Ref: c.Ref, Revision: b.stored.Revision + 1, Record: document.Record{
		Source: c.Source, Previous: b.stored.Record.Source, ChangedBy: c.Operator}}
	return b.stored, nil
}

func (b *operatorBackend) Ready(context.Context) error   { return nil }
func (b *operatorBackend) Healthy(context.Context) error { return nil }

type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// startServer serves s on a loopback port until the test ends, and returns its address.
func startServer(t *testing.T, s server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()); <-done })
	return ln.Addr().String()
}

// command runs mulberryctl with the addresses of the servers of the fake backends.
type command func(stdin string, args ...string) (code int, stdout, stderr string)

// newCommand starts a server for each backend and returns a command that uses them.
func newCommand(t *testing.T, callers caller.Backend, operators operator.Backend) command {
	t.Helper()
	limits := httpjson.Limits{
		MaxRequestBytes: 1 << 20, MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
	}
	callerAddress := startServer(t, caller.NewServer(caller.Config{Limits: limits, MaxResultBytes: 1 << 20, MaxWait: time.Minute, CallTimeout: 10 * time.Second}, callers))
	operatorAddress := startServer(t, operator.NewServer(operator.Config{Limits: limits, MaxWait: time.Minute, CallTimeout: 10 * time.Second, Metrics: metrics.NewRegistry()}, operators))
	t.Setenv("MULBERRYDRUM_KEY", "s3cret")
	return func(stdin string, args ...string) (int, string, string) {
		var out, diagnostics bytes.Buffer
		args = append(args, "--server", callerAddress, "--operator", operatorAddress)
		code := run(context.Background(), args, strings.NewReader(stdin), &out, &diagnostics)
		return code, out.String(), diagnostics.String()
	}
}

// TestSubmitExitCodes guards against an exit code that makes a script treat a failure
// as a success, and against output without the result of the job.
func TestSubmitExitCodes(t *testing.T) {
	finished := task.Outcome{State: task.Finished}
	cases := []struct {
		name    string
		outcome task.Outcome
		err     error
		code    int
	}{
		{"success", finished, nil, 0},
		{"failed", task.Outcome{State: task.Finished, ExitCode: 3}, nil, 1},
		{"not run", task.Outcome{State: task.NotRun, Reason: string(errkind.KeyWithdrawn)}, nil, 4},
		{"unknown", task.Outcome{State: task.Unknown, Reason: string(errkind.WorkerLost)}, nil, 8},
		{"refused", finished, errkind.New(errkind.IdempotencyConflict, "other body"), 6},
	}
	for _, c := range cases {
		run := newCommand(t, &callerBackend{outcome: c.outcome, err: c.err}, &operatorBackend{})
		code, stdout, stderr := run("span 4 m", "submit", "pipes", "supports", "span", "--payload", "-", "--wait", "2s", "--idempotency-key", "k")
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d\n%s%s", c.name, code, c.code, stdout, stderr)
		}
		if c.err == nil && !strings.HasSuffix(stdout, "\nspan 4 m") {
			t.Errorf("%s: output %q", c.name, stdout)
		}
		if c.err != nil && !strings.Contains(stderr, "idempotency_conflict") {
			t.Errorf("%s: error output %q", c.name, stderr)
		}
	}
}

// TestSubmitFlags guards against a flag that has no effect on the request.
func TestSubmitFlags(t *testing.T) {
	backend := &callerBackend{outcome: task.Outcome{State: task.Finished}}
	code, _, stderr := newCommand(t, backend, &operatorBackend{})("", "submit", "pipes", "flex", "run", "--count", "3", "--cpu-milli", "2000",
		"--start-within", "1m", "--review-by", "2030-05-04T09:30:00Z", "--region", "north,south", "--declared-run", "90s")
	s := backend.spec
	if code != 0 || s.Count != 3 || s.Size.CPUMilli != 2000 || time.Until(s.Deadline) < 10*time.Second || s.ReviewBy.Year() != 2030 ||
		len(s.Regions) != 2 || s.DeclaredRun != 90*time.Second || !strings.Contains(stderr, "idempotency key: "+s.IdempotencyKey) {
		t.Errorf("exit code %d, spec %+v, %s", code, s, stderr)
	}
}

// TestLargePayloadIsRefused guards against a request that is refused for its size being
// reported as a request with an unknown outcome.
func TestLargePayloadIsRefused(t *testing.T) {
	run := newCommand(t, &callerBackend{}, &operatorBackend{})
	for range 2 {
		code, _, stderr := run(strings.Repeat("x", 4<<20), "submit", "pipes", "flex", "run", "--payload", "-", "--idempotency-key", "k")
		if code != 2 || !strings.Contains(stderr, "request_too_large") {
			t.Fatalf("exit code %d, %s", code, stderr)
		}
	}
}

// TestErrorsAsJSON guards against an error that is not printed as JSON, so that a script
// cannot parse it.
func TestErrorsAsJSON(t *testing.T) {
	run := newCommand(t, &callerBackend{}, &operatorBackend{})
	t.Setenv("MULBERRYDRUM_KEY", "wrong")
	code, _, stderr := run("", "submit", "pipes", "flex", "run", "--idempotency-key", "k", "--output", "json")
	var reply api.ErrorReply
	if err := json.Unmarshal([]byte(stderr), &reply); err != nil || reply.Error.Kind != errkind.KeyRefused || code != 4 {
		t.Errorf("exit code %d, %s, %v", code, stderr, err)
	}
}

const serviceDocument = `{"team": "pipes", "service": "nozzles", "classes": [{"name": "a", "kind": "durable", "size": {"slots": 1}, "max_run": "5m", "command": "x"}]}`

// TestApplyAfterAnotherOperator guards against an apply that overwrites a change that
// another operator made after the file was read.
func TestApplyAfterAnotherOperator(t *testing.T) {
	backend := &operatorBackend{}
	run := newCommand(t, &callerBackend{}, backend)
	if code, _, stderr := run(serviceDocument, "apply", "-"); code != 0 {
		t.Fatalf("first apply: exit code %d, %s", code, stderr)
	}
	_, edited, _ := run("", "get", "pipes", "nozzles")
	if !strings.HasPrefix(edited, "// mulberryctl revision 1\n{") {
		t.Fatalf("get printed %q", edited)
	}
	if code, _, stderr := run(strings.Replace(serviceDocument, "5m", "6m", 1), "apply", "-", "--expect", "1"); code != 0 {
		t.Fatalf("apply of the other operator: exit code %d, %s", code, stderr)
	}
	code, _, stderr := run(strings.Replace(edited, "5m", "7m", 1), "apply", "-")
	if code != 6 || !strings.Contains(stderr, `classes[a].max_run: "5m0s" -> "6m0s"`) || !strings.Contains(backend.stored.Record.Source, "6m") {
		t.Errorf("exit code %d, %s", code, stderr)
	}
	if code, out, _ := run(edited, "diff", "-"); code != 1 || !strings.Contains(out, `"6m0s" -> "5m0s"`) {
		t.Errorf("diff: exit code %d, %s", code, out)
	}
}

// TestConfigCheck guards against a fault that is printed without its position, and
// against an exit code of 0 for a file with faults.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := newCommand(t, &callerBackend{}, &operatorBackend{})
	good := write("good.jsonc", serviceDocument)
	if code, out, _ := run("", "config", "check", good); code != 0 || out != "" {
		t.Errorf("good document: exit code %d, %s", code, out)
	}
	for name, c := range map[string]struct{ text, want string }{
		"document.jsonc": {"{\"team\": \"pipes\",\n \"limit\": 1}", ":2:11: limit: found 1; allowed: an object with cpu_milli"},
		"settings.jsonc": {"{\"instance\": \"a\",\n \"task_lease\": \"x\"}", `:2:16: task_lease: found "x"; allowed: a duration`},
		"other.jsonc":    {`{"colour": 1}`, ":1:1: the file is neither settings nor a document nor a configuration of the platform; allowed: "},
		"broken.jsonc":   {"{\"team\":\n", ":2:1: unexpected end of input"},
	} {
		path := write(name, c.text)
		if code, out, _ := run("", "config", "check", good, path); code != 1 || !strings.Contains(out, path+c.want) {
			t.Errorf("%s: exit code %d, %s", name, code, out)
		}
	}
	if code, _, _ := run("", "config", "check", filepath.Join(dir, "none")); code != 1 {
		t.Errorf("missing file: exit code %d", code)
	}
}

// TestConfigCheckOfPlatform guards against a configuration of the platform that is not recognised, and
// against differences that are not printed or count as faults.
func TestConfigCheckOfPlatform(t *testing.T) {
	const example = "../../examples/platform/configuration.json"
	run := newCommand(t, &callerBackend{}, &operatorBackend{})
	if code, out, _ := run("", "config", "check", example, "--against", example); code != 0 || out != "" {
		t.Errorf("example: exit code %d, %s", code, out)
	}
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	changed := filepath.Join(t.TempDir(), "changed.json")
	write := func(old, replacement string) {
		next := strings.Replace(strings.Replace(string(text), `"version": 12`, `"version": 13`, 1), old, replacement, 1)
		if err := os.WriteFile(changed, []byte(next), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`"weight": 50`, `"weight": 60`)
	if code, out, _ := run("", "config", "check", changed, "--against", example); code != 0 || !strings.Contains(out, `changes: tenants["archive"].weight: 50 -> 60`) {
		t.Errorf("changed: exit code %d, %s", code, out)
	}
	write(`"service": "calc", "maxAttempts": 2`, `"service": "clac", "maxAttempts": 2`)
	if code, out, _ := run("", "config", "check", changed); code != 1 || !strings.Contains(out, changed+":11:79: routes[1].service: there is no service \"clac\"") {
		t.Errorf("with a fault: exit code %d, %s", code, out)
	}
	if code, _, _ := run("", "config", "check", example, "--against", filepath.Join(t.TempDir(), "none")); code != 1 {
		t.Errorf("nothing to compare with: exit code %d", code)
	}
}

// TestUsageErrors guards against an invalid command line being reported with the
// exit code of another failure.
func TestUsageErrors(t *testing.T) {
	run := newCommand(t, &callerBackend{}, &operatorBackend{})
	for _, args := range [][]string{{"drain"}, {"drain", "--worker", "a", "--instance", "b"}, {"fly"}, {"status", "a/b"}, {"ownership", "force", "w/x/1"}} {
		if code, _, stderr := run("", args...); code != 2 || stderr == "" {
			t.Errorf("%v: exit code %d, %q", args, code, stderr)
		}
	}
}
