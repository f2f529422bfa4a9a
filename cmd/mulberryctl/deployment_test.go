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

// deployment runs commands against a complete deployment in this process.
type deployment struct {
	*testing.T
	cluster *demo.Cluster
	dir     string
	flags   []string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	cluster, err := demo.Start(log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	d := &deployment{T: t, cluster: cluster, dir: t.TempDir()}
	for _, e := range cluster.Entries[:2] {
		d.flags = append(d.flags, "--server", e.CallerAddress(), "--operator", e.OperatorAddress())
	}
	return d
}

// run runs a command and fails the test if the exit code is not want.
func (d *deployment) run(want int, args ...string) (stdout, stderr string) {
	d.Helper()
	var out, diagnostics bytes.Buffer
	ctx, cancel := context.WithTimeout(d.Context(), 30*time.Second)
	defer cancel()
	if code := run(ctx, append(args, d.flags...), strings.NewReader("L=3.2m"), &out, &diagnostics); code != want {
		d.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, out.String(), diagnostics.String())
	}
	return out.String(), diagnostics.String()
}

// runJSON runs a command and decodes its JSON output.
func runJSON[T any](d *deployment, want int, args ...string) T {
	d.Helper()
	var decoded T
	out, _ := d.run(want, append(args, "--output", "json")...)
	if err := json.Unmarshal([]byte(out), &decoded); err != nil {
		d.Fatalf("%v: %v in %q", args, err, out)
	}
	return decoded
}

// waitFor polls until reached returns true, and fails the test after 15 s.
func (d *deployment) waitFor(condition string, reached func() bool) {
	d.Helper()
	for end := time.Now().Add(15 * time.Second); !reached(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			d.Fatalf("timed out after 15 s waiting until %s", condition)
		}
	}
}

func (d *deployment) documentPath(name string) string {
	return filepath.Join("..", "..", "demo", "documents", name)
}

// TestCommandsWithDeployment guards against a command that works with the fake backends
// of the other tests but not with a real deployment.
func TestCommandsWithDeployment(t *testing.T) {
	d := startDeployment(t)
	d.waitFor("all instances are members", func() bool {
		return len(runJSON[api.Members](d, 0, "members").Members) == len(d.cluster.Entries)
	})
	d.checkDocuments()
	secret := d.checkKeys()
	t.Setenv("MULBERRYDRUM_KEY", secret)
	d.checkJobs()
	d.checkObservability()
	d.checkWorkerDrain()
	d.checkInstanceDrain()
}

func (d *deployment) checkDocuments() {
	if _, diagnostics := d.run(5, "apply", d.documentPath("leuven-piping.jsonc")); !strings.Contains(diagnostics, "unknown_team") {
		d.Errorf("apply of a service without a team document: error output %q, want unknown_team", diagnostics)
	}
	d.run(0, "apply", d.documentPath("leuven.jsonc"))
	applied := runJSON[api.Document](d, 0, "apply", d.documentPath("leuven-piping.jsonc"), "--wait", "10s")
	if !applied.InForce || applied.Revision == 0 {
		d.Errorf("applied %+v, want it in force", applied)
	}
	text, _ := d.run(0, "get", "leuven", "piping")
	first := filepath.Join(d.dir, "first.jsonc")
	second := filepath.Join(d.dir, "second.jsonc")
	d.write(first, strings.Replace(text, `"max_count": 50`, `"max_count": 60`, 1))
	d.write(second, strings.Replace(text, `"max_count": 50`, `"max_count": 70`, 1))
	if out, _ := d.run(1, "diff", first); !strings.Contains(out, "50 -> 60") {
		d.Errorf("diff printed %q", out)
	}
	d.run(0, "apply", first)
	// Both operators edited the same revision. The second apply must fail, show the
	// first operator's change and change nothing.
	if _, diagnostics := d.run(6, "apply", second); !strings.Contains(diagnostics, "50 -> 60") {
		d.Errorf("second apply: error output %q, want the change of the first operator", diagnostics)
	}
	if out, _ := d.run(0, "get", "leuven", "piping"); !strings.Contains(out, `"max_count": 60`) {
		d.Error("the second operator's change was applied")
	}
	if list := runJSON[api.Documents](d, 0, "get"); len(list.Documents) != 2 {
		d.Errorf("%d documents, want 2", len(list.Documents))
	}
	d.run(5, "get", "leuven", "none")
}

