// Package apidoc holds the test that writes docs/api.md: it makes every call of
// the servers for callers and operators against fixed backends and compares the
// page with what was sent and answered.
package apidoc
