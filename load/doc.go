// Package load simulates the scheduling decisions of one partition owner in
// virtual time. It drives the queue, fairshare and placement packages with a
// generated load and measures waiting times, shares, utilization and the
// processor time of a decision under several policies. The load is open-loop
// and depends on the seed only, so that every policy receives the same jobs.
// During the middle fifth of a run, the first team floods the cluster with
// additional jobs, and during the second half, keys are withdrawn. The package
// is used by "mulberryctl load" and by the benchmarks.
package load