func (d *deployment) write(name, text string) {
	d.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		d.Fatal(err)
	}
}

// checkKeys grants two keys, withdraws one and returns the secret of the other.
func (d *deployment) checkKeys() string {
	kept := runJSON[api.GrantedKey](d, 0, "keys", "grant", "leuven", "--note", "kept")
	withdrawn := runJSON[api.GrantedKey](d, 0, "keys", "grant", "leuven")
	d.run(0, "keys", "withdraw", "leuven", withdrawn.ID)
	listed := 0
	for _, k := range runJSON[api.Keys](d, 0, "keys", "list", "leuven").Keys {
		if !k.WithdrawnAt.IsZero() && k.ID == withdrawn.ID {
			listed++
		}
	}
	if listed != 1 {
		d.Errorf("the withdrawn key is listed as withdrawn %d times, want 1", listed)
	}
	d.run(2, "keys", "withdraw", "leuven", "nokey")
	d.Setenv("MULBERRYDRUM_KEY", withdrawn.Secret)
	d.waitFor("the withdrawn key is refused", func() bool {
		return run(d.Context(), append([]string{"submit", "leuven", "piping", "span-lookup"}, d.flags...), nil, io.Discard, io.Discard) == 4
	})
	return kept.Secret
}

func (d *deployment) checkJobs() {
	d.waitFor("a submission succeeds", func() bool {
		return run(d.Context(), append([]string{"submit", "leuven", "piping", "span-lookup", "--start-within", "2s"}, d.flags...), nil, io.Discard, io.Discard) == 0
	})
	submit := []string{"submit", "leuven", "piping", "nozzle-check", "--payload", "-", "--idempotency-key", "n-1", "--wait", "10s"}
	first := runJSON[api.Job](d, 0, submit...)
	if repeated := runJSON[api.Job](d, 0, submit...); first.State != task.Finished || first.Repeated || !repeated.Repeated || repeated.Tasks[0].ID != first.Tasks[0].ID {
		d.Errorf("first %+v, repeated %+v", first, repeated)
	}
	d.run(6, "submit", "leuven", "piping", "nozzle-check", "--idempotency-key", "n-1")
	if job := runJSON[api.Job](d, 0, "status", first.ID); job.State != task.Finished {
		d.Errorf("state of the first job is %s, want finished", job.State)
	}
	if out, _ := d.run(0, "result", first.ID); out != "L=3.2m" {
		d.Errorf("result is %q, want the payload", out)
	}
	d.run(5, "status", "leuven/piping/none")
	d.run(1, "submit", "leuven", "piping", "failing-report", "--wait", "10s")
	service := runJSON[api.Job](d, 0, "submit", "leuven", "piping", "span-tables", "--idempotency-key", "s-1")
	d.waitFor("the service is running", func() bool {
		return runJSON[api.Job](d, 0, "status", service.ID).State == task.Running
	})
	d.run(8, "result", service.ID)
	d.run(0, "cancel", service.ID)
	d.run(7, "status", service.ID, "--wait", "10s")
}

