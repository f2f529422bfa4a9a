// Package membership describes the live entry instances and assigns worker
// partitions and request shards to them by rendezvous hashing, so that one
// instance that joins or leaves moves only its own units. Package ownership
// calls it; the assignment alone grants no ownership.
package membership
