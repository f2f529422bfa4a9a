package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// skipUnlessMeasuring skips a measurement unless MULBERRYDRUM_MEASURE is set.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("MULBERRYDRUM_MEASURE") == "" {
		t.Skip("measurement; set MULBERRYDRUM_MEASURE=1 to run it")
	}
}

// TestMeasureIdle logs the resource usage of an idle entry instance for
// docs/CAPACITY.md, with three numbers of instances and three of workers.
func TestMeasureIdle(t *testing.T) {
	skipUnlessMeasuring(t)
	const warmUp, window = 25 * time.Second, 20 * time.Second
	for _, size := range []struct{ entries, workers int }{{2, 12}, {4, 12}, {8, 12}, {4, 4}, {4, 48}} {
		t.Run(fmt.Sprintf("entries=%d/workers=%d", size.entries, 3*size.workers), func(t *testing.T) {
			c := processtest.Start(t, processtest.Options{Entries: size.entries, Workers: size.workers, Regions: []string{"flanders", "wallonia", "brussels"},
				Adjust: func(_ int, s *settings.Settings) { s.WorkerPartitions = 4 }})
			awaitService(t, c, newCaller(c, "leuven"))
			time.Sleep(warmUp)
			before, storeBefore := readUsages(t, c), c.StoreCalls()
			time.Sleep(window)
			after, storeAfter := readUsages(t, c), c.StoreCalls()
			var cpu, near, cross, digest, workers []float64
			var resident []float64
			for i := range after {
				d := after[i].sub(before[i])
				cpu = append(cpu, 100*d.processor.Seconds()/window.Seconds())
				resident = append(resident, float64(after[i].resident)/(1<<20))
				near = append(near, d.metrics["entry.near_bytes"]/window.Seconds())
				cross = append(cross, d.metrics["entry.cross_region_bytes"]/window.Seconds())
				digest = append(digest, d.metrics["entry.digest_bytes"]/window.Seconds())
				workers = append(workers, d.workerBytes()/window.Seconds())
			}
			t.Logf("per instance, median [range]: cpu %% %s; resident MB %s; bytes/s near %s, cross %s, digests %s, workers %s",
				medianAndRange(cpu), medianAndRange(resident), medianAndRange(near), medianAndRange(cross), medianAndRange(digest), medianAndRange(workers))
			for kind, n := range storeAfter {
				t.Logf("store calls/s for all: %s %.2f", kind, float64(n-storeBefore[kind])/window.Seconds())
			}
		})
	}
}

// usage is the resource usage of a process since its start.
type usage struct {
	processor time.Duration
	resident  int64 // current resident memory in bytes
	metrics   map[string]float64
}

func readUsages(t *testing.T, c *processtest.Cluster) []usage {
	t.Helper()
	var found []usage
	for _, e := range c.Entries {
		processor, resident, err := e.Usage()
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, usage{processor, resident, metricsOf(t, e.Settings.OperatorAddress)})
	}
	return found
}

