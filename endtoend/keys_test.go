package endtoend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// withdrawalBound is the setting key_freshness plus one second.
const withdrawalBound = 5*time.Second + time.Second

// grantKey grants a key through one instance and waits until all instances accept
// it. It retries, because an instance that has just started rejects changes.
func grantKey(t *testing.T, c *processtest.Cluster, e *processtest.Entry) api.GrantedKey {
	t.Helper()
	var key api.GrantedKey
	c.Eventually(serviceBound, "grant a key", func() bool {
		var err error
		key, err = e.Operator.GrantKey(t.Context(), api.GrantRequest{Team: "leuven"})
		return err == nil
	})
	for _, other := range c.Entries {
		c.Eventually(withdrawalBound, "key in force on "+other.Settings.Instance, func() bool { return submitOnce(t.Context(), other, key.Secret, "granted") == nil })
	}
	return key
}

// submitOnce sends one request under a key to one instance and returns its error.
func submitOnce(ctx context.Context, e *processtest.Entry, secret, name string) error {
	caller := client.New(client.Config{Addresses: []string{e.Settings.CallerAddress}, Secret: secret})
	defer caller.Close()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request := api.SubmitRequest{IdempotencyKey: fmt.Sprintf("%s-%s-%d", name, e.Settings.Instance, time.Now().UnixNano()), Class: "span-lookup"}
	_, err := caller.Submit(ctx, "leuven", "piping", request, 3*time.Second)
	return err
}

