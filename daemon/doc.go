// Package daemon wires the control loop to the peer packages and runs one entry
// instance.
package daemon
