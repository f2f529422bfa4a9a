// Package daemon runs one entry instance: it connects the control loop to the clients and servers of
// the packages for its peers.
package daemon
