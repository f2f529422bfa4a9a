package endtoend

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// configBound is the time within which a change must be in force on all instances.
const configBound = 11 * time.Second

// replaceInDocument replaces text in a document through one instance. It retries,
// because an instance that has just started rejects configuration changes.
func replaceInDocument(t *testing.T, c *processtest.Cluster, e *processtest.Entry, service, oldText, newText string) (api.Document, time.Time) {
	t.Helper()
	var applied api.Document
	var began time.Time
	c.Eventually(serviceBound, "apply a document", func() bool {
		current, err := e.Operator.Document(t.Context(), "leuven", service)
		if err != nil || !strings.Contains(current.Source, oldText) {
			return false
		}
		began = time.Now()
		applied, err = e.Operator.Apply(t.Context(), "leuven", service, []byte(strings.Replace(current.Source, oldText, newText, 1)), current.Revision, configBound)
		return err == nil
	})
	return applied, began
}

// TestConfiguration guards against a change that does not take effect on all
// instances in time or is reverted, against concurrent changes that both succeed,
// and against a conflict that is reported to an operator for their own change
// after a lost reply.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	// This change is retried until the instance accepts configuration changes.
	replaceInDocument(t, c, c.Entries[0], "piping", `"max_run": "1h"`, `"max_run": "90m"`)
	applied, began := replaceInDocument(t, c, c.Entries[0], "piping", `"max_run": "90m"`, `"max_run": "2h"`)
	if !applied.InForce {
		t.Errorf("revision %d is not in force %v after the call", applied.Revision, time.Since(began))
	}
	events := c.CollectAll()
	for _, e := range c.Entries {
		seen, ok := processtest.FirstMatch(events, time.Time{}, func(ev timeline.Event) bool {
			return ev.Type == timeline.ConfigInForce && ev.Instance == e.Settings.Instance && ev.Revision == applied.Revision
		})
		if !ok || seen.Clock.Wall.Sub(began) > configBound {
			t.Errorf("%s: revision %d in force: %v, %v after the call, want at most %v", e.Settings.Instance, applied.Revision, ok, seen.Clock.Wall.Sub(began), configBound)
		}
		t.Logf("%s: in force %v after the call", e.Settings.Instance, seen.Clock.Wall.Sub(began).Round(time.Millisecond))
	}
	applyConcurrently(t, c, applied)
	c.SetStoreFaults(fault.Fault{Kind: fault.ReplyLost, Call: storetest.CallTxn, Count: 1, Instance: c.Entries[2].Settings.Instance})
	lost, _ := replaceInDocument(t, c, c.Entries[2], "piping", `"max_run": "5s"`, `"max_run": "6s"`)
	if got, err := c.Entries[1].Operator.Document(t.Context(), "leuven", "piping"); err != nil || got.Revision != lost.Revision || !strings.Contains(got.Source, `"max_run": "6s"`) {
		t.Errorf("after a lost reply revision %d is in force, want %d: %v", got.Revision, lost.Revision, err)
	}
	c.Check(t, nil)
}

// applyConcurrently applies two changes to the same revision concurrently. Exactly
// one of them must succeed.
func applyConcurrently(t *testing.T, c *processtest.Cluster, base api.Document) {
	t.Helper()
	current, err := c.Entries[0].Operator.Document(t.Context(), "leuven", "piping")
	if err != nil || current.Revision != base.Revision {
		t.Fatalf("document at revision %d, want %d: %v", current.Revision, base.Revision, err)
	}
	var group sync.WaitGroup
	errs := make([]error, 2)
	for i, run := range []string{"3h", "4h"} {
		group.Go(func() {
			source := strings.Replace(current.Source, `"max_run": "2h"`, `"max_run": "`+run+`"`, 1)
			_, errs[i] = c.Entries[i].Operator.Apply(t.Context(), "leuven", "piping", []byte(source), current.Revision, 0)
		})
	}
	group.Wait()
	succeeded, conflicts := 0, 0
	for _, err := range errs {
		var apiErr *client.Error
		switch {
		case err == nil:
			succeeded++
		case errors.As(err, &apiErr) && apiErr.Detail.Kind == errkind.RevisionConflict && apiErr.Detail.Conflict != nil && len(apiErr.Detail.Conflict.Changes) > 0:
			conflicts++
		default:
			t.Errorf("concurrent change failed with an error other than a conflict: %v", err)
		}
	}
	if succeeded != 1 || conflicts != 1 {
		t.Errorf("of two concurrent changes %d succeeded and %d failed with a conflict, want 1 and 1: %v", succeeded, conflicts, errs)
	}
}

