// Package ownership decides which process may act for a unit (a worker partition
// or a request shard). An owner acts within a term that it derives from its lease
// in the store or, when the store does not answer, from promises of its
// successors not to take over. Each change of owner increments the epoch in the
// unit's record; the epoch serves as the fencing token.
//
// The control state holds one Table, passes it the reports of the store, the
// instance list and the peers, and executes the actions that Tick returns.
// docs/ownership.md explains the rules, and the model in the tests of this
// package checks them.
package ownership
