// Package instance runs one entry instance: the control loop of package cell, the
// executor that makes the calls that the control goroutine has decided on, and the handling
// of callers' requests. It accesses workers, their directory, the advice service and the
// operators' configuration only through interfaces of this package, which the packages
// below platform implement.
package instance
