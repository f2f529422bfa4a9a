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

func TestMain(m *testing.M) { os.Exit(processtest.RunTests(m)) }

// Settings and bounds of the tests. The timeouts are shorter than the defaults,
// so that the tests take less time; TestMeasure uses the defaults.
const (
	storeLeaseTTL = 3 * time.Second
	promiseWindow = time.Second
	taskLease     = 8 * time.Second

	loadRate     = 20 // requests per second
	callTimeout  = 20 * time.Second
	outcomeBound = 60 * time.Second // for the work that has not ended when a load stops
	serviceBound = 30 * time.Second // from a start or a fault until requests are answered again
)

func shortTimeouts(_ int, s *settings.Settings) {
	s.StoreLeaseTTL, s.KeepaliveInterval, s.PromiseWindow = storeLeaseTTL, time.Second, promiseWindow
	s.TaskLease, s.ListLag = taskLease, 2*time.Second
	s.StoreCallTimeout, s.RequestShards = 900*time.Millisecond, 16
}

// startCluster starts a deployment of one region with short timeouts, and waits
// until it answers requests.
func startCluster(t *testing.T, entries, workers int) *processtest.Cluster {
	t.Helper()
	c := processtest.Start(t, processtest.Options{Entries: entries, Workers: workers, Regions: []string{"flanders"}, Adjust: shortTimeouts})
	awaitService(t, c, newCaller(c, "leuven"))
	return c
}

func startMixedLoad(t *testing.T, c *processtest.Cluster) *processtest.Load {
	return c.StartLoad(t, "mixed", processtest.LoadOptions{Mix: processtest.MixedRequests, Rate: loadRate, Secret: demo.Secrets["leuven"], Timeout: callTimeout})
}

// awaitOutcomesAndCheck stops the load, waits until its work has ended, checks the
// invariants and logs a summary of the responses.
func awaitOutcomesAndCheck(t *testing.T, c *processtest.Cluster, load *processtest.Load) []*processtest.RequestRecord {
	t.Helper()
	records := load.AwaitOutcomes(t, outcomeBound)
	c.Check(t, records)
	t.Log(processtest.Summary(records))
	return records
}

// pause waits while a load runs, so that it exercises the current state.
func pause(d time.Duration) { <-time.After(d) }

// timeToFirstAnswer returns the time from a fault until the first answer to a
// request that was sent after the fault.
func timeToFirstAnswer(records []*processtest.RequestRecord, since time.Time) time.Duration {
	first := time.Duration(-1)
	for _, r := range records {
		if r.Kind != task.Answer || r.Err != nil || r.SentAt.Before(since) {
			continue
		}
		if delay := r.SentAt.Add(r.Latency).Sub(since); first < 0 || delay < first {
			first = delay
		}
	}
	return first.Round(time.Millisecond)
}
