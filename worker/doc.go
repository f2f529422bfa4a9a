// Package worker talks HTTP to workers. It owns the encoding, connections,
// timeouts and the last check of the term before a start is written.
package worker
