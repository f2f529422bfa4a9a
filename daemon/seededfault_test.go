package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// seededFault disables one mechanism in every process by wrapping its clients.
type seededFault struct {
	name        string
	expect      []oracle.Invariant // the oracle must find a violation of at least one
	wrapClients func(n *node, c Clients) Clients
	run         func(d *deployment)
}

var seededFaults = []seededFault{
	{"records are not stored", []oracle.Invariant{oracle.AtMostOnce, oracle.NoLostWork, oracle.NotRunClaims}, discardRecords, func(d *deployment) {
		for i := range 6 {
			_, _ = d.nodes[0].submitJob("report", fmt.Sprintf("r%d", i))
		}
		time.Sleep(time.Second)
		for _, n := range d.live() {
			d.killAndRestart(n)
		}
		time.Sleep(restartDelay + 40*time.Second)
		for i := range 6 {
			_, _ = d.live()[0].submitJob("report", fmt.Sprintf("r%d", i))
		}
		time.Sleep(30 * time.Second)
	}},
	{"an unclear start counts as not run", []oracle.Invariant{oracle.NotRunClaims, oracle.NoOverlappingRuns, oracle.AtMostOnce}, denyTaskStarts, func(d *deployment) {
		for i := range 6 {
			_, _ = d.nodes[0].submitJob("report", fmt.Sprintf("r%d", i))
		}
		time.Sleep(30 * time.Second)
	}},
	{"workers report no running task", []oracle.Invariant{oracle.NoOverlappingRuns}, hideTasks, func(d *deployment) {
		for i := range 4 {
			_, _ = d.nodes[0].submitJob("tables", fmt.Sprintf("t%d", i))
		}
		time.Sleep(90 * time.Second)
	}},
	{"workers report twice their capacity", []oracle.Invariant{oracle.Capacity}, doubleCapacity, func(d *deployment) {
		for i := range 12 {
			_, _ = d.nodes[i%3].submitJob("check", fmt.Sprintf("c%d", i))
		}
		time.Sleep(20 * time.Second)
	}},
	{"keys count as fresh without a read", []oracle.Invariant{oracle.WithdrawnKey}, assumeFresh, func(d *deployment) {
		d.dropPeerConfigMessages()
		_ = d.store.Faults().Set(fault.Fault{Kind: fault.SilentWatch, Instance: d.nodes[1].cfg.Self.Instance},
			fault.Fault{Kind: fault.SilentWatch, Instance: d.nodes[2].cfg.Self.Instance})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, _ = d.nodes[0].operator().WithdrawKey(ctx, "test", "leuven", "k1")
		for i := range 40 {
			_, _ = d.nodes[1+i%2].submitJob("check", fmt.Sprintf("c%d", i))
			time.Sleep(time.Second)
		}
	}},
}

// dropPeerConfigMessages drops the messages by which instances exchange configuration changes, since
// these would deliver the changes that an instance with a seeded fault does not read from the store.
func (d *deployment) dropPeerConfigMessages() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = func(c call) faultAction {
		switch c.step {
		case "peer.DigestMessage", "peer.FetchConfigRequest", "peer.HandoverNotice":
			return faultAction{drop: true}
		}
		return faultAction{}
	}
}

// TestOracleFindsSeededFaults guards against a fault matrix whose checks cannot fail: with each
// mechanism disabled, the oracle must find a violation.
func TestOracleFindsSeededFaults(t *testing.T) {
	for _, s := range seededFaults {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newDeploymentWith(t, 3, 4, s.wrapClients)
				defer d.close()
				time.Sleep(15 * time.Second)
				s.run(d)
				trace := d.trace()
				(&load{deployment: d, jobs: d.submitted()}).fillKnownTasks(&trace)
				found := map[oracle.Invariant]int{}
				for _, v := range oracle.Check(trace) {
					found[v.Invariant]++
				}
				for _, invariant := range s.expect {
					if found[invariant] > 0 {
						return
					}
				}
				t.Errorf("the oracle found %v, want one of %v", found, s.expect)
			})
		})
	}
}

// discardingStore confirms writes of request records without storing them.
type discardingStore struct{ store.Store }

func discardRecords(_ *node, c Clients) Clients {
	c.Store = &discardingStore{c.Store}
	return c
}

// Commit confirms writes of request records without executing them.
func (s *discardingStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if txnKind(txn) == "CommitRecords" {
		return store.TxnResult{Succeeded: true, Revision: 1}, nil
	}
	return s.Store.Commit(ctx, txn)
}

// startDenyingWorkers starts tasks and reports that they were not run.
type startDenyingWorkers struct{ worker.API }

func denyTaskStarts(_ *node, c Clients) Clients {
	c.Workers = &startDenyingWorkers{c.Workers}
	return c
}

// Start starts a task and returns ErrNotRun.
func (d *startDenyingWorkers) Start(ctx context.Context, to worker.Address, req worker.StartRequest, check func() error) (worker.StartReply, error) {
	if _, err := d.API.Start(ctx, to, req, check); err != nil {
		return worker.StartReply{}, err
	}
	return worker.StartReply{}, worker.ErrNotRun
}

// reportChangingWorkers lets a test change what workers report.
type reportChangingWorkers struct {
	worker.API
	change func(*worker.SyncReply)
}

// Sync requests a full report and changes it.
func (r *reportChangingWorkers) Sync(ctx context.Context, to worker.Address, req worker.SyncRequest) (worker.SyncReply, error) {
	req.Full = true
	reply, err := r.API.Sync(ctx, to, req)
	r.change(&reply)
	return reply, err
}

func hideTasks(_ *node, c Clients) Clients {
	c.Workers = &reportChangingWorkers{c.Workers, func(r *worker.SyncReply) { r.Tasks, r.Full = nil, true }}
	return c
}

func doubleCapacity(_ *node, c Clients) Clients {
	c.Workers = &reportChangingWorkers{c.Workers, func(r *worker.SyncReply) { r.Capacity = r.Capacity.Scale(2) }}
	return c
}

// staleStore answers reads of the latest revision without reading the store.
type staleStore struct{ store.Store }

func assumeFresh(_ *node, c Clients) Clients {
	c.Store = &staleStore{c.Store}
	return c
}

// LatestRevision returns 1, as if nothing had changed.
func (*staleStore) LatestRevision(context.Context, string) (int64, error) { return 1, nil }
