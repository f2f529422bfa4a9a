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
	collectOverlap  = 2 * time.Second // covers events that were recorded during the last fetch
	collectLimit    = 10_000          // largest answer of the operators' interface
)

// eventID identifies one event of one process.
type eventID struct {
	instance, incarnation string
	sequence              uint64
}

// collector keeps the events of all processes, so that those of a process that
// is killed later are not lost with it.
type collector struct {
	mu     sync.Mutex
	events map[eventID]timeline.Event
	since  map[*Entry]time.Time // everything that the instance recorded before is here
}

func newCollector() *collector {
	return &collector{events: map[eventID]timeline.Event{}, since: map[*Entry]time.Time{}}
}

// run fetches the time line of every instance at intervals until the test ends.
// Each has a goroutine of its own, so that a frozen one holds up no other. One
// that does not answer is fetched from later, from the same time on.
func (k *collector) run(t *testing.T, entries []*Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, e := range entries {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = k.fetch(ctx, e)
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

// fetch adds what an instance shows: its own events and those of the members
// that it reaches.
func (k *collector) fetch(ctx context.Context, e *Entry) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	k.mu.Lock()
	since, seen := k.since[e]
	k.mu.Unlock()
	if !seen {
		since = time.Now().Add(-time.Hour)
	}
	started := time.Now()
	line, err := e.Operator.Timeline(ctx, client.TimelineFilter{Since: since.UTC().Format(time.RFC3339), Limit: collectLimit})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, event := range line.Events {
		k.events[eventID{event.Instance, event.Incarnation, event.Sequence}] = event
	}
	if len(line.Events) == collectLimit {
		return fmt.Errorf("more than %d events since %v, the oldest are missing", collectLimit, since)
	}
	k.since[e] = started.Add(-collectOverlap)
	return nil
}

// Collect fetches the time line through one instance, which must answer. It is
// called before the instance is killed.
func (c *Cluster) Collect(e *Entry) {
	c.t.Helper()
	if err := c.trace.fetch(c.t.Context(), e); err != nil {
		c.t.Fatalf("time line of %s: %v", e.Settings.Instance, err)
	}
}

// Events returns the merged time line as far as it has been fetched.
func (c *Cluster) Events() []timeline.Event {
	c.trace.mu.Lock()
	defer c.trace.mu.Unlock()
	return timeline.Merge(slices.Collect(maps.Values(c.trace.events)))
}

// Latest fetches the time line through every running instance and returns all.
func (c *Cluster) Latest() []timeline.Event {
	c.t.Helper()
	for _, e := range c.Entries {
		if e.IsRunning() {
			c.Collect(e)
		}
	}
	return c.Events()
}

// First returns the first event after a time that the test wants.
func First(events []timeline.Event, after time.Time, want func(timeline.Event) bool) (timeline.Event, bool) {
	for _, e := range events {
		if e.Clock.Wall.After(after) && want(e) {
			return e, true
		}
	}
	return timeline.Event{}, false
}

// Ledgers reads the ledgers of the workers whose process has not ended.
func (c *Cluster) Ledgers() []oracle.WorkerLedger {
	c.t.Helper()
	var ledgers []oracle.WorkerLedger
	for _, w := range c.Workers {
		if !c.processes[w.Name].IsRunning() {
			continue
		}
		var ledger oracle.WorkerLedger
		c.get("http://"+w.Address+"/ledger", &ledger)
		ledgers = append(ledgers, ledger)
	}
	return ledgers
}

// StoreCalls returns the calls that the store has received so far, by kind.
func (c *Cluster) StoreCalls() map[string]int64 {
	c.t.Helper()
	var counters fault.Counters
	c.get("http://"+c.StoreAddr+standin.PathCounters, &counters)
	return counters.Received
}

// SetStoreFaults replaces the faults of the store.
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

// Running returns how many tasks of a team run by the workers' ledgers.
func (c *Cluster) Running(team task.Team) int {
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
