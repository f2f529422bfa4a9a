// Package daemon runs one entry instance: it connects the control loop to the clients and servers in
// the peer packages and executes the effects.
package daemon
