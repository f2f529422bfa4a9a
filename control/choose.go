package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// chooser picks the partition to which the home sends a task.
type chooser struct {
	routing  *routing
	rng      *rand.Rand
	lifetime time.Duration
	region   string // of this instance: preferred where the request names none
}

// choose returns a partition with a live owner for a task of the given size.
// Partitions in avoid are taken only if no other has an owner. Requests stay in
// the nearest allowed region that has free resources; if none has, they go
// where the fewest tasks wait.
func (c *chooser) choose(now time.Time, spec *task.Spec, avoid []string) (string, bool) {
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
		if p, ok := c.freest(candidates, region, need); ok {
			return p, true
		}
	}
	return c.leastQueued(candidates), true
}

// candidates returns the partitions that can be used, sorted by name.
func (c *chooser) candidates(now time.Time, spec *task.Spec, avoid []string) []PartitionDigest {
	var found []PartitionDigest
	for name, load := range c.routing.partitions {
		if now.Sub(load.receivedAt) > c.lifetime || !load.digest.Ready || slices.Contains(avoid, name) {
			continue
		}
		if _, epoch, ok := c.routing.ownerOf(name); !ok || epoch != load.digest.Epoch {
			continue
		}
		if len(spec.Regions) > 0 && !slices.Contains(spec.Regions, RegionOf(name)) {
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

// regions returns the regions to try, nearest first.
func (c *chooser) regions(spec *task.Spec) []string {
	if len(spec.Regions) > 0 {
		return spec.Regions
	}
	regions := []string{c.region}
	for name := range c.routing.partitions {
		if r := RegionOf(name); !slices.Contains(regions, r) {
			regions = append(regions, r)
		}
	}
	slices.Sort(regions[1:])
	return regions
}

// freest compares two random partitions of a region in which need fits. Two
// choices spread a burst nearly as well as the best of all, and do not send
// every home to the same partition between two digests.
func (c *chooser) freest(candidates []PartitionDigest, region string, need task.Resources) (string, bool) {
	var fitting []PartitionDigest
	for _, p := range candidates {
		if RegionOf(p.Partition) == region && need.Fits(p.Free) && p.Queued == 0 {
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

// leastQueued returns the partition with the fewest waiting tasks for its
// capacity, of two random ones.
func (c *chooser) leastQueued(candidates []PartitionDigest) string {
	a := candidates[c.rng.IntN(len(candidates))]
	b := candidates[c.rng.IntN(len(candidates))]
	if float64(b.Queued)*float64(max(1, a.Capacity.Slots)) < float64(a.Queued)*float64(max(1, b.Capacity.Slots)) {
		a = b
	}
	return a.Partition
}
