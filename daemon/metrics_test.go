package daemon

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestMeters guards against an outcome that is counted under a name other than the documented one.
func TestMeters(t *testing.T) {
	m := meters{metrics.NewRegistry()}
	m.countRequest(task.Durable, nil)
	m.countRequest(task.Durable, errkind.New(errkind.QueueFull, "full"))
	m.countStart(control.StartDone{Result: control.StartNotRun})
	m.countStart(control.StartDone{Result: control.StartUnclear})
	m.countStart(control.StartDone{Start: control.StartTask{Team: "leuven", WaitTime: 1500 * time.Millisecond}})
	m.recordStoreCall("get", time.Now(), store.ErrUnavailable)
	m.recordStoreCall("commit", time.Now(), nil)
	m.recordStoreCall("commit", time.Now(), store.ErrUnclear)
	for name, want := range map[string]int64{
		"request.kind_count.durable":       1,
		"request.error_count.queue_full":   1,
		"task.start_sent_count":            3,
		"task.start_not_run_count":         1,
		"task.start_unclear_count":         1,
		"store.call_count.get.unavailable": 1,
		"store.call_count.commit.ok":       1,
		"store.call_count.commit.unclear":  1,
	} {
		counter, ok := m.registry.Get(name).(metrics.Counter)
		if !ok || counter.Count() != want {
			t.Errorf("%s is %v, want %d", name, m.registry.Get(name), want)
		}
	}
	wait, ok := m.registry.Get("task.wait_ms.leuven").(metrics.Histogram)
	if !ok || wait.Count() != 1 || wait.Max() != 1500 {
		t.Errorf("waiting time is %v, want one of 1500 ms", wait)
	}
}

// TestMeteredStore guards against a call to the store that is not counted.
func TestMeteredStore(t *testing.T) {
	m := meters{metrics.NewRegistry()}
	s := meteredStore{storetest.NewMemory(storetest.Config{}).Client("entry-1"), m}
	ctx := t.Context()
	lease, err := s.Grant(ctx, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = s.KeepAlive(ctx, lease)
	_, _ = s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("b")}}})
	_, _, _, _ = s.Get(ctx, "a")
	_, _, _ = s.List(ctx, "a")
	_ = s.Revoke(ctx, lease)
	for _, call := range []string{"grant", "keepalive", "commit", "get", "list", "revoke"} {
		if counter, ok := m.registry.Get("store.call_count." + call + ".ok").(metrics.Counter); !ok || counter.Count() != 1 {
			t.Errorf("call %s was not counted once", call)
		}
	}
}
