// Package ownership decides who may act for a worker partition or a request
// shard: terms, promises of successors, takeover and epochs.
package ownership