func (d *deployment) checkObservability() {
	timeline := runJSON[api.Timeline](d, 0, "timeline", "--task", "leuven/piping/n-1/0")
	seen := map[string]bool{}
	for _, e := range timeline.Events {
		seen[string(e.Type)] = true
		if e.Task != "leuven/piping/n-1/0" {
			d.Errorf("the timeline of one task contains %s", e)
		}
	}
	for _, want := range []string{"request_accepted", "task_placed", "task_start_sent", "task_finished", "request_answered"} {
		if !seen[want] {
			d.Errorf("the timeline has no event %s", want)
		}
	}
	if workers := runJSON[api.Workers](d, 0, "workers").Workers; len(workers) != len(d.cluster.Workers) {
		d.Errorf("%d workers, want %d", len(workers), len(d.cluster.Workers))
	}
	shares := runJSON[api.Shares](d, 0, "shares").Shares
	if len(shares) != 1 || shares[0].Team != "leuven" || shares[0].Limit.Slots != 200 {
		d.Errorf("shares are %+v, want those of leuven with a limit of 200 slots", shares)
	}
	metrics := runJSON[map[string]map[string]any](d, 0, "metrics", "control.")
	if metrics["control.apply_ns"]["count"] == nil || metrics["timeline.dropped_count"] != nil {
		d.Errorf("metrics with prefix control. are %v", metrics)
	}
	d.checkMetricsPage()
	for _, command := range []string{"members", "workers", "shares", "metrics", "timeline"} {
		if out, _ := d.run(0, command); len(out) == 0 {
			d.Errorf("%s prints nothing", command)
		}
	}
}

// checkMetricsPage guards against a metric that docs/OPERATIONS.md does not describe,
// and against a description of a metric that does not exist.
func (d *deployment) checkMetricsPage() {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		d.Fatal(err)
	}
	described := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z]+\\.[^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		described[match[1]] = true
	}
	found := map[string]bool{}
	for _, e := range d.cluster.Entries {
		var out bytes.Buffer
		run(d.Context(), []string{"metrics", "--output", "json", "--operator", e.OperatorAddress()}, nil, &out, d.Output())
		var values map[string]any
		if err := json.Unmarshal(out.Bytes(), &values); err != nil {
			d.Fatal(err)
		}
		for name := range values {
			found[documentedName(name)] = true
		}
	}
	for name := range found {
		if !described[name] {
			d.Errorf("docs/OPERATIONS.md does not describe %s", name)
		}
	}
	for name := range described {
		if !found[name] {
			d.Errorf("docs/OPERATIONS.md describes %s, which no instance has", name)
		}
	}
}

// documentedName returns the name under which docs/OPERATIONS.md describes a metric:
// variable parts are replaced by placeholders.
func documentedName(name string) string {
	switch {
	case strings.HasPrefix(name, "worker."):
		return "worker.ADDRESS" + name[strings.LastIndexByte(name, '.'):]
	case strings.HasPrefix(name, "store.call_count."):
		return "store.call_count.CALL.OUTCOME"
	case strings.HasPrefix(name, "intake."):
		parts := strings.Split(name, ".")
		parts[1] = "BUDGET"
		if len(parts) == 4 {
			parts[3] = "CAUSE"
		}
		return strings.Join(parts, ".")
	}
	for prefix, placeholder := range map[string]string{"request.kind_count.": "KIND", "request.error_count.": "ERROR", "task.wait_ms.": "TEAM", "store.call_us.": "CALL"} {
		if strings.HasPrefix(name, prefix) {
			return prefix + placeholder
		}
	}
	return name
}

func (d *deployment) checkWorkerDrain() {
	name := d.cluster.Workers[0].Instance.Name
	state := func() string {
		for _, w := range runJSON[api.Workers](d, 0, "workers").Workers {
			if w.Name == name {
				return w.State
			}
		}
		return ""
	}
	d.run(0, "drain", "--worker", name)
	d.waitFor("the worker is draining", func() bool { return state() == "draining" })
	d.run(0, "drain", "--worker", name, "--undo")
	d.waitFor("the worker is ready again", func() bool { return state() == "ready" })
	d.run(2, "drain", "--worker", "worker-none")
	d.run(2, "drain", "--instance", "entry-none")
}

// checkInstanceDrain drains an instance that the commands do not connect to.
func (d *deployment) checkInstanceDrain() {
	name := d.cluster.Entries[5].Name
	d.run(0, "drain", "--instance", name)
	d.waitFor("the instance owns no units", func() bool {
		for _, m := range runJSON[api.Members](d, 0, "members").Members {
			if m.Instance == name {
				return m.Draining && len(m.Units) == 0
			}
		}
		return true
	})
}
