package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/task"
)

var fleetSizes = []int{50, 500, 8200}

// fillStates are the utilization states in which a decision is benchmarked.
var fillStates = []string{"half", "full", "none"}

var commonSizes = []task.Resources{
	{CPUMilli: 250, MemoryMB: 512, Slots: 1, Connections: 1},
	{CPUMilli: 1000, MemoryMB: 2048, Slots: 1, Connections: 4},
	{CPUMilli: 3300, MemoryMB: 9000, Slots: 1, Connections: 2},
	{CPUMilli: 8000, MemoryMB: 16000, Slots: 2, Connections: 8},
	{CPUMilli: 4000, MemoryMB: 32768, Slots: 1, Accelerators: 1},
}

// newFleet returns a cluster of empty workers, a third of which have accelerators.
func newFleet(workers int) *Cluster {
	c := NewCluster()
	for i := range workers {
		n := Node{
			Name:          fmt.Sprintf("worker-%05d", i),
			Rack:          fmt.Sprint(i / 8),
			FailureDomain: fmt.Sprint("domain-", i/8%12),
			Region:        fmt.Sprint("region-", i/8%3),
			Partition:     fmt.Sprint("w/", i/8%3, "/", i/24%48),
			Capacity:      task.Resources{CPUMilli: 32_000, MemoryMB: 131_072, Slots: 8, Connections: 64},
			Schedulable:   true,
		}
		if i%3 == 0 {
			n.Capacity.Accelerators = 6
			n.Capacity.CPUMilli = 64_000
		}
		c.Upsert(n)
	}
	return c
}

// fillFleet reserves capacity for tasks up to the given fill state: with "half" and "full", some
// nodes still have free capacity; with "none", no request fits.
func fillFleet(c *Cluster, fill string, random *rand.Rand) {
	started := 0
	for i := range c.nodes {
		limit := 8
		if fill == "half" {
			limit = random.IntN(8)
		} else if fill == "full" && random.IntN(100) == 0 {
			limit = 6
		}
		for range limit {
			started++
			a := task.Attempt{Task: task.ID(fmt.Sprint(started)), Number: 1}
			c.Reserve(c.nodes[i].Name, a, commonSizes[random.IntN(3)])
		}
	}
}

// forEachFleet runs a benchmark for each fill state and fleet size.
func forEachFleet(b *testing.B, run func(b *testing.B, c *Cluster)) {
	for _, fill := range fillStates {
		for _, workers := range fleetSizes {
			b.Run(fmt.Sprintf("%s/workers=%d", fill, workers), func(b *testing.B) {
				c := newFleet(workers)
				fillFleet(c, fill, rand.New(rand.NewPCG(1, 2)))
				b.ReportAllocs()
				b.ResetTimer()
				run(b, c)
			})
		}
	}
}

// BenchmarkFind measures one node selection without a reservation.
func BenchmarkFind(b *testing.B) {
	forEachFleet(b, func(b *testing.B, c *Cluster) {
		for i := range b.N {
			c.Find(Request{Size: commonSizes[i%len(commonSizes)]})
		}
	})
}

// BenchmarkScan measures the same selection by a linear best-fit scan.
func BenchmarkScan(b *testing.B) {
	forEachFleet(b, func(b *testing.B, c *Cluster) {
		free := make([]task.Resources, len(c.nodes))
		for i := range c.nodes {
			free[i] = c.nodes[i].free
		}
		b.ResetTimer()
		for i := range b.N {
			scan(free, &commonSizes[i%len(commonSizes)])
		}
	})
}

// scan is the linear best-fit baseline. It returns the lowest index of a node with the lowest score
// among those on which size fits, or -1.
func scan(free []task.Resources, size *task.Resources) int {
	best, bestScore := -1, uint32(0)
	for i := range free {
		if !size.Fits(free[i]) {
			continue
		}
		if score := scoreOf(&free[i]); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// BenchmarkDecision measures a selection, its reservation and the release of an earlier
// reservation, which keeps utilization constant.
func BenchmarkDecision(b *testing.B) {
	forEachFleet(b, func(b *testing.B, c *Cluster) {
		attempts := make([]task.Attempt, 256)
		for i := range attempts {
			attempts[i] = task.Attempt{Task: task.ID(fmt.Sprint("new-", i)), Number: 1}
			decide(c, attempts, i)
		}
		b.ResetTimer()
		for i := range b.N {
			decide(c, attempts, i)
		}
	})
}

// decide releases the earlier reservation of attempt i, selects a node for it and reserves it.
func decide(c *Cluster, attempts []task.Attempt, i int) {
	a, size := attempts[i%len(attempts)], commonSizes[i%len(commonSizes)]
	c.Release(a)
	if name, ok := c.Find(Request{Size: size}); ok {
		c.Reserve(name, a, size)
	}
}

// BenchmarkFindSpread measures a selection for a service with 100 running attempts.
func BenchmarkFindSpread(b *testing.B) {
	forEachFleet(b, func(b *testing.B, c *Cluster) {
		req := Request{Size: commonSizes[0], SpreadKey: "service"}
		for i := range 100 {
			if name, ok := c.Find(req); ok {
				a := task.Attempt{Task: task.ID(fmt.Sprint("replica-", i)), Number: 1}
				c.Reserve(name, a, req.Size)
				c.SetSpread(a, req.SpreadKey)
			}
		}
		b.ResetTimer()
		for range b.N {
			c.Find(req)
		}
	})
}

// BenchmarkFindGang measures the selection for a gang of 16.
func BenchmarkFindGang(b *testing.B) {
	forEachFleet(b, func(b *testing.B, c *Cluster) {
		for range b.N {
			c.FindGang(Request{Size: commonSizes[1]}, 16)
		}
	})
}