func metricsOf(t *testing.T, operator string) map[string]float64 {
	t.Helper()
	response, err := http.Get("http://" + operator + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var all map[string]map[string]any
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for name, fields := range all {
		for _, field := range []string{"count", "value"} {
			if v, ok := fields[field].(float64); ok {
				values[name] = v
			}
		}
	}
	return values
}

func (u usage) sub(o usage) usage {
	d := usage{processor: u.processor - o.processor, metrics: map[string]float64{}}
	for name, v := range u.metrics {
		d.metrics[name] = v - o.metrics[name]
	}
	return d
}

func (u usage) workerBytes() float64 {
	sum := 0.0
	for name, v := range u.metrics {
		if strings.HasPrefix(name, "worker.") && strings.HasSuffix(name, "_bytes") {
			sum += v
		}
	}
	return sum
}

func medianAndRange(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.2f [%.2f-%.2f]", values[len(values)/2], values[0], values[len(values)-1])
}

// TestMeasureOverhead logs the latency of a lookup through the entry instances and
// that of the same task started directly at a worker, in alternation.
func TestMeasureOverhead(t *testing.T) {
	skipUnlessMeasuring(t)
	c := processtest.Start(t, processtest.Options{Entries: 8, Workers: 16, Regions: []string{"flanders", "wallonia", "brussels"}})
	caller := newCaller(c, "leuven")
	awaitService(t, c, caller)
	time.Sleep(10 * time.Second)
	const samples = 2000
	for round := range 5 {
		entryLatency := make([]float64, 0, samples)
		directLatency := make([]float64, 0, samples)
		starter := newDirectStarter(t, c.Workers[0].Address)
		for i := range samples {
			started := time.Now()
			_, err := caller.Submit(t.Context(), "leuven", "piping", api.SubmitRequest{IdempotencyKey: fmt.Sprintf("o%d-%d", round, i), Class: "span-lookup", Payload: []byte("hello")}, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			entryLatency = append(entryLatency, float64(time.Since(started).Microseconds()))
			directLatency = append(directLatency, float64(starter.start(t, round*samples+i).Microseconds()))
		}
		t.Logf("latency in us: through an entry instance p50 %.0f p99 %.0f; directly at a worker p50 %.0f p99 %.0f", percentile(entryLatency, 50), percentile(entryLatency, 99), percentile(directLatency, 50), percentile(directLatency, 99))
	}
}

func percentile(values []float64, p int) float64 {
	slices.Sort(values)
	return values[min(len(values)-1, len(values)*p/100)]
}

// directStarter starts tasks at a worker without an entry instance.
type directStarter struct {
	client  *worker.Client
	address worker.Address
	bootID  string
	clock   time.Duration // of the worker
	readAt  time.Time     // when clock was read
}

func newDirectStarter(t *testing.T, address string) *directStarter {
	t.Helper()
	s := &directStarter{client: worker.NewClient(worker.Config{}), address: worker.Address(address)}
	reply, err := s.client.Lookup(t.Context(), s.address, task.Attempt{Task: "none", Number: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.bootID, s.clock, s.readAt = reply.BootID, reply.Clock, time.Now()
	return s
}

func (s *directStarter) start(t *testing.T, i int) time.Duration {
	t.Helper()
	now := s.clock + time.Since(s.readAt)
	started := time.Now()
	_, err := s.client.Start(t.Context(), s.address, worker.StartRequest{
		Attempt: task.Attempt{Task: task.ID(fmt.Sprintf("straight/s/%d/0", i)), Number: 1}, Team: "straight", Class: "span-lookup", Owner: "measure", Epoch: 1 << 40,
		BootID: s.bootID, StartBy: now + time.Second, LeaseUntil: now + 10*time.Second, OutcomeWait: time.Second,
		Size: task.Resources{CPUMilli: 1, MemoryMB: 1}, Command: "echo", Payload: []byte("hello"),
	}, func() error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return time.Since(started)
}

// TestMeasureRate logs the rate of lookups through 8 entry instances and the
// number of those that failed, by the number of callers.
func TestMeasureRate(t *testing.T) {
	skipUnlessMeasuring(t)
	c := processtest.Start(t, processtest.Options{Entries: 8, Workers: 16, Regions: []string{"flanders", "wallonia", "brussels"}})
	awaitService(t, c, newCaller(c, "leuven"))
	time.Sleep(10 * time.Second)
	for _, callers := range []int{1, 4, 16, 64, 128} {
		rate, failed := measureRate(t, c, callers)
		t.Logf("%d callers: %.0f lookups per second, %d failed", callers, rate, failed)
	}
}

func measureRate(t *testing.T, c *processtest.Cluster, callers int) (perSecond float64, failures int64) {
	const window = 5 * time.Second
	var done, failed atomic.Int64
	var group sync.WaitGroup
	started := time.Now()
	for n := range callers {
		caller := client.New(client.Config{Addresses: []string{c.Entries[n%len(c.Entries)].Settings.CallerAddress}, Secret: demo.Secrets["leuven"]})
		group.Go(func() {
			for i := 0; time.Since(started) < window; i++ {
				_, err := caller.Submit(t.Context(), "leuven", "piping", api.SubmitRequest{IdempotencyKey: fmt.Sprintf("r%d-%d-%d", callers, n, i), Class: "span-lookup"}, 5*time.Second)
				if err != nil {
					failed.Add(1)
					continue
				}
				done.Add(1)
			}
		})
	}
	group.Wait()
	return float64(done.Load()) / time.Since(started).Seconds(), failed.Load()
}

// TestMeasureStart logs the time from the start of the process of an entry instance
// until it accepts connections, and until it is ready.
func TestMeasureStart(t *testing.T) {
	skipUnlessMeasuring(t)
	c := processtest.Start(t, processtest.Options{Entries: 3, Workers: 4, Regions: []string{"flanders", "wallonia", "brussels"}})
	awaitService(t, c, newCaller(c, "leuven"))
	var accepts, ready []float64
	for range 5 {
		e := c.Entries[0]
		e.Kill()
		started := time.Now()
		c.StartEntry(e)
		accepts = append(accepts, float64(time.Since(started).Milliseconds()))
		c.Eventually(10*time.Second, "ready", func() bool {
			response, err := http.Get("http://" + e.Settings.OperatorAddress + "/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		ready = append(ready, float64(time.Since(started).Milliseconds()))
		time.Sleep(time.Second)
	}
	t.Logf("ms after the start: accepts connections %s, ready %s", medianAndRange(accepts), medianAndRange(ready))
}
