package standin

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

var testCapacity = task.Resources{CPUMilli: 4000, MemoryMB: 4096, Slots: 4, Connections: 64}

var errTermEnded = errors.New("ownership term has ended")

const testAddress worker.Address = "worker-1:1"

func testConfig() WorkerConfig {
	return WorkerConfig{Name: "worker-1", Capacity: testCapacity, UsageLag: 5 * time.Second}
}

// newStartRequest returns a request to start a task, valid for 3 s and with a lease of 30 s.
func newStartRequest(t testing.TB, api worker.API, at worker.Address, id task.ID, command string) worker.StartRequest {
	t.Helper()
	report, err := api.Sync(t.Context(), at, worker.SyncRequest{Owner: "o", Epoch: 1, Full: true})
	if err != nil {
		t.Fatal(err)
	}
	return worker.StartRequest{
		Attempt: task.Attempt{Task: id, Number: 1}, Team: "team-a", Class: "c", HomeInstance: "h",
		Owner: "o", Epoch: 1, BootID: report.BootID,
		StartBy: report.Clock + 3*time.Second, LeaseUntil: report.Clock + 30*time.Second,
		Size:    task.Resources{CPUMilli: 1000, MemoryMB: 1024, Slots: 1},
		Command: command, Payload: []byte("payload of " + string(id)),
	}
}

// serveHTTP serves w over HTTP and returns a client and the address of w.
func serveHTTP(t testing.TB, w *Worker, config worker.Config) (*worker.Client, worker.Address) {
	t.Helper()
	server := httptest.NewUnstartedServer(w.Handler())
	server.Config.IdleTimeout = WorkerIdleTimeout
	server.Start()
	client := worker.NewClient(config)
	t.Cleanup(func() {
		w.Close()
		client.Close()
		server.Close()
	})
	return client, worker.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestTaskLifecycleOverHTTP runs tasks from start to acknowledgement with every kind of call. It
// guards against a field that is lost in the encoding.
func TestTaskLifecycleOverHTTP(t *testing.T) {
	w := NewWorker(testConfig())
	api, at := serveHTTP(t, w, worker.Config{})
	testTaskLifecycle(t, api, at)
}

// TestTaskLifecycleInProcess guards against in-process calls that behave differently from calls
// over HTTP.
func TestTaskLifecycleInProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorker(testConfig())
		defer w.Close()
		testTaskLifecycle(t, NewLocalWorkers(map[worker.Address]*Worker{testAddress: w}), testAddress)
	})
}

