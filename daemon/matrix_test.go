package daemon

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/standin"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// steps are the calls at which each fault is injected.
var steps = []string{
	"peer.SubmitRequest", "peer.PlaceRequest", "peer.WithdrawRequest", "peer.LookupRequest", "peer.PermitRequest",
	"peer.ReportRequest", "peer.DigestMessage", "peer.PromiseRequest",
	"worker.Start", "worker.StartChecked", "worker.Sync", "worker.Lookup", "worker.Stop",
	"store.CommitRecords", "store.CommitOwnership", "store.CommitAllowance", "store.KeepAlive", "store.Get", "store.LatestRevision",
}

// injection is one kind of fault. It acts on the first calls of its step, either before or after the
// call takes effect.
type injection struct {
	name        string
	afterEffect bool // act after the call has taken effect instead of before
	times       int  // number of calls of the step on which it acts
	act         func(d *deployment, c call) faultAction
}

const (
	freezeDuration = 25 * time.Second // longer than a takeover
	outageDuration = 30 * time.Second // of a store outage
	restartDelay   = 20 * time.Second // delay before a killed process is restarted
	settleTimeout  = 3 * time.Minute  // limit on the time until every job has its outcome
	quietPeriod    = 45 * time.Second // wait before the checks, longer than any fault lasts
)

var injections = []injection{
	{name: "drop request", times: 1, act: dropCall},
	{name: "drop reply", afterEffect: true, times: 1, act: dropCall},
	{name: "drop reply twice", afterEffect: true, times: 2, act: dropCall},
	{name: "delay", times: 1, act: func(*deployment, call) faultAction { return faultAction{delay: 4 * time.Second} }},
	{name: "kill sender", times: 1, act: func(d *deployment, c call) faultAction { d.killAndRestart(c.from); return faultAction{} }},
	{name: "kill sender after effect", afterEffect: true, times: 1, act: func(d *deployment, c call) faultAction { d.killAndRestart(c.from); return faultAction{} }},
	{name: "kill receiver after effect", afterEffect: true, times: 1, act: func(d *deployment, c call) faultAction { d.killAndRestart(c.to); return faultAction{} }},
	{name: "kill both", afterEffect: true, times: 1, act: func(d *deployment, c call) faultAction {
		d.killAndRestart(c.from)
		d.killAndRestart(c.to)
		return faultAction{}
	}},
	{name: "freeze sender", times: 1, act: func(_ *deployment, c call) faultAction { c.from.freeze(freezeDuration); return faultAction{} }},
	{name: "freeze sender after effect", afterEffect: true, times: 1, act: func(_ *deployment, c call) faultAction { c.from.freeze(freezeDuration); return faultAction{} }},
	{name: "store down", times: 1, act: func(d *deployment, _ call) faultAction { d.injectStoreOutage(fault.Down); return faultAction{} }},
	{name: "store silent", times: 1, act: func(d *deployment, _ call) faultAction { d.injectStoreOutage(fault.Unreachable); return faultAction{} }},
	{name: "store replies lost", times: 1, act: func(d *deployment, _ call) faultAction { d.injectStoreOutage(fault.ReplyLost); return faultAction{} }},
	{name: "worker frozen", times: 1, act: func(d *deployment, c call) faultAction { d.freezeWorker(c.worker); return faultAction{} }},
	{name: "worker rebooted", afterEffect: true, times: 1, act: func(d *deployment, c call) faultAction { d.rebootWorker(c.worker); return faultAction{} }},
}

// applies reports whether a fault can act on a step at all.
func (s injection) applies(step string) bool {
	switch {
	case strings.Contains(s.name, "receiver") || s.name == "kill both":
		return strings.HasPrefix(step, "peer.")
	case strings.HasPrefix(s.name, "worker"):
		return strings.HasPrefix(step, "worker.")
	case step == "worker.StartChecked":
		return !s.afterEffect // applyFault is called for this step only before its effect
	}
	return true
}

// setupFaults cause the steps that do not occur without a fault: a lookup follows a lost request, a
// promise follows an outage of the store, and a takeover follows the crash of an owner. The name of
// each is the step at which it acts.
var setupFaults = map[string]injection{
	"peer.LookupRequest":    {name: "peer.PlaceRequest", times: 3, act: dropCall},
	"worker.Lookup":         {name: "worker.Start", times: 3, act: dropCall},
	"peer.PromiseRequest":   {name: "worker.Start", times: 1, act: func(d *deployment, _ call) faultAction { d.injectStoreOutage(fault.Down); return faultAction{} }},
	"store.Get":             {name: "worker.Start", afterEffect: true, times: 1, act: func(d *deployment, c call) faultAction { d.killAndRestart(c.from); return faultAction{} }},
	"store.CommitOwnership": {name: "worker.Start", afterEffect: true, times: 1, act: func(d *deployment, c call) faultAction { d.killAndRestart(c.from); return faultAction{} }},
}

