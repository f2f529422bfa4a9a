// Package client talks HTTP to an entry instance from outside, as callers and
// operators do.
package client
