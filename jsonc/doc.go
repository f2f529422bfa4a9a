// Package jsonc decodes JSON with comments strictly and reports every fault
// with its line and column. Documents, settings and the bodies of requests are
// all read with it, so that each of them is refused for the same reasons.
package jsonc
