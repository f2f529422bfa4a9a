package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestZoneCutOffWithOwner guards against an owner that is cut off together with its zone and goes on
// renewing leases and starting tasks there, while its successor starts these tasks elsewhere.
func TestZoneCutOffWithOwner(t *testing.T) {
	h := newHarness(t, build(t), 0, 8, 12)
	owner := h.owner()
	if owner == nil {
		t.Fatal("no instance owns the partition")
	}
	var others []*node // instances in other zones
	for _, n := range h.nodes {
		if n.zone() != owner.zone() {
			others = append(others, n)
		}
	}
	jobs := 0
	submit := func() {
		queue := []string{"plain", "advised"}[jobs%2]
		runTime := []time.Duration{200 * time.Millisecond, 6 * time.Second, time.Second, 9 * time.Second}[jobs/2%4]
		h.submit(fmt.Sprintf("%016x", jobs+1), queue, runTime, []step{{Count: 4, CPU: 4000, MemMB: 100, EstimateMs: 1000}},
			func() *node { return others[jobs%len(others)] })
		jobs++
	}
	for range 112 {
		submit() // more than 12 s of work for all workers
	}
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var submitting sync.WaitGroup
	submitting.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				submit()
			}
		}
	})
	h.cutZone(owner.zone(), 12*time.Second)
	close(stop)
	submitting.Wait()
	time.Sleep(2 * time.Second)
	if successor := h.owner(); successor == owner {
		t.Fatal("the owner kept the partition")
	}
	h.check()
}
