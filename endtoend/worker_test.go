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

// leavingBound is the time after which no new task starts on a leaving worker.
const leavingBound = 3 * time.Second

// TestWorkerLeaving guards against new work on a worker that the instance list
// shows as leaving.
func TestWorkerLeaving(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 4)
	load := startMixedLoad(t, c)
	leaving := busyWorker(c)
	leaving.State = instancelist.StateLeaving
	c.PutInstance(leaving)
	listedAt := time.Now()
	pause(leavingBound + 3*time.Second)
	records := awaitOutcomesAndCheck(t, c, load)
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
				t.Errorf("start %v after the worker was listed as leaving, want at most %v: %s", run.Start.Sub(listedAt), leavingBound, run)
			}
		}
	}
	if before == 0 || len(records) == 0 {
		t.Errorf("%s ran %d tasks before it was leaving and callers sent %d requests, want at least 1 of each", leaving.Name, before, len(records))
	}
}

// busyWorker returns the first worker that has run several tasks.
func busyWorker(c *processtest.Cluster) instancelist.Instance {
	const minRuns = 5
	var found instancelist.Instance
	c.Eventually(serviceBound, "a worker has run several tasks", func() bool {
		for i, ledger := range c.Ledgers() {
			if len(ledger.Runs) >= minRuns {
				found = c.Workers[i]
				return true
			}
		}
		return false
	})
	return found
}

// TestWorkerKilled guards against retryable work that is lost with a worker, or
// that is restarted before the lease of the lost attempt has expired.
func TestWorkerKilled(t *testing.T) {
	t.Parallel()
	c := processtest.Start(t, processtest.Options{Entries: 3, Workers: 4, SeparateWorkers: true, Regions: []string{"flanders"}, Adjust: shortTimeouts})
	awaitService(t, c, newCaller(c, "leuven"))
	job := submitWithoutWait(t, c, demo.Secrets["leuven"], "lost", "span-tables")
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
	pause(2 * time.Second)
	workerProcess := c.WorkerProcess(first.Worker)
	workerProcess.Kill()
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
	// The lease was last renewed by the last sync, at most one sync interval and the
	// duration of a call before the kill.
	const maxRenewalAge = time.Second + 500*time.Millisecond
	restartDelay := second.Start.Sub(killedAt)
	t.Logf("restarted %v after the kill of %s, with a lease of %v", restartDelay.Round(time.Millisecond), first.Worker, taskLease)
	if restartDelay < taskLease-maxRenewalAge {
		t.Errorf("restarted %v after the kill, before the lease of %v had expired", restartDelay, taskLease)
	}
	caller := newCaller(c, "leuven")
	if _, err := caller.Cancel(t.Context(), job); err != nil {
		t.Errorf("cancel: %v", err)
	}
	c.Eventually(serviceBound, "the service ends", func() bool {
		got, err := caller.Status(t.Context(), job)
		return err == nil && got.State.IsFinal() && got.Tasks[0].State != task.Running
	})
	c.Check(t, nil)
}
