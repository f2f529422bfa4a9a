package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// live runs commands against a whole deployment in this process.
type live struct {
	*testing.T
	cluster *demo.Cluster
	dir     string
	flags   []string
}

func startLive(t *testing.T) *live {
	t.Helper()
	cluster, err := demo.Start(log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	l := &live{T: t, cluster: cluster, dir: t.TempDir()}
	for _, e := range cluster.Entries[:2] {
		l.flags = append(l.flags, "--server", e.CallerAddress(), "--operator", e.OperatorAddress())
	}
	return l
}

// ctl runs a command and expects its exit code.
func (l *live) ctl(want int, args ...string) (stdout, stderr string) {
	l.Helper()
	var out, diagnostics bytes.Buffer
	ctx, cancel := context.WithTimeout(l.Context(), 30*time.Second)
	defer cancel()
	if code := run(ctx, append(args, l.flags...), strings.NewReader("L=3.2m"), &out, &diagnostics); code != want {
		l.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, out.String(), diagnostics.String())
	}
	return out.String(), diagnostics.String()
}

// read runs a command with its output in JSON.
func read[T any](l *live, want int, args ...string) T {
	l.Helper()
	var decoded T
	out, _ := l.ctl(want, append(args, "--output", "json")...)
	if err := json.Unmarshal([]byte(out), &decoded); err != nil {
		l.Fatalf("%v: %v in %q", args, err, out)
	}
	return decoded
}

func (l *live) until(what string, holds func() bool) {
	l.Helper()
	for end := time.Now().Add(15 * time.Second); !holds(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			l.Fatalf("not in 15 s: %s", what)
		}
	}
}

func (l *live) document(name string) string {
	return filepath.Join("..", "..", "demo", "documents", name)
}

// TestLive guards against a command that does not work with a deployment,
// although it works with the fakes of the other tests.
func TestLive(t *testing.T) {
	l := startLive(t)
	l.until("all members", func() bool {
		return len(read[api.Members](l, 0, "members").Members) == len(l.cluster.Entries)
	})
	l.documents()
	secret := l.keys()
	t.Setenv("MULBERRYDRUM_KEY", secret)
	l.jobs()
	l.observe()
	l.drainWorker()
	l.drainInstance()
}

func (l *live) documents() {
	if _, diagnostics := l.ctl(5, "apply", l.document("leuven-piping.jsonc")); !strings.Contains(diagnostics, "unknown_team") {
		l.Errorf("a service without a team document is refused with %q", diagnostics)
	}
	l.ctl(0, "apply", l.document("leuven.jsonc"))
	applied := read[api.Document](l, 0, "apply", l.document("leuven-piping.jsonc"), "--wait", "10s")
	if !applied.InForce || applied.Revision == 0 {
		l.Errorf("applied %+v, want it in force", applied)
	}
	text, _ := l.ctl(0, "get", "leuven", "piping")
	first := filepath.Join(l.dir, "first.jsonc")
	second := filepath.Join(l.dir, "second.jsonc")
	l.write(first, strings.Replace(text, `"max_count": 50`, `"max_count": 60`, 1))
	l.write(second, strings.Replace(text, `"max_count": 50`, `"max_count": 70`, 1))
	if out, _ := l.ctl(1, "diff", first); !strings.Contains(out, "50 -> 60") {
		l.Errorf("diff printed %q", out)
	}
	l.ctl(0, "apply", first)
	// Both operators started from the same revision; the second one must see the
	// first one's change and change nothing.
	if _, diagnostics := l.ctl(6, "apply", second); !strings.Contains(diagnostics, "50 -> 60") {
		l.Errorf("the conflict shows %q, want the first change", diagnostics)
	}
	if out, _ := l.ctl(0, "get", "leuven", "piping"); !strings.Contains(out, `"max_count": 60`) {
		l.Error("the second operator's change was applied")
	}
	if list := read[api.Documents](l, 0, "get"); len(list.Documents) != 2 {
		l.Errorf("%d documents, want 2", len(list.Documents))
	}
	l.ctl(5, "get", "leuven", "none")
}

func (l *live) write(name, text string) {
	l.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		l.Fatal(err)
	}
}

// keys returns the secret of a key that stays.
func (l *live) keys() string {
	kept := read[api.GrantedKey](l, 0, "keys", "grant", "leuven", "--note", "kept")
	gone := read[api.GrantedKey](l, 0, "keys", "grant", "leuven")
	l.ctl(0, "keys", "withdraw", "leuven", gone.ID)
	withdrawn := 0
	for _, k := range read[api.Keys](l, 0, "keys", "list", "leuven").Keys {
		if !k.WithdrawnAt.IsZero() && k.ID == gone.ID {
			withdrawn++
		}
	}
	if withdrawn != 1 {
		l.Errorf("%d keys are listed as withdrawn, want 1", withdrawn)
	}
	l.ctl(2, "keys", "withdraw", "leuven", "nokey")
	l.Setenv("MULBERRYDRUM_KEY", gone.Secret)
	l.until("the withdrawn key is refused", func() bool {
		return run(l.Context(), append([]string{"submit", "leuven", "piping", "span-lookup"}, l.flags...), nil, io.Discard, io.Discard) == 4
	})
	return kept.Secret
}

