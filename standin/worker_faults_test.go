package standin

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// callFixture is a worker with one finished and one running task, and the API through which it is
// called.
type callFixture struct {
	w                 *Worker
	api               worker.API
	at                worker.Address
	boot              string
	clock             time.Duration
	finished, running task.Attempt
}

// newAttempt is the attempt that callFixture.call starts for CallStart.
var newAttempt = task.Attempt{Task: "fresh", Number: 1}

func newCallFixture(t *testing.T, w *Worker, api worker.API, at worker.Address) *callFixture {
	t.Helper()
	s := &callFixture{w: w, api: api, at: at}
	for command, a := range map[string]*task.Attempt{"echo": &s.finished, "run": &s.running} {
		local := NewLocalWorkers(map[worker.Address]*Worker{at: w})
		req := newStartRequest(t, local, at, task.ID(command), command)
		if _, err := local.Start(t.Context(), at, req, nil); err != nil {
			t.Fatal(err)
		}
		*a, s.boot, s.clock = req.Attempt, req.BootID, req.StartBy-3*time.Second
	}
	return s
}

// call makes one call of the given kind.
func (s *callFixture) call(t *testing.T, kind WorkerCall) error {
	ctx := t.Context()
	var err error
	switch kind {
	case CallSync:
		_, err = s.api.Sync(ctx, s.at, worker.SyncRequest{Epoch: 1, BootID: s.boot, Acknowledge: []task.Attempt{s.finished}})
	case CallStart:
		_, err = s.api.Start(ctx, s.at, worker.StartRequest{
			Attempt: newAttempt, Epoch: 1, BootID: s.boot, Command: "run",
			StartBy: s.clock + 3*time.Second, LeaseUntil: s.clock + 30*time.Second,
		}, func() error { return nil })
	case CallLookup:
		_, err = s.api.Lookup(ctx, s.at, s.running)
	case CallResult:
		err = s.api.Result(ctx, s.at, worker.ResultRequest{Attempt: s.finished}, io.Discard)
	case CallStop:
		_, err = s.api.Stop(ctx, s.at, worker.StopRequest{Attempt: s.running, Epoch: 1})
	case CallCheckpoint:
		_, err = s.api.Checkpoint(ctx, s.at, worker.CheckpointRequest{Attempt: s.running, Epoch: 1})
	case CallThrottle:
		_, err = s.api.Throttle(ctx, s.at, worker.ThrottleRequest{Attempt: s.running, Epoch: 1, Limit: task.Resources{CPUMilli: 1}})
	}
	return err
}

// hasEffect reports whether a call of the given kind has changed the worker.
func (s *callFixture) hasEffect(kind WorkerCall) (effect bool) {
	_ = s.w.runControl(func(time.Time) {
		m := s.w.machine
		switch kind {
		case CallSync:
			effect = m.records[s.finished] == nil
		case CallStart:
			effect = m.records[newAttempt] != nil
		case CallStop:
			effect = m.records[s.running].report.State == worker.Stopped
		case CallCheckpoint:
			effect = m.records[s.running].report.State == worker.Checkpointed
		case CallThrottle:
			effect = m.records[s.running].throttle.limit.CPUMilli == 1
		}
	})
	return effect
}

// faultCase is a fault, the error that the caller must receive, and whether the call must have
// taken effect after the fault has been cleared.
type faultCase struct {
	name        string
	faults      WorkerFaults
	clearAfter  time.Duration // the fault is cleared this long after the call
	want        error
	effect      bool
	pastStartBy bool // a start arrives after start_by and must have no effect
}

var faultCases = []faultCase{
	{name: "none", effect: true},
	{name: "slow within the deadline", faults: WorkerFaults{SlowMS: new(int64(50))}, effect: true},
	{name: "slow beyond the deadline", faults: WorkerFaults{SlowMS: new(int64(600))}, clearAfter: 700 * time.Millisecond, want: worker.ErrUnclear, effect: true},
	{name: "frozen", faults: WorkerFaults{Freeze: new(true)}, want: worker.ErrUnclear, effect: true},
	{name: "frozen until start_by has passed", faults: WorkerFaults{Freeze: new(true)}, clearAfter: 3 * time.Second, want: worker.ErrUnclear, effect: true, pastStartBy: true},
	{name: "silent", faults: WorkerFaults{Silent: new(true)}, want: worker.ErrUnclear},
	{name: "silent after the effect", faults: WorkerFaults{SilentAfter: new(true)}, want: worker.ErrUnclear, effect: true},
	{name: "reply dropped", faults: WorkerFaults{DropReplies: new(1)}, want: worker.ErrUnclear, effect: true},
}

