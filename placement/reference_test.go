package placement

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// reference is a reference implementation of Find by linear scan. It does its own accounting and
// expresses the preferences of Find as one sort key.
type reference struct {
	nodes        map[string]*referenceNode
	reservations map[task.Attempt]referenceReservation
}

type referenceNode struct {
	Node
	slot    int32
	penalty int
}

type referenceReservation struct {
	name   string
	size   task.Resources
	key    string // spread key
	rack   rackKey
	domain string
}

func (r *reference) free(name string) task.Resources {
	free := r.nodes[name].Capacity
	for _, res := range r.reservations {
		if res.name == name {
			free = free.Sub(res.size)
		}
	}
	return free
}

func (r *reference) find(req Request) (string, bool) {
	best, bestKey := "", []int64(nil)
	for name, refNode := range r.nodes {
		free := r.free(name)
		if !refNode.Schedulable || free.HasNegative() || !req.Size.Fits(free) || req.Size.HasNegative() {
			continue
		}
		if req.Partition != "" && req.Partition != refNode.Partition || slices.Contains(req.ExcludedNodes, name) {
			continue
		}
		key := r.sortKey(req, refNode, free)
		if best == "" || slices.Compare(key, bestKey) < 0 {
			best, bestKey = name, key
		}
	}
	return best, best != ""
}

// sortKey returns the preferences of Find in order; the node with the lowest key is selected.
func (r *reference) sortKey(req Request, refNode *referenceNode, free task.Resources) []int64 {
	otherRegion, inDomain, inRack := int64(0), int64(0), int64(0)
	if req.Region != "" && req.Region != refNode.Region {
		otherRegion = 1
	}
	for _, res := range r.reservations {
		if req.SpreadKey == "" || res.key != req.SpreadKey {
			continue
		}
		if res.domain == refNode.FailureDomain {
			inDomain++
		}
		if res.rack == (rackKey{refNode.Region, refNode.FailureDomain, refNode.Rack}) {
			inRack++
		}
	}
	return []int64{otherRegion, int64(refNode.penalty), inDomain, inRack, int64(scoreOf(&free)), int64(refNode.slot)}
}
