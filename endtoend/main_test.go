package endtoend

import (
	"os"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func TestMain(m *testing.M) { os.Exit(processtest.Main(m)) }

// Settings of tests in which their bounds are not themselves under test.
const (
	storeTerm     = 3 * time.Second
	promiseWindow = time.Second
	taskLease     = 8 * time.Second

	loadRate     = 20 // requests a second
	callTimeout  = 20 * time.Second
	settleBound  = 60 * time.Second // for the work that is left when a load ends
	serviceBound = 30 * time.Second // from a start or a fault until requests are answered again
)

func short(_ int, s *settings.Settings) {
	s.StoreLeaseTTL, s.KeepaliveInterval, s.PromiseWindow = storeTerm, time.Second, promiseWindow
	s.TaskLease, s.ListLag = taskLease, 2*time.Second
	s.StoreCallTimeout, s.RequestShards = 900*time.Millisecond, 16
}

// startCluster starts a deployment of one region with short settings, and
// returns when requests are answered.
func startCluster(t *testing.T, entries, workers int) *processtest.Cluster {
	t.Helper()
	c := processtest.Start(t, processtest.Options{Entries: entries, Workers: workers, Regions: []string{"flanders"}, Adjust: short})
	awaitService(t, c, callerOf(c, "leuven"))
	return c
}

func startMixed(t *testing.T, c *processtest.Cluster) *processtest.Load {
	return c.StartLoad(t, "mixed", processtest.LoadOptions{Mix: processtest.Mixed, Rate: loadRate, Secret: demo.Secrets["leuven"], Timeout: callTimeout})
}

// finish settles the load, checks the invariants and prints what callers were
// told.
func finish(t *testing.T, c *processtest.Cluster, load *processtest.Load) []*processtest.Told {
	t.Helper()
	told := load.Settle(t, settleBound)
	c.Check(t, told)
	t.Log(processtest.Summary(told))
	return told
}

// settled waits for a time in which a load meets the state that a fault left.
func settled(d time.Duration) { <-time.After(d) }

// unanswered returns the time from a fault until the first request that was sent
// after it was answered.
func unanswered(told []*processtest.Told, since time.Time) time.Duration {
	first := time.Duration(-1)
	for _, r := range told {
		if r.Kind != task.Answer || r.Err != nil || r.At.Before(since) {
			continue
		}
		if took := r.At.Add(r.Took).Sub(since); first < 0 || took < first {
			first = took
		}
	}
	return first.Round(time.Millisecond)
}
