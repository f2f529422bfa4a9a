// Package holding decides how much memory accepted jobs may take in a process. A Budget holds the charge of each
// job, from before it is accepted until it is forgotten, and the shares of teams and queues.
//
// The package performs no I/O and reads no clock. Packages schedule and ledger, which know what a job takes, use
// it; a budget is part of the control state.
package holding
