// Package endtoend contains the tests that run a small deployment as separate
// processes and inject faults with real signals.
package endtoend