func testTaskLifecycle(t *testing.T, api worker.API, at worker.Address) {
	ctx := t.Context()
	echo := newStartRequest(t, api, at, "task/with slash", "echo")
	echo.OutcomeWait = time.Second
	_, err := api.Start(ctx, at, echo, func() error { return errTermEnded })
	if !errors.Is(err, worker.ErrNotRun) || !errors.Is(err, errTermEnded) {
		t.Errorf("start after the end of the term: %v", err)
	}
	if reply, err := api.Lookup(ctx, at, echo.Attempt); err != nil || reply.Found {
		t.Errorf("lookup after the end of the term: %+v, %v", reply, err)
	}
	started, err := api.Start(ctx, at, echo, nil)
	if err != nil || started.Outcome == nil || !bytes.Equal(started.Outcome.Result, echo.Payload) {
		t.Fatalf("start of echo: %+v, %v", started, err)
	}
	if again, err := api.Start(ctx, at, echo, nil); err != nil || again.Outcome == nil {
		t.Errorf("second start of a known attempt: %+v, %v", again, err)
	}
	var fetched bytes.Buffer
	want := worker.ResultRequest{Attempt: echo.Attempt, Bytes: int64(len(echo.Payload)), Digest: started.Outcome.Digest}
	if err := api.Result(ctx, at, want, &fetched); err != nil || !bytes.Equal(fetched.Bytes(), echo.Payload) {
		t.Errorf("result: %q, %v", fetched.Bytes(), err)
	}
	big := newStartRequest(t, api, at, "big", "bytes:300000")
	big.OutcomeWait = 10 * time.Second
	started, err = api.Start(ctx, at, big, nil)
	if err != nil || started.Outcome == nil || started.Outcome.Result != nil || started.ResultBytes != 300000 {
		t.Fatalf("start with a result that is fetched: %+v, %v", started, err)
	}
	fetched.Reset()
	want = worker.ResultRequest{Attempt: big.Attempt, Bytes: 300000, Digest: started.Outcome.Digest}
	if err := api.Result(ctx, at, want, &fetched); err != nil || fetched.Len() != 300000 {
		t.Errorf("result of %d bytes, %v", fetched.Len(), err)
	}
	slow := newStartRequest(t, api, at, "slow", "sleep:30ms")
	slow.OutcomeWait = 10 * time.Second
	if started, err = api.Start(ctx, at, slow, nil); err != nil || started.Outcome == nil {
		t.Errorf("start that waits for the end: %+v, %v", started, err)
	}
	if _, err := api.Sync(ctx, at, worker.SyncRequest{Epoch: 1, BootID: slow.BootID, Acknowledge: []task.Attempt{big.Attempt, slow.Attempt}}); err != nil {
		t.Fatal(err)
	}
	large := newStartRequest(t, api, at, "large", "run")
	large.Size.Slots = testCapacity.Slots + 1
	if _, err := api.Start(ctx, at, large, nil); !worker.IsRejected(err, worker.ReasonOverCapacity) || !errors.Is(err, worker.ErrNotRun) {
		t.Errorf("start that does not fit: %v", err)
	}
	long := newStartRequest(t, api, at, "long", "run")
	if reply, err := api.Start(ctx, at, long, nil); err != nil || reply.Outcome != nil {
		t.Fatalf("start of run: %+v, %v", reply, err)
	}
	throttle := worker.ThrottleRequest{Attempt: long.Attempt, Epoch: 1, Limit: task.Resources{CPUMilli: 10}}
	if reply, err := api.Throttle(ctx, at, throttle); err != nil || !reply.Found {
		t.Errorf("throttle: %+v, %v", reply, err)
	}
	report, err := api.Sync(ctx, at, worker.SyncRequest{Epoch: 1, BootID: long.BootID})
	if err != nil || len(report.Tasks) != 2 || report.Capacity != testCapacity {
		t.Fatalf("report: %+v, %v", report, err)
	}
	stopped, err := api.Stop(ctx, at, worker.StopRequest{Attempt: long.Attempt, Epoch: 1})
	if err != nil || stopped.Report.State != worker.Stopped {
		t.Errorf("stop: %+v, %v", stopped, err)
	}
	saved, err := api.Checkpoint(ctx, at, worker.CheckpointRequest{Attempt: long.Attempt, Epoch: 1})
	if err != nil || saved.Report.State != worker.Stopped {
		t.Errorf("checkpoint of a stopped attempt: %+v, %v", saved, err)
	}
	report, err = api.Sync(ctx, at, worker.SyncRequest{
		Epoch: 1, BootID: long.BootID, AfterSequence: report.Sequence, Acknowledge: []task.Attempt{echo.Attempt},
	})
	if err != nil || report.Full || len(report.Tasks) != 1 || report.Tasks[0].Attempt != long.Attempt {
		t.Errorf("delta report: %+v, %v", report, err)
	}
	if reply, err := api.Lookup(ctx, at, echo.Attempt); err != nil || reply.Found {
		t.Errorf("lookup of an acknowledged attempt: %+v, %v", reply, err)
	}
}

// TestStartCheckBeforeWrite guards against a start that is written to an established connection
// after the owner's term has ended.
func TestStartCheckBeforeWrite(t *testing.T) {
	w := NewWorker(testConfig())
	api, at := serveHTTP(t, w, worker.Config{})
	if _, err := api.Start(t.Context(), at, newStartRequest(t, api, at, "first", "echo"), nil); err != nil {
		t.Fatal(err)
	}
	req := newStartRequest(t, api, at, "second", "echo")
	calls := 0
	_, err := api.Start(t.Context(), at, req, func() error {
		if calls++; calls > 1 {
			return errTermEnded
		}
		return nil
	})
	if !errors.Is(err, worker.ErrNotRun) || !errors.Is(err, errTermEnded) {
		t.Errorf("error = %v, want ErrNotRun", err)
	}
	if reply, err := api.Lookup(t.Context(), at, req.Attempt); err != nil || reply.Found {
		t.Errorf("lookup of an attempt that was not started: %+v, %v", reply, err)
	}
}

// TestRefusedDialIsNotRun guards against a refused connection that is classified as ErrUnclear.
func TestRefusedDialIsNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	at := worker.Address(strings.TrimPrefix(server.URL, "http://"))
	server.Close()
	client := worker.NewClient(worker.Config{})
	_, err := client.Start(t.Context(), at, worker.StartRequest{}, nil)
	if !errors.Is(err, worker.ErrNotRun) || errors.Is(err, worker.ErrUnclear) {
		t.Errorf("error = %v, want ErrNotRun", err)
	}
}