var noFaults = WorkerFaults{
	Freeze: new(false), Silent: new(false), SilentAfter: new(false), DropReplies: new(0), SlowMS: new(int64(0)),
}

// timeout returns the call timeout. It is long if a reply is expected, to prevent false failures on
// a loaded machine.
func (c faultCase) timeout() time.Duration {
	if c.want == nil {
		return 20 * time.Second
	}
	return 300 * time.Millisecond
}

// run makes the call under the fault, clears the fault and checks the effect.
func (c faultCase) run(t *testing.T, s *callFixture, kind WorkerCall) {
	if err := s.w.SetFaults(c.faults); err != nil {
		t.Fatal(err)
	}
	if err := s.call(t, kind); !errors.Is(err, c.want) {
		t.Errorf("error = %v, want %v", err, c.want)
	}
	time.Sleep(c.clearAfter)
	if err := s.w.SetFaults(noFaults); err != nil {
		t.Fatal(err)
	}
	want := c.effect && kind != CallLookup && kind != CallResult && !(c.pastStartBy && kind == CallStart)
	for tries := 0; want && !s.hasEffect(kind) && tries < 1000; tries++ {
		time.Sleep(10 * time.Millisecond) // the worker may not have executed the request yet
	}
	if got := s.hasEffect(kind); got != want {
		t.Errorf("effect = %v, want %v", got, want)
	}
}

// TestWorkerFaultsOverHTTP applies every fault to every kind of call over HTTP. It guards against
// an error that reports a definite outcome where the outcome is unclear.
func TestWorkerFaultsOverHTTP(t *testing.T) {
	for _, c := range faultCases {
		for _, kind := range WorkerCalls {
			t.Run(c.name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				w := NewWorker(testConfig())
				client, at := serveHTTP(t, w, worker.Config{CallTimeout: c.timeout(), ResultTimeout: c.timeout()})
				c.run(t, newCallFixture(t, w, client, at), kind)
			})
		}
	}
}

// TestWorkerFaultsInProcess guards against in-process workers that fail differently from workers
// over HTTP.
func TestWorkerFaultsInProcess(t *testing.T) {
	for _, c := range faultCases {
		for _, kind := range WorkerCalls {
			t.Run(c.name+"/"+string(kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := NewWorker(testConfig())
					defer w.Close()
					local := NewLocalWorkers(map[worker.Address]*Worker{testAddress: w})
					local.CallTimeout = c.timeout()
					c.run(t, newCallFixture(t, w, local, testAddress), kind)
				})
			})
		}
	}
}

// TestCallsAfterRefusalAndReboot guards against ErrUnclear for a call that certainly had no effect,
// and against a start that becomes valid again after a reboot because the worker's clock restarts.
func TestCallsAfterRefusalAndReboot(t *testing.T) {
	for _, kind := range WorkerCalls {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorker(testConfig())
			defer w.Close()
			local := NewLocalWorkers(map[worker.Address]*Worker{testAddress: w})
			s := newCallFixture(t, w, local, testAddress)
			local.Set(testAddress, nil)
			if err := s.call(t, kind); !errors.Is(err, worker.ErrNotRun) {
				t.Errorf("%s refused: error = %v, want ErrNotRun", kind, err)
			}
			local.Set(testAddress, w)
			if err := w.SetFaults(WorkerFaults{Reboot: true}); err != nil {
				t.Fatal(err)
			}
			err := s.call(t, kind)
			wantErr := kind == CallStart || kind == CallResult
			if errors.Is(err, worker.ErrNotRun) != wantErr || !wantErr && err != nil {
				t.Errorf("%s after a reboot: error = %v", kind, err)
			}
			ledger, err := w.Ledger()
			if err != nil || len(ledger.Runs) != 2 || ledger.Runs[0].End.IsZero() || ledger.Runs[1].End.IsZero() {
				t.Errorf("%s: ledger after a reboot: %+v, %v", kind, ledger, err)
			}
		})
	}
}

