// Package caller serves the HTTP interface for callers: submit, wait, status,
// cancel and result.
package caller