func (l *live) jobs() {
	l.until("an answer", func() bool {
		return run(l.Context(), append([]string{"submit", "leuven", "piping", "span-lookup", "--start-within", "2s"}, l.flags...), nil, io.Discard, io.Discard) == 0
	})
	submit := []string{"submit", "leuven", "piping", "nozzle-check", "--payload", "-", "--idempotency-key", "n-1", "--wait", "10s"}
	first := read[api.Job](l, 0, submit...)
	if again := read[api.Job](l, 0, submit...); first.State != task.Finished || first.Repeated || !again.Repeated || again.Tasks[0].ID != first.Tasks[0].ID {
		l.Errorf("first %+v, repeated %+v", first, again)
	}
	l.ctl(6, "submit", "leuven", "piping", "nozzle-check", "--idempotency-key", "n-1")
	if job := read[api.Job](l, 0, "status", first.ID); job.State != task.Finished {
		l.Errorf("status is %s", job.State)
	}
	if out, _ := l.ctl(0, "result", first.ID); out != "L=3.2m" {
		l.Errorf("the result is %q", out)
	}
	l.ctl(5, "status", "leuven/piping/none")
	l.ctl(1, "submit", "leuven", "piping", "failing-report", "--wait", "10s")
	service := read[api.Job](l, 0, "submit", "leuven", "piping", "span-tables", "--idempotency-key", "s-1")
	l.until("the service runs", func() bool {
		return read[api.Job](l, 0, "status", service.ID).State == task.Running
	})
	l.ctl(8, "result", service.ID)
	l.ctl(0, "cancel", service.ID)
	l.ctl(7, "status", service.ID, "--wait", "10s")
}

func (l *live) observe() {
	timeline := read[api.Timeline](l, 0, "timeline", "--task", "leuven/piping/n-1/0")
	seen := map[string]bool{}
	for _, e := range timeline.Events {
		seen[string(e.Type)] = true
		if e.Task != "leuven/piping/n-1/0" {
			l.Errorf("the time line of one task has %s", e)
		}
	}
	for _, want := range []string{"request_accepted", "task_placed", "task_start_sent", "task_finished", "request_answered"} {
		if !seen[want] {
			l.Errorf("the time line has no %s", want)
		}
	}
	if workers := read[api.Workers](l, 0, "workers").Workers; len(workers) != len(l.cluster.Workers) {
		l.Errorf("%d workers, want %d", len(workers), len(l.cluster.Workers))
	}
	shares := read[api.Shares](l, 0, "shares").Shares
	if len(shares) != 1 || shares[0].Team != "leuven" || shares[0].Limit.Slots != 200 {
		l.Errorf("shares are %+v", shares)
	}
	metrics := read[map[string]map[string]any](l, 0, "metrics", "control.")
	if metrics["control.apply_ns"]["count"] == nil || metrics["timeline.dropped_count"] != nil {
		l.Errorf("metrics of control. are %v", metrics)
	}
	l.metricsPage()
	for _, command := range []string{"members", "workers", "shares", "metrics", "timeline"} {
		if out, _ := l.ctl(0, command); len(out) == 0 {
			l.Errorf("%s prints nothing", command)
		}
	}
}

// metricsPage guards against a metric that the page of operations lacks, and
// against one on the page that does not exist.
func (l *live) metricsPage() {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		l.Fatal(err)
	}
	described := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z]+\\.[^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		described[match[1]] = true
	}
	found := map[string]bool{}
	for _, e := range l.cluster.Entries {
		var out bytes.Buffer
		run(l.Context(), []string{"metrics", "--output", "json", "--operator", e.OperatorAddress()}, nil, &out, l.Output())
		var all map[string]any
		if err := json.Unmarshal(out.Bytes(), &all); err != nil {
			l.Fatal(err)
		}
		for name := range all {
			found[pageName(name)] = true
		}
	}
	for name := range found {
		if !described[name] {
			l.Errorf("docs/OPERATIONS.md does not describe %s", name)
		}
	}
	for name := range described {
		if !found[name] {
			l.Errorf("docs/OPERATIONS.md describes %s, which no instance has", name)
		}
	}
}

func pageName(name string) string {
	switch {
	case strings.HasPrefix(name, "worker."):
		return "worker.ADDRESS" + name[strings.LastIndexByte(name, '.'):]
	case strings.HasPrefix(name, "store.call_count."):
		return "store.call_count.CALL.OUTCOME"
	}
	for prefix, placeholder := range map[string]string{"request.kind_count.": "KIND", "request.error_count.": "ERROR", "task.wait_ms.": "TEAM", "store.call_us.": "CALL"} {
		if strings.HasPrefix(name, prefix) {
			return prefix + placeholder
		}
	}
	return name
}

func (l *live) drainWorker() {
	name := l.cluster.Workers[0].Instance.Name
	state := func() string {
		for _, w := range read[api.Workers](l, 0, "workers").Workers {
			if w.Name == name {
				return w.State
			}
		}
		return ""
	}
	l.ctl(0, "drain", "--worker", name)
	l.until("the worker is draining", func() bool { return state() == "draining" })
	l.ctl(0, "drain", "--worker", name, "--undo")
	l.until("the worker is ready again", func() bool { return state() == "ready" })
	l.ctl(2, "drain", "--worker", "worker-none")
	l.ctl(2, "drain", "--instance", "entry-none")
}

// drainInstance drains an instance that is not asked by the commands.
func (l *live) drainInstance() {
	name := l.cluster.Entries[5].Name
	l.ctl(0, "drain", "--instance", name)
	l.until("the instance owns nothing", func() bool {
		for _, m := range read[api.Members](l, 0, "members").Members {
			if m.Instance == name {
				return m.Draining && len(m.Units) == 0
			}
		}
		return true
	})
}
