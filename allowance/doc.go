// Package allowance divides the resource limit of each team among the worker
// partitions such that the sum of the allowances never exceeds the limit. The control
// state holds one Table for the partitions that the process owns, acquires the size of
// each task from it before the start, and writes the records that Plan returns.
package allowance
