package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// shardOf returns the name of the request shard of a job.
func shardOf(key ledger.JobKey, shards int) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(key.Team))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(key.Key)
	return fmt.Sprintf("h/%d", hash.Sum64()%uint64(shards))
}

// PartitionOf returns the name of the worker partition of a rack.
func PartitionOf(region, rack string, partitions int) string {
	return fmt.Sprintf("w/%s/%d", region, xxhash.Sum64String(rack)%uint64(partitions))
}

// regionOf returns the region of a worker partition.
func regionOf(partition string) string {
	rest := partition[len("w/"):]
	for i := len(rest) - 1; i >= 0; i-- {
		if rest[i] == '/' {
			return rest[:i]
		}
	}
	return rest
}

// unitsOf returns the names of all worker partitions and request shards.
func unitsOf(cfg *Config) (partitions, shards []string) {
	for _, region := range cfg.Regions {
		for n := range cfg.PartitionsPerRegion {
			partitions = append(partitions, fmt.Sprintf("w/%s/%d", region, n))
		}
	}
	for n := range cfg.RequestShards {
		shards = append(shards, fmt.Sprintf("h/%d", n))
	}
	return partitions, shards
}

// routing contains the members, ownership records and load of the cluster as observed by this
// instance.
type routing struct {
	members          map[string]membership.Member // by incarnation
	ownershipRecords map[string]ownership.Record  // by unit
	digests          map[string]receivedDigest    // by instance
	partitionLoads   map[string]partitionLoad
}

type receivedDigest struct {
	message    DigestMessage
	receivedAt time.Time
}

type partitionLoad struct {
	digest     PartitionDigest
	receivedAt time.Time
}

func newRouting() *routing {
	return &routing{
		members:          map[string]membership.Member{},
		ownershipRecords: map[string]ownership.Record{},
		digests:          map[string]receivedDigest{},
		partitionLoads:   map[string]partitionLoad{},
	}
}

// ownerOf returns the recorded owner of a unit, if it is a known member.
func (r *routing) ownerOf(unit string) (m membership.Member, epoch uint64, ok bool) {
	record, ok := r.ownershipRecords[unit]
	if !ok {
		return membership.Member{}, 0, false
	}
	m, ok = r.members[record.Owner]
	return m, record.Epoch, ok
}

func (r *routing) memberList() []membership.Member {
	list := make([]membership.Member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b membership.Member) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	return list
}

// observeDigest stores the latest digest of an instance. The load of a partition under an earlier
// epoch does not replace that under a later one.
func (r *routing) observeDigest(now time.Time, d DigestMessage) {
	r.digests[d.Instance] = receivedDigest{message: d, receivedAt: now}
	for _, p := range d.Partitions {
		if known, ok := r.partitionLoads[p.Partition]; ok && known.digest.Epoch > p.Epoch {
			continue
		}
		r.partitionLoads[p.Partition] = partitionLoad{digest: p, receivedAt: now}
	}
}

// markNotReady excludes a partition whose owner accepts no tasks until the next digest. Otherwise
// all attempts of a task could be sent to that owner one after the other.
func (r *routing) markNotReady(partition string) {
	if load, ok := r.partitionLoads[partition]; ok {
		load.digest.Ready = false
		r.partitionLoads[partition] = load
	}
}

// deductPlacement deducts the size of a task that was just sent to a partition from the last
// reported free resources of that partition, so that a burst between two digests is spread.
func (r *routing) deductPlacement(partition string, size task.Resources) {
	load, ok := r.partitionLoads[partition]
	if !ok {
		return
	}
	load.digest.Free = load.digest.Free.Sub(size)
	load.digest.Queued++
	r.partitionLoads[partition] = load
}
