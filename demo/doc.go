// Package demo runs a complete small deployment in one process on loopback ports:
// entry instances, the stand-ins for the platform, and a mix of work of every kind.
// The demo command and the end-to-end tests use it.
package demo