// TestLimitLowered guards against a team that starts work above a lowered limit,
// and against a limit that never takes effect.
func TestLimitLowered(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	const jobs, lower = 20, 4
	var accepted []string
	t.Cleanup(func() {
		if t.Failed() {
			logOpenWork(t, c, accepted)
		}
	})
	for range jobs {
		accepted = append(accepted, submitWithoutWait(t, c, demo.Secrets["leuven"], "limit-"+time.Now().Format("150405.000000000"), "flexibility-run"))
	}
	c.Eventually(serviceBound, "more tasks run than the lower limit allows", func() bool { return c.RunningTasks("leuven") > lower })
	applied, began := replaceInDocument(t, c, c.Entries[0], "", `"slots": 200`, `"slots": 4`)
	var inForce time.Time
	c.Eventually(outcomeBound, "the lower limit is in force", func() bool {
		shares, err := c.Entries[1].Operator.Shares(t.Context())
		for _, s := range shares.Shares {
			if err == nil && s.Team == "leuven" && s.Pending == nil && s.Limit.Slots == lower {
				inForce = time.Now()
				return true
			}
		}
		return false
	})
	for range jobs {
		accepted = append(accepted, submitWithoutWait(t, c, demo.Secrets["leuven"], "after-"+time.Now().Format("150405.000000000"), "nozzle-check"))
	}
	c.Eventually(outcomeBound, "all work ends", func() bool {
		shares, err := c.Entries[1].Operator.Shares(t.Context())
		for _, s := range shares.Shares {
			if s.Team == "leuven" && (s.Waiting > 0 || s.Running.Slots > 0) {
				return false
			}
		}
		return err == nil && c.RunningTasks("leuven") == 0
	})
	// An owner reports the end of a task before the home instance has recorded it.
	// The home instance of every accepted job must have recorded its end.
	caller := newCaller(c, "leuven")
	for _, id := range accepted {
		c.Eventually(outcomeBound, id+" has a recorded end", func() bool {
			job, err := caller.Status(t.Context(), id)
			return err == nil && job.State.IsFinal()
		})
	}
	t.Logf("the limit of revision %d was in force %v after it was applied", applied.Revision, inForce.Sub(began).Round(time.Millisecond))
	c.Check(t, nil, timeline.Event{Instance: "operator", Incarnation: "1", Sequence: 1, Clock: timeline.Timestamp{Wall: inForce}, Type: timeline.LimitInForce,
		Team: "leuven", Revision: applied.Revision, Size: &task.Resources{Slots: lower}})
}

// logOpenWork logs the shares that each instance reports, the jobs that have not
// ended and the events of the team.
func logOpenWork(t *testing.T, c *processtest.Cluster, jobs []string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for i, e := range c.Entries {
		shares, err := e.Operator.Shares(ctx)
		t.Logf("shares of instance %d: %+v, error %v", i, shares.Shares, err)
	}
	for _, id := range jobs {
		if job, err := newCaller(c, "leuven").Status(ctx, id); err != nil || !job.State.IsFinal() {
			t.Logf("%s: %+v, error %v", id, job, err)
		}
	}
	for _, event := range c.Events() {
		if event.Team == "leuven" {
			t.Log(event)
		}
	}
}
