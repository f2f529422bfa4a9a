// Package ownership decides who may act for a worker partition or a request
// shard: terms, promises of successors, takeover and epochs. The control state
// holds one Table and feeds it what the store, the instance list and the peers
// report; it executes the actions that Tick returns. docs/ownership.md explains
// the rules, and the model in the tests of this package checks them.
package ownership
