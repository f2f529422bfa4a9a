// Package allowance divides the upper limit of each team among the worker
// partitions so that the sum never exceeds the limit. The control state holds
// one Table for the partitions that the process owns, asks it before every start
// and writes the records that Plan returns.
package allowance
