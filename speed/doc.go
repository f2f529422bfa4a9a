// Package speed estimates how fast workers are and how wrong the callers' estimates are, from the
// reported progress and the ends of runs. A Progress measures one run, a Cohort compares the runs of
// similar tasks with each other, a Worker holds the speed of one incarnation of a worker, and
// Corrections holds the typical error of the estimates by queue and size. All of them have bounded
// memory and return neutral values (speed 1, correction 1) until there is enough evidence. Package
// schedule owns them and calls them from the control goroutine only.
package speed
