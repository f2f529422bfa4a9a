package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/task"
	"pgregory.net/rapid"
)

func drawSize(t *rapid.T) task.Resources {
	return task.Resources{
		CPUMilli:     rapid.Int64Range(0, 9000).Draw(t, "cpu"),
		MemoryMB:     rapid.Int64Range(0, 40000).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
		Slots:        rapid.Int64Range(0, 2).Draw(t, "slots"),
		Connections:  rapid.Int64Range(0, 9).Draw(t, "connections"),
	}
}

func drawNode(t *rapid.T, name string) Node {
	domain := rapid.IntRange(0, 2).Draw(t, "domain")
	return Node{
		Name:          name,
		Rack:          fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "rack")),
		FailureDomain: fmt.Sprint("d", domain),
		Region:        fmt.Sprint("r", domain%2),
		Partition:     fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "partition")),
		Capacity: task.Resources{
			CPUMilli:     rapid.SampledFrom([]int64{8000, 9001, 32000}).Draw(t, "cpu capacity"),
			MemoryMB:     rapid.SampledFrom([]int64{32768, 131072}).Draw(t, "memory capacity"),
			Accelerators: rapid.Int64Range(0, 4).Draw(t, "accelerator capacity"),
			Slots:        8,
			Connections:  64,
		},
		Schedulable: rapid.IntRange(0, 9).Draw(t, "schedulable") > 0,
	}
}

func drawRequest(t *rapid.T, nodes int) Request {
	req := Request{
		Size:      drawSize(t),
		Partition: rapid.SampledFrom([]string{"", "", "p0", "p1", "none"}).Draw(t, "partition"),
		Region:    rapid.SampledFrom([]string{"", "r0", "r1", "none"}).Draw(t, "region"),
		SpreadKey: rapid.SampledFrom([]string{"", "s", "u"}).Draw(t, "spread key"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "exclusions") {
		req.ExcludedNodes = append(req.ExcludedNodes, nodeName(rapid.IntRange(0, nodes).Draw(t, "excluded")))
	}
	return req
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// TestFindEqualsScan guards against an index that, after some sequence of changes, selects a
// different node than a linear scan, or none although the scan finds one.
func TestFindEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 150).Draw(t, "nodes")
		c := NewCluster()
		ref := &reference{nodes: map[string]*referenceNode{}, reservations: map[task.Attempt]referenceReservation{}}
		for i := range nodes {
			description := drawNode(t, nodeName(i))
			c.Upsert(description)
			ref.nodes[description.Name] = &referenceNode{Node: description, slot: c.byName[description.Name]}
		}
		nextTask := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			applyRandomStep(t, c, ref, nodes, &nextTask)
			checkTotals(t, c, ref)
			req := drawRequest(t, nodes)
			got, ok := c.Find(req)
			want, wantOK := ref.find(req)
			if got != want || ok != wantOK {
				t.Fatalf("Find(%+v) = %q, %v; the scan finds %q, %v", req, got, ok, want, wantOK)
			}
		}
	})
}

func applyRandomStep(t *rapid.T, c *Cluster, ref *reference, nodes int, nextTask *int) {
	name := nodeName(rapid.IntRange(0, nodes-1).Draw(t, "node"))
	size := drawSize(t)
	a := task.Attempt{Task: task.ID(fmt.Sprint("t", *nextTask)), Number: 1}
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0, 1:
		*nextTask++
		free := ref.free(name)
		want := size.Fits(free) && !free.HasNegative()
		if got := c.Reserve(name, a, size); got != want {
			t.Fatalf("Reserve(%s, %v) = %v with %v free, want %v", name, size, got, free, want)
		}
		if want {
			ref.reserve(c, name, a, size, rapid.SampledFrom([]string{"", "s", "u"}).Draw(t, "key"))
		}
	case 2:
		*nextTask++
		c.ForceReserve(name, a, size)
		ref.reserve(c, name, a, size, "")
	case 3:
		old := task.Attempt{Task: task.ID(fmt.Sprint("t", rapid.IntRange(0, *nextTask).Draw(t, "release"))), Number: 1}
		res, reserved := ref.reservations[old]
		gotName, gotSize, ok := c.Release(old)
		if ok != reserved || gotName != res.name || gotSize != res.size {
			t.Fatalf("Release(%v) = %q, %v, %v; want reservation %+v, %v", old, gotName, gotSize, ok, res, reserved)
		}
		delete(ref.reservations, old)
	case 4:
		description := drawNode(t, name)
		c.Upsert(description)
		ref.nodes[name].Node = description
	case 5:
		ref.nodes[name].penalty = rapid.IntRange(0, MaxPenalty).Draw(t, "penalty")
		c.SetPenalty(name, ref.nodes[name].penalty)
	case 6:
		removeAndReAdd(t, c, ref, name)
	}
}

// removeAndReAdd removes a node and adds it again; its reservations must be kept.
func removeAndReAdd(t *rapid.T, c *Cluster, ref *reference, name string) {
	refNode := ref.nodes[name]
	c.Remove(name)
	if c.Reserve(name, task.Attempt{Task: "never"}, task.Resources{}) {
		t.Fatalf("Reserve succeeded on the removed node %s", name)
	}
	c.Upsert(refNode.Node)
	refNode.slot = c.byName[name]
	refNode.penalty = int(c.nodes[refNode.slot].penalty)
}

// reserve records a reservation that was made in c, and counts it under the spread key in both.
func (r *reference) reserve(c *Cluster, name string, a task.Attempt, size task.Resources, key string) {
	refNode := r.nodes[name]
	c.SetSpread(a, key)
	r.reservations[a] = referenceReservation{name, size, key, rackKey{refNode.Region, refNode.FailureDomain, refNode.Rack}, refNode.FailureDomain}
}

