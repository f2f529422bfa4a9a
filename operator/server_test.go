package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// fakeBackend stores one document in memory and counts the calls that change
// anything else.
type fakeBackend struct {
	stored  StoredDocument
	changes int
	filter  TimelineFilter
	ready   error
}

func (b *fakeBackend) Apply(_ context.Context, c DocumentChange) (StoredDocument, error) {
	if c.ExpectedRevision != b.stored.Revision {
		return StoredDocument{}, &Conflict{Expected: c.ExpectedRevision, Current: b.stored}
	}
	b.stored = StoredDocument{Ref: c.Ref, Revision: b.stored.Revision + 1, Record: document.Record{
		Source: c.Source, Previous: b.stored.Record.Source, ChangedBy: c.Operator,
	}}
	return b.stored, nil
}

func (b *fakeBackend) Get(_ context.Context, ref DocumentRef) (StoredDocument, error) {
	if b.stored.Revision == 0 || b.stored.Ref != ref {
		return StoredDocument{}, errkind.New(errkind.UnknownService, "no document")
	}
	return b.stored, nil
}

func (b *fakeBackend) List(context.Context) ([]StoredDocument, error) {
	return []StoredDocument{b.stored}, nil
}

func (b *fakeBackend) GrantKey(_ context.Context, operatorName string, r api.GrantRequest) (api.GrantedKey, error) {
	b.changes++
	return api.GrantedKey{Key: api.Key{ID: "k1", Team: r.Team, Role: r.Role, GrantedBy: operatorName}, Secret: "s"}, nil
}

func (b *fakeBackend) WithdrawKey(context.Context, string, task.Team, string) (api.Key, error) {
	b.changes++
	return api.Key{}, nil
}

func (b *fakeBackend) Keys(context.Context, task.Team) ([]api.Key, error) { return nil, nil }

func (b *fakeBackend) Drain(context.Context, string, api.DrainRequest) (api.DrainStatus, error) {
	b.changes++
	return api.DrainStatus{}, nil
}

func (b *fakeBackend) ForceOwnership(context.Context, string, api.ForceOwnershipRequest) (api.Ownership, error) {
	b.changes++
	return api.Ownership{}, nil
}

func (b *fakeBackend) Workers(context.Context) ([]api.Worker, error) { return nil, nil }
func (b *fakeBackend) Shares(context.Context) ([]api.Share, error)   { return nil, nil }
func (b *fakeBackend) Members(context.Context) ([]api.Member, error) { return nil, nil }
func (b *fakeBackend) Healthy(context.Context) error                 { return nil }
func (b *fakeBackend) Ready(context.Context) error                   { return b.ready }

func (b *fakeBackend) Timeline(_ context.Context, f TimelineFilter) (api.Timeline, error) {
	b.filter = f
	return api.Timeline{}, nil
}

const secret = "correct"

func testConfig(pprof bool) Config {
	sum := sha256.Sum256([]byte(secret))
	return Config{
		Limits: httpjson.Limits{
			MaxRequestBytes: 2000, MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: 10 * time.Second,
			ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		},
		MaxWait:     time.Minute,
		Regions:     []string{"north"},
		CallTimeout: 10 * time.Second,
		Keys:        []Key{{Name: "els", Digest: hex.EncodeToString(sum[:])}},
		Metrics:     metrics.NewRegistry(),
		Pprof:       pprof,
	}
}

// callFunc sends one call and returns the status, the body and the decoded error, if any.
type callFunc func(method, path, body, key string) (int, string, api.Error)

func serve(t *testing.T, cfg Config, backend Backend) callFunc {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(cfg, backend)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		if err := errors.Join(server.Shutdown(context.Background()), <-done); err != nil {
			t.Error(err)
		}
	})
	return func(method, path, body, key string) (int, string, api.Error) {
		request, err := http.NewRequest(method, "http://"+ln.Addr().String()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Close = true
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		responseBody, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		var reply api.ErrorReply
		_ = json.Unmarshal(responseBody, &reply)
		return response.StatusCode, string(responseBody), reply.Error
	}
}

const (
	validDocument     = `{"team": "pipes", "service": "nozzles", "classes": [{"name": "a", "kind": "durable", "size": {"slots": 1}, "max_run": "5m", "command": "x"}]}`
	validDocumentPath = "/v1/documents/pipes/services/nozzles"
)

