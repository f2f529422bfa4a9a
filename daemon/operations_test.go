package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// condition is a fault that is injected during an operation. contacted is the instance that the
// operator calls; other is another instance.
type condition struct {
	name  string
	apply func(d *deployment, contacted, other *node)
}

const faultDuration = time.Minute // duration of a store fault that a condition injects

var conditions = []condition{
	{"none", func(*deployment, *node, *node) {}},
	{"other frozen", func(_ *deployment, _, other *node) { other.freeze(freezeDuration) }},
	{"other frozen briefly", func(_ *deployment, _, other *node) { other.freeze(4 * time.Second) }},
	{"other cut off from the store", func(d *deployment, _, other *node) {
		d.injectStoreFault(faultDuration, fault.Fault{Kind: fault.Unreachable, Instance: other.cfg.Self.Instance})
	}},
	{"other's watch silent", func(d *deployment, _, other *node) {
		d.injectStoreFault(faultDuration, fault.Fault{Kind: fault.SilentWatch, Instance: other.cfg.Self.Instance})
	}},
	{"other killed", func(d *deployment, _, other *node) { d.killAndRestart(other) }},
	{"store slow", func(d *deployment, _, _ *node) {
		d.injectStoreFault(faultDuration, fault.Fault{Kind: fault.Slow, DelayMS: 1500})
	}},
	{"replies of commits lost", func(d *deployment, contacted, _ *node) {
		d.injectStoreFault(faultDuration, fault.Fault{Kind: fault.ReplyLost, Call: "txn", Instance: contacted.cfg.Self.Instance, Count: 2})
	}},
}

func (d *deployment) injectStoreFault(duration time.Duration, f fault.Fault) {
	if err := d.store.Faults().Set(f); err != nil {
		d.t.Fatal(err)
	}
	time.AfterFunc(duration, func() { _ = d.store.Faults().Set() })
}

// operation is a change that an operator or the platform makes under load.
type operation struct {
	name string
	run  func(t *testing.T, d *deployment, contacted, other *node, inject func())
}

var operations = []operation{
	{"withdraw a key", withdrawKey},
	{"lower a limit", lowerLimit},
	{"apply a document", applyDocument},
	{"two operators race", raceOperators},
	{"drain an instance", drainInstance},
	{"worker leaves", workerLeaves},
	{"worker fails every task", workerFails},
}

// TestOperationMatrix guards against a change that comes into force too late, in part or not at all,
// or that loses work, when a fault occurs at the same time.
func TestOperationMatrix(t *testing.T) {
	t.Run("cells", runOperations)
	t.Logf("%d cells: %d operations under %d conditions", len(operations)*len(conditions), len(operations), len(conditions))
	for _, invariant := range oracle.Invariants {
		if examinedTotals.facts[invariant] == 0 {
			t.Errorf("no cell examined any fact for the invariant %q", invariant)
		}
	}
}

func runOperations(t *testing.T) {
	for _, op := range operations {
		for _, c := range conditions {
			t.Run(op.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 3, 4)
					defer d.close()
					time.Sleep(15 * time.Second) // until every unit has an owner and the list lag has passed
					contacted, other := d.nodes[0], d.nodes[1]
					op.run(t, d, contacted, other, func() { c.apply(d, contacted, other) })
					d.checkOracle(&load{deployment: d, jobs: d.submitted()})
				})
			})
		}
	}
}

// submitted returns the jobs that were submitted by submitJob.
func (d *deployment) submitted() []*job {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.jobs)
}

// submitJob submits a job of one task of a class and returns the reply.
func (n *node) submitJob(class, key string) (caller.JobStatus, error) {
	n.waitWhileFrozen()
	j := &job{class: class, key: key}
	n.deployment.mu.Lock()
	n.deployment.jobs = append(n.deployment.jobs, j)
	n.deployment.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reply, err := (&callerBackend{n.engine}).Submit(ctx, testSecret, task.Spec{Team: "leuven", Service: "piping", Class: class,
		IdempotencyKey: key, Count: 1, Payload: []byte(key), SubmittedAt: time.Now()}, 0)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reply, j.err = reply, err
	return reply, err
}

func (n *node) operator() *operatorBackend { return &operatorBackend{n.engine} }

