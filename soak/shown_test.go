package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

const (
	// stableTime is the time without disruption after which what an instance shows is judged.
	stableTime = 4 * time.Second
	// visibleTime is the time after its acceptance from which a waiting job must be counted as such.
	visibleTime = 5 * time.Second
	// recordTime is the time for which a job must have been shown as running by the same owner so that every
	// later one shows it as running, too.
	recordTime = 7 * time.Second
	// observationInterval is the time between two rounds of questions to all instances.
	observationInterval = 300 * time.Millisecond
	// observedJobs is the number of jobs whose state is requested in each round.
	observedJobs = 12
)

// disruption records when a part of the deployment was last disrupted.
type disruption struct {
	mu      sync.Mutex
	active  int
	endedAt time.Time
}

// begin records the begin of a disruption. The returned function ends it.
func (d *disruption) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active--
		d.endedAt = time.Now()
	}
}

// isStable reports whether there was no disruption in the stableTime before the given time.
func (d *disruption) isStable(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active == 0 && at.Sub(d.endedAt) > stableTime
}

// inTouch reports whether neither the instance nor the store was disrupted in the stableTime before.
func (n *node) inTouch(at time.Time) bool {
	return n.disruption.isStable(at) && n.h.storeDisruption.isStable(at)
}

// shownRunning is a job that an instance has shown as running.
type shownRunning struct {
	owner    string // ownership record at that time
	since    time.Time
	recorded bool // every later owner must show it as running
}

// observer compares what the instances tell callers about jobs with the starts on the workers.
type observer struct {
	h                 *harness
	rng               *rand.Rand
	running           map[string]*shownRunning // by job
	lengths, judged   int                      // queue lengths that were shown, and that were judged
	states, remembers int                      // states that were shown, and jobs that must stay running
}

func newObserver(h *harness, seed uint64) *observer {
	return &observer{h: h, rng: rand.New(rand.NewPCG(seed, 50)), running: map[string]*shownRunning{}}
}

// run asks all instances until stop is closed.
func (o *observer) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			o.h.t.Logf("seed %d: %d queue lengths shown, %d of them judged; %d states shown, %d jobs must stay running", o.h.seed, o.lengths, o.judged, o.states, o.remembers)
			return
		case <-time.After(observationInterval):
		}
		for _, n := range o.h.nodes {
			for _, queue := range []string{"plain", "advised"} {
				calledAt := time.Now()
				var reply struct {
					Waiting int `json:"waiting"`
				}
				if o.h.get(n, "/"+queue+"/", &reply) {
					o.checkLength(n, queue, reply.Waiting, calledAt)
				}
			}
		}
		jobs := o.h.acceptedJobs()
		for range min(observedJobs, len(jobs)) {
			o.observeState(jobs[o.rng.IntN(len(jobs))], o.h.nodes[o.rng.IntN(len(o.h.nodes))])
		}
	}
}

// acceptedJob is a job that was accepted and of which no cancellation was requested.
type acceptedJob struct {
	id string
	*jobRecord
}

func (h *harness) acceptedJobs() []acceptedJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	var accepted []acceptedJob
	for id, record := range h.jobs {
		if record.accepted && !record.cancelled {
			accepted = append(accepted, acceptedJob{id, record})
		}
	}
	slices.SortFunc(accepted, func(a, b acceptedJob) int { return a.acceptedAt.Compare(b.acceptedAt) })
	return accepted
}

// recordBegin records that a task has started on a worker.
func (h *harness) recordBegin(task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	h.begun[id] = true
}

func (h *harness) hasBegun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begun[id]
}