// TestInvalidInputIsRejected guards against invalid input reaching the
// backend, and against an error that does not name the field and its limit.
func TestInvalidInputIsRejected(t *testing.T) {
	cases := []struct{ name, method, path, body, kind, field string }{
		{"no expected revision", "PUT", validDocumentPath, validDocument, "invalid_request", "expect"},
		{"negative revision", "PUT", validDocumentPath + "?expect=-1", validDocument, "invalid_request", "expect"},
		{"invalid JSON", "PUT", validDocumentPath + "?expect=0", "{", "invalid_request", "body"},
		{"unknown kind", "PUT", validDocumentPath + "?expect=0", strings.Replace(validDocument, "durable", "x", 1), "invalid_request", "classes[0].kind"},
		{"unknown region", "PUT", validDocumentPath + "?expect=0", strings.Replace(validDocument, `"classes"`, `"regions": ["south"], "classes"`, 1), "invalid_request", "regions[0]"},
		{"too large", "PUT", validDocumentPath + "?expect=0", strings.Repeat(" ", 2001), "request_too_large", "body"},
		{"other team", "PUT", "/v1/documents/valves/services/nozzles?expect=0", validDocument, "invalid_request", "team"},
		{"other service", "PUT", "/v1/documents/pipes/services/x?expect=0", validDocument, "invalid_request", "service"},
		{"service as team", "PUT", "/v1/documents/pipes?expect=0", validDocument, "invalid_request", "service"},
		{"team with a slash", "PUT", "/v1/documents/a%2Fb?expect=0", validDocument, "unknown_team", "team"},
		{"wait over the limit", "PUT", validDocumentPath + "?expect=0&wait=2m", validDocument, "invalid_request", "wait"},
		{"key without a team", "POST", "/v1/keys", `{}`, "invalid_request", "team"},
		{"key with a wrong role", "POST", "/v1/keys", `{"team": "a", "role": "X"}`, "invalid_request", "role"},
		{"key with a secret", "POST", "/v1/keys", `{"team": "a", "secret": "x"}`, "invalid_request", "secret"},
		{"drain without instance and worker", "POST", "/v1/drain", `{}`, "invalid_request", "instance"},
		{"drain of both instance and worker", "POST", "/v1/drain", `{"instance": "a", "worker": "b"}`, "invalid_request", "instance"},
		{"forced takeover of an invalid unit", "POST", "/v1/ownership/force", `{"unit": "w/1", "reason": "x"}`, "invalid_request", "unit"},
		{"forced takeover without a reason", "POST", "/v1/ownership/force", `{"unit": "h/1"}`, "invalid_request", "reason"},
		{"timeline since an invalid time", "GET", "/v1/timeline?since=noon", "", "invalid_request", "since"},
		{"timeline over the limit", "GET", "/v1/timeline?limit=1000000", "", "invalid_request", "limit"},
		{"wrong method", "POST", validDocumentPath, validDocument, "not_allowed", "method"},
		{"profiles while disabled", "GET", "/debug/pprof/", "", "unknown_path", "path"},
	}
	for _, c := range cases {
		backend := &fakeBackend{}
		status, body, e := serve(t, testConfig(false), backend)(c.method, c.path, c.body, secret)
		if string(e.Kind) != c.kind || e.Field != c.field || e.Limit == "" || e.Fate != errkind.FateNotRun || status != errkind.ResponseFor(e.Kind).Status {
			t.Errorf("%s: status %d, body %s", c.name, status, body)
		}
		if backend.changes != 0 || backend.stored.Revision != 0 {
			t.Errorf("%s: the backend was changed", c.name)
		}
	}
}

// TestEveryCallRequiresKey guards against a call that is served without a valid key.
func TestEveryCallRequiresKey(t *testing.T) {
	backend := &fakeBackend{}
	call := serve(t, testConfig(true), backend)
	for _, c := range []struct{ method, path string }{
		{"GET", "/v1/documents"}, {"GET", validDocumentPath}, {"PUT", validDocumentPath + "?expect=0"}, {"POST", validDocumentPath + "/diff"},
		{"GET", "/v1/keys"}, {"POST", "/v1/keys"}, {"DELETE", "/v1/keys/a/k"}, {"POST", "/v1/drain"},
		{"POST", "/v1/ownership/force"}, {"GET", "/v1/workers"}, {"GET", "/v1/shares"}, {"GET", "/v1/members"},
		{"GET", "/v1/timeline"}, {"GET", "/v1/metrics"},
	} {
		if _, body, e := call(c.method, c.path, validDocument, ""); e.Kind != errkind.KeyMissing {
			t.Errorf("%s %s without a key: %s", c.method, c.path, body)
		}
		if _, body, e := call(c.method, c.path, validDocument, "wrong"); e.Kind != errkind.KeyRefused || strings.Contains(body, "wrong") {
			t.Errorf("%s %s with a wrong key: %s", c.method, c.path, body)
		}
	}
	if status, _, _ := call("GET", "/debug/pprof/cmdline", "", "wrong"); status != http.StatusForbidden {
		t.Errorf("profiles with a wrong key: status %d", status)
	}
	if status, _, _ := call("GET", "/debug/pprof/cmdline", "", secret); status != http.StatusOK {
		t.Errorf("profiles with the key: status %d", status)
	}
	if backend.changes != 0 || backend.stored.Revision != 0 {
		t.Error("the backend was changed")
	}
}

