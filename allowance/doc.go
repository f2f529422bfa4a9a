// Package allowance divides the resource limit of each team among the worker partitions,
// so that the sum of the allowances never exceeds the limit. The control state holds one
// Table for the partitions that the process owns, acquires the resources of each task from
// it before the task starts, and issues the writes that Plan returns.
package allowance
