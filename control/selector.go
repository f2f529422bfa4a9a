package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// partitionSelector selects the worker partition to which the home dispatches a task.
type partitionSelector struct {
	routing        *routing
	rng            *rand.Rand
	digestLifetime time.Duration
	region         string // of this instance; preferred if the spec lists no regions
}

// selectPartition returns a partition for a task with the given spec. Partitions in avoid are used
// only if no other one is eligible. The task goes to the first region in order of preference that
// has free capacity; if there is none, it goes to a partition with a short queue.
func (c *partitionSelector) selectPartition(now time.Time, spec *task.Spec, avoid []string) (string, bool) {
	candidates := c.candidates(now, spec, avoid)
	if len(candidates) == 0 && len(avoid) > 0 {
		candidates = c.candidates(now, spec, nil)
	}
	if len(candidates) == 0 {
		return "", false
	}
	need := spec.Size
	if spec.Kind == task.Gang {
		need = spec.Size.Scale(int64(spec.Count))
	}
	for _, region := range c.regions(spec) {
		if p, ok := c.pickByFreeCapacity(candidates, region, need); ok {
			return p, true
		}
	}
	return c.pickByQueueLength(candidates), true
}

// candidates returns the digests of the eligible partitions, sorted by name. A partition is
// eligible if its digest has not expired and is from the recorded owner, if the partition is ready
// and in an allowed region, and if the task fits its capacity.
func (c *partitionSelector) candidates(now time.Time, spec *task.Spec, avoid []string) []PartitionDigest {
	var found []PartitionDigest
	for name, load := range c.routing.partitionLoads {
		if now.Sub(load.receivedAt) > c.digestLifetime || !load.digest.Ready || slices.Contains(avoid, name) {
			continue
		}
		if _, epoch, ok := c.routing.ownerOf(name); !ok || epoch != load.digest.Epoch {
			continue
		}
		if len(spec.Regions) > 0 && !slices.Contains(spec.Regions, regionOf(name)) {
			continue
		}
		if !spec.Size.Fits(load.digest.Capacity) {
			continue
		}
		found = append(found, load.digest)
	}
	slices.SortFunc(found, func(a, b PartitionDigest) int {
		if a.Partition < b.Partition {
			return -1
		}
		return 1
	})
	return found
}

// regions returns the regions in order of preference: those that the spec lists, or the region of
// this instance followed by all others.
func (c *partitionSelector) regions(spec *task.Spec) []string {
	if len(spec.Regions) > 0 {
		return spec.Regions
	}
	regions := []string{c.region}
	for name := range c.routing.partitionLoads {
		if r := regionOf(name); !slices.Contains(regions, r) {
			regions = append(regions, r)
		}
	}
	slices.Sort(regions[1:])
	return regions
}

// pickByFreeCapacity draws two partitions at random from those of a region that have an empty queue
// and in which need fits, and returns the one with more free capacity. Two random choices spread a
// burst nearly as well as the best of all partitions would, and prevent all homes from sending to
// the same partition between two digests.
func (c *partitionSelector) pickByFreeCapacity(candidates []PartitionDigest, region string, need task.Resources) (string, bool) {
	var fitting []PartitionDigest
	for _, p := range candidates {
		if regionOf(p.Partition) == region && need.Fits(p.Free) && p.Queued == 0 {
			fitting = append(fitting, p)
		}
	}
	if len(fitting) == 0 {
		return "", false
	}
	a := fitting[c.rng.IntN(len(fitting))]
	b := fitting[c.rng.IntN(len(fitting))]
	if b.Free.DominantShare(b.Capacity) > a.Free.DominantShare(a.Capacity) {
		a = b
	}
	return a.Partition, true
}

// pickByQueueLength draws two partitions at random and returns the one with fewer queued tasks per
// slot.
func (c *partitionSelector) pickByQueueLength(candidates []PartitionDigest) string {
	a := candidates[c.rng.IntN(len(candidates))]
	b := candidates[c.rng.IntN(len(candidates))]
	if float64(b.Queued)*float64(max(1, a.Capacity.Slots)) < float64(a.Queued)*float64(max(1, b.Capacity.Slots)) {
		a = b
	}
	return a.Partition
}
