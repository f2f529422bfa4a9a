package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/standin"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

var drainRequest = control.DrainRequested{}

// deployment is a small deployment with fakes at the interfaces to the peers. It runs in a
// testing/synctest bubble, so that time is virtual.
type deployment struct {
	t             *testing.T
	store         *storetest.Memory
	workers       map[string]*standin.Worker
	localWorkers  *standin.LocalWorkers
	listedWorkers []instancelist.Instance

	mu          sync.Mutex
	nodes       []*node // every process, including killed ones
	fault       func(c call) faultAction
	jobs        []*job // submitted by submitJob
	wrapClients func(*node, Clients) Clients
	closed      bool
}

// node is one process of an entry instance, which a test can kill or freeze.
type node struct {
	*engine
	deployment  *deployment
	index       int
	dead        bool
	frozenUntil time.Time // calls are delayed until then
}

// call describes one call to a peer. A fault uses it to select the calls on which it acts.
type call struct {
	step     string // peer, worker or store call, such as "peer.Place"
	from     *node
	to       *node  // for calls between entry instances
	worker   string // address, for calls to workers
	executed bool   // the call has taken effect; its reply is about to be returned
}

// faultAction is the effect of a fault on a call.
type faultAction struct {
	drop  bool          // lose the request, or the reply if the call has taken effect
	delay time.Duration // delay before the call proceeds
}

var errDropped = errors.New("no reply")

const testRegion = "flanders"

// newDeployment starts entry instances and workers. It does not wait until the units have owners.
func newDeployment(t *testing.T, instances, workers int) *deployment {
	return newDeploymentWith(t, instances, workers, func(_ *node, c Clients) Clients { return c })
}

// newDeploymentWith is newDeployment with a function that wraps the clients of every process.
func newDeploymentWith(t *testing.T, instances, workers int, wrapClients func(*node, Clients) Clients) *deployment {
	d := &deployment{t: t, wrapClients: wrapClients, store: storetest.NewMemory(storetest.Config{}), workers: map[string]*standin.Worker{}, localWorkers: standin.NewLocalWorkers(nil)}
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		d.workers[name] = standin.NewWorker(standin.WorkerConfig{Name: name, UsageLag: 5 * time.Second,
			Capacity: task.Resources{CPUMilli: 4000, MemoryMB: 8192, Slots: 4, Connections: 16}})
		d.localWorkers.Set(worker.Address(name), d.workers[name])
		d.listedWorkers = append(d.listedWorkers, instancelist.Instance{Name: name, Address: name, Role: instancelist.RoleWorker, Region: testRegion,
			FailureDomain: fmt.Sprintf("domain-%d", i), Rack: fmt.Sprintf("rack-%d", i), State: instancelist.StateLive})
	}
	d.configure()
	for i := range instances {
		d.startNode(i)
	}
	return d
}

const testDocument = `{"team": "leuven", "service": "piping", "classes": [
  {"name": "lookup", "kind": "answer", "urgency": "urgent", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_run": "5s", "command": "sleep:100ms"},
  {"name": "check", "kind": "durable", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_count": 8, "max_run": "1m", "command": "sleep:2s"},
  {"name": "report", "kind": "at_most_once", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_run": "1m", "command": "sleep:2s"},
  {"name": "hammer", "kind": "gang", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_count": 4, "max_run": "1m", "command": "sleep:2s"},
  {"name": "tables", "kind": "service", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "command": "run"}]}`

const testTeam = `{"team": "leuven", "share": 1, "limit": {"cpu_milli": 10000, "memory_mb": 0, "accelerators": 0, "slots": 12, "connections": 0}}`

const testSecret = "leuven-secret"

func (d *deployment) configure() {
	client := d.store.Client("test")
	var txn store.Txn
	for _, source := range []string{testDocument, testTeam} {
		parsed, faults := document.Parse([]byte(source))
		if len(faults) > 0 {
			d.t.Fatalf("document: %v", faults)
		}
		value, _ := store.Encode(document.Record{Source: source, WriteID: source})
		txn.Puts = append(txn.Puts, store.Put{Key: store.DocumentKey(string(parsed.Team), string(parsed.Service)), Value: value})
	}
	value, _ := store.Encode(keyring.Key{ID: "k1", Team: "leuven", Digest: keyring.DigestOf(testSecret)})
	txn.Puts = append(txn.Puts, store.Put{Key: store.GrantedKeyKey("leuven", "k1"), Value: value})
	if _, err := client.Commit(d.t.Context(), txn); err != nil {
		d.t.Fatal(err)
	}
}

// startNode starts a process of the entry instance with index i.
func (d *deployment) startNode(i int) *node {
	s := settings.Default()
	s.Instance, s.Region, s.FailureDomain = fmt.Sprintf("entry-%d", i), testRegion, fmt.Sprintf("domain-%d", i)
	s.Regions = []string{testRegion}
	s.StoreEndpoints = []string{"store"}
	s.WorkerPartitions, s.RequestShards = 2, 4
	cfg := FromSettings(s)
	cfg.Seed = uint64(i + 1)
	cfg.TickInterval = 50 * time.Millisecond
	cfg.Self.Address = s.Instance
	d.mu.Lock()
	cfg.Self.Incarnation = fmt.Sprintf("%s-%d", s.Instance, len(d.nodes))
	d.mu.Unlock()
	n := &node{deployment: d, index: i}
	n.engine = newEngine(cfg, log.New(io.Discard), d.wrapClients(n, Clients{
		Store: &storeFake{Store: d.store.Client(s.Instance), node: n}, InstanceList: &listFake{n}, Workers: &workerFake{API: d.localWorkers, node: n}, Entries: &entryFake{n},
	}))
	n.executor = func(e control.Effect) {
		n.waitWhileFrozen()
		n.execute(e)
	}
	d.mu.Lock()
	d.nodes = append(d.nodes, n)
	d.mu.Unlock()
	go func() { _ = n.run(n.effectsCtx) }()
	return n
}

