// Package worker is the HTTP client for workers. It handles the encoding, the
// connections, the timeouts and the final check of the ownership term before a
// start request is written.
package worker
