package placement

import (
	"slices"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// naive is the plain scan with which the index is compared. It keeps its own
// account and states the order of preference of Find as one key.
type naive struct {
	nodes map[string]*naiveNode
	holds map[task.Attempt]naiveHold
}

type naiveNode struct {
	Node
	slot    int32
	penalty int
}

type naiveHold struct {
	name         string
	size         task.Resources
	key          string
	rack         rackKey
	failureScope string
}

func (n *naive) free(name string) task.Resources {
	free := n.nodes[name].Capacity
	for _, h := range n.holds {
		if h.name == name {
			free = free.Sub(h.size)
		}
	}
	return free
}

func (n *naive) find(req Request) (string, bool) {
	best, bestKey := "", []int64(nil)
	for name, x := range n.nodes {
		free := n.free(name)
		if !x.Schedulable || free.HasNegative() || !req.Size.Fits(free) || req.Size.HasNegative() {
			continue
		}
		if req.Partition != "" && req.Partition != x.Partition || slices.Contains(req.Avoid, name) {
			continue
		}
		key := n.key(req, x, free)
		if best == "" || slices.Compare(key, bestKey) < 0 {
			best, bestKey = name, key
		}
	}
	return best, best != ""
}

func (n *naive) key(req Request, x *naiveNode, free task.Resources) []int64 {
	away, inDomain, inRack := int64(0), int64(0), int64(0)
	if req.Region != "" && req.Region != x.Region {
		away = 1
	}
	for _, h := range n.holds {
		if req.SpreadKey == "" || h.key != req.SpreadKey {
			continue
		}
		if h.failureScope == x.FailureDomain {
			inDomain++
		}
		if h.rack == (rackKey{x.Region, x.FailureDomain, x.Rack}) {
			inRack++
		}
	}
	return []int64{away, int64(x.penalty), inDomain, inRack, int64(scoreOf(&free)), int64(x.slot)}
}
