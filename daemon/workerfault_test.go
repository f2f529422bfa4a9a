package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/standin"
)

// workerLeaves checks that no task starts on a worker later than the bound after the worker was listed
// as leaving.
func workerLeaves(t *testing.T, d *deployment, contacted, _ *node, inject func()) {
	inject()
	d.mu.Lock()
	d.listedWorkers[0].State = instancelist.StateLeaving
	d.mu.Unlock()
	const bound = 3 * time.Second
	cutoff := time.Now().Add(bound)
	for i := range 40 {
		go func() { _, _ = d.nodes[2].submitJob("check", fmt.Sprintf("l%d", i)) }()
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Minute)
	ledger, err := d.workers["worker-0"].Ledger()
	if err != nil {
		t.Fatal(err)
	}
	for _, run := range ledger.Runs {
		if run.Start.After(cutoff) {
			t.Errorf("%s started on a worker %v after it was listed as leaving", run.Attempt, run.Start.Sub(cutoff)+bound)
		}
	}
}

// workerFails checks that every job is accepted and none ends with an error while one worker fails
// every task immediately.
func workerFails(t *testing.T, d *deployment, _, _ *node, inject func()) {
	failing := true
	if err := d.workers["worker-0"].SetFaults(standin.WorkerFaults{FailTasks: &failing}); err != nil {
		t.Fatal(err)
	}
	inject()
	const jobs = 40
	var group sync.WaitGroup
	for i := range jobs {
		group.Go(func() {
			for range 60 {
				if _, err := d.nodes[2].submitJob([]string{"check", "tables"}[i%8/7], fmt.Sprintf("f%d", i)); err == nil {
					return
				}
				time.Sleep(time.Second)
			}
			t.Errorf("f%d was never accepted", i)
		})
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(2 * time.Minute)
	l := &load{deployment: d}
	for i := range jobs {
		reply, err := l.status(&job{key: fmt.Sprintf("f%d", i)})
		if err != nil {
			t.Errorf("f%d: %v", i, err)
			continue
		}
		if taskState := reply.Tasks[0]; taskState.Outcome != nil && taskState.Outcome.ExitCode != 0 {
			t.Errorf("f%d ended with exit code %d after attempt %d although other workers can run it", i, taskState.Outcome.ExitCode, taskState.Attempt)
		}
	}
}