// checkLength checks the number of waiting jobs that an instance has shown: at least half of those that were
// accepted some time ago and of which no task has started.
func (o *observer) checkLength(n *node, queue string, shown int, calledAt time.Time) {
	o.lengths++
	if !n.inTouch(calledAt) {
		return
	}
	waiting := 0
	for _, j := range o.h.acceptedJobs() {
		if j.queue == queue && calledAt.Sub(j.acceptedAt) > visibleTime && !o.h.hasBegun(j.id) {
			waiting++
		}
	}
	if waiting > 0 {
		o.judged++
	}
	if 2*shown < waiting {
		o.h.t.Errorf("seed %d: at %s e%d shows %d jobs of queue %s as waiting, but %d have not begun", o.h.seed, calledAt.Format(timeFormat), n.index, shown, queue, waiting)
	}
}

// observeState checks that an instance shows a job as running only if a task of it has started on a worker,
// and not as pending after workers have shown that it began.
func (o *observer) observeState(j acceptedJob, n *node) {
	var reply struct {
		State string `json:"state"`
	}
	if !o.h.get(n, "/"+j.queue+"/"+j.id, &reply) {
		return
	}
	o.states++
	at, owner := time.Now(), string(o.h.store.Value("mulberrydrum/owner"))
	known := o.running[j.id]
	switch reply.State {
	case "running":
		if !o.h.hasBegun(j.id) {
			o.h.t.Errorf("seed %d: at %s e%d shows %s as running, but no task of it has started", o.h.seed, at.Format(timeFormat), n.index, j.id)
		}
		if known == nil || !known.recorded && known.owner != owner {
			known = &shownRunning{owner: owner, since: at}
			o.running[j.id] = known
		}
		ownedBy := o.h.owner()
		if !known.recorded && at.Sub(known.since) > recordTime && n.inTouch(at) && ownedBy != nil && ownedBy.inTouch(at) {
			known.recorded = true
			o.remembers++
		}
	case "pending":
		if known != nil && known.recorded && n.inTouch(at) {
			o.h.t.Errorf("seed %d: at %s e%d shows %s as pending, but it was shown as running since %s", o.h.seed, at.Format(timeFormat), n.index, j.id, known.since.Format(timeFormat))
		}
	}
}

// get sends a request to an instance and decodes the answer, unless its status is not 200.
func (h *harness) get(n *node, path string, reply any) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.front()+path, nil)
	if err != nil {
		h.t.Error(err)
		return false
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := observing.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(reply) == nil
}

// observing is the client of the observer. Instances that are stopped do not hold it up for long.
var observing = &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}

// fillFleet submits jobs that take most of the fleet for some seconds, so that others wait, and cuts off or
// ends workers that are still free, so that start orders get no answer.
func (h *harness) fillFleet(rng *rand.Rand) {
	const cpu = 15_000
	for i := range 2 * len(h.hosts) {
		runTime := time.Duration(6000+rng.IntN(8000)) * time.Millisecond
		h.submit(fmt.Sprintf("%016x", 0xf0000+i), "plain", runTime, []step{{Count: 1, CPU: cpu, MemMB: 100, EstimateMs: int(runTime.Milliseconds())}},
			func() *node { return h.nodes[rng.IntN(len(h.nodes))] })
	}
	for range 1 + rng.IntN(2) {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		on := h.hosts[rng.IntN(len(h.hosts))]
		if !on.Fault.TryLock() {
			continue
		}
		h.loseWorker(on, rng)
		on.Fault.Unlock()
	}
}

// loseWorker ends a worker without a trace, or cuts it off for longer than its lease. Another one starts on
// its host later.
func (h *harness) loseWorker(on *platformtest.Host, rng *rand.Rand) {
	from := time.Now()
	on.Cut() // orders that are sent now get no answer
	time.Sleep(time.Duration(3000+rng.IntN(5000)) * time.Millisecond)
	if rng.IntN(2) == 0 {
		h.startWorker(on, on.Crash())
	}
	on.Heal()
	h.t.Logf("seed %d: %s was lost from %s to %s", h.seed, on.Address, from.Format(timeFormat), time.Now().Format(timeFormat))
}
