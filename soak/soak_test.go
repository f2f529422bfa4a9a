// Package soak runs entry instances as separate processes against stand-ins for
// the platform, injects random external faults, and checks that the outcomes
// reported to callers match the runs on the workers. Seeds that have failed are
// listed in regressions.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

var (
	seedFlag = flag.Uint64("soak.seed", 1, "first seed")
	seeds    = flag.Int("soak.seeds", 2, "number of seeds")
	tested   = flag.String("soak.program", "", "path of the program under test (default: a build of ../cmd/mulberryd)")
)

// regressions are seeds that have failed, each with the cause as a comment.
var regressions = []uint64{}

const (
	faultDuration     = 12 * time.Second // period of fault injection
	completionTimeout = 40 * time.Second // for all accepted jobs to end: the longest lease, a takeover and the work itself
	host              = "shop.example"
	key               = "k"
	service           = "calc"
	callers           = 4
	minAccepted       = 20
)

// size is the size of the deployment of a seed.
type size struct {
	instances, hosts int
	faultSources     int           // faults that may be injected at the same time
	jobInterval      time.Duration // mean time between two jobs of a caller
}

var sizes = []size{
	{instances: 4, hosts: 6, faultSources: 1, jobInterval: 300 * time.Millisecond},
	{instances: 8, hosts: 12, faultSources: 2, jobInterval: 150 * time.Millisecond},
	{instances: 8, hosts: 48, faultSources: 3, jobInterval: 40 * time.Millisecond},
}

// harness is the state of the soak test for one seed.
type harness struct {
	t       *testing.T
	seed    uint64
	program string
	store   *platformtest.Store
	hosts   []*platformtest.Host
	nodes   []*node
	network *network
	advice  string // address of the advice service

	mu     sync.Mutex
	jobs   map[string]*jobRecord
	hostOf map[string]int  // index of the host of each worker that was started
	frozen []period        // in which an instance was frozen
	begun  map[string]bool // jobs of which a task has started on any worker

	storeDisruption disruption
}

// jobRecord is a job and the outcome of its submission, as its caller received it.
type jobRecord struct {
	queue    string
	steps    []step
	accepted bool
	refused  bool // every attempt was refused

	acceptedAt time.Time

	cancelled   bool      // its cancellation was requested
	cancelledAt time.Time // when that was acknowledged; zero if it was not
}

// period is a period of time.
type period struct{ from, to time.Time }

// TestSoak guards against accepted jobs that do not end, refused jobs that run, overlapping runs, runs
// after a success or long after a cancellation, overloaded workers, and states and queue lengths that do not
// follow from what workers have shown, under random combinations of faults of the instances, the store, the
// workers and the network.
func TestSoak(t *testing.T) {
	program := build(t)
	seedList := append([]uint64(nil), regressions...)
	for n := range uint64(*seeds) {
		seedList = append(seedList, *seedFlag+n)
	}
	for _, seed := range seedList {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, program, seed) })
	}
}

// build returns the path of the program under test.
func build(t *testing.T) string {
	t.Helper()
	if *tested != "" {
		return *tested
	}
	program := filepath.Join(t.TempDir(), "mulberryd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/mulberryd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// newHarness starts a deployment and waits until it serves callers.
func newHarness(t *testing.T, program string, seed uint64, instances, hosts int) *harness {
	h := &harness{t: t, seed: seed, program: program, store: platformtest.NewStore(), jobs: map[string]*jobRecord{}, hostOf: map[string]int{}, begun: map[string]bool{}}
	h.network = newNetwork(h)
	h.advice = serve(t, &platformtest.AdviceService{Valid: 2 * time.Second, Eligible: h.eligible})
	h.store.Configure(1, service, []string{key},
		platformtest.Queue{Name: "advised", Host: host, Prefix: "/advised/", Attempts: 3, Advised: true},
		platformtest.Queue{Name: "plain", Host: host, Prefix: "/plain/", Attempts: 3})
	for i := range hosts {
		h.addHost(i)
	}
	for i := range instances {
		h.nodes = append(h.nodes, h.newNode(i))
	}
	time.Sleep(2 * time.Second)
	return h
}

func run(t *testing.T, program string, seed uint64) {
	chosen := sizes[seed%uint64(len(sizes))]
	h := newHarness(t, program, seed, chosen.instances, chosen.hosts)
	stop := make(chan struct{})
	var submitting, faulting sync.WaitGroup
	for n := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+10))
		submitting.Go(func() { h.submitJobs(n, rng, chosen.jobInterval, stop) })
	}
	if rng := rand.New(rand.NewPCG(seed, 70)); rng.IntN(2) == 0 {
		submitting.Go(func() { h.submitHeavyJobs(rng, stop) })
	}
	observing := make(chan struct{})
	var observers sync.WaitGroup
	observers.Go(func() { newObserver(h, seed).run(observing) })
	end := time.Now().Add(faultDuration)
	for n := range chosen.faultSources {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+100))
		faulting.Go(func() {
			for time.Now().Before(end) {
				h.injectFault(rng)
			}
		})
	}
	if rng := rand.New(rand.NewPCG(seed, 60)); rng.IntN(2) == 0 {
		faulting.Go(func() { h.fillFleet(rng) })
	}
	faulting.Go(func() { h.holdUpSubmissions(rand.New(rand.NewPCG(seed, 80)), end) })
	faulting.Wait()
	close(stop)
	submitting.Wait()
	time.Sleep(stableTime) // what the instances show in calm is judged, too
	close(observing)
	observers.Wait()
	if accepted := h.check(); accepted < minAccepted {
		t.Errorf("seed %d: only %d jobs were accepted, want at least %d", seed, accepted, minAccepted)
	}
}

// eligible is the policy of the advice service: it allows the workers of half of the hosts to run a step.
func (h *harness) eligible(step, worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	const suffix = len(".0.0") // of the name of a step, after the ID of its job
	return (h.hostOf[worker]+int(step[len(step)-suffix-1]))%2 == 0
}