// retryUntilConfirmed retries an operator's call until it succeeds.
func retryUntilConfirmed[T any](t *testing.T, n *node, description string, f func(context.Context) (T, error)) T {
	t.Helper()
	var err error
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		var result T
		result, err = f(ctx)
		cancel()
		if err == nil {
			return result
		}
		time.Sleep(time.Second)
	}
	t.Fatalf("%s through %s: %v", description, n.cfg.Self.Instance, err)
	panic("unreachable")
}

// withdrawKey checks that no instance accepts work under a key once the freshness interval has
// passed since the confirmed withdrawal, and that running work under the key ends.
func withdrawKey(t *testing.T, d *deployment, contacted, _ *node, inject func()) {
	for i := range 20 {
		if _, err := d.nodes[i%3].submitJob("check", fmt.Sprintf("w%d", i)); err != nil {
			t.Fatalf("submit before the withdrawal: %v", err)
		}
	}
	inject()
	retryUntilConfirmed(t, contacted, "withdraw the key", func(ctx context.Context) (api.Key, error) {
		return contacted.operator().WithdrawKey(ctx, "test", "leuven", "k1")
	})
	confirmed := time.Now()
	var accepted sync.Map
	for round := 0; time.Since(confirmed) < faultDuration+freezeDuration; round++ {
		for _, n := range d.live() {
			go func() {
				n.waitWhileFrozen()
				elapsed := time.Since(confirmed)
				if _, err := n.submitJob("check", fmt.Sprintf("after-%d-%s", round, n.cfg.Self.Instance)); err == nil && elapsed > d.nodes[0].cfg.Control.KeyFreshness {
					accepted.Store(fmt.Sprintf("%s after %v", n.cfg.Self.Instance, elapsed), true)
				}
			}()
		}
		time.Sleep(time.Second)
	}
	accepted.Range(func(where, _ any) bool {
		t.Errorf("a withdrawn key was accepted by %s", where)
		return true
	})
	for name, standInWorker := range d.workers {
		ledger, err := standInWorker.Ledger()
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range ledger.Runs {
			if run.End.IsZero() {
				t.Errorf("%s still runs %s under the withdrawn key", name, run.Attempt)
			}
		}
	}
}

const lowLimit = `{"team": "leuven", "share": 1, "limit": {"cpu_milli": 10000, "memory_mb": 0, "accelerators": 0, "slots": 3, "connections": 0}}`

// lowerLimit checks that a limit below the current usage comes into force. The oracle checks that
// the team's usage never exceeds the limit from then on.
func lowerLimit(t *testing.T, d *deployment, contacted, _ *node, inject func()) {
	for i := range 8 {
		if _, err := d.nodes[i%3].submitJob("tables", fmt.Sprintf("s%d", i)); err != nil {
			t.Fatalf("submit a service: %v", err)
		}
	}
	time.Sleep(5 * time.Second)
	if got := d.running(t); got != 8 {
		t.Fatalf("%d services run before the change, want 8", got)
	}
	inject()
	d.apply(t, contacted, operator.DocumentRef{Team: "leuven"}, lowLimit)
	time.Sleep(3 * time.Minute)
	if got := d.running(t); got != 3 {
		t.Errorf("%d services run under a limit of 3", got)
	}
	inForce := 0
	for _, e := range d.trace().Events {
		if e.Type == timeline.LimitInForce && e.Size.Slots == 3 {
			inForce++
		}
	}
	if inForce == 0 {
		t.Error("the lower limit never came into force")
	}
}

// running counts the running tasks of all workers.
func (d *deployment) running(t *testing.T) int {
	t.Helper()
	count := 0
	for _, standInWorker := range d.workers {
		ledger, err := standInWorker.Ledger()
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range ledger.Runs {
			if run.End.IsZero() {
				count++
			}
		}
	}
	return count
}

// apply replaces a document. Each attempt reads the revision again, since an earlier attempt may
// have succeeded.
func (d *deployment) apply(t *testing.T, n *node, ref operator.DocumentRef, source string) operator.StoredDocument {
	t.Helper()
	return retryUntilConfirmed(t, n, "apply a document", func(ctx context.Context) (operator.StoredDocument, error) {
		stored, err := n.operator().Get(ctx, ref)
		if err != nil {
			return operator.StoredDocument{}, err
		}
		if stored.Record.Source == source {
			return stored, nil
		}
		return n.operator().Apply(ctx, operator.DocumentChange{Ref: ref, Source: source, Operator: "test", ExpectedRevision: stored.Revision})
	})
}

