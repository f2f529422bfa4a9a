// Package control composes the decision packages into the control state of one
// entry instance. One goroutine, the Loop, owns the State; all other goroutines
// read immutable snapshots and send events.
package control
