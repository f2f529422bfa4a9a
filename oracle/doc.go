// Package oracle checks the invariants of the design page over a merged time
// line and the ledgers that workers keep. Every test, the demo and the load
// command use the same checks.
package oracle
