package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

// heavyCaller numbers the IDs of heavy jobs apart from those of the other callers.
const heavyCaller = callers + 1

// heavyJob returns the steps of a job that takes much memory of the owner and little of the workers: many steps with
// long texts, or thousands of tiny tasks.
func heavyJob(rng *rand.Rand) (runTime time.Duration, steps []step) {
	if rng.IntN(4) == 0 {
		return 500 * time.Millisecond, []step{{Count: 500 + rng.IntN(1500), CPU: 20, MemMB: 1, EstimateMs: 500}}
	}
	for i := range 20 + rng.IntN(44) {
		text := strings.Repeat("x", 500+rng.IntN(1400)) + fmt.Sprint(i)
		steps = append(steps, step{Count: 1, CPU: 20, MemMB: 1, EstimateMs: 100, Affinity: text, Image: text})
	}
	return 100 * time.Millisecond, steps
}

// submitHeavyJobs submits bursts of heavy jobs, whole, one after another, until stop is closed.
func (h *harness) submitHeavyJobs(rng *rand.Rand, stop chan struct{}) {
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(3000)) * time.Millisecond):
		}
		at := h.nodes[rng.IntN(len(h.nodes))]
		for range 5 + rng.IntN(30) {
			runTime, steps := heavyJob(rng)
			h.submit(fmt.Sprintf("%016x", heavyCaller<<32+n), "plain", runTime, steps, func() *node { return at })
			n++
		}
	}
}

// checkMemory checks that the processes that still run have stayed within the memory of their machines.
func (h *harness) checkMemory() {
	for _, n := range h.nodes {
		n.mu.Lock()
		pid := n.cmd.Process.Pid
		n.mu.Unlock()
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue // the process has ended
		}
		for line := range strings.Lines(string(text)) {
			var kilobytes int64
			if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil && kilobytes > memoryMB<<10 {
				h.t.Errorf("seed %d: e%d has used %d MB, %d are allowed", h.seed, n.index, kilobytes>>10, memoryMB)
			}
		}
	}
}
