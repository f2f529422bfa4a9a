package endtoend

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// outage is a way in which the store stops answering.
type outage struct {
	name     string
	duration time.Duration
	begin    func(c *processtest.Cluster)
	end      func(c *processtest.Cluster)
}

// TestStoreOutage guards against a store outage that interrupts answers or running
// work, loses or duplicates work, or makes an instance report a wrong fate for new
// durable work.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	outages := []outage{
		{"frozen", 30 * time.Second,
			func(c *processtest.Cluster) { c.Store.Freeze() }, func(c *processtest.Cluster) { c.Store.Resume() }},
		{"down", 12 * time.Second,
			func(c *processtest.Cluster) { c.SetStoreFaults(fault.Fault{Kind: fault.Down}) }, func(c *processtest.Cluster) { c.SetStoreFaults() }},
	}
	for _, o := range outages {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 4, 6)
			load := startMixedLoad(t, c)
			pause(3 * time.Second)
			began := time.Now()
			o.begin(c)
			pause(o.duration)
			o.end(c)
			ended := time.Now()
			pause(5 * time.Second)
			checkOutage(t, awaitOutcomesAndCheck(t, c, load), began, ended)
		})
	}
}

// checkOutage checks the responses to callers during an outage. Calls that began
// before the outage or ended after it are not counted.
func checkOutage(t *testing.T, records []*processtest.RequestRecord, began, ended time.Time) {
	t.Helper()
	// A store call that is in flight when the outage begins, or a lease that must
	// be granted again after its end, can delay requests for this long.
	const margin = storeLeaseTTL
	answered, rejected, accepted, unexpected := 0, 0, 0, 0
	for _, r := range records {
		if r.SentAt.Before(began.Add(margin)) || r.SentAt.Add(r.Latency).After(ended) {
			continue
		}
		switch {
		case r.Kind == task.Answer && r.SubmitErr != nil:
			t.Errorf("%s %s was not answered during the outage: %v", r.Class, r.Key, r.SubmitErr)
		case r.Kind == task.Answer:
			answered++
		case r.SubmitErr == nil:
			accepted++
		case errkind.From(r.SubmitErr).Kind == errkind.StoreUnavailable && r.Fate() == errkind.FateNotRun:
			rejected++
		default:
			unexpected++
			t.Logf("%s %s: failed with %v after %v", r.Class, r.Key, r.SubmitErr, r.Latency)
		}
	}
	t.Logf("during the outage of %v: %d requests answered; of durable work, %d rejected as not run, %d accepted, %d with another error",
		ended.Sub(began).Round(time.Second), answered, rejected, accepted, unexpected)
	if answered == 0 || unexpected > 0 {
		t.Errorf("%d requests answered, want at least 1; %d requests for durable work neither rejected as not run nor accepted, want 0", answered, unexpected)
	}
}

// TestStoreReplyLost guards against a write whose reply is lost being treated as
// failed, or being applied twice.
func TestStoreReplyLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	load := c.StartLoad(t, "lost", processtest.LoadOptions{Mix: processtest.MixedRequests, Rate: loadRate, Secret: demo.Secrets["leuven"], Timeout: callTimeout})
	for range 8 {
		pause(time.Second)
		c.SetStoreFaults(fault.Fault{Kind: fault.ReplyLost, Call: storetest.CallTxn, Count: 5},
			fault.Fault{Kind: fault.ReplyLost, Call: storetest.CallKeepAlive, Count: 1})
	}
	c.SetStoreFaults()
	pause(2 * time.Second)
	awaitOutcomesAndCheck(t, c, load)
}
