package standin

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// modelWorker is the worker's state machine written the slow way: time passes second
// by second and everything is found by searching lists.
type modelWorker struct {
	clock, capacity int
	epoch           uint64
	tasks           []modelTask
	tombstones      []modelTask // stopped before their start, or acknowledged
}

type modelTask struct {
	id                   task.ID
	slots                int
	ends, lease, startBy int // seconds since boot; ends -1 for never
	state                worker.TaskState
	ran                  bool
}

func (n *modelWorker) tick() {
	n.clock++
	for i := range n.tasks {
		n.endIfDue(&n.tasks[i])
	}
}

func (n *modelWorker) endIfDue(t *modelTask) {
	switch {
	case t.state != worker.Running:
	case n.clock >= t.lease:
		t.state = worker.Stopped
	case t.ends >= 0 && n.clock >= t.ends:
		t.state = worker.Finished
	}
}

func (n *modelWorker) find(id task.ID) *modelTask {
	for i := range n.tasks {
		if n.tasks[i].id == id {
			return &n.tasks[i]
		}
	}
	return nil
}

func (n *modelWorker) free() int {
	free := n.capacity
	for _, t := range n.tasks {
		if t.state == worker.Running {
			free -= t.slots
		}
	}
	return free
}

// start returns the reason of the rejection, or nothing.
func (n *modelWorker) start(t modelTask, sameBoot bool, epoch uint64) worker.Reason {
	if n.find(t.id) != nil {
		return ""
	}
	var stopped bool
	for _, d := range n.tombstones {
		if d.id == t.id && d.startBy >= n.clock {
			if d.ran {
				return ""
			}
			stopped = true
		}
	}
	switch {
	case !sameBoot:
		return worker.ReasonBoot
	case n.clock > t.startBy || n.clock >= t.lease:
		return worker.ReasonLate
	case epoch < n.epoch:
		return worker.ReasonEpoch
	}
	n.epoch = epoch
	switch {
	case stopped:
		return worker.ReasonCancelled
	case t.slots > n.free():
		return worker.ReasonCapacity
	}
	t.state = worker.Running
	n.endIfDue(&t)
	n.tasks = append(n.tasks, t)
	return ""
}

// end stops a task, or remembers that it must not start.
func (n *modelWorker) end(id task.ID, state worker.TaskState, epoch uint64, startBy int) worker.Reason {
	if epoch < n.epoch {
		return worker.ReasonEpoch
	}
	n.epoch = epoch
	switch t := n.find(id); {
	case t == nil && state == worker.Stopped:
		n.tombstones = append(n.tombstones, modelTask{id: id, startBy: startBy})
	case t != nil && t.state == worker.Running:
		t.state = state
	}
	return ""
}

func (n *modelWorker) sync(sameBoot bool, epoch uint64, lease int, acknowledged task.ID) worker.Reason {
	if epoch < n.epoch {
		return worker.ReasonEpoch
	}
	n.epoch = epoch
	if !sameBoot {
		return ""
	}
	for i := range n.tasks {
		n.tasks[i].lease = max(n.tasks[i].lease, lease)
	}
	n.tasks = slices.DeleteFunc(n.tasks, func(t modelTask) bool {
		gone := t.id == acknowledged && t.state != worker.Running
		if gone {
			t.ran = true
			n.tombstones = append(n.tombstones, t)
		}
		return gone
	})
	return ""
}

func reasonOf(r *worker.Rejection) worker.Reason {
	if r == nil {
		return ""
	}
	return r.Reason
}

var commandSeconds = map[string]int{"echo": 0, "sleep:2s": 2, "sleep:5s": 5, "run": -1}