// TestReportsUnderFaults guards against reports that omit failed tasks, a leaving worker, usage
// after the usage lag, or the end of a lease.
func TestReportsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorker(testConfig())
		defer w.Close()
		api := NewLocalWorkers(map[worker.Address]*Worker{testAddress: w})
		s := newCallFixture(t, w, api, testAddress)
		sync := func() worker.SyncReply {
			reply, err := api.Sync(t.Context(), testAddress, worker.SyncRequest{Epoch: 1, Full: true})
			if err != nil {
				t.Fatal(err)
			}
			return reply
		}
		reportOf := func(a task.Attempt) (found worker.TaskReport) {
			for _, r := range sync().Tasks {
				if r.Attempt == a {
					found = r
				}
			}
			return found
		}
		if err := w.SetFaults(WorkerFaults{FailTasks: new(true), Leaving: new(true)}); err != nil {
			t.Fatal(err)
		}
		if err := s.call(t, CallStart); err != nil || !sync().Leaving {
			t.Errorf("start on a leaving worker: %v", err)
		}
		if r := reportOf(newAttempt); r.Outcome == nil || r.Outcome.ExitCode != 1 {
			t.Errorf("task that fails immediately: %+v", r)
		}
		if r := reportOf(s.running); !r.Usage.IsZero() {
			t.Errorf("usage before the lag has passed: %v", r.Usage)
		}
		time.Sleep(6 * time.Second)
		if r := reportOf(s.running); r.Usage.CPUMilli != 750 {
			t.Errorf("usage after the lag: %v", r.Usage)
		}
		if err := w.SetFaults(WorkerFaults{Freeze: new(true)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if err := w.SetFaults(noFaults); err != nil {
			t.Fatal(err)
		}
		if r := reportOf(s.running); r.State != worker.Stopped || r.Outcome.RunTime != 30*time.Second {
			t.Errorf("lease that ended while frozen: %+v", r)
		}
	})
}

// TestIgnoreOptions guards against IgnoreEpoch and IgnoreValidity having no effect. Experiments
// with such workers would then wrongly show that the checks are unnecessary.
func TestIgnoreOptions(t *testing.T) {
	for _, test := range []struct {
		name   string
		config WorkerConfig
		edit   func(*worker.StartRequest)
		want   worker.Reason // of a worker without these options
	}{
		{"lower epoch", WorkerConfig{IgnoreEpoch: true}, func(r *worker.StartRequest) { r.Epoch = 0 }, worker.ReasonLowerEpoch},
		{"after start_by", WorkerConfig{IgnoreValidity: true}, func(r *worker.StartRequest) { r.StartBy = -1 }, worker.ReasonPastStartBy},
		{"after the lease", WorkerConfig{IgnoreValidity: true}, func(r *worker.StartRequest) { r.LeaseUntil = 0 }, worker.ReasonPastStartBy},
		{"other boot", WorkerConfig{IgnoreValidity: true}, func(r *worker.StartRequest) { r.BootID = "x" }, worker.ReasonOtherBoot},
	} {
		synctest.Test(t, func(t *testing.T) {
			for _, config := range []WorkerConfig{{}, test.config} {
				checks := config == WorkerConfig{}
				config.Capacity = testCapacity
				w := NewWorker(config)
				defer w.Close()
				api := NewLocalWorkers(map[worker.Address]*Worker{testAddress: w})
				req := newStartRequest(t, api, testAddress, "t", "run")
				test.edit(&req)
				_, err := api.Start(t.Context(), testAddress, req, nil)
				if checks != worker.IsRejected(err, test.want) || !checks && err != nil {
					t.Errorf("%s: checks %v: error %v", test.name, checks, err)
				}
				time.Sleep(time.Hour)
				if reply, err := api.Lookup(t.Context(), testAddress, req.Attempt); err != nil ||
					(reply.Report.State == worker.Running) != config.IgnoreValidity {
					t.Errorf("%s: an hour later: %+v, %v", test.name, reply, err)
				}
			}
		})
	}
}
