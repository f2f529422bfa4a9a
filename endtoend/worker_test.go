package endtoend

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// leavingBound is the time after which a leaving worker gets no new task.
const leavingBound = 3 * time.Second

// TestWorkerLeaving guards against new work on a worker that the instance list
// shows as leaving.
func TestWorkerLeaving(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 4)
	load := startMixed(t, c)
	leaving := busyWorker(c)
	leaving.State = instancelist.StateLeaving
	c.PutListed(leaving)
	listedAt := time.Now()
	settled(leavingBound + 3*time.Second)
	told := finish(t, c, load)
	before := 0
	for _, ledger := range c.Ledgers() {
		if ledger.Worker != leaving.Name {
			continue
		}
		for _, run := range ledger.Runs {
			if run.Start.Before(listedAt) {
				before++
			}
			if run.Start.After(listedAt.Add(leavingBound)) {
				t.Errorf("started %v after the list showed it as leaving: %s", run.Start.Sub(listedAt), run)
			}
		}
	}
	if before == 0 || len(told) == 0 {
		t.Errorf("%s ran %d tasks before it was leaving, want some", leaving.Name, before)
	}
}

// busyWorker returns the first worker that has run several tasks.
func busyWorker(c *processtest.Cluster) instancelist.Instance {
	const several = 5
	var found instancelist.Instance
	c.Eventually(serviceBound, "a worker has run several tasks", func() bool {
		for i, ledger := range c.Ledgers() {
			if len(ledger.Runs) >= several {
				found = c.Workers[i]
				return true
			}
		}
		return false
	})
	return found
}

// TestWorkerKilled guards against repeatable work that is lost with a worker, or
// that runs again before the lease of the lost attempt has ended.
func TestWorkerKilled(t *testing.T) {
	t.Parallel()
	c := processtest.Start(t, processtest.Options{Entries: 3, Workers: 4, SeparateWorkers: true, Regions: []string{"flanders"}, Adjust: short})
	awaitService(t, c, callerOf(c, "leuven"))
	job := submitLong(t, c, demo.Secrets["leuven"], "lost", "span-tables")
	var first oracle.Run
	c.Eventually(serviceBound, "the service runs", func() bool {
		for _, ledger := range c.Ledgers() {
			for _, run := range ledger.Runs {
				if run.PayloadDigest == processtest.DigestOf("lost") {
					first = run
					return true
				}
			}
		}
		return false
	})
	settled(2 * time.Second)
	victim := c.WorkerProcess(first.Worker)
	victim.Kill()
	killedAt := time.Now()
	var second oracle.Run
	c.Eventually(taskLease+serviceBound, "the service runs elsewhere", func() bool {
		for _, ledger := range c.Ledgers() {
			for _, run := range ledger.Runs {
				if run.PayloadDigest == processtest.DigestOf("lost") {
					second = run
					return true
				}
			}
		}
		return false
	})
	// The lease was renewed by the last sync before the kill, at the earliest one
	// sync interval and the time of a call before it.
	const renewal = time.Second + 500*time.Millisecond
	again := second.Start.Sub(killedAt)
	t.Logf("ran again %v after the kill of %s, with a lease of %v", again.Round(time.Millisecond), first.Worker, taskLease)
	if again < taskLease-renewal {
		t.Errorf("ran again %v after the kill, before the lease of %v had ended", again, taskLease)
	}
	caller := callerOf(c, "leuven")
	if _, err := caller.Cancel(t.Context(), job); err != nil {
		t.Errorf("cancel: %v", err)
	}
	c.Eventually(serviceBound, "the service ends", func() bool {
		got, err := caller.Status(t.Context(), job)
		return err == nil && got.State.IsFinal() && got.Tasks[0].State != task.Running
	})
	c.Check(t, nil)
}
