// Package allowance divides the upper limit of each team among the worker
// partitions so that the sum never exceeds the limit.
package allowance
