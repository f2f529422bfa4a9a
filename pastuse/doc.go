// Package pastuse holds the past use of teams: for each team the use of its dominant resource as a
// share of the capacity, averaged with a half-life, and the totals of the last hours. It compares
// teams with waiting work by their use relative to their weights.
//
// The use is the integral of what runs, not the sum of ended runs, so that a run whose owner changes
// or whose end is reported late counts for exactly the time for which it is known to run. The package
// performs no I/O and reads no clock; package schedule calls it from the control goroutine only.
package pastuse