// kill ends a process immediately.
func (n *node) kill() {
	n.deployment.mu.Lock()
	n.dead = true
	n.deployment.mu.Unlock()
	n.stop()
}

// freeze suspends a process for a duration, as if its machine had been paused.
func (n *node) freeze(duration time.Duration) {
	n.deployment.mu.Lock()
	defer n.deployment.mu.Unlock()
	n.frozenUntil = time.Now().Add(duration)
}

func (n *node) isDead() bool {
	n.deployment.mu.Lock()
	defer n.deployment.mu.Unlock()
	return n.dead
}

// wasFrozen reports whether the process was frozen at any time.
func (n *node) wasFrozen() bool {
	n.deployment.mu.Lock()
	defer n.deployment.mu.Unlock()
	return !n.frozenUntil.IsZero()
}

// waitWhileFrozen blocks while the process is frozen.
func (n *node) waitWhileFrozen() {
	n.deployment.mu.Lock()
	remaining := time.Until(n.frozenUntil)
	n.deployment.mu.Unlock()
	if remaining > 0 {
		time.Sleep(remaining)
	}
}

// applyFault applies the fault of the deployment to a call: it delays the call or returns an error
// if the call is lost. Calls of a process that was killed are lost.
func (d *deployment) applyFault(ctx context.Context, c call) error {
	d.mu.Lock()
	hook := d.fault
	d.mu.Unlock()
	if hook != nil {
		action := hook(c)
		if action.drop {
			<-ctx.Done()
			return errDropped
		}
		time.Sleep(action.delay)
	}
	c.from.waitWhileFrozen()
	if c.from.isDead() {
		return errDropped
	}
	return nil
}

// live returns the running processes.
func (d *deployment) live() []*node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*node
	for _, n := range d.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

// close stops all processes, the workers and the store.
func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	for _, n := range d.live() {
		n.kill()
	}
	for _, standInWorker := range d.workers {
		standInWorker.Close()
	}
	d.store.Close()
	time.Sleep(faultDuration + freezeDuration) // until all goroutines delayed by faults have returned
}

func (d *deployment) trace() oracle.Trace {
	trace := oracle.Trace{Bounds: oracle.DefaultBounds, KnownTasks: map[task.ID]bool{}}
	var timelines [][]timeline.Event
	for _, n := range d.nodes {
		timelines = append(timelines, n.Events())
	}
	trace.Events = timeline.Merge(timelines...)
	for _, standInWorker := range d.workers {
		ledger, err := standInWorker.Ledger()
		if err != nil {
			d.t.Fatal(err)
		}
		trace.Workers = append(trace.Workers, ledger)
	}
	return trace
}

// checkOracle checks the invariants over the timelines of all processes and the ledgers of all
// workers.
func (d *deployment) checkOracle(l *load) {
	trace := d.trace()
	l.fillKnownTasks(&trace)
	trace.Answers = l.answers()
	report := oracle.Examine(trace)
	d.countExamined(report)
	violations := report.Violations
	for i, v := range violations {
		if i < 3 {
			d.t.Errorf("%s", v)
		}
	}
	if d.t.Failed() && testing.Verbose() {
		for _, e := range trace.Events {
			if e.Task != "" || e.Type == timeline.OwnershipTaken || e.Type == timeline.OwnershipLost {
				d.t.Log(e)
			}
		}
	}
}

// fillKnownTasks records, for every task whose state an instance returns, whether the task is still
// in progress.
func (l *load) fillKnownTasks(trace *oracle.Trace) {
	for _, j := range l.jobs {
		if reply, err := l.status(j); err == nil {
			for _, taskState := range reply.Tasks {
				trace.KnownTasks[taskState.ID] = !taskState.State.IsFinal()
			}
		}
	}
}

// answers returns the results of one-task jobs as their callers received them.
func (l *load) answers() []oracle.Answer {
	var answers []oracle.Answer
	for _, j := range l.jobs {
		j.mu.Lock()
		reply := j.reply
		j.mu.Unlock()
		if len(reply.Tasks) != 1 || reply.Tasks[0].Outcome == nil || reply.Tasks[0].Outcome.Result == nil {
			continue
		}
		taskState := reply.Tasks[0]
		answers = append(answers, oracle.Answer{Task: taskState.ID, Attempt: taskState.Attempt, PayloadDigest: worker.Digest([]byte(j.key)),
			ResultDigest: worker.Digest(taskState.Outcome.Result), ResultBytes: int64(len(taskState.Outcome.Result))})
	}
	return answers
}

// examinedTotals counts the facts that the oracle has examined in all cells of the matrix, by
// invariant.
var examinedTotals struct {
	mu    sync.Mutex
	facts map[oracle.Invariant]int
}

func (d *deployment) countExamined(r oracle.Report) {
	examinedTotals.mu.Lock()
	defer examinedTotals.mu.Unlock()
	if examinedTotals.facts == nil {
		examinedTotals.facts = map[oracle.Invariant]int{}
	}
	for invariant, n := range r.Examined {
		examinedTotals.facts[invariant] += n
	}
}
