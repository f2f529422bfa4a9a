// Package cell holds the control state of one entry instance and the goroutine
// that owns it: the configuration in force, the current owner of the partition, and,
// on that owner, the scheduling core.
//
// State.Apply depends only on the state, the time and the event, and performs no
// I/O. The Loop passes it events from traffic goroutines one at a time, publishes
// an immutable Snapshot and hands the effects to the executor in package instance,
// which makes all calls and reports each outcome as an event.
package cell
