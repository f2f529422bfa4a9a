// Package endtoend holds the tests that run a small deployment as separate
// processes and bring about faults with real signals.
package endtoend
