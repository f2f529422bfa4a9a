// Package placement selects a worker for a task and tracks the reservations on the workers of one
// owner. A placement decision has separate steps: filter out the nodes without enough free capacity,
// narrow the others by preference, select the best fit, and reserve capacity on it. Package control
// calls it from the control goroutine only.
package placement
