package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/standin"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

const (
	collectInterval = time.Second
	collectTimeout  = 8 * time.Second
	collectOverlap  = 2 * time.Second // includes events that were recorded during the previous fetch
	collectLimit    = 10_000          // maximum number of events in a response of the operator API
)

// eventID identifies an event.
type eventID struct {
	instance, incarnation string
	sequence              uint64
}

// collector keeps the events of all instances, so that they are not lost when an
// instance is killed later.
type collector struct {
	mu     sync.Mutex
	events map[eventID]timeline.Event
	since  map[*Entry]time.Time // all earlier events have been fetched from the instance
}

func newCollector() *collector {
	return &collector{events: map[eventID]timeline.Event{}, since: map[*Entry]time.Time{}}
}

// run fetches the timeline of every instance periodically until the test ends.
// Each instance has a separate goroutine, so that a frozen one does not block the
// others. A failed fetch is retried from the same start time.
func (c *collector) run(t *testing.T, entries []*Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, e := range entries {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = c.fetch(ctx, e)
				select {
				case <-time.After(collectInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// fetch adds the events that an instance returns: its own and those of the members
// that it can reach.
func (c *collector) fetch(ctx context.Context, e *Entry) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	c.mu.Lock()
	since, seen := c.since[e]
	c.mu.Unlock()
	if !seen {
		since = time.Now().Add(-time.Hour)
	}
	started := time.Now()
	fetched, err := e.Operator.Timeline(ctx, client.TimelineFilter{Since: since.UTC().Format(time.RFC3339), Limit: collectLimit})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range fetched.Events {
		c.events[eventID{event.Instance, event.Incarnation, event.Sequence}] = event
	}
	if len(fetched.Events) == collectLimit {
		return fmt.Errorf("response has the maximum of %d events since %v; the oldest may be missing", collectLimit, since)
	}
	c.since[e] = started.Add(-collectOverlap)
	return nil
}

// Collect fetches the timeline through one instance and fails the test on an
// error. It is called before the instance is killed.
func (c *Cluster) Collect(e *Entry) {
	c.t.Helper()
	if err := c.collector.fetch(c.t.Context(), e); err != nil {
		c.t.Fatalf("fetch timeline of %s: %v", e.Settings.Instance, err)
	}
}

// Events returns the merged timeline of the events that have been fetched.
func (c *Cluster) Events() []timeline.Event {
	c.collector.mu.Lock()
	defer c.collector.mu.Unlock()
	return timeline.Merge(slices.Collect(maps.Values(c.collector.events)))
}

// CollectAll fetches the timeline through every running instance and returns the
// merged timeline.
func (c *Cluster) CollectAll() []timeline.Event {
	c.t.Helper()
	for _, e := range c.Entries {
		if e.IsRunning() {
			c.Collect(e)
		}
	}
	return c.Events()
}

// FirstMatch returns the first event after a time that satisfies match.
func FirstMatch(events []timeline.Event, after time.Time, match func(timeline.Event) bool) (timeline.Event, bool) {
	for _, e := range events {
		if e.Clock.Wall.After(after) && match(e) {
			return e, true
		}
	}
	return timeline.Event{}, false
}

// Ledgers fetches the ledgers of the workers whose processes are running.
func (c *Cluster) Ledgers() []oracle.WorkerLedger {
	c.t.Helper()
	var ledgers []oracle.WorkerLedger
	for _, w := range c.Workers {
		if !c.workerProcesses[w.Name].IsRunning() {
			continue
		}
		var ledger oracle.WorkerLedger
		c.get("http://"+w.Address+"/ledger", &ledger)
		ledgers = append(ledgers, ledger)
	}
	return ledgers
}

// StoreCalls returns the number of calls that the store has received, by kind.
func (c *Cluster) StoreCalls() map[string]int64 {
	c.t.Helper()
	var counters fault.Counters
	c.get("http://"+c.StoreAddr+standin.PathCounters, &counters)
	return counters.Received
}

// SetStoreFaults replaces the faults that are injected into the store.
func (c *Cluster) SetStoreFaults(faults ...fault.Fault) {
	c.t.Helper()
	body, _ := json.Marshal(standin.FaultList{Faults: append([]fault.Fault{}, faults...)})
	c.Post("http://"+c.StoreAddr+standin.PathFaults, string(body))
}

func (c *Cluster) get(url string, into any) {
	c.t.Helper()
	response, err := http.Get(url)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		c.t.Fatalf("read %s: %v", url, err)
	}
}

// RunningTasks returns the number of running tasks of a team according to the
// ledgers of the workers.
func (c *Cluster) RunningTasks(team task.Team) int {
	c.t.Helper()
	running := 0
	for _, ledger := range c.Ledgers() {
		for _, run := range ledger.Runs {
			if run.Team == team && run.End.IsZero() {
				running++
			}
		}
	}
	return running
}