// probeUntilDone sends requests under a key to one instance until the context is
// done. It closes answered after the first answer, and returns the time at which
// the last answered request was sent.
func probeUntilDone(ctx context.Context, e *processtest.Entry, secret string, answered chan<- struct{}) (last time.Time) {
	for ctx.Err() == nil {
		sent := time.Now()
		if submitOnce(ctx, e, secret, "probe") == nil {
			if last.IsZero() {
				close(answered)
			}
			last = sent
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}

func submitWithoutWait(t *testing.T, c *processtest.Cluster, secret, key, class string) string {
	t.Helper()
	caller := client.New(client.Config{Addresses: []string{c.Entries[1].Settings.CallerAddress}, Secret: secret})
	defer caller.Close()
	if _, err := caller.Submit(t.Context(), "leuven", "piping", api.SubmitRequest{IdempotencyKey: key, Class: class, Payload: []byte(key)}, 0); err != nil {
		t.Fatalf("submit %s: %v", class, err)
	}
	return "leuven/piping/" + key
}

// TestKeyWithdrawn guards against a withdrawn key that is still accepted, by a
// running instance or by one that was frozen, and against work that continues
// under it.
func TestKeyWithdrawn(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	key := grantKey(t, c, c.Entries[0])
	service := submitWithoutWait(t, c, key.Secret, "service", "span-tables")
	caller := newCaller(c, "leuven")
	c.Eventually(serviceBound, "the service runs", func() bool {
		job, err := caller.Status(t.Context(), service)
		return err == nil && job.State == task.Running
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	last := make([]chan time.Time, len(c.Entries))
	answered := make([]chan struct{}, len(c.Entries))
	frozen := c.Entries[3]
	for i, e := range c.Entries {
		last[i], answered[i] = make(chan time.Time, 1), make(chan struct{})
		go func() { last[i] <- probeUntilDone(ctx, e, key.Secret, answered[i]) }()
	}
	for _, first := range answered {
		<-first
	}
	frozen.Freeze()
	if _, err := c.Entries[0].Operator.WithdrawKey(t.Context(), "leuven", key.ID); err != nil {
		t.Fatal(err)
	}
	withdrawnAt := time.Now()
	pause(withdrawalBound + time.Second)
	frozen.Resume()
	pause(2 * time.Second)
	cancel()
	for i, e := range c.Entries {
		after := (<-last[i]).Sub(withdrawnAt).Round(time.Millisecond)
		t.Logf("%s: last request under the key was sent %v after its withdrawal", e.Settings.Instance, after)
		if after > withdrawalBound {
			t.Errorf("%s accepted the key %v after its withdrawal, want at most %v", e.Settings.Instance, after, withdrawalBound)
		}
	}
	var job api.Job
	c.Eventually(serviceBound, "the service under the key ends", func() bool {
		var err error
		job, err = caller.Status(t.Context(), service)
		return err == nil && job.State.IsFinal()
	})
	if got := job.Tasks[0]; got.Reason != string(errkind.KeyWithdrawn) {
		t.Errorf("the service ended as %s with reason %q, want reason %s", got.State, got.Reason, errkind.KeyWithdrawn)
	}
	for _, ledger := range c.Ledgers() {
		for _, run := range ledger.Runs {
			if run.Attempt.Task == job.Tasks[0].ID && run.End.IsZero() {
				t.Errorf("the service still runs: %s", run)
			}
		}
	}
	for _, e := range c.Entries {
		if seen, ok := processtest.FirstMatch(c.CollectAll(), time.Time{}, func(ev timeline.Event) bool {
			return ev.Type == timeline.KeyWithdrawn && ev.KeyID == key.ID && ev.Instance == e.Settings.Instance
		}); ok {
			t.Logf("%s recorded the withdrawal %v after it was made", e.Settings.Instance, seen.Clock.Wall.Sub(withdrawnAt).Round(time.Millisecond))
		}
	}
	c.Check(t, nil)
}

// TestKeyWithdrawnBeforeOutage guards against a withdrawn key that is accepted by
// an instance which is started during a store outage and fetches its keys from
// peers.
func TestKeyWithdrawnBeforeOutage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	key := grantKey(t, c, c.Entries[0])
	started := c.Entries[3]
	c.Collect(started)
	started.Kill()
	if _, err := c.Entries[0].Operator.WithdrawKey(t.Context(), "leuven", key.ID); err != nil {
		t.Fatal(err)
	}
	withdrawnAt := time.Now()
	c.SetStoreFaults(fault.Fault{Kind: fault.Down})
	c.StartEntry(started)
	for time.Since(withdrawnAt) < 2*withdrawalBound {
		for _, e := range c.Entries {
			sent := time.Now()
			if submitOnce(t.Context(), e, key.Secret, "late") == nil && sent.Sub(withdrawnAt) > withdrawalBound {
				t.Fatalf("%s accepted the key %v after its withdrawal, want at most %v", e.Settings.Instance, sent.Sub(withdrawnAt), withdrawalBound)
			}
		}
	}
	c.SetStoreFaults()
	awaitService(t, c, newCaller(c, "leuven"))
	c.Check(t, nil)
}

// TestWorkUnderWithdrawnKey guards against work that continues after its key was
// withdrawn, and against a wrong outcome: waiting tasks end as not run, and running
// ones are stopped, including at-most-once work.
func TestWorkUnderWithdrawnKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 4)
	replaceInDocument(t, c, c.Entries[0], "piping", `"sleep:1500ms"`, `"sleep:2m"`)
	applied, _ := replaceInDocument(t, c, c.Entries[0], "piping", `"sleep:200ms"`, `"sleep:2m"`)
	if !applied.InForce {
		t.Fatal("the document with the long commands is not in force")
	}
	key := grantKey(t, c, c.Entries[0])
	caller := client.New(client.Config{Addresses: []string{c.Entries[1].Settings.CallerAddress}, Secret: key.Secret})
	t.Cleanup(caller.Close)
	const tasks = 30 // more than the capacity of the workers
	report := submitWithoutWait(t, c, key.Secret, "report", "stress-report")
	batch := api.SubmitRequest{IdempotencyKey: "batch", Class: "flexibility-run", Count: tasks, Payload: []byte("batch")}
	if _, err := caller.Submit(t.Context(), "leuven", "piping", batch, 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logStateOnFailure(t, c) })
	// Fewer tasks than the workers have capacity for, because all tasks of a job may
	// wait in one partition.
	c.Eventually(serviceBound, "some of the work runs", func() bool { return c.RunningTasks("leuven") > tasks/6 })
	pause(2 * time.Second)
	if _, err := c.Entries[2].Operator.WithdrawKey(t.Context(), "leuven", key.ID); err != nil {
		t.Fatal(err)
	}
	c.Eventually(withdrawalBound+taskLease, "no work under the key runs", func() bool { return c.RunningTasks("leuven") == 0 })
	other := newCaller(c, "leuven")
	ran := map[task.ID]bool{}
	for _, ledger := range c.Ledgers() {
		for _, run := range ledger.Runs {
			ran[run.Attempt.Task] = true
		}
	}
	counts := map[task.State]int{}
	for _, id := range []string{report, "leuven/piping/batch"} {
		var job api.Job
		c.Eventually(serviceBound, "the end of "+id, func() bool {
			var err error
			job, err = other.Status(t.Context(), id)
			return err == nil && job.State.IsFinal()
		})
		for _, got := range job.Tasks {
			counts[got.State]++
			if got.Reason != string(errkind.KeyWithdrawn) || ran[got.ID] != (got.State != task.NotRun) {
				t.Errorf("task %s ended as %s with reason %q; a worker ran it: %v", got.ID, got.State, got.Reason, ran[got.ID])
			}
		}
	}
	t.Logf("work under the key ended as %v", counts)
	if counts[task.NotRun] == 0 || counts[task.NotRun] >= tasks {
		t.Errorf("%d of %d tasks were not run, want at least 1 and fewer than the batch", counts[task.NotRun], tasks+1)
	}
	c.Check(t, nil)
}

// logStateOnFailure logs the workers and shares that the operator API reports if
// the test has failed.
func logStateOnFailure(t *testing.T, c *processtest.Cluster) {
	if !t.Failed() {
		return
	}
	workers, err := c.Entries[0].Operator.Workers(context.Background())
	t.Logf("workers: %+v, %v", workers.Workers, err)
	shares, err := c.Entries[0].Operator.Shares(context.Background())
	t.Logf("shares: %+v, %v; %d tasks running according to the ledgers", shares.Shares, err, c.RunningTasks("leuven"))
}
