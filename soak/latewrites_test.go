package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// cancelAttempts is the number of times that a cancellation without a definite response is repeated.
	cancelAttempts = 4
	// heldSubmissionsBase is the first ID of the jobs of holdUpSubmissions.
	heldSubmissionsBase = 0xe0000
)

// holdUpStore holds back all bytes between an instance and the store for the given time. Calls of the instance from
// before its end arrive then.
func (n *node) holdUpStore(d time.Duration) {
	n.store.Cut()
	time.Sleep(d)
	n.store.Heal()
}

// holdUpSubmissions holds up the writes of one instance after another. Callers submit jobs there, and cancel those
// whose outcome is unknown at other instances; some submissions are repeated before or after that, and some owners
// end meanwhile.
func (h *harness) holdUpSubmissions(rng *rand.Rand, end time.Time) {
	for job := 0; time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond) {
		held := h.nodes[rng.IntN(len(h.nodes))]
		if !held.fault.TryLock() {
			continue
		}
		endDisruption := held.disruption.begin()
		healed := make(chan struct{})
		duration := time.Duration(1000+rng.IntN(4500)) * time.Millisecond
		go func() { held.holdUpStore(duration); close(healed) }()
		for range 1 + rng.IntN(3) {
			job++
			h.submitAndCancel(fmt.Sprintf("%016x", heldSubmissionsBase+job), held, rng)
		}
		if owner := h.owner(); owner != nil && rng.IntN(3) == 0 && owner.fault.TryLock() {
			endOfOwner := owner.disruption.begin()
			owner.restart([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(2)], 0)
			endOfOwner()
			owner.fault.Unlock()
		}
		<-healed
		endDisruption()
		held.fault.Unlock()
	}
}

// submitAndCancel submits a job at an instance and cancels it at others until that is acknowledged, unless the
// submission is refused.
func (h *harness) submitAndCancel(id string, at *node, rng *rand.Rand) {
	const queue = "plain"
	body := `{"spec":"300ms","steps":[{"count":2,"cpu":1000,"memMb":10,"estimateMs":300}]}`
	record := &jobRecord{queue: queue, steps: []step{{Count: 2, CPU: 1000}}, cancelled: true}
	h.mu.Lock()
	h.jobs[id] = record
	h.mu.Unlock()
	submit := func(n *node) (refused bool) {
		status := h.call(n, "POST", "/"+queue+"/"+id, body)
		return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	}
	randomNode := func() *node { return h.nodes[rng.IntN(len(h.nodes))] }
	if submit(at) {
		h.mu.Lock()
		record.refused = true
		h.mu.Unlock()
		return
	}
	repeated := make(chan struct{})
	if concurrent := rng.IntN(3) == 0; concurrent {
		n := randomNode()
		go func() { submit(n); close(repeated) }()
	} else {
		close(repeated)
	}
	acknowledged := false
	for range cancelAttempts {
		if acknowledged = h.cancel(id, randomNode()); acknowledged {
			break
		}
	}
	if acknowledged && rng.IntN(2) == 0 {
		submit(randomNode())
	}
	<-repeated
}