// checkTotals compares the total free capacity and the total capacity with the reference.
func checkTotals(t *rapid.T, c *Cluster, ref *reference) {
	var free, capacity task.Resources
	for name, refNode := range ref.nodes {
		if !refNode.Schedulable {
			continue
		}
		capacity = capacity.Add(refNode.Capacity)
		if nodeFree := ref.free(name); !nodeFree.HasNegative() {
			free = free.Add(nodeFree)
		}
	}
	if c.Free() != free || c.Capacity() != capacity {
		t.Fatalf("Free = %v, want %v; Capacity = %v, want %v", c.Free(), free, c.Capacity(), capacity)
	}
}

// TestFindEqualsScanInLargeFleets guards against a wrong selection that occurs only with bitmaps of
// many words, which TestFindEqualsScan does not reach.
func TestFindEqualsScanInLargeFleets(t *testing.T) {
	for seed, fill := range fillStates {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		c := newFleet(1300)
		fillFleet(c, fill, random)
		for range 200 {
			size := commonSizes[random.IntN(len(commonSizes))]
			size.CPUMilli += random.Int64N(100)
			free := make([]task.Resources, len(c.nodes))
			for i := range c.nodes {
				free[i] = c.nodes[i].free
			}
			want := scan(free, &size)
			name, ok := c.Find(Request{Size: size})
			if ok != (want >= 0) || ok && name != c.nodes[want].Name {
				t.Fatalf("%s: Find(%v) = %q, %v; the scan finds slot %d", fill, size, name, ok, want)
			}
			if ok {
				c.Reserve(name, task.Attempt{Task: task.ID(fmt.Sprint("x", len(c.reservations))), Number: 1}, size)
			}
		}
	}
}

// TestGangIsAllOrNothing guards against FindGang refusing a gang that fits, returning nodes for
// only a part of one, or changing the state of the cluster.
func TestGangIsAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		c := NewCluster()
		for i := range nodes {
			c.Upsert(drawNode(t, nodeName(i)))
		}
		req := drawRequest(t, nodes)
		req.Size.Slots = rapid.Int64Range(1, 3).Draw(t, "slots of a member")
		count := rapid.IntRange(1, 40).Draw(t, "members")
		before := c.Free()
		names, ok := c.FindGang(req, count)
		if c.Free() != before || len(c.spreads) != 0 {
			t.Fatal("FindGang changed the cluster")
		}
		if want := countFitting(c, req) >= int64(count); ok != want {
			t.Fatalf("FindGang of %d = %v, want %v", count, ok, want)
		}
		if ok && len(names) != count {
			t.Fatalf("FindGang returned %d nodes for %d members", len(names), count)
		}
		for i, name := range names {
			if ok && !c.Reserve(name, task.Attempt{Task: "g", Number: uint32(i + 1)}, req.Size) {
				t.Fatalf("member %d does not fit on %s", i, name)
			}
		}
	})
}

// countFitting returns how many tasks of the requested size fit on all nodes of a cluster without
// reservations.
func countFitting(c *Cluster, req Request) int64 {
	count := int64(0)
	for i := range c.nodes {
		candidate := &c.nodes[i]
		excluded := false
		for _, name := range req.ExcludedNodes {
			excluded = excluded || name == candidate.Name
		}
		if !candidate.Schedulable || excluded || req.Partition != "" && req.Partition != candidate.Partition {
			continue
		}
		for members := int64(1); req.Size.Scale(members).Fits(candidate.Capacity); members++ {
			count++
		}
	}
	return count
}

// TestOverCommittedNodeIsNotSelected guards against placing work on a node whose reported tasks
// exceed its capacity, even if the new task does not need the over-committed resource.
func TestOverCommittedNodeIsNotSelected(t *testing.T) {
	c := NewCluster()
	c.Upsert(Node{Name: "n", Capacity: task.Resources{CPUMilli: 1000, MemoryMB: 100}, Schedulable: true})
	a := task.Attempt{Task: "reported", Number: 1}
	c.ForceReserve("n", a, task.Resources{MemoryMB: 200})
	small := task.Resources{CPUMilli: 1}
	if _, ok := c.Find(Request{Size: small}); ok {
		t.Error("Find selected an over-committed node")
	}
	if c.Reserve("n", task.Attempt{Task: "x", Number: 1}, small) {
		t.Error("Reserve succeeded on an over-committed node")
	}
	c.Release(a)
	if name, ok := c.Find(Request{Size: small}); !ok || name != "n" {
		t.Error("Find did not select the node after its over-commitment had ended")
	}
}

// TestRemovedNodeKeepsReservations guards against allocating capacity twice on a worker that is
// removed and added again while it still runs tasks.
func TestRemovedNodeKeepsReservations(t *testing.T) {
	c := NewCluster()
	description := Node{Name: "n", Capacity: task.Resources{CPUMilli: 1000}, Schedulable: true}
	c.Upsert(description)
	a := task.Attempt{Task: "a", Number: 1}
	c.Reserve("n", a, task.Resources{CPUMilli: 600})
	c.Remove("n")
	if _, ok := c.Find(Request{}); ok {
		t.Error("Find selected a removed node")
	}
	c.Upsert(description)
	if _, ok := c.Find(Request{Size: task.Resources{CPUMilli: 600}}); ok {
		t.Error("the reservation was lost when the node was removed")
	}
	c.Remove("n")
	if name, _, ok := c.Release(a); !ok || name != "n" {
		t.Errorf("Release = %q, %v; want the reservation on n", name, ok)
	}
	if len(c.byName) != 0 {
		t.Error("the removed node was kept after the release of its last reservation")
	}
}
