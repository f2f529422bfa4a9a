// Package holding decides how much memory the jobs that were accepted may take on the owner of a partition. A
// Budget holds the charge of each job, from before it is recorded until it is forgotten, and the shares of
// teams and queues.
//
// The package performs no I/O and reads no clock. Package schedule, which knows what a job takes, is its
// only user; the budget is part of the control state.
package holding
