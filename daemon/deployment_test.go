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
	t            *testing.T
	store        *storetest.Memory
	workers      map[string]*standin.Worker
	localWorkers *standin.LocalWorkers
	listing      []instancelist.Instance

	mu      sync.Mutex
	nodes   []*node // every process, including those that have ended
	fault   func(c call) faultAction
	jobs    []*job // submitted by submitJob
	clients func(*node, Clients) Clients
	ended   bool
}

// node is one process of an entry instance.
type node struct {
	*engine
	deployment *deployment
	index      int
	dead       bool
	frozen     time.Time // calls are delayed until then
}

// call describes one call to a peer. Faults select the calls on which they act by it.
type call struct {
	step     string // peer, worker or store call, such as "peer.Place"
	from     *node
	to       *node  // for calls between entry instances
	worker   string // address, for calls to workers
	returned bool   // the call has taken effect
}

// faultAction is what a fault does to a call.
type faultAction struct {
	drop  bool          // the call does not arrive, or its reply is lost
	delay time.Duration // before the call proceeds
}

var errDropped = errors.New("no reply")

const testRegion = "flanders"

// newDeployment starts entry instances and workers. It does not wait until the units have owners.
func newDeployment(t *testing.T, instances, workers int) *deployment {
	return newDeploymentWith(t, instances, workers, func(_ *node, c Clients) Clients { return c })
}

// newDeploymentWith is newDeployment with a hook that changes the clients of every process.
func newDeploymentWith(t *testing.T, instances, workers int, clients func(*node, Clients) Clients) *deployment {
	w := &deployment{t: t, clients: clients, store: storetest.NewMemory(storetest.Config{}), workers: map[string]*standin.Worker{}, localWorkers: standin.NewLocalWorkers(nil)}
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		w.workers[name] = standin.NewWorker(standin.WorkerConfig{Name: name, UsageLag: 5 * time.Second,
			Capacity: task.Resources{CPUMilli: 4000, MemoryMB: 8192, Slots: 4, Connections: 16}})
		w.localWorkers.Set(worker.Address(name), w.workers[name])
		w.listing = append(w.listing, instancelist.Instance{Name: name, Address: name, Role: instancelist.RoleWorker, Region: testRegion,
			FailureDomain: fmt.Sprintf("domain-%d", i), Rack: fmt.Sprintf("rack-%d", i), State: instancelist.StateLive})
	}
	w.configure()
	for i := range instances {
		w.startNode(i)
	}
	return w
}

const testDocument = `{"team": "leuven", "service": "piping", "classes": [
  {"name": "lookup", "kind": "answer", "urgency": "urgent", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_run": "5s", "command": "sleep:100ms"},
  {"name": "check", "kind": "durable", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_count": 8, "max_run": "1m", "command": "sleep:2s"},
  {"name": "report", "kind": "at_most_once", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_run": "1m", "command": "sleep:2s"},
  {"name": "hammer", "kind": "gang", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "max_count": 4, "max_run": "1m", "command": "sleep:2s"},
  {"name": "tables", "kind": "service", "size": {"cpu_milli": 500, "memory_mb": 512, "slots": 1}, "command": "run"}]}`

const testTeam = `{"team": "leuven", "share": 1, "limit": {"cpu_milli": 10000, "memory_mb": 0, "accelerators": 0, "slots": 12, "connections": 0}}`

const testSecret = "leuven-secret"

func (w *deployment) configure() {
	client := w.store.Client("test")
	var txn store.Txn
	for _, source := range []string{testDocument, testTeam} {
		parsed, faults := document.Parse([]byte(source))
		if len(faults) > 0 {
			w.t.Fatalf("document: %v", faults)
		}
		value, _ := store.Encode(document.Record{Source: source, WriteID: source})
		txn.Puts = append(txn.Puts, store.Put{Key: store.DocumentKey(string(parsed.Team), string(parsed.Service)), Value: value})
	}
	value, _ := store.Encode(keyring.Key{ID: "k1", Team: "leuven", Digest: keyring.DigestOf(testSecret)})
	txn.Puts = append(txn.Puts, store.Put{Key: store.GrantedKeyKey("leuven", "k1"), Value: value})
	if _, err := client.Commit(w.t.Context(), txn); err != nil {
		w.t.Fatal(err)
	}
}

