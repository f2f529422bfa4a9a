// Package instance runs one entry instance: the control loop of package cell, the
// executor that makes the calls which the control goroutine decides on, and the
// handling of callers' requests. It depends on peers only through the interfaces of
// this package, which adapters implement.
package instance
