package endtoend

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// answerBound is the time within which a request must be answered.
const answerBound = 10 * time.Second

func newCaller(c *processtest.Cluster, team task.Team) *client.Client {
	var addresses []string
	for _, e := range c.Entries {
		addresses = append(addresses, e.Settings.CallerAddress)
	}
	return client.New(client.Config{Addresses: addresses, Secret: demo.Secrets[team]})
}

// TestPath guards against a kind of work that fails across separate processes, or
// ends with a wrong outcome.
func TestPath(t *testing.T) {
	c := processtest.Start(t, processtest.Options{Entries: 4, Workers: 4, Regions: []string{"flanders", "wallonia"}})
	caller := newCaller(c, "leuven")
	awaitService(t, c, caller)
	cases := []struct {
		class       string
		count       int
		resultBytes int
		exitCode    int
	}{
		{class: "span-lookup", count: 1, resultBytes: 5},
		{class: "big-lookup", count: 1, resultBytes: 3000000},
		{class: "nozzle-check", count: 1, resultBytes: 5},
		{class: "nozzle-check", count: 6, resultBytes: 5},
		{class: "stress-report", count: 1, resultBytes: 5},
		{class: "failing-report", count: 1, exitCode: 3},
		{class: "flexibility-run", count: 3, resultBytes: 5},
		{class: "water-hammer", count: 3, resultBytes: 5},
	}
	for i, tc := range cases {
		t.Run(fmt.Sprintf("%s-%d", tc.class, tc.count), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*answerBound)
			defer cancel()
			job, err := caller.Submit(ctx, "leuven", "piping", api.SubmitRequest{IdempotencyKey: fmt.Sprintf("k%d", i), Class: tc.class, Count: tc.count, Payload: []byte("hello")}, answerBound)
			if err != nil {
				t.Fatal(err)
			}
			if job.State != task.Finished || len(job.Tasks) != tc.count {
				t.Fatalf("job is %s with %d tasks, want finished with %d", job.State, len(job.Tasks), tc.count)
			}
			for _, got := range job.Tasks {
				if got.ExitCode != tc.exitCode || got.ResultBytes != tc.resultBytes && tc.exitCode == 0 {
					t.Errorf("task %d: exit code %d with a result of %d bytes, want exit code %d with %d bytes", got.Index, got.ExitCode, got.ResultBytes, tc.exitCode, tc.resultBytes)
				}
			}
		})
	}
	t.Run("wrong key", func(t *testing.T) {
		_, err := newCaller(c, "estrie").Submit(t.Context(), "leuven", "piping", api.SubmitRequest{IdempotencyKey: "x", Class: "span-lookup"}, answerBound)
		var refusal *errkind.Error
		if !errors.As(err, &refusal) || refusal.Kind != errkind.KeyRefused || refusal.Fate() != errkind.FateNotRun {
			t.Errorf("submission with the key of another team: error %v, want kind %s", err, errkind.KeyRefused)
		}
	})
}

// awaitService waits until a request is answered, which requires that the worker
// partitions have owners.
func awaitService(t *testing.T, c *processtest.Cluster, caller *client.Client) {
	t.Helper()
	n := 0
	c.Eventually(30*time.Second, "answer a request", func() bool {
		n++
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := caller.Submit(ctx, "leuven", "piping", api.SubmitRequest{IdempotencyKey: fmt.Sprintf("start-%d", n), Class: "span-lookup"}, time.Second)
		return err == nil
	})
}