func dropCall(*deployment, call) faultAction { return faultAction{drop: true} }

// TestFaultMatrix guards against a request that is lost, executed twice or answered incorrectly
// when one fault is injected at one step. It runs the control state and the daemon's calls in
// virtual time and logs the cells in which no call reached the step.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	var missed []string
	cells := 0
	t.Run("cells", func(t *testing.T) {
		for _, step := range steps {
			for _, s := range injections {
				if !s.applies(step) {
					continue
				}
				cells++
				name := step + "/" + s.name
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						if !runCell(t, step, s) {
							mu.Lock()
							missed = append(missed, name)
							mu.Unlock()
						}
					})
				})
			}
		}
	})
	t.Logf("%d cells, %d covered; not reached: %s", cells, cells-len(missed), strings.Join(missed, ", "))
}

// runCell runs the workload with one fault and checks every invariant. It reports whether the fault
// was injected.
func runCell(t *testing.T, step string, s injection) (injected bool) {
	d := newDeployment(t, 3, 4)
	defer d.close()
	time.Sleep(10 * time.Second) // until every unit has an owner
	faults := []*pendingInjection{{injection: s, step: step, remaining: s.times}}
	if setup, ok := setupFaults[step]; ok {
		faults = append(faults, &pendingInjection{injection: setup, step: setup.name, remaining: setup.times})
	}
	d.setFaults(faults)
	load := d.submitLoad()
	load.awaitEnd()
	time.Sleep(quietPeriod)
	load.check(t)
	d.checkOracle(load)
	d.mu.Lock()
	defer d.mu.Unlock()
	return faults[0].remaining < s.times
}

// pendingInjection is a fault that waits for calls of its step.
type pendingInjection struct {
	injection
	step      string
	remaining int
}

func (d *deployment) setFaults(faults []*pendingInjection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = func(c call) faultAction {
		for _, f := range faults {
			if d.consumeInjection(f, c) {
				return f.act(d, c)
			}
		}
		return faultAction{}
	}
}

// consumeInjection reports whether a fault acts on a call, and if so counts the call.
func (d *deployment) consumeInjection(f *pendingInjection, c call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.remaining == 0 || c.step != f.step || c.executed != f.afterEffect || c.from.dead {
		return false
	}
	f.remaining--
	return true
}

func (d *deployment) killAndRestart(n *node) {
	n.kill()
	time.AfterFunc(restartDelay, func() {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if !closed {
			d.startNode(n.index)
		}
	})
}

func (d *deployment) injectStoreOutage(kind fault.Kind) {
	_ = d.store.Faults().Set(fault.Fault{Kind: kind})
	time.AfterFunc(outageDuration, func() { _ = d.store.Faults().Set() })
}

func (d *deployment) freezeWorker(name string) {
	frozen, resumed := true, false
	go func() { _ = d.workers[name].SetFaults(standin.WorkerFaults{Freeze: &frozen}) }()
	time.AfterFunc(freezeDuration, func() { _ = d.workers[name].SetFaults(standin.WorkerFaults{Freeze: &resumed}) })
}

func (d *deployment) rebootWorker(name string) {
	go func() { _ = d.workers[name].SetFaults(standin.WorkerFaults{Reboot: true}) }()
}

// job is one job of the load with the last reply to its caller.
type job struct {
	class    string
	key      string
	count    int
	cancel   bool
	mu       sync.Mutex
	reply    caller.JobStatus
	err      error
	accepted bool // a submission was confirmed to its caller
}

// load is the work of one cell of the matrix.
type load struct {
	deployment *deployment
	jobs       []*job
	done       sync.WaitGroup
}

// submitLoad submits work of every kind, distributed over the instances.
func (d *deployment) submitLoad() *load {
	l := &load{deployment: d}
	classes := []string{"lookup", "check", "report", "hammer", "tables", "lookup", "report", "check"}
	for i, class := range classes {
		j := &job{class: class, key: fmt.Sprintf("k%d", i), count: 1, cancel: i == len(classes)-1}
		switch class {
		case "check", "hammer":
			j.count = 3
		}
		l.jobs = append(l.jobs, j)
		l.done.Add(1)
		go l.submit(j, i)
	}
	return l
}

