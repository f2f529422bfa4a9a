// Package instance runs one entry instance: the control loop of package cell, the
// executor that makes the calls on which the control goroutine decides, and the handling
// of callers' requests. It accesses workers, their directory, the advice service and the
// operators' configuration only through interfaces of this package, which adapters
// implement.
package instance
