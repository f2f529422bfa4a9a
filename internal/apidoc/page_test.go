package apidoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"text/template"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/settings"
)

// TestPage guards against documentation that differs from the responses of the
// servers. To regenerate the page after a change: go test ./internal/apidoc -update
func TestPage(t *testing.T) {
	text, err := os.ReadFile("testdata/api.md.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	defaults := settings.Default()
	limits := httpjson.Limits{
		MaxRequestBytes: defaults.MaxRequestBytes, MaxHeaderBytes: defaults.MaxHeaderBytes,
		ReadHeaderTimeout: defaults.ReadHeaderTimeout, ReadTimeout: defaults.ReadTimeout,
		WriteTimeout: defaults.WriteTimeout, IdleTimeout: defaults.IdleTimeout,
	}
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("caller.requests", registry).Inc(3)
	callerServer := caller.NewServer(caller.Config{
		Limits: limits, MaxResultBytes: defaults.MaxResultBytes, MaxWait: defaults.MaxWait, CallTimeout: defaults.CallTimeout,
	}, newCallerBackend())
	operatorServer := operator.NewServer(operator.Config{
		Limits: limits, MaxWait: defaults.MaxWait, CallTimeout: time.Second, Metrics: registry,
	}, operatorBackend{})
	page := template.Must(template.New("api.md").Funcs(template.FuncMap{
		"caller":   func(method, path, body string) (string, error) { return example(callerServer, method, path, body) },
		"operator": func(method, path, body string) (string, error) { return example(operatorServer, method, path, body) },
		"errors":   errkind.Reference,
		"source":   func() string { return documentSource },
	}).Parse(string(text)))
	var out bytes.Buffer
	if err := page.Execute(&out, nil); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*httpjson.Server{callerServer.Server, operatorServer.Server} {
		for _, path := range s.Paths() {
			if !strings.Contains(out.String(), "`"+path+"`") {
				t.Errorf("the page does not describe %s", path)
			}
		}
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "api", out.Bytes())
}

// example makes one call and returns the request and the response as Markdown.
func example(handler http.Handler, method, path, body string) (string, error) {
	request := httptest.NewRequest(method, "http://entry"+path, strings.NewReader(body))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var b strings.Builder
	fmt.Fprintf(&b, "```\n%s %s\n", method, path)
	if body != "" {
		fmt.Fprintf(&b, "\n%s\n", body)
	}
	fmt.Fprintf(&b, "```\n\n```\n%d %s\n", recorder.Code, http.StatusText(recorder.Code))
	for _, name := range []string{"Content-Length", api.HeaderDigest, api.HeaderError, api.HeaderTask, "Retry-After"} {
		if value := recorder.Header().Get(name); value != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, value)
		}
	}
	responseBody := bytes.TrimSpace(recorder.Body.Bytes())
	if recorder.Header().Get("Content-Type") == "application/json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, responseBody, "", "  "); err != nil {
			return "", err
		}
		responseBody = indented.Bytes()
	}
	fmt.Fprintf(&b, "\n%s\n```", responseBody)
	return b.String(), nil
}
