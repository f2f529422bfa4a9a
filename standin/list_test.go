package standin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
)

func listedWorker(name string, state instancelist.State) instancelist.Instance {
	return instancelist.Instance{Name: name, Role: instancelist.RoleWorker, State: state}
}

// TestListLag guards against a list that shows a change before the lag has passed, or changes out
// of order.
func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := NewList(10*time.Second, listedWorker("w1", instancelist.StateLive))
		stateNow := func() instancelist.State { return list.Visible(time.Now())[0].State }
		list.Put(time.Now(), listedWorker("w1", instancelist.StateLeaving))
		time.Sleep(4 * time.Second)
		list.Put(time.Now(), listedWorker("w1", instancelist.StateGone))
		want := []instancelist.State{instancelist.StateLive, instancelist.StateLeaving, instancelist.StateGone}
		for i, wait := range []time.Duration{6*time.Second - 1, 1, 4 * time.Second} {
			time.Sleep(wait)
			if got := stateNow(); got != want[i] {
				t.Errorf("step %d: state %q, want %q", i, got, want[i])
			}
		}
	})
}

// TestListUnderFaults guards against a list call without a deadline, and against a failed call that
// returns an empty list instead of an error.
func TestListUnderFaults(t *testing.T) {
	list := NewList(0, listedWorker("w1", instancelist.StateLive))
	server := httptest.NewServer(list)
	defer server.Close()
	defer server.CloseClientConnections()
	client := instancelist.NewClient(instancelist.Config{
		Address:     server.Listener.Addr().String(),
		Instance:    "e1",
		CallTimeout: 500 * time.Millisecond,
	})
	defer client.Close()
	for _, kind := range []fault.Kind{fault.Down, fault.Unreachable, fault.ReplyLost, ""} {
		var faults []fault.Fault
		if kind != "" {
			faults = append(faults, fault.Fault{Kind: kind, Instance: "e1"})
		}
		if err := list.Faults().Set(faults...); err != nil {
			t.Fatal(err)
		}
		instances, err := client.List(t.Context())
		if failed := errors.Is(err, instancelist.ErrUnavailable); failed != (kind != "") || !failed && len(instances) != 1 {
			t.Errorf("fault %q: List = %v, %v", kind, instances, err)
		}
	}
}

// TestListControlOverHTTP guards against control endpoints that do not work over HTTP, where the
// demo and the end-to-end tests use them.
func TestListControlOverHTTP(t *testing.T) {
	list := NewList(time.Hour, listedWorker("w1", instancelist.StateLive))
	server := httptest.NewServer(list)
	defer server.Close()
	steps := []struct {
		method, path, body string
		want               int
	}{
		{"POST", PathFaults, `{"faults":[{"kind":"down","call":"list","count":1}]}`, 200},
		{"POST", PathFaults, `{"faults":[{"kind":"down","calls":"list"}]}`, 400},
		{"GET", instancelist.PathInstances, "", 503},
		{"GET", instancelist.PathInstances, "", 200},
		{"PUT", "/v1/instances/w2", `{"name":"w2","role":"worker","state":"live"}`, 204},
		{"PUT", "/v1/instances/w2", `{"name":"w3","role":"worker","state":"live"}`, 400},
		{"DELETE", "/v1/instances/w1", "", 204},
		{"POST", PathLag, `{"lag_ms":0}`, 204},
		{"GET", PathCounters, "", 200},
	}
	for i, step := range steps {
		request, err := http.NewRequest(step.method, server.URL+step.path, strings.NewReader(step.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != step.want {
			t.Errorf("step %d: status %d, want %d", i, response.StatusCode, step.want)
		}
	}
	visible := list.Visible(time.Now())
	if len(visible) != 1 || visible[0].Name != "w2" {
		t.Errorf("instances %+v, want w2 alone", visible)
	}
}