// configBound is the time within which a change must be in force everywhere. An instance that cannot
// read the store receives the change from other instances.
const configBound = 11 * time.Second

// applyDocument checks that a document is in force at every running instance within the bound.
func applyDocument(t *testing.T, d *deployment, contacted, other *node, inject func()) {
	inject()
	source := strings.Replace(testDocument, "sleep:2s", "sleep:3s", 1)
	stored := d.apply(t, contacted, operator.DocumentRef{Team: "leuven", Service: "piping"}, source)
	confirmed := time.Now()
	for time.Since(confirmed) < configBound {
		time.Sleep(100 * time.Millisecond)
	}
	other.waitWhileFrozen()
	time.Sleep(configBound) // for a frozen or restarted instance, the bound starts when it resumes
	if n := d.nodeAt(other.cfg.Self.Address); n == nil {
		time.Sleep(restartDelay + configBound)
	}
	for _, n := range d.live() {
		if got := n.Snapshot().Documents; got == nil || !hasRevision(n, stored.Revision) {
			t.Errorf("%s does not have revision %d in force %v after it was confirmed", n.cfg.Self.Incarnation, stored.Revision, time.Since(confirmed))
		}
	}
}

func hasRevision(n *node, revision int64) bool {
	for key, stored := range n.Snapshot().Documents {
		if key.Service == "piping" {
			return stored.Revision == revision
		}
	}
	return false
}

// raceOperators checks that at most one of two concurrent changes based on the same revision
// succeeds, and that the other one fails with a conflict or a store error.
func raceOperators(t *testing.T, d *deployment, contacted, other *node, inject func()) {
	ref := operator.DocumentRef{Team: "leuven", Service: "piping"}
	first := retryUntilConfirmed(t, contacted, "read the document", func(ctx context.Context) (operator.StoredDocument, error) { return contacted.operator().Get(ctx, ref) })
	inject()
	results := make([]error, 2)
	var group sync.WaitGroup
	for i, n := range []*node{contacted, other} {
		group.Go(func() {
			n.waitWhileFrozen()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, results[i] = n.operator().Apply(ctx, operator.DocumentChange{Ref: ref, Operator: n.cfg.Self.Instance, ExpectedRevision: first.Revision,
				Source: strings.Replace(testDocument, "sleep:2s", fmt.Sprintf("sleep:%ds", 4+i), 1)})
		})
	}
	group.Wait()
	succeeded := 0
	for i, err := range results {
		if err == nil {
			succeeded++
			continue
		}
		kind := errkind.From(err).Kind
		if kind != errkind.RevisionConflict && kind != errkind.StoreUnavailable && kind != errkind.OutcomeUnknown {
			t.Errorf("operator %d got error %v", i, err)
		}
	}
	if succeeded > 1 {
		t.Error("both concurrent changes based on the same revision were reported as succeeded")
	}
	now := retryUntilConfirmed(t, d.nodes[2], "read the document", func(ctx context.Context) (operator.StoredDocument, error) { return d.nodes[2].operator().Get(ctx, ref) })
	if succeeded == 1 && now.Record.PreviousRevision != first.Revision {
		t.Errorf("the document in force replaced revision %d, want %d", now.Record.PreviousRevision, first.Revision)
	}
}

// drainInstance checks that a planned stop under load completes in time, and that meanwhile no
// request fails, whether sent to the draining instance or to another one.
func drainInstance(t *testing.T, d *deployment, contacted, other *node, inject func()) {
	var failures sync.Map
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, n := range []*node{contacted, d.nodes[2]} {
		group.Go(func() {
			for r := 0; ; r++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				if _, err := n.submitJob("lookup", fmt.Sprintf("d%d-%d", i, r)); err != nil {
					failures.Store(fmt.Sprintf("%s request %d: %v", n.cfg.Self.Instance, r, err), errkind.From(err).Fate())
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	inject()
	_ = contacted.loop.Post(context.Background(), drainRequest)
	select {
	case <-contacted.drained:
	case <-time.After(90 * time.Second):
		t.Errorf("%s still holds units %v after its drain began", contacted.cfg.Self.Instance, 90*time.Second)
	}
	close(stop)
	group.Wait()
	if !other.wasFrozen() && !other.isDead() {
		failures.Range(func(what, fate any) bool {
			t.Errorf("a request failed during a planned stop: %v (%v)", what, fate)
			return true
		})
	}
}