// TestMachineAgainstModel guards against any difference between the stand-in
// worker and its definition, in answers, states, free capacity and in a view
// that is kept from delta reports alone.
func TestMachineAgainstModel(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 4
		now := time.Unix(1000, 0)
		var ledger oracle.WorkerLedger
		config := WorkerConfig{Name: "w", Capacity: task.Resources{Slots: capacity}}
		m, n := newMachine(now, config, 1, &ledger), &modelWorker{capacity: capacity}
		boots, view, sequence := 1, map[task.ID]worker.TaskState{}, uint64(0)

		id := rapid.SampledFrom([]task.ID{"a", "b", "c", "d"})
		epoch := rapid.SampledFrom([]uint64{1, 1, 1, 2})
		offset := rapid.IntRange(-1, 6)
		drawBoot := func() (string, bool) {
			if rapid.IntRange(0, 9).Draw(t, "boot") == 0 {
				return "another", false
			}
			return m.bootID, true
		}
		seconds := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
		checkReason := func(what string, got, want worker.Reason) {
			if got != want {
				t.Fatalf("%s: reason %q, want %q", what, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = now.Add(time.Second)
				n.tick()
				m.advance(now)
			},
			"start": func(t *rapid.T) {
				boot, sameBoot := drawBoot()
				e, command := epoch.Draw(t, "epoch"), rapid.SampledFrom([]string{"echo", "sleep:2s", "sleep:5s", "run"}).Draw(t, "command")
				x := modelTask{
					id: id.Draw(t, "id"), slots: rapid.IntRange(1, 3).Draw(t, "slots"), ends: commandSeconds[command],
					startBy: n.clock + offset.Draw(t, "start by"), lease: n.clock + offset.Draw(t, "lease"),
				}
				if x.ends >= 0 {
					x.ends += n.clock
				}
				_, rejection := m.start(now, worker.StartRequest{
					Attempt: task.Attempt{Task: x.id, Number: 1}, BootID: boot, Epoch: e, Command: command,
					StartBy: seconds(x.startBy), LeaseUntil: seconds(x.lease), Size: task.Resources{Slots: int64(x.slots)},
				})
				checkReason("start", reasonOf(rejection), n.start(x, sameBoot, e))
			},
			"stop": func(t *rapid.T) {
				x, e, startBy := id.Draw(t, "id"), epoch.Draw(t, "epoch"), n.clock+offset.Draw(t, "start by")
				_, rejection := m.stop(now, worker.StopRequest{
					Attempt: task.Attempt{Task: x, Number: 1}, Epoch: e, BootID: m.bootID, StartBy: seconds(startBy),
				})
				checkReason("stop", reasonOf(rejection), n.end(x, worker.Stopped, e, startBy))
			},
			"checkpoint": func(t *rapid.T) {
				x, e := id.Draw(t, "id"), epoch.Draw(t, "epoch")
				_, rejection := m.checkpoint(now, worker.CheckpointRequest{Attempt: task.Attempt{Task: x, Number: 1}, Epoch: e})
				checkReason("checkpoint", reasonOf(rejection), n.end(x, worker.Checkpointed, e, 0))
			},
			"sync": func(t *rapid.T) {
				boot, sameBoot := drawBoot()
				e, lease, x := epoch.Draw(t, "epoch"), n.clock+offset.Draw(t, "lease"), id.Draw(t, "acknowledge")
				reply, rejection := m.sync(now, worker.SyncRequest{
					BootID: boot, Epoch: e, LeaseUntil: seconds(lease), After: sequence,
					Acknowledge: []task.Attempt{{Task: x, Number: 1}},
				})
				checkReason("sync", reasonOf(rejection), n.sync(sameBoot, e, lease, x))
				if rejection != nil {
					return
				}
				if reply.Full {
					clear(view)
				} else if view[x] != "" && view[x] != worker.Running {
					delete(view, x)
				}
				for _, r := range reply.Tasks {
					view[r.Attempt.Task] = r.State
				}
				if m.records[task.Attempt{Task: x, Number: 1}] == nil {
					delete(view, x)
				}
				sequence = reply.Sequence
				checkView(t, view, n)
			},
			"reboot": func(t *rapid.T) {
				boots++
				m.abortRunning(now)
				m, n = newMachine(now, config, boots, &ledger), &modelWorker{capacity: capacity}
				clear(view)
				sequence = 0
			},
			"": func(t *rapid.T) { checkState(t, m, n, now) },
		})
	})
}

// fixSeed makes rapid draw the same values in every run, and enough of them to
// meet rare orders, unless the command line says otherwise.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, values := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "3000"}} {
		f := flag.Lookup(name)
		if f.Value.String() != values[0] {
			continue
		}
		if err := f.Value.Set(values[1]); err != nil {
			t.Fatal(err)
		}
	}
}

// TestExpiredTombstones guards against an attempt being judged by a stop or an
// acknowledgement whose start_by has passed. Found by TestMachineAgainstNaive
// with -rapid.seed=5539937583251006311 and -rapid.seed=3373189.
func TestExpiredTombstones(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMachine(now, testConfig(), 1, &oracle.WorkerLedger{})
	req := worker.StartRequest{
		Attempt: task.Attempt{Task: "t", Number: 1}, BootID: m.bootID, Command: "echo", LeaseUntil: time.Hour,
	}
	m.stop(now, worker.StopRequest{Attempt: req.Attempt, BootID: m.bootID, StartBy: -time.Second})
	if _, rejection := m.start(now, req); rejection != nil {
		t.Errorf("start after a stop that is no longer valid: %v", rejection)
	}
	now = now.Add(time.Second)
	m.advance(now)
	m.sync(now, worker.SyncRequest{BootID: m.bootID, Acknowledge: []task.Attempt{req.Attempt}})
	if _, rejection := m.start(now, req); reasonOf(rejection) != worker.ReasonLate {
		t.Errorf("late start of an acknowledged attempt: %v", rejection)
	}
}

// checkState compares the whole state.
func checkState(t *rapid.T, m *machine, n *modelWorker, now time.Time) {
	if len(m.records) != len(n.tasks) {
		t.Fatalf("%d attempts, want %d", len(m.records), len(n.tasks))
	}
	for _, want := range n.tasks {
		reply := m.lookup(now, task.Attempt{Task: want.id, Number: 1})
		if !reply.Known || reply.Report.State != want.state || (reply.Report.Outcome != nil) != (want.state != worker.Running) {
			t.Fatalf("attempt %+v, want %+v", reply, want)
		}
	}
	if free := m.config.Capacity.Sub(m.used).Slots; free != int64(n.free()) {
		t.Fatalf("free %d, want %d", free, n.free())
	}
}

// checkView compares a view made from delta reports.
func checkView(t *rapid.T, view map[task.ID]worker.TaskState, n *modelWorker) {
	if len(view) != len(n.tasks) {
		t.Fatalf("view %v, want %+v", view, n.tasks)
	}
	for _, want := range n.tasks {
		if view[want.id] != want.state {
			t.Fatalf("view of %s is %q, want %q", want.id, view[want.id], want.state)
		}
	}
}