// startNode starts a process of entry instance i.
func (w *deployment) startNode(i int) *node {
	s := settings.Default()
	s.Instance, s.Region, s.FailureDomain = fmt.Sprintf("entry-%d", i), testRegion, fmt.Sprintf("domain-%d", i)
	s.Regions = []string{testRegion}
	s.StoreEndpoints = []string{"store"}
	s.WorkerPartitions, s.RequestShards = 2, 4
	cfg := FromSettings(s)
	cfg.Seed = uint64(i + 1)
	cfg.TickInterval = 50 * time.Millisecond
	cfg.Self.Address = s.Instance
	w.mu.Lock()
	cfg.Self.Incarnation = fmt.Sprintf("%s-%d", s.Instance, len(w.nodes))
	w.mu.Unlock()
	n := &node{deployment: w, index: i}
	n.engine = newEngine(cfg, log.New(io.Discard), w.clients(n, Clients{
		Store: &storeFake{Store: w.store.Client(s.Instance), node: n}, InstanceList: &listFake{n}, Workers: &workerFake{API: w.localWorkers, node: n}, Entries: &entryFake{n},
	}))
	n.executor = func(e control.Effect) {
		n.waitWhileFrozen()
		n.execute(e)
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
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
func (n *node) freeze(d time.Duration) {
	n.deployment.mu.Lock()
	defer n.deployment.mu.Unlock()
	n.frozen = time.Now().Add(d)
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
	return !n.frozen.IsZero()
}

// waitWhileFrozen blocks while the process is frozen.
func (n *node) waitWhileFrozen() {
	n.deployment.mu.Lock()
	remaining := time.Until(n.frozen)
	n.deployment.mu.Unlock()
	if remaining > 0 {
		time.Sleep(remaining)
	}
}

// applyFault applies the fault of the deployment to a call: it delays the call or returns an error
// if the call is lost. Calls of a process that was killed are lost.
func (w *deployment) applyFault(ctx context.Context, c call) error {
	w.mu.Lock()
	hook := w.fault
	w.mu.Unlock()
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
func (w *deployment) live() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*node
	for _, n := range w.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

// close stops all processes, workers and the store.
func (w *deployment) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, n := range w.live() {
		n.kill()
	}
	for _, standInWorker := range w.workers {
		standInWorker.Close()
	}
	w.store.Close()
	time.Sleep(faultDuration + freezeDuration) // until the goroutines that faults delay have ended
}

func (w *deployment) trace() oracle.Trace {
	trace := oracle.Trace{Bounds: oracle.DefaultBounds, KnownTasks: map[task.ID]bool{}}
	var timelines [][]timeline.Event
	for _, n := range w.nodes {
		timelines = append(timelines, n.Events())
	}
	trace.Events = timeline.Merge(timelines...)
	for _, standInWorker := range w.workers {
		ledger, err := standInWorker.Ledger()
		if err != nil {
			w.t.Fatal(err)
		}
		trace.Workers = append(trace.Workers, ledger)
	}
	return trace
}

// checkOracle checks the invariants over the timelines of all processes and the ledgers of all
// workers.
func (w *deployment) checkOracle(l *load) {
	trace := w.trace()
	l.fillInProgress(&trace)
	trace.Answers = l.answers()
	report := oracle.Examine(trace)
	w.countExamined(report)
	violations := report.Violations
	for i, v := range violations {
		if i < 3 {
			w.t.Errorf("%s", v)
		}
	}
	if w.t.Failed() && testing.Verbose() {
		for _, e := range trace.Events {
			if e.Task != "" || e.Type == timeline.OwnershipTaken || e.Type == timeline.OwnershipLost {
				w.t.Log(e)
			}
		}
	}
}

// fillInProgress records for every task whose state an instance returns whether it is still in
// progress.
func (l *load) fillInProgress(trace *oracle.Trace) {
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

// examinedTotals counts the facts that the oracle examined in all cells, by invariant.
var examinedTotals struct {
	mu    sync.Mutex
	facts map[oracle.Invariant]int
}

func (w *deployment) countExamined(r oracle.Report) {
	examinedTotals.mu.Lock()
	defer examinedTotals.mu.Unlock()
	if examinedTotals.facts == nil {
		examinedTotals.facts = map[oracle.Invariant]int{}
	}
	for invariant, n := range r.Examined {
		examinedTotals.facts[invariant] += n
	}
}
