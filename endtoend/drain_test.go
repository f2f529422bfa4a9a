package endtoend

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// drainBound is the default of the setting drain_timeout plus one second for the
// exit.
const drainBound = 30*time.Second + time.Second

// TestRollingRestart guards against a planned stop that interrupts a request. It
// restarts one instance after the other under load over keep-alive connections.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	mixedLoad := startMixedLoad(t, c)
	answerLoad := c.StartLoad(t, "answers", processtest.LoadOptions{Mix: processtest.AnswerRequests, Rate: 40, Secret: demo.Secrets["leuven"], Timeout: callTimeout})
	pause(2 * time.Second)
	for _, e := range c.Entries {
		c.Collect(e)
		began := time.Now()
		if !e.Stop(drainBound) {
			t.Fatalf("%s did not stop within %v", e.Settings.Instance, drainBound)
		}
		if e.ExitCode() != 0 {
			t.Errorf("%s ended with exit code %d", e.Settings.Instance, e.ExitCode())
		}
		t.Logf("%s stopped within %v", e.Settings.Instance, time.Since(began).Round(time.Millisecond))
		c.StartEntry(e)
		pause(2 * time.Second)
	}
	records := append(answerLoad.AwaitOutcomes(t, outcomeBound), mixedLoad.AwaitOutcomes(t, outcomeBound)...)
	for _, r := range records {
		switch {
		case r.Err != nil:
			t.Errorf("%s %s at %s after %v: %v", r.Class, r.Key, r.SentAt.UTC().Format(time.TimeOnly), r.Latency, r.Err)
		case r.Job.State != task.Finished:
			t.Errorf("%s %s ended as %s", r.Class, r.Key, r.Job.State)
		}
	}
	c.Check(t, records)
	t.Log(processtest.Summary(records))
}
