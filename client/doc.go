// Package client is the HTTP client that callers and operators use for the API of
// entry instances.
package client
