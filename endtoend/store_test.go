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

// outage is one way in which the store does not answer.
type outage struct {
	name  string
	lasts time.Duration
	begin func(c *processtest.Cluster)
	end   func(c *processtest.Cluster)
}

// TestStoreOutage guards against a store outage that stops answers or running
// work, loses or doubles work, or has new durable work told anything but the
// truth.
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
			load := startMixed(t, c)
			settled(3 * time.Second)
			began := time.Now()
			o.begin(c)
			settled(o.lasts)
			o.end(c)
			ended := time.Now()
			settled(5 * time.Second)
			checkDuring(t, finish(t, c, load), began, ended)
		})
	}
}

// checkDuring checks what callers were told in an outage. At its edges calls may
// have begun before or ended after it, so only what began and ended inside counts.
func checkDuring(t *testing.T, told []*processtest.Told, began, ended time.Time) {
	t.Helper()
	// A call to the store that is in flight when the outage begins, or a lease
	// that has to be granted again when it ends, disturbs requests for this long.
	const edge = storeTerm
	answered, refused, waited, untrue := 0, 0, 0, 0
	for _, r := range told {
		if r.At.Before(began.Add(edge)) || r.At.Add(r.Took).After(ended) {
			continue
		}
		switch {
		case r.Kind == task.Answer && r.First != nil:
			t.Errorf("%s %s was not answered in the outage: %v", r.Class, r.Key, r.First)
		case r.Kind == task.Answer:
			answered++
		case r.First == nil:
			waited++
		case errkind.From(r.First).Kind == errkind.StoreUnavailable && r.Fate() == errkind.FateNotRun:
			refused++
		default:
			untrue++
			t.Logf("%s %s: told %v after %v", r.Class, r.Key, r.First, r.Took)
		}
	}
	t.Logf("in the outage of %v: %d requests answered; of durable work %d rejected as not run, %d accepted, %d told something else",
		ended.Sub(began).Round(time.Second), answered, refused, waited, untrue)
	if answered == 0 || untrue > 0 {
		t.Errorf("%d requests answered, %d of durable work neither rejected as not run nor accepted; want some and none", answered, untrue)
	}
}

// TestStoreReplyLost guards against a write that took effect without a reply and
// is then taken for one without effect, or made twice.
func TestStoreReplyLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 6)
	load := c.StartLoad(t, "lost", processtest.LoadOptions{Mix: processtest.Mixed, Rate: loadRate, Secret: demo.Secrets["leuven"], Timeout: callTimeout})
	for range 8 {
		settled(time.Second)
		c.SetStoreFaults(fault.Fault{Kind: fault.ReplyLost, Call: storetest.CallTxn, Count: 5},
			fault.Fault{Kind: fault.ReplyLost, Call: storetest.CallKeepAlive, Count: 1})
	}
	c.SetStoreFaults()
	settled(2 * time.Second)
	finish(t, c, load)
}
