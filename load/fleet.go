package load

import (
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	workersPerRack = 8
	domains        = 12
	regions        = 3
	// acceleratorEvery is the distance between workers with accelerators; with
	// 8 each, 8,200 workers have about 18,000 accelerators.
	acceleratorEvery = 11
	acceleratorRun   = 3
)

// newFleet returns the workers of the simulated owner.
func newFleet(workers int) []placement.Node {
	nodes := make([]placement.Node, workers)
	for i := range nodes {
		rack := i / workersPerRack
		nodes[i] = placement.Node{
			Name:          fmt.Sprintf("worker-%05d", i),
			Rack:          fmt.Sprintf("rack-%04d", rack),
			FailureDomain: fmt.Sprintf("domain-%02d", rack%domains),
			Region:        fmt.Sprintf("region-%d", rack%regions),
			Partition:     fmt.Sprintf("w/region-%d/0", rack%regions),
			Capacity:      task.Resources{CPUMilli: 32_000, MemoryMB: 131_072, Slots: 8, Connections: 64},
			Schedulable:   true,
		}
		if i%acceleratorEvery < acceleratorRun {
			nodes[i].Capacity.Accelerators = 8
		}
	}
	return nodes
}

func capacityOf(nodes []placement.Node) task.Resources {
	var sum task.Resources
	for i := range nodes {
		sum = sum.Add(nodes[i].Capacity)
	}
	return sum
}