// submit submits a job as a caller does: it retries with the same idempotency key, at another
// instance each time, until a submission succeeds or must not be repeated. The first attempt goes to
// the live instance with index offset.
func (l *load) submit(j *job, offset int) {
	defer l.done.Done()
	for attempt := range 40 {
		live := l.deployment.live()
		if len(live) == 0 {
			time.Sleep(time.Second)
			continue
		}
		n := live[(offset+attempt)%len(live)]
		reply, err := l.submitOnce(n, j)
		if n.isDead() {
			err = errDropped // the connection broke with the process
		}
		j.mu.Lock()
		j.reply, j.err = reply, err
		j.accepted = j.accepted || err == nil
		j.mu.Unlock()
		if err == nil || j.class == "lookup" && errkind.From(err).Fate() == errkind.FateUnknown {
			break
		}
		time.Sleep(time.Second)
	}
	if j.cancel {
		time.Sleep(500 * time.Millisecond)
		l.cancel(j)
	}
}

func (l *load) submitOnce(n *node, j *job) (caller.JobStatus, error) {
	n.waitWhileFrozen()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return (&callerBackend{n.engine}).Submit(ctx, testSecret, task.Spec{Team: "leuven", Service: "piping", Class: j.class, IdempotencyKey: j.key,
		Count: j.count, Payload: []byte(j.key), SubmittedAt: time.Now()}, 0)
}

func (l *load) cancel(j *job) {
	for range 60 {
		for _, n := range l.deployment.live() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err := (&callerBackend{n.engine}).Cancel(ctx, testSecret, caller.JobID{Team: "leuven", Service: "piping", Key: j.key})
			cancel()
			if err == nil && !n.isDead() {
				return
			}
		}
		time.Sleep(time.Second)
	}
}

// status queries the live instances until one returns the state of the job.
func (l *load) status(j *job) (caller.JobStatus, error) {
	err := errors.New("no instance is running")
	for range 10 {
		for _, n := range l.deployment.live() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			var reply caller.JobStatus
			reply, err = (&callerBackend{n.engine}).Status(ctx, testSecret, caller.JobID{Team: "leuven", Service: "piping", Key: j.key})
			cancel()
			if err == nil {
				return reply, nil
			}
		}
		time.Sleep(time.Second)
	}
	return caller.JobStatus{}, err
}

// awaitEnd waits until every job has its outcome, or settleTimeout has passed.
func (l *load) awaitEnd() {
	l.done.Wait()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(2 * time.Second) {
		unfinished := 0
		for _, j := range l.jobs {
			if reply, err := l.status(j); j.class != "lookup" && (err != nil || !j.hasEnded(reply)) {
				unfinished++
			}
		}
		if unfinished == 0 {
			return
		}
	}
}

// hasEnded reports whether a job is in its expected last state: running for a service, final
// otherwise.
func (j *job) hasEnded(reply caller.JobStatus) bool {
	for _, taskState := range reply.Tasks {
		if j.class == "tables" && taskState.State != task.Running || j.class != "tables" && !taskState.State.IsFinal() {
			return false
		}
	}
	return true
}

// check compares the last state of every job with the guarantees of its kind.
func (l *load) check(t *testing.T) {
	for _, j := range l.jobs {
		if j.class == "lookup" {
			l.checkLookup(t, j)
			continue
		}
		if !j.accepted {
			t.Errorf("%s %s was never accepted: %v", j.class, j.key, j.err)
			continue
		}
		reply, err := l.status(j)
		if err != nil {
			t.Errorf("%s %s was accepted but its state cannot be read: %v", j.class, j.key, err)
			continue
		}
		j.checkEnd(t, reply)
	}
}

func (l *load) checkLookup(t *testing.T, j *job) {
	if j.err == nil && j.reply.State != task.Finished {
		t.Errorf("lookup %s was answered with state %s", j.key, j.reply.State)
	}
}

func (j *job) checkEnd(t *testing.T, reply caller.JobStatus) {
	for _, taskState := range reply.Tasks {
		switch {
		case j.class == "tables":
			if taskState.State != task.Running {
				t.Errorf("service %s is %s after attempt %d, want running", j.key, taskState.State, taskState.Attempt)
			}
		case j.cancel:
			if !taskState.State.IsFinal() {
				t.Errorf("cancelled task %s is %s", taskState.ID, taskState.State)
			}
		case j.class == "report":
			if taskState.State != task.Finished && taskState.State != task.Unknown {
				t.Errorf("report %s is %s", taskState.ID, taskState.State)
			}
		case taskState.State != task.Finished:
			t.Errorf("%s task %s is %s after attempt %d, want finished; outcome %+v", j.class, taskState.ID, taskState.State, taskState.Attempt, taskState.Outcome)
		}
	}
}
