// Package demo runs a whole small deployment in one process, on loopback: entry
// instances, the stand-ins for the platform, and a mix of work of every kind.
// The command line's demo and end-to-end tests use it.
package demo
