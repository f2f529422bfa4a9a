// Package schedule contains the scheduling logic of a partition's owner: the order of the steps,
// the calls to the advice service, the placement of tasks on workers, the handling of worker
// reports, and the confirmation of ended runs. A worker may discard an ended run once it is
// confirmed, which happens only when the effect of the run is durable.
//
// A Core is a deterministic state machine. It reads no clock and performs no I/O: package cell
// passes in the time and the replies of the peers and executes the effects that the Core returns.
// A Core is not safe for concurrent use; only the control goroutine accesses it.
package schedule