// TestDrainingIsHealthyButNotReady guards against a draining instance being restarted
// or receiving calls, and against health checks that require a key, which the load
// balancer does not have.
func TestDrainingIsHealthyButNotReady(t *testing.T) {
	call := serve(t, testConfig(false), &fakeBackend{ready: errkind.New(errkind.Draining, "leaving")})
	if status, _, _ := call("GET", "/healthz", "", ""); status != http.StatusOK {
		t.Errorf("health while draining: %d", status)
	}
	if status, _, _ := call("GET", "/readyz", "", ""); status != http.StatusServiceUnavailable {
		t.Errorf("readiness while draining: %d", status)
	}
}

// TestConflictDescribesLastChange guards against a concurrent change by a second
// operator that replaces the change of the first, and against a conflict error that
// does not describe the first change.
func TestConflictDescribesLastChange(t *testing.T) {
	backend := &fakeBackend{}
	call := serve(t, testConfig(false), backend)
	longer := strings.Replace(validDocument, "5m", "6m", 1)
	for i, source := range []string{validDocument, longer} {
		if status, body, _ := call("PUT", validDocumentPath+"?expect="+string(rune('0'+i)), source, secret); status != http.StatusOK {
			t.Fatalf("apply %d: %s", i, body)
		}
	}
	status, body, e := call("PUT", validDocumentPath+"?expect=1", validDocument, secret)
	if status != http.StatusConflict || e.Conflict == nil {
		t.Fatalf("status %d, body %s", status, body)
	}
	c := e.Conflict
	want := api.Change{Path: "classes[a].max_run", Before: `"5m0s"`, After: `"6m0s"`}
	if c.Expected != 1 || c.Revision != 2 || c.ChangedBy != "els" || len(c.Changes) != 1 || c.Changes[0] != want {
		t.Errorf("conflict = %+v", *c)
	}
	if backend.stored.Record.Source != longer {
		t.Error("the first change was replaced")
	}
	var diff api.Diff
	_, body, _ = call("POST", validDocumentPath+"/diff", validDocument, secret)
	if err := json.Unmarshal([]byte(body), &diff); err != nil || diff.Revision != 2 || len(diff.Changes) != 1 || diff.Changes[0].After != `"5m0s"` {
		t.Errorf("diff = %s, %v", body, err)
	}
}

// TestEveryFaultIsReported guards against only the first fault of a document being
// reported, so that an operator would have to correct one fault per call.
func TestEveryFaultIsReported(t *testing.T) {
	call := serve(t, testConfig(false), &fakeBackend{})
	source := strings.Replace(strings.Replace(validDocument, "durable", "x", 1), `"5m"`, "5", 1)
	if _, body, e := call("PUT", validDocumentPath+"?expect=0", source, secret); len(e.Faults) != 2 || e.Faults[1].Line != 1 {
		t.Errorf("response %s, want 2 faults, the second on line 1", body)
	}
}

// TestTimelineFilter guards against a filter parameter that does not reach the
// backend.
func TestTimelineFilter(t *testing.T) {
	backend := &fakeBackend{}
	call := serve(t, testConfig(false), backend)
	call("GET", "/v1/timeline?task=a/b/c%230&team=pipes&since=5m&limit=7", "", secret)
	f := backend.filter
	if f.Task != "a/b/c#0" || f.Team != "pipes" || f.Limit != 7 || time.Since(f.Since) < 5*time.Minute || time.Since(f.Since) > 6*time.Minute {
		t.Errorf("filter = %+v", f)
	}
}

// TestMetricsAreJSON guards against a value that JSON cannot represent making all
// metrics unreadable.
func TestMetricsAreJSON(t *testing.T) {
	cfg := testConfig(false)
	metrics.GetOrRegisterGaugeFloat64("ratio", cfg.Metrics).Update(nan())
	metrics.GetOrRegisterCounter("calls", cfg.Metrics).Inc(3)
	_, body, _ := serve(t, cfg, &fakeBackend{})("GET", "/v1/metrics", "", secret)
	var got map[string]map[string]any
	if err := json.Unmarshal([]byte(body), &got); err != nil || got["calls"]["count"] != 3.0 {
		t.Errorf("metrics = %s, %v", body, err)
	}
}

func nan() float64 {
	zero := 0.0
	return zero / zero
}
