package load

import (
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const (
	workersPerRack     = 8
	failureDomainCount = 12
	regionCount        = 3
	// Of every acceleratorPeriod workers, acceleratorWorkersPerPeriod have 8
	// accelerators each, so that 8,200 workers have about 18,000 accelerators.
	acceleratorPeriod           = 11
	acceleratorWorkersPerPeriod = 3
)

// newFleet returns the workers of the simulated partition owner.
func newFleet(workers int) []placement.Node {
	nodes := make([]placement.Node, workers)
	for i := range nodes {
		rack := i / workersPerRack
		nodes[i] = placement.Node{
			Name:          fmt.Sprintf("worker-%05d", i),
			Rack:          fmt.Sprintf("rack-%04d", rack),
			FailureDomain: fmt.Sprintf("domain-%02d", rack%failureDomainCount),
			Region:        fmt.Sprintf("region-%d", rack%regionCount),
			Partition:     fmt.Sprintf("w/region-%d/0", rack%regionCount),
			Capacity:      task.Resources{CPUMilli: 32_000, MemoryMB: 131_072, Slots: 8, Connections: 64},
			Schedulable:   true,
		}
		if i%acceleratorPeriod < acceleratorWorkersPerPeriod {
			nodes[i].Capacity.Accelerators = 8
		}
	}
	return nodes
}

func totalCapacity(nodes []placement.Node) task.Resources {
	var sum task.Resources
	for i := range nodes {
		sum = sum.Add(nodes[i].Capacity)
	}
	return sum
}
