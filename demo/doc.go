// Package demo runs a complete small deployment in one process on loopback ports,
// with entry instances and the stand-ins for the platform, and submits work of every kind.
// The demo command and the end-to-end tests use it.
package demo
