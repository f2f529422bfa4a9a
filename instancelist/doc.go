// Package instancelist reads the platform's lagging list of live and leaving
// instances.
package instancelist
