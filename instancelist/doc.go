// Package instancelist reads the platform's list of live and leaving instances
// over HTTP/JSON. The list lags behind the actual state by some seconds. The effect
// executor of the daemon calls it, never the control goroutine.
package instancelist
