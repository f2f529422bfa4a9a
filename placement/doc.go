// Package placement chooses a worker for a task and keeps account of what is
// reserved on each worker of one owner. A decision is made in separate steps:
// filter the nodes that fit, narrow them by preference, take the tightest one,
// and reserve. Package control calls it from the control goroutine only.
package placement
